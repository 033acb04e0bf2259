//! A network of relays on loopback. All connections and datagrams between the parties of a test pass through
//! a relay. The test sets the relay's conditions by pair, zone or region, in one direction or both.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use socket2::{Domain, SockRef, Socket, Type};

use crate::ports;

/// Maximum number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 8 * 1024;
/// Interval at which the relays check that their thread runs.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// A check that runs late by more than this is recorded as a stall of the relays' thread.
const MIN_RECORDED_STALL: Duration = Duration::from_millis(50);
/// Maximum number of recorded stalls.
const MAX_RECORDED_STALLS: usize = 200;
/// Number of the relays' own connections that fill a listener's queue during a cut.
const FILLER_COUNT: usize = 4;
const LISTEN_BACKLOG: i32 = 1024;

/// A set of endpoints. Tests store fault schedules as printed by `Debug`, so the names of the variants stay.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointSet {
    All,
    Region(String),
    Zone(String),
    Party(String),
}

impl EndpointSet {
    pub fn zone(name: &str) -> Self {
        EndpointSet::Zone(name.to_owned())
    }

    pub fn party(name: &str) -> Self {
        EndpointSet::Party(name.to_owned())
    }
}

/// Network conditions for the traffic in one direction. Tests store fault schedules as printed by `Debug`, so
/// the names of the type and its fields stay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing passes and no error is reported: bytes wait for the end of the cut, datagrams are lost,
    /// connections are not established.
    pub cut: bool,
    /// Minimum and maximum delay in milliseconds, drawn uniformly; bytes keep their order, datagrams don't.
    pub delay: (u64, u64),
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// Probability that a datagram is delivered twice, from 0 to 1.
    pub twice: f64,
    /// Bandwidth for bytes of connections.
    pub bytes_per_s: Option<u64>,
}

impl Way {
    pub const CUT: Way = Way { cut: true, delay: (0, 0), loss: 0.0, twice: 0.0, bytes_per_s: None };
}

/// A stall of the relays' thread: a period in which it did not run, so that nothing was forwarded. The name
/// is part of a printed verdict, as the report of a violated rule shows the stalls by `Debug`.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    pub from: Instant,
    pub span: Duration,
}

struct Location {
    zone: String,
    region: String,
}

/// A relay for connections from one party to another.
struct ConnectionRelay {
    from: String,
    to: String,
    listener: Arc<Async<TcpListener>>,
    /// The address to which new connections are forwarded.
    target: Arc<Mutex<SocketAddr>>,
    /// Whether the accept loop accepts connections. The loop clears this soon after a cut begins.
    accepts: Arc<AtomicBool>,
    /// Whether the relay refuses new connections for good.
    refuses: Arc<AtomicBool>,
    /// The relay's own connections to its listener, which fill the listener's queue during a cut, so that no
    /// others are established. Empty when there is no cut.
    fillers: Vec<Socket>,
}

impl ConnectionRelay {
    fn apply_cut(&mut self, cut: bool, filler_ports: &mut BTreeSet<(u16, u16)>) {
        if cut != self.fillers.is_empty() || self.refuses.load(Ordering::SeqCst) {
            return;
        }
        let listener = SockRef::from(self.listener.get_ref());
        let _ = listener.listen(if cut { 0 } else { LISTEN_BACKLOG });
        self.fillers.clear();
        let Some(at) = self.listener.get_ref().local_addr().ok().filter(|_| cut) else { return };
        for _ in 0..FILLER_COUNT {
            let Ok(filler) = Socket::new(Domain::IPV4, Type::STREAM, None) else { continue };
            let _ = filler.set_nonblocking(true);
            let _ = filler.connect(&at.into());
            let own = filler.local_addr().ok().and_then(|own| own.as_socket());
            filler_ports.extend(own.map(|own| (at.port(), own.port())));
            self.fillers.push(filler);
        }
    }
}

struct State {
    locations: BTreeMap<String, Location>,
    /// The conditions in force: source, destination and conditions. The latest matching entry applies.
    conditions: Vec<(EndpointSet, EndpointSet, Way)>,
    /// Whether any condition was ever set.
    ever_had_conditions: bool,
    rng: Pcg32,
    connection_relays: Vec<ConnectionRelay>,
    stalls: Vec<Rest>,
    /// Ports of the listener and of the relay's end of each filler connection. An entry is removed when its
    /// connection is accepted; a few for each cut remain, as not every filler is accepted.
    filler_ports: BTreeSet<(u16, u16)>,
    /// Open connections by number: the connecting party, the accepting party and the request to reset the
    /// connection. An entry is removed when its connection ends.
    connections: BTreeMap<u64, (String, String, Arc<ResetRequest>)>,
    /// The number of the latest connection.
    last_connection_number: u64,
    /// By party: the public socket, and the address at which the party receives.
    datagram_relays: BTreeMap<String, (Arc<Async<UdpSocket>>, SocketAddr)>,
}

/// A request to reset a connection, which the task that relays the connection waits for.
#[derive(Default)]
struct ResetRequest {
    requested: AtomicBool,
    notified: Event,
}

struct Shared {
    state: Mutex<State>,
    changed: Event,
}

/// The network. Its relays end when it is dropped.
pub struct Relays {
    shared: Arc<Shared>,
    executor: Arc<Executor<'static>>,
    _shutdown: async_channel::Sender<()>,
}

impl Relays {
    pub fn new(seed: u64) -> Self {
        let state = State {
            locations: BTreeMap::new(),
            conditions: Vec::new(),
            ever_had_conditions: false,
            rng: Pcg32::seed_from_u64(seed),
            connection_relays: Vec::new(),
            stalls: Vec::new(),
            filler_ports: BTreeSet::new(),
            connections: BTreeMap::new(),
            last_connection_number: 0,
            datagram_relays: BTreeMap::new(),
        };
        let executor = Arc::new(Executor::new());
        let (shutdown, shutdown_requested) = async_channel::bounded::<()>(1);
        let thread_executor = executor.clone();
        thread::spawn(move || async_io::block_on(thread_executor.run(shutdown_requested.recv())));
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Event::new() });
        executor.spawn(record_stalls(shared.clone())).detach();
        Self { shared, executor, _shutdown: shutdown }
    }

    /// Registers a party with its zone and region.
    pub fn add_party(&self, name: &str, zone: &str, region: &str) {
        let location = Location { zone: zone.to_owned(), region: region.to_owned() };
        self.shared.state.lock().unwrap().locations.insert(name.to_owned(), location);
    }

    /// Returns an address at which `from` reaches `to`, which listens at `target`.
    pub fn relay_address(&self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let listener = Arc::new(Async::new(ports::listener()).expect("a listener"));
        let address = listener.get_ref().local_addr().expect("an address");
        let (accepts, refuses) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let target = Arc::new(Mutex::new(target));
        let relay = ConnectionRelay {
            from: from.into(),
            to: to.into(),
            listener: listener.clone(),
            target: target.clone(),
            accepts: accepts.clone(),
            refuses: refuses.clone(),
            fillers: Vec::new(),
        };
        self.shared.state.lock().unwrap().connection_relays.push(relay);
        self.shared.update_listeners();
        let (shared, weak) = (self.shared.clone(), Arc::downgrade(&self.executor));
        let (from, to) = (from.to_owned(), to.to_owned());
        let accept_loop = async move {
            loop {
                let changed = shared.changed.listen();
                if refuses.load(Ordering::SeqCst) {
                    accepts.store(false, Ordering::SeqCst);
                    return;
                }
                let open = !shared.state.lock().unwrap().is_cut(&from, &to);
                accepts.store(open, Ordering::SeqCst);
                if !open {
                    changed.await;
                    continue;
                }
                let accepted = async { listener.accept().await.ok() };
                let cut = async {
                    changed.await;
                    None
                };
                let Some((stream, peer)) = accepted.or(cut).await else { continue };
                if shared.state.lock().unwrap().is_filler(address, peer) {
                    continue;
                }
                let Some(executor) = weak.upgrade() else { return };
                let (shared, from, to) = (shared.clone(), from.clone(), to.clone());
                let target = *target.lock().unwrap();
                executor
                    .spawn(async move { relay_connection(&shared, &from, &to, stream, target).await })
                    .detach();
            }
        };
        self.executor.spawn(accept_loop).detach();
        address
    }

    /// Returns the public address of a party that receives datagrams at `own`. The datagrams that it sends
    /// also reach the others from that address, so that the receivers' validation of the sender's address
    /// succeeds.
    pub fn datagram_relay_address(&self, name: &str, own: SocketAddr) -> SocketAddr {
        let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).expect("an address");
        let address = socket.get_ref().local_addr().expect("an address");
        let socket = Arc::new(socket);
        self.shared.state.lock().unwrap().datagram_relays.insert(name.to_owned(), (socket.clone(), own));
        let (shared, name, weak) = (self.shared.clone(), name.to_owned(), Arc::downgrade(&self.executor));
        let receive_loop = async move {
            let mut bytes = [0; 2048];
            while let Ok((length, sender)) = socket.recv_from(&mut bytes).await {
                let Some(executor) = weak.upgrade() else { return };
                for (after, socket, to) in shared.state.lock().unwrap().deliveries(sender, &name) {
                    let bytes = bytes[..length].to_vec();
                    let delivered = async move {
                        Timer::after(after).await;
                        let _ = socket.send_to(&bytes, to).await;
                    };
                    executor.spawn(delivered).detach();
                }
            }
        };
        self.executor.spawn(receive_loop).detach();
        address
    }

    /// Sets conditions for the traffic between endpoints. All of them take effect at once; the latest
    /// matching one applies.
    pub fn set_conditions(&self, conditions: impl IntoIterator<Item = (EndpointSet, EndpointSet, Way)>) {
        let mut state = self.shared.state.lock().unwrap();
        state.conditions.extend(conditions);
        state.ever_had_conditions = true;
        drop(state);
        self.shared.update_listeners();
    }

    /// Whether any condition was ever set, so that bytes may have arrived later than they were sent.
    pub fn ever_had_conditions(&self) -> bool {
        self.shared.state.lock().unwrap().ever_had_conditions
    }

    /// Removes conditions that were set earlier.
    pub fn remove_conditions(&self, conditions: impl IntoIterator<Item = (EndpointSet, EndpointSet, Way)>) {
        let mut state = self.shared.state.lock().unwrap();
        for removed in conditions {
            if let Some(index) = state.conditions.iter().rposition(|set| *set == removed) {
                state.conditions.remove(index);
            }
        }
        drop(state);
        self.shared.update_listeners();
    }

    /// Removes all conditions.
    pub fn remove_all_conditions(&self) {
        self.shared.state.lock().unwrap().conditions.clear();
        self.shared.update_listeners();
    }

    /// Refuses new connections to this party from now on. Open connections stay open.
    pub fn refuse_connections(&self, party: &str) {
        let mut state = self.shared.state.lock().unwrap();
        for relay in state.connection_relays.iter_mut().filter(|relay| relay.to == party) {
            relay.refuses.store(true, Ordering::SeqCst);
            let _ = SockRef::from(relay.listener.get_ref()).shutdown(std::net::Shutdown::Both);
        }
        drop(state);
        self.shared.changed.notify(usize::MAX);
    }

    /// Forwards new connections for this party to another process, as if that had its port. Open connections
    /// stay as they are.
    pub fn redirect(&self, party: &str, target: SocketAddr) {
        let state = self.shared.state.lock().unwrap();
        for relay in state.connection_relays.iter().filter(|relay| relay.to == party) {
            *relay.target.lock().unwrap() = target;
        }
    }

    /// Blocks the relays' thread for this time.
    pub fn block_thread(&self, span: Duration) {
        self.executor.spawn(async move { thread::sleep(span) }).detach();
    }

    /// The recorded stalls of the relays' thread, such as those on a busy machine. Traffic during a stall
    /// arrived later than it was sent.
    pub fn stalls(&self) -> Vec<Rest> {
        self.shared.state.lock().unwrap().stalls.clone()
    }

    /// Resets the open connections from one set of endpoints to another. Returns their number.
    pub fn reset(&self, from: &EndpointSet, to: &EndpointSet) -> usize {
        let state = self.shared.state.lock().unwrap();
        let matching =
            state.connections.values().filter(|(a, b, _)| state.is_in(a, from) && state.is_in(b, to));
        matching
            .map(|(.., reset_request)| {
                reset_request.requested.store(true, Ordering::Relaxed);
                reset_request.notified.notify(usize::MAX);
            })
            .count()
    }
}

impl State {
    /// Whether the set of endpoints contains the party of this name.
    fn is_in(&self, name: &str, endpoints: &EndpointSet) -> bool {
        let location = self.locations.get(name);
        match endpoints {
            EndpointSet::All => true,
            EndpointSet::Party(party) => party == name,
            EndpointSet::Zone(zone) => location.is_some_and(|location| location.zone == *zone),
            EndpointSet::Region(region) => location.is_some_and(|location| location.region == *region),
        }
    }

    fn conditions_between(&self, from: &str, to: &str) -> Way {
        let matches = |(a, b, _): &&(EndpointSet, EndpointSet, Way)| self.is_in(from, a) && self.is_in(to, b);
        self.conditions.iter().rev().find(matches).map(|(.., way)| *way).unwrap_or_default()
    }

    fn draw_delay(&mut self, conditions: &Way) -> Duration {
        let (min_delay, max_delay) = conditions.delay;
        let drawn = min_delay as f64 + max_delay.saturating_sub(min_delay) as f64 * self.rng.random::<f64>();
        Duration::from_secs_f64(drawn / 1e3)
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        self.conditions_between(from, to).cut || self.conditions_between(to, from).cut
    }

    /// Whether a connection is a filler. Fillers that are still queued when a cut ends are accepted then.
    fn is_filler(&mut self, at: SocketAddr, peer: SocketAddr) -> bool {
        self.filler_ports.remove(&(at.port(), peer.port()))
    }

    /// Decides what happens to a datagram for a party: delay, sending socket and destination of each copy.
    fn deliveries(
        &mut self, sender: SocketAddr, to: &str,
    ) -> Vec<(Duration, Arc<Async<UdpSocket>>, SocketAddr)> {
        let from =
            self.datagram_relays.iter().find(|(_, (_, own))| *own == sender).map(|(name, _)| name.clone());
        let Some(from) = from else { return Vec::new() };
        let conditions = self.conditions_between(&from, to);
        if conditions.cut || self.rng.random_bool(conditions.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.rng.random_bool(conditions.twice));
        let (socket, own) = (self.datagram_relays[&from].0.clone(), self.datagram_relays[to].1);
        (0..copies).map(|_| (self.draw_delay(&conditions), socket.clone(), own)).collect()
    }
}

impl Shared {
    /// Applies cuts to listeners. Connections across a cut must not be established: once a relay has stopped
    /// accepting, its listener's queue is shortened and filled, so that the system drops further attempts, as
    /// if the other end were unreachable.
    fn update_listeners(&self) {
        self.changed.notify(usize::MAX);
        let deadline = Instant::now() + Duration::from_secs(5);
        loop {
            let mut state = self.state.lock().unwrap();
            let cuts: Vec<bool> =
                state.connection_relays.iter().map(|relay| state.is_cut(&relay.from, &relay.to)).collect();
            let still_accepts =
                |(relay, cut): (&ConnectionRelay, &bool)| *cut && relay.accepts.load(Ordering::SeqCst);
            if state.connection_relays.iter().zip(&cuts).any(still_accepts) && Instant::now() < deadline {
                drop(state);
                thread::sleep(Duration::from_millis(1));
                continue;
            }
            let State { connection_relays, filler_ports, .. } = &mut *state;
            for (relay, cut) in connection_relays.iter_mut().zip(cuts) {
                relay.apply_cut(cut, filler_ports);
            }
            break;
        }
        self.changed.notify(usize::MAX);
    }

    /// Waits until this many bytes may pass in one direction: for the end of a cut, the delay and the
    /// transfer time. Returns whether a cut held them back.
    async fn wait_to_pass(&self, from: &str, to: &str, bytes: usize) -> bool {
        let (mut has_waited, mut was_cut) = (false, false);
        loop {
            let changed = self.changed.listen();
            let (conditions, delay) = {
                let mut state = self.state.lock().unwrap();
                let conditions = state.conditions_between(from, to);
                (conditions, state.draw_delay(&conditions))
            };
            if conditions.cut {
                changed.await;
                (has_waited, was_cut) = (false, true);
            } else if has_waited {
                return was_cut;
            } else {
                let transfer_time =
                    conditions.bytes_per_s.map_or(0.0, |rate| bytes as f64 / rate.max(1) as f64);
                let wait = delay + Duration::from_secs_f64(transfer_time);
                if !wait.is_zero() {
                    Timer::after(wait).await;
                }
                has_waited = true;
            }
        }
    }
}

/// Records the stalls of the relays' thread: periods in which a timer of this task ran late.
async fn record_stalls(shared: Arc<Shared>) {
    loop {
        let due = Instant::now() + STALL_CHECK_INTERVAL;
        Timer::at(due).await;
        let span = Instant::now().saturating_duration_since(due);
        let mut state = shared.state.lock().unwrap();
        if span > MIN_RECORDED_STALL && state.stalls.len() < MAX_RECORDED_STALLS {
            state.stalls.push(Rest { from: due, span });
        }
    }
}

/// Relays one connection from the time it is accepted. Resets it if it was requested before a cut and is
/// accepted during it.
async fn relay_connection(
    shared: &Shared, from: &str, to: &str, client: Async<TcpStream>, target: SocketAddr,
) {
    let reset_request = Arc::new(ResetRequest::default());
    let number = {
        let mut state = shared.state.lock().unwrap();
        if state.is_cut(from, to) {
            return reset_on_close(&client);
        }
        state.last_connection_number += 1;
        let number = state.last_connection_number;
        state.connections.insert(number, (from.to_owned(), to.to_owned(), reset_request.clone()));
        number
    };
    let connected = async {
        shared.wait_to_pass(from, to, 0).await;
        Async::<TcpStream>::connect(target).await
    };
    let reset = async {
        while !reset_request.requested.load(Ordering::Relaxed) {
            let notified = reset_request.notified.listen();
            if reset_request.requested.load(Ordering::Relaxed) {
                break;
            }
            notified.await;
        }
        Err(io::ErrorKind::ConnectionReset.into())
    };
    let relayed = async {
        let server = connected.await?;
        let _ = (client.get_ref().set_nodelay(true), server.get_ref().set_nodelay(true));
        let outbound = forward_bytes(shared, from, to, &client, &server);
        let inbound = forward_bytes(shared, to, from, &server, &client);
        let ended = futures_lite::future::try_zip(outbound, inbound).await;
        if ended.is_err() {
            reset_on_close(&server);
        }
        ended.map(|_| ())
    };
    let ended: io::Result<()> = reset.or(relayed).await;
    if ended.is_err() {
        reset_on_close(&client);
    }
    shared.state.lock().unwrap().connections.remove(&number);
}

/// Makes the socket send a reset instead of an orderly close.
fn reset_on_close(stream: &Async<TcpStream>) {
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}

/// Forwards bytes from one connection to another until the first is closed for writing, then closes the other
/// for writing. Bytes that a cut held back are discarded if their sender has reset its connection meanwhile:
/// without a relay, its system would have held them and discarded them.
async fn forward_bytes(
    shared: &Shared, from: &str, to: &str, mut source: &Async<TcpStream>, mut destination: &Async<TcpStream>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = source.read(&mut chunk).await?;
        if shared.wait_to_pass(from, to, count).await
            && let Some(error) = source.get_ref().take_error()?
        {
            return Err(error);
        }
        if count == 0 {
            let _ = destination.get_ref().shutdown(std::net::Shutdown::Write);
            return Ok(());
        }
        destination.write_all(&chunk[..count]).await?;
    }
}
