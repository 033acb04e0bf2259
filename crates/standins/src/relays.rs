//! A network of relays on loopback: everything between two parties of a story passes one, and the story says what becomes
//! of it. Connections and datagrams alike; by pair, by zone, by region, one way or both.

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

/// Bytes that are passed on at a time.
const PIECE: usize = 8 * 1024;
/// The relays look so often whether their thread runs, and tell of a rest that is longer.
const BEAT: Duration = Duration::from_millis(10);
const LONG_REST: Duration = Duration::from_millis(50);
/// Rests that are told at the most.
const MOST_RESTS: usize = 200;
/// Own connections that fill a listener's queue during a cut.
const FILLERS: usize = 4;
const QUEUE: i32 = 1024;

/// Whom something befalls.
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

/// What becomes of what goes one way.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Way {
    /// Nothing passes, and nobody is told: bytes wait for the end of the cut, datagrams are lost, connections don't come up.
    pub cut: bool,
    /// Least and most delay in milliseconds, drawn evenly; bytes keep their order, datagrams don't.
    pub delay: (u64, u64),
    /// Shares of datagrams, from 0 to 1.
    pub loss: f64,
    pub twice: f64,
    /// The slowest part of the way, for bytes.
    pub bytes_per_s: Option<u64>,
}

impl Way {
    pub const CUT: Way = Way { cut: true, delay: (0, 0), loss: 0.0, twice: 0.0, bytes_per_s: None };
}

/// A time in which the relays' thread did not run, so that nothing passed.
#[derive(Clone, Copy, Debug)]
pub struct Rest {
    pub from: Instant,
    pub span: Duration,
}

struct Place {
    zone: String,
    region: String,
}

/// A way through for connections.
struct Passage {
    from: String,
    to: String,
    listener: Arc<Async<TcpListener>>,
    /// Where new connections lead.
    target: Arc<Mutex<SocketAddr>>,
    /// Whether its relay takes connections in, which it leaves off soon after a cut is laid.
    accepts: Arc<AtomicBool>,
    /// Whether it refuses connections for good.
    refuses: Arc<AtomicBool>,
    /// Own connections that keep others' from coming up; emptied as the cut ends.
    fillers: Vec<Socket>,
}

impl Passage {
    fn block(&mut self, cut: bool, spent: &mut BTreeSet<(u16, u16)>) {
        if cut != self.fillers.is_empty() || self.refuses.load(Ordering::SeqCst) {
            return;
        }
        let listener = SockRef::from(self.listener.get_ref());
        let _ = listener.listen(if cut { 0 } else { QUEUE });
        self.fillers.clear();
        let Some(at) = self.listener.get_ref().local_addr().ok().filter(|_| cut) else { return };
        for _ in 0..FILLERS {
            let Ok(filler) = Socket::new(Domain::IPV4, Type::STREAM, None) else { continue };
            let _ = filler.set_nonblocking(true);
            let _ = filler.connect(&at.into());
            let own = filler.local_addr().ok().and_then(|own| own.as_socket());
            spent.extend(own.map(|own| (at.port(), own.port())));
            self.fillers.push(filler);
        }
    }
}

struct Inner {
    places: BTreeMap<String, Place>,
    /// The latest that fits counts.
    laid: Vec<(EndpointSet, EndpointSet, Way)>,
    /// Whether anything was ever laid.
    held_up: bool,
    chance: Pcg32,
    passages: Vec<Passage>,
    rests: Vec<Rest>,
    /// Listener's and own connection's ports; each goes as its connection is taken in, a few a cut stay for good.
    spent: BTreeSet<(u16, u16)>,
    /// Connections that are up, each with its end; emptied as they end.
    up: BTreeMap<u64, (String, String, Arc<Broken>)>,
    count: u64,
    /// By name: the address that others know, and the one behind it.
    mail: BTreeMap<String, (Arc<Async<UdpSocket>>, SocketAddr)>,
}

#[derive(Default)]
struct Broken {
    is: AtomicBool,
    told: Event,
}

struct Shared {
    inner: Mutex<Inner>,
    changed: Event,
}

/// The network. Its relays end with it.
pub struct Relays {
    shared: Arc<Shared>,
    executor: Arc<Executor<'static>>,
    _over: async_channel::Sender<()>,
}

impl Relays {
    pub fn new(seed: u64) -> Self {
        let inner = Inner {
            places: BTreeMap::new(),
            laid: Vec::new(),
            held_up: false,
            chance: Pcg32::seed_from_u64(seed),
            passages: Vec::new(),
            rests: Vec::new(),
            spent: BTreeSet::new(),
            up: BTreeMap::new(),
            count: 0,
            mail: BTreeMap::new(),
        };
        let executor = Arc::new(Executor::new());
        let (over, ended) = async_channel::bounded::<()>(1);
        let runs = executor.clone();
        thread::spawn(move || async_io::block_on(runs.run(ended.recv())));
        let shared = Arc::new(Shared { inner: Mutex::new(inner), changed: Event::new() });
        executor.spawn(watch_rests(shared.clone())).detach();
        Self { shared, executor, _over: over }
    }

    /// Names a party and where it stands.
    pub fn add_party(&self, name: &str, zone: &str, region: &str) {
        let place = Place { zone: zone.to_owned(), region: region.to_owned() };
        self.shared.inner.lock().unwrap().places.insert(name.to_owned(), place);
    }

    /// An address at which `from` reaches `to`, which listens at `target`.
    pub fn relay_address(&self, from: &str, to: &str, target: SocketAddr) -> SocketAddr {
        let listener = Arc::new(Async::new(ports::listener()).expect("a listener"));
        let address = listener.get_ref().local_addr().expect("an address");
        let (accepts, refuses) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        let target = Arc::new(Mutex::new(target));
        let passage = Passage {
            from: from.into(),
            to: to.into(),
            listener: listener.clone(),
            target: target.clone(),
            accepts: accepts.clone(),
            refuses: refuses.clone(),
            fillers: Vec::new(),
        };
        self.shared.inner.lock().unwrap().passages.push(passage);
        self.shared.block_ways();
        let (shared, weak) = (self.shared.clone(), Arc::downgrade(&self.executor));
        let (from, to) = (from.to_owned(), to.to_owned());
        let takes_in = async move {
            loop {
                let changed = shared.changed.listen();
                if refuses.load(Ordering::SeqCst) {
                    accepts.store(false, Ordering::SeqCst);
                    return;
                }
                let open = !shared.inner.lock().unwrap().is_cut(&from, &to);
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
                if shared.inner.lock().unwrap().is_filler(address, peer) {
                    continue;
                }
                let Some(executor) = weak.upgrade() else { return };
                let (shared, from, to) = (shared.clone(), from.clone(), to.clone());
                let target = *target.lock().unwrap();
                executor.spawn(async move { carry(&shared, &from, &to, stream, target).await }).detach();
            }
        };
        self.executor.spawn(takes_in).detach();
        address
    }

    /// The address under which others know a party that receives datagrams at `own`. What it sends comes to them from that
    /// address too, so that proofs of addresses hold.
    pub fn datagram_relay_address(&self, name: &str, own: SocketAddr) -> SocketAddr {
        let socket = Async::<UdpSocket>::bind(([127, 0, 0, 1], 0)).expect("an address");
        let address = socket.get_ref().local_addr().expect("an address");
        let socket = Arc::new(socket);
        self.shared.inner.lock().unwrap().mail.insert(name.to_owned(), (socket.clone(), own));
        let (shared, name, weak) = (self.shared.clone(), name.to_owned(), Arc::downgrade(&self.executor));
        let receives = async move {
            let mut bytes = [0; 2048];
            while let Ok((length, sender)) = socket.recv_from(&mut bytes).await {
                let Some(executor) = weak.upgrade() else { return };
                for (after, socket, to) in shared.inner.lock().unwrap().deliveries(sender, &name) {
                    let bytes = bytes[..length].to_vec();
                    let delivered = async move {
                        Timer::after(after).await;
                        let _ = socket.send_to(&bytes, to).await;
                    };
                    executor.spawn(delivered).detach();
                }
            }
        };
        self.executor.spawn(receives).detach();
        address
    }

    /// What goes from one side to the other goes so from now on; all of it begins at once, and the last that fits counts.
    pub fn set_ways(&self, ways: impl IntoIterator<Item = (EndpointSet, EndpointSet, Way)>) {
        let mut inner = self.shared.inner.lock().unwrap();
        inner.laid.extend(ways);
        inner.held_up = true;
        drop(inner);
        self.shared.block_ways();
    }

    /// Whether anything went otherwise than at the start at any time, so that bytes may have come later than they were sent.
    pub fn ever_had_ways(&self) -> bool {
        self.shared.inner.lock().unwrap().held_up
    }

    /// What was laid so goes as before that.
    pub fn remove_ways(&self, ways: impl IntoIterator<Item = (EndpointSet, EndpointSet, Way)>) {
        let mut inner = self.shared.inner.lock().unwrap();
        for way in ways {
            if let Some(place) = inner.laid.iter().rposition(|laid| *laid == way) {
                inner.laid.remove(place);
            }
        }
        drop(inner);
        self.shared.block_ways();
    }

    /// All goes as at the start.
    pub fn heal(&self) {
        self.shared.inner.lock().unwrap().laid.clear();
        self.shared.block_ways();
    }

    /// From now on nothing takes connections to this party in: they are refused. Those that are up go on.
    pub fn refuse_connections(&self, party: &str) {
        let mut inner = self.shared.inner.lock().unwrap();
        for passage in inner.passages.iter_mut().filter(|passage| passage.to == party) {
            passage.refuses.store(true, Ordering::SeqCst);
            let _ = SockRef::from(passage.listener.get_ref()).shutdown(std::net::Shutdown::Both);
        }
        drop(inner);
        self.shared.changed.notify(usize::MAX);
    }

    /// From now on connections to this party lead to another process at its port. Those that are up go on.
    pub fn redirect(&self, party: &str, target: SocketAddr) {
        let inner = self.shared.inner.lock().unwrap();
        for passage in inner.passages.iter().filter(|passage| passage.to == party) {
            *passage.target.lock().unwrap() = target;
        }
    }

    /// The relays' thread does not run for so long.
    pub fn block_thread(&self, span: Duration) {
        self.executor.spawn(async move { thread::sleep(span) }).detach();
    }

    /// When the relays' thread did not run for long, as on a machine that is busy with other work: what passed then came later than it was
    /// sent.
    pub fn rests(&self) -> Vec<Rest> {
        self.shared.inner.lock().unwrap().rests.clone()
    }

    /// Resets the connections that are up from one side to the other; how many.
    pub fn reset(&self, from: &EndpointSet, to: &EndpointSet) -> usize {
        let inner = self.shared.inner.lock().unwrap();
        let hit = inner.up.values().filter(|(a, b, _)| inner.is_of(a, from) && inner.is_of(b, to));
        hit.map(|(.., broken)| {
            broken.is.store(true, Ordering::Relaxed);
            broken.told.notify(usize::MAX);
        })
        .count()
    }
}

impl Inner {
    fn is_of(&self, name: &str, side: &EndpointSet) -> bool {
        let place = self.places.get(name);
        match side {
            EndpointSet::All => true,
            EndpointSet::Party(party) => party == name,
            EndpointSet::Zone(zone) => place.is_some_and(|place| place.zone == *zone),
            EndpointSet::Region(region) => place.is_some_and(|place| place.region == *region),
        }
    }

    fn way(&self, from: &str, to: &str) -> Way {
        let fits = |(a, b, _): &&(EndpointSet, EndpointSet, Way)| self.is_of(from, a) && self.is_of(to, b);
        self.laid.iter().rev().find(fits).map(|(.., way)| *way).unwrap_or_default()
    }

    fn delay(&mut self, way: &Way) -> Duration {
        let (least, most) = way.delay;
        let drawn = least as f64 + most.saturating_sub(least) as f64 * self.chance.random::<f64>();
        Duration::from_secs_f64(drawn / 1e3)
    }

    fn is_cut(&self, from: &str, to: &str) -> bool {
        self.way(from, to).cut || self.way(to, from).cut
    }

    /// Whether a connection is one of the network's own. Those that stood in a queue at the end of a cut come then.
    fn is_filler(&mut self, at: SocketAddr, peer: SocketAddr) -> bool {
        self.spent.remove(&(at.port(), peer.port()))
    }

    /// What becomes of a datagram to a party: when it goes on, from which socket and where to, for each copy.
    fn deliveries(
        &mut self, sender: SocketAddr, to: &str,
    ) -> Vec<(Duration, Arc<Async<UdpSocket>>, SocketAddr)> {
        let from = self.mail.iter().find(|(_, (_, own))| *own == sender).map(|(name, _)| name.clone());
        let Some(from) = from else { return Vec::new() };
        let way = self.way(&from, to);
        if way.cut || self.chance.random_bool(way.loss) {
            return Vec::new();
        }
        let copies = 1 + usize::from(self.chance.random_bool(way.twice));
        let (socket, own) = (self.mail[&from].0.clone(), self.mail[to].1);
        (0..copies).map(|_| (self.delay(&way), socket.clone(), own)).collect()
    }
}

impl Shared {
    /// Connections across a cut don't come up: once its relay takes none in, the queue of its listener is made short and
    /// filled, so that the system drops what asks for more, as where nothing is heard of the other end.
    fn block_ways(&self) {
        self.changed.notify(usize::MAX);
        let by = Instant::now() + Duration::from_secs(5);
        loop {
            let mut inner = self.inner.lock().unwrap();
            let cuts: Vec<bool> = inner.passages.iter().map(|p| inner.is_cut(&p.from, &p.to)).collect();
            let still = |(passage, cut): (&Passage, &bool)| *cut && passage.accepts.load(Ordering::SeqCst);
            if inner.passages.iter().zip(&cuts).any(still) && Instant::now() < by {
                drop(inner);
                thread::sleep(Duration::from_millis(1));
                continue;
            }
            let Inner { passages, spent, .. } = &mut *inner;
            for (passage, cut) in passages.iter_mut().zip(cuts) {
                passage.block(cut, spent);
            }
            break;
        }
        self.changed.notify(usize::MAX);
    }

    /// Until so many bytes have gone one way.
    async fn passes(&self, from: &str, to: &str, bytes: usize) {
        let mut under_way = false;
        loop {
            let changed = self.changed.listen();
            let (way, delay) = {
                let mut inner = self.inner.lock().unwrap();
                let way = inner.way(from, to);
                (way, inner.delay(&way))
            };
            if way.cut {
                changed.await;
                under_way = false;
            } else if under_way {
                return;
            } else {
                let slow = way.bytes_per_s.map_or(0.0, |rate| bytes as f64 / rate.max(1) as f64);
                let wait = delay + Duration::from_secs_f64(slow);
                if !wait.is_zero() {
                    Timer::after(wait).await;
                }
                under_way = true;
            }
        }
    }
}

async fn watch_rests(shared: Arc<Shared>) {
    loop {
        let due = Instant::now() + BEAT;
        Timer::at(due).await;
        let span = Instant::now().saturating_duration_since(due);
        let mut inner = shared.inner.lock().unwrap();
        if span > LONG_REST && inner.rests.len() < MOST_RESTS {
            inner.rests.push(Rest { from: due, span });
        }
    }
}

/// One connection, from the time it comes up. One that was asked for before a cut and not yet taken in comes to nothing.
async fn carry(shared: &Shared, from: &str, to: &str, client: Async<TcpStream>, target: SocketAddr) {
    let broken = Arc::new(Broken::default());
    let number = {
        let mut inner = shared.inner.lock().unwrap();
        if inner.is_cut(from, to) {
            return end(&client);
        }
        inner.count += 1;
        let number = inner.count;
        inner.up.insert(number, (from.to_owned(), to.to_owned(), broken.clone()));
        number
    };
    let connected = async {
        shared.passes(from, to, 0).await;
        Async::<TcpStream>::connect(target).await
    };
    let reset = async {
        while !broken.is.load(Ordering::Relaxed) {
            let told = broken.told.listen();
            if broken.is.load(Ordering::Relaxed) {
                break;
            }
            told.await;
        }
        Err(io::ErrorKind::ConnectionReset.into())
    };
    let carried = async {
        let server = connected.await?;
        let _ = (client.get_ref().set_nodelay(true), server.get_ref().set_nodelay(true));
        let there = pump(shared, from, to, &client, &server);
        let back = pump(shared, to, from, &server, &client);
        let ended = futures_lite::future::try_zip(there, back).await;
        if ended.is_err() {
            end(&server);
        }
        ended.map(|_| ())
    };
    let ended: io::Result<()> = reset.or(carried).await;
    if ended.is_err() {
        end(&client);
    }
    shared.inner.lock().unwrap().up.remove(&number);
}

/// A reset in place of an orderly close.
fn end(stream: &Async<TcpStream>) {
    let _ = SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO));
}

async fn pump(
    shared: &Shared, from: &str, to: &str, mut reads: &Async<TcpStream>, mut writes: &Async<TcpStream>,
) -> io::Result<()> {
    let mut piece = vec![0; PIECE];
    loop {
        let count = reads.read(&mut piece).await?;
        shared.passes(from, to, count).await;
        if count == 0 {
            let _ = writes.get_ref().shutdown(std::net::Shutdown::Write);
            return Ok(());
        }
        writes.write_all(&piece[..count]).await?;
    }
}
