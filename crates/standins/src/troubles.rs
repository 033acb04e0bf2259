//! Faults that overlap in time, drawn from a seed. A schedule can be printed, replayed and reduced. Tests
//! store its Debug output, so the names of variants and printed fields and the order of draws must stay.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustix::io::Errno;

use crate::log_reader::LogReadMode;
use crate::preload::SystemCall;
use crate::processes::UnreadableConfig;

/// Steps of wall clocks, in milliseconds: an hour, and a little more than a second.
const CLOCK_STEPS_MS: [i64; 4] = [3_600_000, -3_600_000, 1_300, -1_300];
/// Interval between the starts of two groups of troubles, in milliseconds.
const GROUP_INTERVAL_MS: u64 = 1_600;
/// Maximum delay of discovery's answers, in milliseconds: half of the fleets' drain grace.
const MAX_DISCOVERY_DELAY_MS: u64 = 1_900;
/// How long discovery answers late, in milliseconds.
const DISCOVERY_DELAY_SPAN_MS: u64 = 9_000;
/// How long nobody reads a log or writes to a FIFO, in milliseconds.
const UNREAD_SPAN_MS: u64 = 9_000;
/// The troubles of a group begin within this time, in milliseconds.
const GROUP_SPREAD_MS: u64 = 300;

/// The behaviour of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineMode {
    Well,
    /// Answers every call with an error.
    Fails,
    /// Accepts calls and answers none.
    Hangs,
    /// Closes the connection on each call.
    Cuts,
    /// Answers with bytes that are no HTTP.
    Garbles,
}

/// The behaviour of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    Well,
    /// Answers each call after this delay, in milliseconds.
    Late(u64),
    /// Answers no call; connections stay open.
    Silent,
    /// Closes the connection on each call.
    Cuts,
}

/// The kinds of misbehaving clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MisbehavingClient {
    /// Sends half a message and stays connected.
    HalfMessage,
    /// Sends many requests at once and disconnects.
    Flood,
    /// Sends a request and closes the connection some milliseconds later.
    EarlyClose,
    /// Sends a request with a deadline of a few milliseconds.
    TinyDeadline,
    /// Sends bytes that are no message.
    Garbage,
}

/// A signal that an operator sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorSignal {
    Reload,
    Terminate,
    Interrupt,
}

/// A signal, and its delay after the previous one in milliseconds.
pub type TimedSignal = (u64, OperatorSignal);

/// A fault that a plan applies to a fleet, mostly for a span of time. Routers and engines are given by
/// number, spans in milliseconds. Tests store plans as printed by `Debug`, so the names of variants and
/// fields stay.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// Suspends the process.
    Stand { router: usize, span: u64 },
    /// Kills the process and starts it again.
    Kill { router: usize, span: u64 },
    /// Terminates the process and starts it again once it has ended.
    Restart { router: usize },
    /// Sends several reload signals in a row.
    Reload { router: usize, times: usize },
    /// Moves discovery to another address and reloads all routers.
    Move,
    /// Changes the behaviour of discovery.
    Discovery { mode: DiscoveryMode, span: u64 },
    /// Changes the behaviour of an engine.
    Engine { engine: usize, mode: EngineMode, span: u64 },
    /// Engines drain and disappear; cold ones replace them.
    Replace { engines: Vec<usize> },
    /// Makes one in `every` such system calls of the process fail.
    Calls { router: usize, call: SystemCall, every: u32, error: Errno, span: u64 },
    /// Limits each read and write of the process to at most `most` bytes.
    Short { router: usize, most: u32, span: u64 },
    /// Steps the wall clock of the process by this many milliseconds.
    Clock { router: usize, step: i64, span: u64 },
    /// Kills several routers at once and starts them again with a stepped wall clock.
    Herd { routers: Vec<usize>, step: i64, span: u64 },
    /// Cuts the network between a router and an engine.
    Cut { router: usize, engine: usize, span: u64 },
    /// Resets all connections of a router to engines.
    Reset { router: usize },
    /// Connects `count` misbehaving clients of one kind.
    Rude { router: usize, client: MisbehavingClient, count: usize },
    /// Sends several signals, at least one of which terminates the router, while clients continue to send over
    /// open connections. The process is killed at the earliest time that the protocol document allows. The
    /// span includes the delays of the signals up to the first terminating one.
    Stop { router: usize, orders: Vec<TimedSignal>, span: u64 },
    /// Opens many connections that send nothing.
    Crowd { router: usize, count: usize, span: u64 },
    /// Reads the log of the process slowly or not at all.
    Log { router: usize, reading: LogReadMode, span: u64 },
    /// Makes the configuration unreadable and reloads; later restores it and reloads again.
    Config { router: usize, what: UnreadableConfig, span: u64 },
    /// The engine drains, refuses new connections and continues its work, while clients with loads there
    /// leave; its open connections may be reset once. At the end of the span it is announced as deleted and
    /// its process ends.
    Drain { engine: usize, resets: bool, span: u64 },
    /// As [`Drain`](Self::Drain), but the port is taken over by another engine's process.
    TakenPort { engine: usize, by: usize, span: u64 },
    /// Clients leave loads that run at any engine.
    LeaveLoads,
}

impl Trouble {
    /// How long the trouble lasts in milliseconds; 0 if it happens at once.
    pub fn span(&self) -> u64 {
        match self {
            Self::Stand { span, .. }
            | Self::Kill { span, .. }
            | Self::Discovery { span, .. }
            | Self::Engine { span, .. }
            | Self::Calls { span, .. }
            | Self::Short { span, .. }
            | Self::Clock { span, .. }
            | Self::Herd { span, .. }
            | Self::Stop { span, .. }
            | Self::Crowd { span, .. }
            | Self::Log { span, .. }
            | Self::Config { span, .. }
            | Self::Drain { span, .. }
            | Self::TakenPort { span, .. }
            | Self::Cut { span, .. } => *span,
            Self::Restart { .. } => RESTART_SPAN_MS,
            _ => 0,
        }
    }

    /// How long the trouble takes to begin.
    pub fn time_to_begin(&self) -> Duration {
        match self {
            Self::Drain { resets: true, .. } => LOAD_START_TIME + RESET_DELAY,
            Self::Drain { .. } | Self::TakenPort { .. } => LOAD_START_TIME,
            _ => Duration::ZERO,
        }
    }

    /// The routers whose processes the trouble suspends, kills or terminates.
    pub fn affected_processes(&self) -> Vec<usize> {
        match self {
            Self::Stand { router, .. }
            | Self::Kill { router, .. }
            | Self::Restart { router }
            | Self::Stop { router, .. } => vec![*router],
            Self::Herd { routers, .. } => routers.clone(),
            _ => Vec::new(),
        }
    }

    /// The engines that the trouble drains.
    pub fn drained_engines(&self) -> Vec<usize> {
        match self {
            Self::Replace { engines } => engines.clone(),
            Self::Drain { engine, .. } | Self::TakenPort { engine, .. } => vec![*engine],
            _ => Vec::new(),
        }
    }

    /// A key for the state that the trouble sets for its span. `None` if overlapping troubles can't set the
    /// same state.
    pub fn state_key(&self) -> Option<String> {
        match self {
            Self::Discovery { .. } => Some("discovery".to_owned()),
            Self::Engine { engine, .. } => Some(format!("engine {engine}")),
            Self::Calls { router, call, .. } => Some(format!("{call:?} of router {router}")),
            Self::Short { router, .. } => Some(format!("transfers of router {router}")),
            Self::Clock { router, .. } => Some(format!("clock of router {router}")),
            Self::Log { router, .. } => Some(format!("log of router {router}")),
            Self::Config { router, .. } => Some(format!("configuration of router {router}")),
            _ => None,
        }
    }

    /// The name of the variant, by which skipped troubles are listed.
    pub fn kind(&self) -> String {
        let shown = format!("{self:?}");
        shown.split([' ', '{']).next().unwrap_or_default().to_owned()
    }
}

/// A terminated router has ended within this time, in milliseconds.
const RESTART_SPAN_MS: u64 = 4_500;
/// Earliest kill after a terminating signal by the protocol document, in milliseconds: the sum of the longest
/// deadline, which is at most 3 s, and 0.7 s.
pub(crate) const EARLIEST_KILL_MS: u64 = 3_700;
/// Time after its request by which a load has begun.
pub(crate) const LOAD_START_TIME: Duration = Duration::from_millis(100);
/// Time between the close of an engine's port and the reset of its open connections.
pub(crate) const RESET_DELAY: Duration = Duration::from_millis(60);
/// Range of the number of idle clients of a [`Trouble::Crowd`]: more than the fleets' routers have
/// descriptors for (a third of 512).
const CROWD_SIZES: std::ops::Range<usize> = 180..260;

/// A trouble and its start `at`, in milliseconds from the start of the plan. The names are part of the
/// printed plans.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    pub at: u64,
    pub trouble: Trouble,
}

/// All troubles of one run. The names are part of the printed plans.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub seed: u64,
    pub troubles: Vec<Timed>,
}

impl Plan {
    /// Draws groups of two or three overlapping troubles over `length` milliseconds, after a quiet time of
    /// random length.
    pub fn draw(seed: u64, routers: usize, engines: usize, length: u64) -> Self {
        let mut rng = Pcg32::seed_from_u64(seed);
        let (mut troubles, mut start) = (Vec::new(), rng.random_range(0..length / 3));
        while start < length {
            // The troubles of a group affect the same few routers.
            let mut group_routers: Vec<usize> = (0..routers).collect();
            group_routers.shuffle(&mut rng);
            group_routers.truncate(2);
            for _ in 0..rng.random_range(2..=3) {
                let at = start + rng.random_range(0..GROUP_SPREAD_MS);
                let router = group_routers[rng.random_range(0..group_routers.len())];
                let trouble = draw_trouble(&mut rng, router, routers, engines);
                // A trouble that hides changes of the engine list, or makes routers misjudge them, is
                // combined with such a change.
                if matches!(trouble, Trouble::Discovery { .. } | Trouble::Herd { .. }) {
                    let replace = Trouble::Replace { engines: vec![rng.random_range(0..engines)] };
                    troubles.push(Timed { at: at + rng.random_range(0..GROUP_SPREAD_MS), trouble: replace });
                }
                troubles.push(Timed { at, trouble });
            }
            start += GROUP_INTERVAL_MS;
        }
        if seed >= FIRST_SEED_WITH_ADDED_TROUBLES {
            troubles.extend(draw_added_troubles(&mut rng, routers, engines, length));
        }
        troubles.sort_by_key(|timed| timed.at);
        Self { seed, troubles }
    }

    /// Tries to remove each trouble, and keeps it only if the plan no longer fails without it.
    pub fn shrink(&self, mut fails: impl FnMut(&Self) -> bool) -> Self {
        let mut smallest = self.clone();
        for index in (0..smallest.troubles.len()).rev() {
            let mut candidate = smallest.clone();
            candidate.troubles.remove(index);
            if fails(&candidate) {
                smallest = candidate;
            }
        }
        smallest
    }
}

/// From this seed on, plans draw additional troubles after all others, so that the schedules of earlier seeds
/// stay the same.
pub const FIRST_SEED_WITH_ADDED_TROUBLES: u64 = 100_000;
/// Maximum time for which accepts fail, in milliseconds.
const MAX_FAILING_ACCEPTS_MS: u64 = 4_000;

/// Draws a port taken over by another engine's process, loads whose clients leave just before an engine
/// fails, and accepts that fail for seconds.
fn draw_added_troubles(rng: &mut Pcg32, routers: usize, engines: usize, length: u64) -> Vec<Timed> {
    let mut at = || rng.random_range(0..length);
    let (taken, left, accepts) = (at(), at(), at());
    let engine = rng.random_range(0..engines);
    let by = (engine + rng.random_range(1..engines)) % engines;
    let span = rng.random_range(2_000..5_000);
    let fails = Trouble::Engine {
        engine: rng.random_range(0..engines),
        mode: EngineMode::Fails,
        span: rng.random_range(1_000..4_000),
    };
    let error = if rng.random() { Errno::INTR } else { Errno::NFILE };
    let span_of_accepts = rng.random_range(MAX_FAILING_ACCEPTS_MS / 2..MAX_FAILING_ACCEPTS_MS);
    let router = rng.random_range(0..routers);
    let accept = SystemCall::Accept;
    let failing = Trouble::Calls { router, call: accept, every: 1, error, span: span_of_accepts };
    let loads_begin = LOAD_START_TIME.as_millis() as u64;
    vec![
        Timed { at: taken, trouble: Trouble::TakenPort { engine, by, span } },
        Timed { at: left, trouble: Trouble::LeaveLoads },
        Timed { at: left + loads_begin, trouble: fails },
        Timed { at: accepts, trouble: failing },
    ]
}

/// Number of equally likely draws. A draw without an arm of its own gives a misbehaving client.
const DRAW_COUNT: u32 = 24;

fn draw_trouble(rng: &mut Pcg32, router: usize, routers: usize, engines: usize) -> Trouble {
    let (engine, span) = (rng.random_range(0..engines), rng.random_range(300..1_500));
    match rng.random_range(0..DRAW_COUNT) {
        0 => Trouble::Stand { router, span },
        1 => Trouble::Kill { router, span: span / 4 },
        2 => Trouble::Restart { router },
        3 => Trouble::Reload { router, times: rng.random_range(2..12) },
        4 => Trouble::Move,
        5 => {
            // Discovery answers late for longer than the drain grace, so that a router always learns of a
            // change in that time from a late answer.
            match rng.random_range(0..4) {
                0 => Trouble::Discovery { mode: DiscoveryMode::Silent, span },
                1 => Trouble::Discovery { mode: DiscoveryMode::Cuts, span },
                _ => {
                    let delay_ms = rng.random_range(MAX_DISCOVERY_DELAY_MS / 3..MAX_DISCOVERY_DELAY_MS);
                    Trouble::Discovery { mode: DiscoveryMode::Late(delay_ms), span: DISCOVERY_DELAY_SPAN_MS }
                }
            }
        }
        6 | 7 => {
            let modes = [EngineMode::Fails, EngineMode::Hangs, EngineMode::Cuts, EngineMode::Garbles];
            Trouble::Engine { engine, mode: modes[rng.random_range(0..modes.len())], span: span * 2 }
        }
        8 => Trouble::Replace { engines: vec![engine] },
        9 => {
            let calls = [SystemCall::Read, SystemCall::Peek, SystemCall::Send, SystemCall::Write];
            let call = calls[rng.random_range(0..calls.len())];
            Trouble::Calls { router, call, every: rng.random_range(2..20), error: Errno::INTR, span }
        }
        10 => {
            let errors = [Errno::CONNABORTED, Errno::NFILE, Errno::NOBUFS, Errno::INTR];
            let error = errors[rng.random_range(0..errors.len())];
            Trouble::Calls { router, call: SystemCall::Accept, every: 1, error, span: span / 4 }
        }
        11 => Trouble::Short { router, most: rng.random_range(1..40), span },
        12 => Trouble::Clock {
            router,
            step: CLOCK_STEPS_MS[rng.random_range(0..CLOCK_STEPS_MS.len())],
            span: span * 4,
        },
        14 => {
            let mut routers: Vec<usize> = (0..routers).collect();
            routers.shuffle(rng);
            routers.truncate(routers.len() * 3 / 4);
            Trouble::Herd {
                routers,
                step: CLOCK_STEPS_MS[rng.random_range(0..CLOCK_STEPS_MS.len())],
                span: span / 4,
            }
        }
        15 | 16 => draw_stop(rng, router),
        17 => Trouble::Crowd { router, count: rng.random_range(CROWD_SIZES), span: span * 2 },
        18 => {
            // The log stays unread for longer than callers wait, as there is no visible effect before.
            if rng.random() {
                Trouble::Log { router, reading: LogReadMode::NotAtAll, span: UNREAD_SPAN_MS }
            } else {
                Trouble::Log { router, reading: LogReadMode::Slowly, span: span * 4 }
            }
        }
        19 => {
            // The FIFO stays for longer than callers wait, as there is no visible effect before.
            if rng.random() {
                Trouble::Config { router, what: UnreadableConfig::Fifo, span: UNREAD_SPAN_MS }
            } else {
                Trouble::Config { router, what: UnreadableConfig::Garbage, span }
            }
        }
        20 | 21 => Trouble::Drain { engine, resets: rng.random(), span: span * 3 },
        22 => draw_failing_connects(rng, router, span),
        13 if rng.random() => Trouble::Cut { router, engine, span },
        13 => Trouble::Reset { router },
        _ => {
            let clients = [
                MisbehavingClient::HalfMessage,
                MisbehavingClient::Flood,
                MisbehavingClient::EarlyClose,
                MisbehavingClient::TinyDeadline,
                MisbehavingClient::Garbage,
            ];
            let client = clients[rng.random_range(0..clients.len())];
            Trouble::Rude { router, client, count: rng.random_range(3..12) }
        }
    }
}

/// Draws one terminating signal, with up to two reloads before it and up to two signals of any kind after it.
fn draw_stop(rng: &mut Pcg32, router: usize) -> Trouble {
    let signals = [OperatorSignal::Reload, OperatorSignal::Terminate, OperatorSignal::Interrupt];
    let mut orders = Vec::new();
    let mut until_first_termination = 0;
    for _ in 0..rng.random_range(0..=2) {
        let gap = rng.random_range(0..200);
        until_first_termination += gap;
        orders.push((gap, OperatorSignal::Reload));
    }
    let gap = rng.random_range(0..200);
    orders.push((gap, if rng.random() { OperatorSignal::Terminate } else { OperatorSignal::Interrupt }));
    for _ in 0..rng.random_range(0..=2) {
        orders.push((rng.random_range(0..900), signals[rng.random_range(0..signals.len())]));
    }
    Trouble::Stop { router, orders, span: until_first_termination + gap + EARLIEST_KILL_MS }
}

/// Draws failures of the calls that establish connections.
fn draw_failing_connects(rng: &mut Pcg32, router: usize, span: u64) -> Trouble {
    let connect_errors = [Errno::ADDRNOTAVAIL, Errno::AGAIN, Errno::NETUNREACH, Errno::TIMEDOUT];
    let socket_errors = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    let (call, errors) = match rng.random_range(0..3) {
        0 => (SystemCall::Connect, &connect_errors[..]),
        1 => (SystemCall::Socket, &socket_errors[..]),
        _ => (SystemCall::Poll, &[Errno::INTR, Errno::NOMEM][..]),
    };
    let error = errors[rng.random_range(0..errors.len())];
    // Not every call fails: a poll that is always interrupted would be repeated forever.
    let every = rng.random_range(2..6);
    Trouble::Calls { router, call, every, error, span: span / 2 }
}
