//! Routers that talk, on loopback, and a hostile peer beside them.

use std::net::{SocketAddr, UdpSocket};
use std::time::{SystemTime, UNIX_EPOCH};

use woadhook::{Moment, Span};
use woadhook_gossip::EngineCondition;
use woadhook_gossip::keys::{Identity, MemberId, Pass, SecretKey, TrustStore};
use woadhook_gossip::wire::{
    DatagramKind, Envelope, Item, ItemTag, MemberRecord, Observation, PADDED_PING_BYTES, encode_signed,
};
use woadhook_router::gossip::GossipSetup;
use woadhook_router::keyfiles::Keys;
use woadhook_router::stop::OperatorCommand;
use woadhook_standins::cluster::{
    cluster_id, default_accord_config, default_gossip_config, operator_key, revocation, secret_key,
    trust_store,
};
use woadhook_standins::*;

const NOBODY: MemberId = MemberId(0);

fn now() -> Moment {
    Moment::from_micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64)
}

fn before(span: f64) -> Moment {
    Moment::from_micros(now().since(Moment::default()).saturating_sub(Span::from_secs(span)).micros())
}

/// A member's key with a pass that is good now.
fn member(number: u64, name: &str, by: &SecretKey) -> Identity {
    let secret = secret_key(number);
    let pass =
        Pass::issue(by, name, secret.public(), cluster_id(), before(60.0), now() + Span::from_secs(3600.0))
            .unwrap();
    Identity::new(secret, pass, &TrustStore::new(cluster_id(), vec![by.public()]), now()).unwrap()
}

/// A router that talks, with key 1, and where it listens.
fn talking(engines: &[SocketAddr], seeds: Vec<SocketAddr>, number: u64) -> (RouterThread, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let keys = Keys {
        identity: member(number, &format!("n{number}"), &operator_key()),
        ring: trust_store(),
        order: None,
    };
    let pace = woadhook_gossip::GossipConfig { period: Span::from_secs(0.05), ..default_gossip_config() };
    let talk = GossipSetup {
        socket,
        keys,
        advertised_address: address,
        seeds,
        pace,
        accord: default_accord_config(),
    };
    let told = router_config(engines, DiscoveryEvents::default().serve().address, 1024);
    (RouterThread::start_with_gossip(&told, Some(talk)), address)
}

/// A peer that says what it likes.
struct Peer {
    socket: UdpSocket,
    own: Identity,
    incarnation: u64,
    number: u64,
}

impl Peer {
    fn new(own: Identity) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let incarnation = now().since(Moment::default()).micros() / 1000;
        Self { socket, own, incarnation, number: 0 }
    }

    fn says(&mut self, to: SocketAddr, sent: Moment, engine: &str, spoilt: bool) {
        self.number += 1;
        let card = MemberRecord::issue(&self.own, self.socket.local_addr().unwrap(), self.incarnation, false);
        let word = Observation::issue(
            &self.own,
            self.incarnation,
            self.number,
            sent,
            engine,
            Moment::default(),
            EngineCondition::Silent,
            None,
            255,
        );
        let statements = [(ItemTag::Observation, word.to_bytes().into())];
        let (mut bytes, _) = encode_signed(
            &self.own,
            DatagramKind::Ping,
            NOBODY,
            sent,
            self.number,
            0,
            NOBODY,
            (1, 0),
            &card.bytes,
            &statements,
            PADDED_PING_BYTES,
        );
        if spoilt {
            let last = bytes.len() - 1;
            bytes[last] ^= 1;
        }
        self.socket.send_to(&bytes, to).unwrap();
    }

    /// The statements of the next datagram that comes.
    fn hears(&self) -> Vec<Item> {
        let mut bytes = [0; 1500];
        let (length, _) = self.socket.recv_from(&mut bytes).unwrap();
        Envelope::read(&bytes[..length]).unwrap().items().collect()
    }
}

#[test]
fn a_forged_engine_dead_brings_no_probe_and_a_members_word_does() {
    let engines = [0, 1].map(|_| StandinServer::start(|call| result_page(call, &["a\tb\tc\n"])));
    let (router, at) = talking(&engines.each_ref().map(|engine| engine.address), vec![], 1);
    assert!(Client::connect(&router).ping(1));
    let mut stranger = Peer::new(member(3, "n3", &secret_key(99)));
    stranger.says(at, now(), "s-0", false);
    let mut honest = Peer::new(member(2, "n2", &operator_key()));
    honest.says(at, before(86_400.0), "s-0", false);
    honest.says(at, now(), "s-0", true);
    honest.socket.send_to(b"engine s-0 is dead", at).unwrap();
    // What is good comes last, over the same socket: when it has worked, the others have been looked at.
    honest.says(at, now(), "s-1", false);
    engines[1].wait_for_call("GET /load ");
    assert!(engines[0].received_calls("GET /load ").is_empty());
    // The job goes on as ever.
    let mut client = Client::connect(&router);
    client.send_job(1, "look", 20_000);
    assert_eq!(client.receive(), (1, Ok("a\tb\tc\n".to_owned())));
}

#[test]
fn what_one_router_suffers_the_other_hears_and_probes() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n"]));
    // Nobody listens there: a job's dispatch fails to connect.
    let dead = SocketAddr::from(([127, 0, 0, 1], 1));
    let (first, at) = talking(&[dead], vec![], 1);
    let (second, _) = talking(&[engine.address], vec![at], 2);
    assert!(Client::connect(&second).ping(1));
    // Both know "s-0", each at an address of its own. What is told before they have met is told again.
    let mut client = Client::connect(&first);
    client.send_job(1, "look", 2_000);
    engine.wait_for_call("GET /load ");
}

#[test]
fn a_revocation_that_is_read_again_puts_a_member_out_at_others_too() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n"]));
    let (router, at) = talking(&[engine.address], vec![], 1);
    assert!(Client::connect(&router).ping(1));
    let mut honest = Peer::new(member(2, "n2", &operator_key()));
    let mut list = trust_store();
    assert!(list.revoke(&revocation(7), now()));
    let keys = Keys { identity: member(1, "n1", &operator_key()), ring: list, order: None };
    router.commands.send_blocking(OperatorCommand::ReloadKeys(Ok(Box::new(keys)))).unwrap();
    // A fault leaves what is in force.
    router.commands.send_blocking(OperatorCommand::ReloadKeys(Err("site.jsonnet: bad".to_owned()))).unwrap();
    let mut revoked = false;
    for _ in 0..20 {
        honest.says(at, now(), "s-0", false);
        revoked |= honest.hears().iter().any(|told| matches!(told, Item::Revocation(_)));
        if revoked {
            break;
        }
    }
    assert!(revoked, "it is told on");
    let mut out = Peer::new(member(7, "n7", &operator_key()));
    engine.received_calls("GET");
    out.says(at, now(), "s-0", false);
    router.commands.send_blocking(OperatorCommand::Stop).unwrap();
    router.expect_clean_end();
    assert!(engine.received_calls("GET /load ").len() <= 1, "only the honest member's word brought a probe");
}
