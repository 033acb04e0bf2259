//! Routers that exchange gossip on loopback, with a hostile peer beside them.

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

const NO_MEMBER: MemberId = MemberId(0);

fn now() -> Moment {
    Moment::from_micros(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64)
}

fn seconds_ago(seconds: f64) -> Moment {
    Moment::from_micros(now().since(Moment::default()).saturating_sub(Span::from_secs(seconds)).micros())
}

/// A member's key with a pass that is valid now.
fn member(number: u64, name: &str, by: &SecretKey) -> Identity {
    let secret = secret_key(number);
    let pass = Pass::issue(
        by,
        name,
        secret.public(),
        cluster_id(),
        seconds_ago(60.0),
        now() + Span::from_secs(3600.0),
    )
    .unwrap();
    Identity::new(secret, pass, &TrustStore::new(cluster_id(), vec![by.public()]), now()).unwrap()
}

/// Starts a router with gossip and the key with this number. Returns the router and the address at which its
/// gossip listens.
fn start_with_gossip(
    engines: &[SocketAddr], seeds: Vec<SocketAddr>, number: u64,
) -> (RouterThread, SocketAddr) {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let keys = Keys {
        identity: member(number, &format!("n{number}"), &operator_key()),
        ring: trust_store(),
        order: None,
    };
    let config = woadhook_gossip::GossipConfig { period: Span::from_secs(0.05), ..default_gossip_config() };
    let setup = GossipSetup {
        socket,
        keys,
        advertised_address: address,
        seeds,
        config,
        accord: default_accord_config(),
    };
    let config = router_config(engines, DiscoveryEvents::default().serve().address, 1024);
    (RouterThread::start_with_gossip(&config, Some(setup)), address)
}

/// A peer that sends whatever the test wants.
struct Peer {
    socket: UdpSocket,
    identity: Identity,
    incarnation: u64,
    number: u64,
}

impl Peer {
    fn new(identity: Identity) -> Self {
        let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
        socket.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let incarnation = now().since(Moment::default()).micros() / 1000;
        Self { socket, identity, incarnation, number: 0 }
    }

    fn send_observation(&mut self, to: SocketAddr, sent: Moment, engine: &str, corrupt: bool) {
        self.number += 1;
        let record =
            MemberRecord::issue(&self.identity, self.socket.local_addr().unwrap(), self.incarnation, false);
        let observation = Observation::issue(
            &self.identity,
            self.incarnation,
            self.number,
            sent,
            engine,
            Moment::default(),
            EngineCondition::Silent,
            None,
            255,
        );
        let items = [(ItemTag::Observation, observation.to_bytes().into())];
        let (mut bytes, _) = encode_signed(
            &self.identity,
            DatagramKind::Ping,
            NO_MEMBER,
            sent,
            self.number,
            0,
            NO_MEMBER,
            (1, 0),
            &record.bytes,
            &items,
            PADDED_PING_BYTES,
        );
        if corrupt {
            let last = bytes.len() - 1;
            bytes[last] ^= 1;
        }
        self.socket.send_to(&bytes, to).unwrap();
    }

    /// The items of the next datagram.
    fn receive_items(&self) -> Vec<Item> {
        let mut bytes = [0; 1500];
        let (length, _) = self.socket.recv_from(&mut bytes).unwrap();
        Envelope::read(&bytes[..length]).unwrap().items().collect()
    }
}

#[test]
fn a_forged_observation_causes_no_probe_and_a_members_observation_does() {
    let engines = [0, 1].map(|_| StandinServer::start(|call| result_page(call, &["a\tb\tc\n"])));
    let (router, address) = start_with_gossip(&engines.each_ref().map(|engine| engine.address), vec![], 1);
    assert!(Client::connect(&router).ping(1));
    let mut stranger = Peer::new(member(3, "n3", &secret_key(99)));
    stranger.send_observation(address, now(), "s-0", false);
    let mut member_peer = Peer::new(member(2, "n2", &operator_key()));
    member_peer.send_observation(address, seconds_ago(86_400.0), "s-0", false);
    member_peer.send_observation(address, now(), "s-0", true);
    member_peer.socket.send_to(b"engine s-0 is dead", address).unwrap();
    // The valid datagram comes last, over the same socket: once it has had its effect, the others have been
    // processed.
    member_peer.send_observation(address, now(), "s-1", false);
    engines[1].wait_for_call("GET /load ");
    assert!(engines[0].received_calls("GET /load ").is_empty());
    // Jobs are still served.
    let mut client = Client::connect(&router);
    client.send_job(1, "look", 20_000);
    assert_eq!(client.receive(), (1, Ok("a\tb\tc\n".to_owned())));
}

#[test]
fn a_failure_at_one_router_is_reported_to_another_that_probes() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n"]));
    // Nothing listens there: a job's dispatch fails to connect.
    let unused = SocketAddr::from(([127, 0, 0, 1], 1));
    let (first, address) = start_with_gossip(&[unused], vec![], 1);
    let (second, _) = start_with_gossip(&[engine.address], vec![address], 2);
    assert!(Client::connect(&second).ping(1));
    // Both routers know "s-0", each at another address. An observation that is sent before they have met is
    // sent again.
    let mut client = Client::connect(&first);
    client.send_job(1, "look", 2_000);
    engine.wait_for_call("GET /load ");
}

#[test]
fn a_reloaded_revocation_removes_a_member_at_other_routers_too() {
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n"]));
    let (router, address) = start_with_gossip(&[engine.address], vec![], 1);
    assert!(Client::connect(&router).ping(1));
    let mut member_peer = Peer::new(member(2, "n2", &operator_key()));
    let mut store = trust_store();
    assert!(store.revoke(&revocation(7), now()));
    let keys = Keys { identity: member(1, "n1", &operator_key()), ring: store, order: None };
    router.commands.send_blocking(OperatorCommand::ReloadKeys(Ok(Box::new(keys)))).unwrap();
    // An error leaves the keys in force.
    router.commands.send_blocking(OperatorCommand::ReloadKeys(Err("site.jsonnet: bad".to_owned()))).unwrap();
    let mut revoked = false;
    for _ in 0..20 {
        member_peer.send_observation(address, now(), "s-0", false);
        revoked |= member_peer.receive_items().iter().any(|item| matches!(item, Item::Revocation(_)));
        if revoked {
            break;
        }
    }
    assert!(revoked, "the revocation is passed on");
    let mut revoked_peer = Peer::new(member(7, "n7", &operator_key()));
    engine.received_calls("GET");
    revoked_peer.send_observation(address, now(), "s-0", false);
    router.commands.send_blocking(OperatorCommand::Stop).unwrap();
    router.expect_clean_end();
    assert!(
        engine.received_calls("GET /load ").len() <= 1,
        "only the honest member's observation caused a probe"
    );
}
