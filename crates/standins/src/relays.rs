//! A network of relays on loopback. All connections and datagrams between the parties of a test pass a relay,
//! whose conditions the test sets by pair, zone or region, in one direction or both.

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
/// Interval at which the relays check that their thread runs; longer delays of the check are recorded as
/// rests.
const REST_CHECK_INTERVAL: Duration = Duration::from_millis(10);
const MIN_RECORDED_REST: Duration = Duration::from_millis(50);
/// Maximum number of recorded rests.
const MAX_RECORDED_RESTS: usize = 200;
/// Number of the relays' own connections that fill a listener's queue during a cut.
const FILLER_COUNT: usize = 4;
const LISTEN_BACKLOG: i32 = 1024;

/// A set of endpoints. The names of the variants are part of the printed fault schedules.
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

/// Conditions for the traffic in one direction. The names are part of the printed fault schedules.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing passes and no error is reported: bytes wait for the end of the cut, datagrams are lost,
    /// connections are not established.
    pub cut: bool,
    /// Minimum and maximum delay in milliseconds, drawn uniformly; bytes keep their order, datagrams don't.
    pub delay: (u64, u64),
    /// Probabilities of loss and of duplication per datagram, from 0 to 1.
    pub loss: f64,
    pub twice: f64,
    /// Bandwidth for bytes of connections.
    pub bytes_per_s: Option<u64>,
}

impl Way {
    pub const CUT: Way = Way { cut: true, delay: (0, 0), loss: 0.0, twice: 0.0, bytes_per_s: None };
}

/// A period in which the relays' thread did not run, so that nothing was forwarded. The name is part of a
/// printed verdict.
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
    /// Whether the relay accepts connections. It stops soon after a cut begins.
    accepts: Arc<AtomicBool>,
    /// Whether it refuses connections for good.
    refuses: Arc<AtomicBool>,
    /// Own connections that keep others from being established; empty when there is no cut.
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
    /// The conditions in force. The latest matching entry applies.
    ways: Vec<(EndpointSet, EndpointSet, Way)>,
    /// Whether any condition was ever set.
    ever_had_ways: bool,
    rng: Pcg32,
    connection_relays: Vec<ConnectionRelay>,
    rests: Vec<Rest>,
    /// Ports of the listener and of an own connection. An entry is removed when its connection is accepted; a
    /// few for each cut remain.
    filler_ports: BTreeSet<(u16, u16)>,
    /// Open connections with both parties and their reset; an entry is removed when its connection ends.
    connections: BTreeMap<u64, (String, String, Arc<ResetRequest>)>,
    count: u64,
    /// By party: the public socket and the party's own address.
    datagram_relays: BTreeMap<String, (Arc<Async<UdpSocket>>, SocketAddr)>,
}

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
            ways: Vec::new(),
            ever_had_ways: false,
            rng: Pcg32::seed_from_u64(seed),
            connection_relays: Vec::new(),
            rests: Vec::new(),
            filler_ports: BTreeSet::new(),
            connections: BTreeMap::new(),
            count: 0,
            datagram_relays: BTreeMap::new(),
        };
        let executor = Arc::new(Executor::new());
        let (shutdown, ended) = async_channel::bounded::<()>(1);
        let runs = executor.clone();
        thread::spawn(move || async_io::block_on(runs.run(ended.recv())));
        let shared = Arc::new(Shared { state: Mutex::new(state), changed: Event::new() });
        executor.spawn(watch_rests(shared.clone())).detach();
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

    /// Returns the public address of a party that receives datagrams at `own`. Its own datagrams also reach
    /// the others from that address, so that address validation holds.
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

    /// Sets conditions for the traffic between endpoints. All of them begin at once; the latest matching one
    /// applies.
    pub fn set_ways(&self, ways: impl IntoIterator<Item = (EndpointSet, EndpointSet, Way)>) {
        let mut state = self.shared.state.lock().unwrap();
        state.ways.extend(ways);
        state.ever_had_ways = true;
        drop(state);
        self.shared.update_listeners();
    }

    /// Whether any condition was ever set, so that bytes may have arrived later than they were sent.
    pub fn ever_had_ways(&self) -> bool {
        self.shared.state.lock().unwrap().ever_had_ways
    }

    /// Removes conditions that were set earlier.
    pub fn remove_ways(&self, ways: impl IntoIterator<Item = (EndpointSet, EndpointSet, Way)>) {
        let mut state = self.shared.state.lock().unwrap();
        for way in ways {
            if let Some(index) = state.ways.iter().rposition(|set| *set == way) {
                state.ways.remove(index);
            }
        }
        drop(state);
        self.shared.update_listeners();
    }

    /// Removes all conditions.
    pub fn heal(&self) {
        self.shared.state.lock().unwrap().ways.clear();
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

    /// The periods in which the relays' thread did not run, as on a busy machine. Traffic of such a period
    /// arrived later than it was sent.
    pub fn rests(&self) -> Vec<Rest> {
        self.shared.state.lock().unwrap().rests.clone()
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
    fn is_in(&self, name: &str, side: &EndpointSet) -> bool {
        let location = self.locations.get(name);
        match side {
            EndpointSet::All => true,
            EndpointSet::Party(party) => party == name,
            EndpointSet::Zone(zone) => location.is_some_and(|location| location.zone == *zone),
            EndpointSet::Region(region) => location.is_some_and(|location| location.region == *region),
        }
    }

    fn way(&self, from: &str, to: &str) -> Way {
        let fits = |(a, b, _): &&(EndpointSet, EndpointSet, Way)| self.is_in(from, a) && self.is_in(to, b);
        self.ways.iter().rev().find(fits).map(|(.., way)| *way).unwrap_or_default()
    }

    fn delay(&mut self, way: &Way) -> Duration {
        let (min_delay, max_delay) = way.delay;
        let drawn = min_delay as f64 + max_delay.saturating_sub(min_delay) as f64 * self.rng.random::<f64>();
        Duration::from_secs_f64(drawn / 1e3)
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        self.way(from, to).cut || self.way(to, from).cut
    }

    /// Whether a connection is one of the relays' own. Those still queued when a cut ends are accepted then.
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
        let way = self.way(&from, to);
        if way.cut || self.rng.random_bool(way.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.rng.random_bool(way.twice));
        let (socket, own) = (self.datagram_relays[&from].0.clone(), self.datagram_relays[to].1);
        (0..copies).map(|_| (self.delay(&way), socket.clone(), own)).collect()
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
                state.connection_relays.iter().map(|p| state.is_cut(&p.from, &p.to)).collect();
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
    /// transfer time.
    async fn wait_to_pass(&self, from: &str, to: &str, bytes: usize) {
        let mut has_waited = false;
        loop {
            let changed = self.changed.listen();
            let (way, delay) = {
                let mut state = self.state.lock().unwrap();
                let way = state.way(from, to);
                (way, state.delay(&way))
            };
            if way.cut {
                changed.await;
                has_waited = false;
            } else if has_waited {
                return;
            } else {
                let transfer_time = way.bytes_per_s.map_or(0.0, |rate| bytes as f64 / rate.max(1) as f64);
                let wait = delay + Duration::from_secs_f64(transfer_time);
                if !wait.is_zero() {
                    Timer::after(wait).await;
                }
                has_waited = true;
            }
        }
    }
}

async fn watch_rests(shared: Arc<Shared>) {
    loop {
        let due = Instant::now() + REST_CHECK_INTERVAL;
        Timer::at(due).await;
        let span = Instant::now().saturating_duration_since(due);
        let mut state = shared.state.lock().unwrap();
        if span > MIN_RECORDED_REST && state.rests.len() < MAX_RECORDED_RESTS {
            state.rests.push(Rest { from: due, span });
        }
    }
}

/// Relays one connection from the time it is accepted. One that was requested before a cut and not accepted
/// yet is reset.
async fn relay_connection(
    shared: &Shared, from: &str, to: &str, client: Async<TcpStream>, target: SocketAddr,
) {
    let reset_request = Arc::new(ResetRequest::default());
    let number = {
        let mut state = shared.state.lock().unwrap();
        if state.is_cut(from, to) {
            return reset_on_close(&client);
        }
        state.count += 1;
        let number = state.count;
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
        let outbound = pump(shared, from, to, &client, &server);
        let inbound = pump(shared, to, from, &server, &client);
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

async fn pump(
    shared: &Shared, from: &str, to: &str, mut reads: &Async<TcpStream>, mut writes: &Async<TcpStream>,
) -> io::Result<()> {
    let mut chunk = vec![0; CHUNK_BYTES];
    loop {
        let count = reads.read(&mut chunk).await?;
        shared.wait_to_pass(from, to, count).await;
        if count == 0 {
            let _ = writes.get_ref().shutdown(std::net::Shutdown::Write);
            return Ok(());
        }
        writes.write_all(&chunk[..count]).await?;
    }
}
