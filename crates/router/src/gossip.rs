//! The gossip actor: connects the core of `woadhook-gossip` to a UDP socket and the clock.

use std::io;
use std::net::{SocketAddr, UdpSocket};

use async_channel::{Receiver, Sender};
use async_io::Async;
use futures_lite::{FutureExt, future};
use woadhook::{Moment, Span};
use woadhook_gossip::wire::MAX_DATAGRAM_BYTES;
use woadhook_gossip::{Action, EngineCondition, Gossip, GossipConfig};
use woadhook_host::fields::Result;
use woadhook_operator::Section;

use crate::agreement::{self, Agreement};
use crate::clock::{Clock, sleep};
use crate::exchange::{EngineList, Event, GossipEvent, GossipHandle};
use crate::keyfiles::Keys;
use crate::tasks::Tasks;

/// Maximum number of datagrams that are handled before other tasks run: each may need a few signature checks,
/// which take about 0.2 ms in total.
const MAX_DATAGRAMS_PER_TURN: usize = 4;

/// Pause after a failed read of the socket.
const READ_ERROR_PAUSE: Span = Span::from_micros(20_000);

/// What the gossip actor needs to start.
pub struct GossipSetup {
    pub socket: UdpSocket,
    pub keys: Keys,
    /// The address that other routers send to.
    pub advertised_address: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub config: GossipConfig,
    /// Times and limits of the agreement among the voters that the operator's order names, if there is one.
    pub accord: woadhook_accord::AccordConfig,
}

impl GossipSetup {
    /// Opens the socket; `accord` is the section on the agreement.
    pub fn open(section: Section<'_>, accord: Section<'_>, keys: Keys) -> Result<Self> {
        let listen = section.address("listen").ok_or("gossip.listen: no address")?;
        let socket = UdpSocket::bind(listen).map_err(|error| format!("gossip.listen: {listen}: {error}"))?;
        let bound = socket.local_addr().map_err(|error| format!("gossip.listen: {error}"))?;
        Ok(Self {
            socket,
            keys,
            advertised_address: section.address("advertise").unwrap_or(bound),
            seeds: section.address_list("seeds"),
            config: gossip_config(section),
            accord: accord_config(accord)?,
        })
    }
}

/// Reads the rates, times and limits of gossip from the operator file's section.
pub fn gossip_config(section: Section<'_>) -> GossipConfig {
    let millis = |field| Span::from_micros(section.integer(field) * 1000);
    GossipConfig {
        period: millis("period_ms"),
        max_sends_per_s: section.integer("sends_per_s") as f64,
        max_checks_per_s: section.integer("checks_per_s") as f64,
        max_members: section.integer("members") as usize,
        clock_tolerance: millis("clock_tolerance_ms"),
        observation_lifetime: millis("word_lifetime_ms"),
        forget_after: Span::from_micros(section.integer("forget_s") * 1_000_000),
    }
}

/// Reads the times of the agreement, or returns what is wrong with the section.
pub fn accord_config(section: Section<'_>) -> Result<woadhook_accord::AccordConfig> {
    agreement::accord_config(section)
}

/// Starts the actor; it sends what it receives to the decision module.
pub fn start(
    setup: GossipSetup, clock: Clock, seed: u64, tasks: Tasks, events: Sender<Event>,
) -> Result<GossipHandle> {
    let GossipSetup {
        socket,
        keys: Keys { identity, ring, order },
        advertised_address: address,
        seeds,
        config,
        accord,
    } = setup;
    let socket = Async::new(socket).map_err(|error| format!("gossip: {error}"))?;
    log::info!(event = "gossip_started", member = identity.name(), address:% = address; "gossip started");
    // The seeds differ from the module's own.
    let agreement =
        Agreement::start(clock.now(), seed.rotate_left(31), rand::random(), identity.id(), accord);
    let mut core = Gossip::new(clock.now(), seed.rotate_left(17), identity, ring, address, seeds, config);
    if let Some(order) = order {
        core.accept_voter_set(order);
    }
    let (handle, queued_events, latest_list) = GossipHandle::new();
    tasks.spawn(run(core, agreement, socket, clock, queued_events, latest_list, events));
    Ok(handle)
}

enum Input {
    Datagram(io::Result<(usize, SocketAddr)>),
    Event(GossipEvent),
    List(EngineList),
    Due,
    Ended,
}

async fn run(
    mut core: Gossip, mut agreement: Agreement, socket: Async<UdpSocket>, clock: Clock,
    gossip_events: Receiver<GossipEvent>, lists: Receiver<EngineList>, events: Sender<Event>,
) {
    // One byte more than allowed, so that datagrams that are too long are detected.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        loop {
            let now = clock.now();
            agreement.run_actions(now, &mut core);
            let Some(action) = core.next_action(now) else { break };
            execute(action, now, &mut agreement, &socket, &events);
        }
        let due = [core.next_deadline(), agreement.next_deadline()].into_iter().flatten().min();
        let datagram = async { Input::Datagram(socket.recv_from(&mut buffer).await) };
        let event = async { gossip_events.recv().await.map_or(Input::Ended, Input::Event) };
        let list = async { lists.recv().await.map_or(Input::Ended, Input::List) };
        let timer = async {
            match due {
                Some(moment) => clock.sleep_until(moment).await,
                None => future::pending().await,
            }
            Input::Due
        };
        let input = timer.or(list).or(event).or(datagram).await;
        let now = clock.now();
        match input {
            Input::Datagram(Ok((length, from))) => {
                core.receive(now, from, &buffer[..length]);
                for _ in 1..MAX_DATAGRAMS_PER_TURN {
                    let Ok((length, from)) = socket.get_ref().recv_from(&mut buffer) else { break };
                    core.receive(now, from, &buffer[..length]);
                }
                future::yield_now().await;
            }
            // The error may last and must not keep the thread busy. Other members detect a router that does
            // not receive by its unanswered pings.
            Input::Datagram(Err(_)) => sleep(READ_ERROR_PAUSE).await,
            Input::Event(event) => handle_event(&mut core, now, event),
            Input::List(list) => core.set_engines(&list),
            Input::Due => {}
            Input::Ended => return,
        }
    }
}

fn handle_event(core: &mut Gossip, now: Moment, event: GossipEvent) {
    match event {
        GossipEvent::EngineConditionChanged { engine, condition } => {
            core.engine_judged(now, &engine, condition)
        }
        GossipEvent::DispatchEnded { engine, reservation_type, outcome } => {
            core.dispatch_ended(now, &engine, &reservation_type, outcome)
        }
        GossipEvent::ProbeAnswered { engine } => core.probe_answered(now, &engine),
        GossipEvent::KeysReloaded(keys) => {
            let Keys { identity, ring, order } = *keys;
            log::info!(event = "gossip_rekeyed", member = identity.name(); "keys reloaded");
            core.rekey(now, identity, ring);
            if let Some(order) = order {
                core.accept_voter_set(order);
            }
        }
        GossipEvent::Stopping => core.leave(now),
    }
}

fn execute(
    action: Action, now: Moment, agreement: &mut Agreement, socket: &Async<UdpSocket>, events: &Sender<Event>,
) {
    match action {
        Action::VoterSet { epoch, voters } => agreement.apply_voter_set(now, epoch, &voters),
        Action::DirectMessage { from, bytes } => agreement.receive(now, from, &bytes),
        Action::Notice { from, subject, payload } => agreement.receive_notice(now, from, subject, &payload),
        // Datagrams that the socket does not accept now are lost, as they may be on any network.
        Action::Send { to, bytes } => {
            let _ = socket.get_ref().send_to(&bytes, to);
        }
        Action::PeerReport { engine, reservation_type, suspicion } => {
            let _ = events.try_send(Event::PeerReport { engine, reservation_type, suspicion });
        }
        Action::Event { kind, member, engine, condition } => {
            let (member, engine) = (member.unwrap_or_default(), engine.unwrap_or_default());
            let seen = condition.map_or("", EngineCondition::name);
            log::info!(event = kind.name(), member, engine, seen; "gossip: {} {member} {engine} {seen}", kind.name());
        }
    }
}
