//! Troubles that overlap in time: data from a seed that can be printed, played again and made smaller.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg32;
use rustix::io::Errno;

use crate::log_reader::Reading;
use crate::preload::SystemCall;
use crate::processes::Unreadable;

/// Hours and seconds by which wall clocks step, in milliseconds.
const STEPS: [i64; 4] = [3_600_000, -3_600_000, 1_300, -1_300];
/// Groups of troubles begin so far apart, in milliseconds.
const GROUPS_APART: u64 = 1_600;
/// Discovery answers so late at the most, in milliseconds: half of the grace of the rig's fleets.
const MOST_LATE: u64 = 1_900;
/// And for so long, in milliseconds.
const LONG_LATE: u64 = 9_000;
/// Nobody reads a log, or writes to a FIFO, for so long, in milliseconds.
const LONG_UNREAD: u64 = 9_000;
/// Troubles of a group begin within this, in milliseconds.
const WITHIN_GROUP: u64 = 300;

/// How an engine misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineMode {
    Well,
    /// Answers every call with an error.
    Fails,
    /// Takes calls and answers none.
    Hangs,
    /// Ends the connection under each call.
    Cuts,
    /// Answers bytes that make no sense.
    Garbles,
}

/// How discovery misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryMode {
    Well,
    /// Answers each call so many milliseconds late.
    Late(u64),
    /// Answers no call; connections stay up.
    Silent,
    /// Ends the connection under each call.
    Cuts,
}

/// How a client misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RudeClient {
    /// Begins a message and rests.
    HalfMessage,
    /// Sends many requests at once and goes.
    Flood,
    /// Asks and closes some milliseconds later.
    EarlyClose,
    /// Gives a request a few milliseconds.
    TinyDeadline,
    /// Sends bytes that are no message.
    Garbage,
}

/// A signal of the operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    Reload,
    Terminate,
    Interrupt,
}

/// A signal, so many milliseconds behind the one before.
pub type TimedOrder = (u64, Order);

/// One trouble. Routers and engines are told by number, spans in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub enum Trouble {
    /// The process stands still.
    Stand {
        router: usize,
        span: u64,
    },
    /// The process is killed, and started again.
    Kill {
        router: usize,
        span: u64,
    },
    /// The process is told to end, and started again once it has.
    Restart {
        router: usize,
    },
    /// Reloads in a row.
    Reload {
        router: usize,
        times: usize,
    },
    /// Discovery moves to another address, with a reload of all.
    Move,
    Discovery {
        mode: DiscoveryMode,
        span: u64,
    },
    Engine {
        engine: usize,
        mode: EngineMode,
        span: u64,
    },
    /// Engines drain and go, and cold ones come in their places.
    Replace {
        engines: Vec<usize>,
    },
    /// System calls of the process fail.
    Calls {
        router: usize,
        call: SystemCall,
        every: u32,
        error: Errno,
        span: u64,
    },
    /// Reads and writes of the process pass on few bytes at a time.
    Short {
        router: usize,
        most: u32,
        span: u64,
    },
    /// The wall clock of the process shows another time.
    Clock {
        router: usize,
        step: i64,
        span: u64,
    },
    /// Routers are killed at once, and started again by a wall clock that shows another time.
    Herd {
        routers: Vec<usize>,
        step: i64,
        span: u64,
    },
    /// Nothing goes between a router and an engine.
    Cut {
        router: usize,
        engine: usize,
        span: u64,
    },
    /// All connections of a router to engines are reset.
    Reset {
        router: usize,
    },
    Rude {
        router: usize,
        client: RudeClient,
        count: usize,
    },
    /// Signals in a row, one to end among them, while clients go on over open connections until the process is killed, at the page's
    /// earliest. The span is the time until then, from the first signal to end on.
    Stop {
        router: usize,
        orders: Vec<TimedOrder>,
        span: u64,
    },
    /// So many clients connect and say nothing.
    Crowd {
        router: usize,
        count: usize,
        span: u64,
    },
    /// The log of the process is not read, or slowly.
    Log {
        router: usize,
        reading: Reading,
        span: u64,
    },
    /// The configuration can't be read, with a reload; then it can, with another.
    Config {
        router: usize,
        what: Unreadable,
        span: u64,
    },
    /// The engine drains, refuses connections and works on, while clients leave whose loads run there; what is up there may be reset once. In
    /// the end it is told gone and dies.
    Drain {
        engine: usize,
        resets: bool,
        span: u64,
    },
    /// As [`Drain`](Self::Drain), but another engine's process has the port behind that.
    TakenPort {
        engine: usize,
        by: usize,
        span: u64,
    },
    /// Clients leave loads that run at any engine.
    LeaveLoads,
}

impl Trouble {
    /// How long it lasts; what is done at once lasts no time.
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
            Self::Restart { .. } => RESTART,
            _ => 0,
        }
    }

    /// How long it takes to begin.
    pub fn beginning(&self) -> Duration {
        match self {
            Self::Drain { resets: true, .. } => LOADS_BEGIN + BEFORE_RESET,
            Self::Drain { .. } | Self::TakenPort { .. } => LOADS_BEGIN,
            _ => Duration::ZERO,
        }
    }

    /// The routers whose processes are stopped, killed or ended by it.
    pub fn processes(&self) -> Vec<usize> {
        match self {
            Self::Stand { router, .. }
            | Self::Kill { router, .. }
            | Self::Restart { router }
            | Self::Stop { router, .. } => vec![*router],
            Self::Herd { routers, .. } => routers.clone(),
            _ => Vec::new(),
        }
    }

    /// The engines that are told to drain by it.
    pub fn drains(&self) -> Vec<usize> {
        match self {
            Self::Replace { engines } => engines.clone(),
            Self::Drain { engine, .. } | Self::TakenPort { engine, .. } => vec![*engine],
            _ => Vec::new(),
        }
    }

    /// What it sets for its span, where others may set the same meanwhile.
    pub fn setting(&self) -> Option<String> {
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

    /// Its kind, for the count of troubles that never happened.
    pub fn kind(&self) -> String {
        let shown = format!("{self:?}");
        shown.split([' ', '{']).next().unwrap_or_default().to_owned()
    }
}

/// A router that is told to end has ended by then, in milliseconds.
const RESTART: u64 = 4_500;
/// The page's earliest kill behind a signal to end, in milliseconds: the longest deadline, 3 s at most, and 0.7 s.
pub(crate) const EARLIEST_KILL: u64 = 3_700;
/// Loads have begun by so long behind their requests.
pub(crate) const LOADS_BEGIN: Duration = Duration::from_millis(100);
/// Between an engine's port that closes and the reset of what is up there.
pub(crate) const BEFORE_RESET: Duration = Duration::from_millis(60);
/// Idle clients of a crowd: more than the rig's routers have descriptors for (a third of 512).
const CROWD: std::ops::Range<usize> = 180..260;

/// A trouble and when it begins, in milliseconds from the start.
#[derive(Clone, Debug, PartialEq)]
pub struct Timed {
    pub at: u64,
    pub trouble: Trouble,
}

/// What happens in one play.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    pub seed: u64,
    pub troubles: Vec<Timed>,
}

impl Plan {
    /// Groups of two or three troubles that overlap, for so many milliseconds, behind a quiet time of any length.
    pub fn draw(seed: u64, routers: usize, engines: usize, length: u64) -> Self {
        let mut chance = Pcg32::seed_from_u64(seed);
        let (mut troubles, mut start) = (Vec::new(), chance.random_range(0..length / 3));
        while start < length {
            // Troubles of one group meet at the same few routers.
            let mut at_hand: Vec<usize> = (0..routers).collect();
            at_hand.shuffle(&mut chance);
            at_hand.truncate(2);
            for _ in 0..chance.random_range(2..=3) {
                let at = start + chance.random_range(0..WITHIN_GROUP);
                let router = at_hand[chance.random_range(0..at_hand.len())];
                let trouble = draw_one(&mut chance, router, routers, engines);
                // What hides or misjudges a change of the list meets one.
                if matches!(trouble, Trouble::Discovery { .. } | Trouble::Herd { .. }) {
                    let replace = Trouble::Replace { engines: vec![chance.random_range(0..engines)] };
                    troubles.push(Timed { at: at + chance.random_range(0..WITHIN_GROUP), trouble: replace });
                }
                troubles.push(Timed { at, trouble });
            }
            start += GROUPS_APART;
        }
        if seed >= LATER_TROUBLES_FROM {
            troubles.extend(draw_later(&mut chance, routers, engines, length));
        }
        troubles.sort_by_key(|timed| timed.at);
        Self { seed, troubles }
    }

    /// What is left when one trouble after another is taken out, as long as the play goes on failing.
    pub fn shrink(&self, mut fails: impl FnMut(&Self) -> bool) -> Self {
        let mut least = self.clone();
        for place in (0..least.troubles.len()).rev() {
            let mut fewer = least.clone();
            fewer.troubles.remove(place);
            if fails(&fewer) {
                least = fewer;
            }
        }
        least
    }
}

/// Seeds from here on draw further troubles behind all others, so that the schedules of earlier seeds stay as they are.
pub const LATER_TROUBLES_FROM: u64 = 100_000;
/// How long accepts fail at the most, in milliseconds.
const LONG_FAILING_ACCEPTS: u64 = 4_000;

/// A port that another engine's process takes, loads that are left at an engine that fails soon after, and accepts that fail for seconds.
fn draw_later(chance: &mut Pcg32, routers: usize, engines: usize, length: u64) -> Vec<Timed> {
    let mut at = || chance.random_range(0..length);
    let (taken, left, accepts) = (at(), at(), at());
    let engine = chance.random_range(0..engines);
    let by = (engine + chance.random_range(1..engines)) % engines;
    let span = chance.random_range(2_000..5_000);
    let fails = Trouble::Engine {
        engine: chance.random_range(0..engines),
        mode: EngineMode::Fails,
        span: chance.random_range(1_000..4_000),
    };
    let error = if chance.random() { Errno::INTR } else { Errno::NFILE };
    let span_of_accepts = chance.random_range(LONG_FAILING_ACCEPTS / 2..LONG_FAILING_ACCEPTS);
    let router = chance.random_range(0..routers);
    let accept = SystemCall::Accept;
    let failing = Trouble::Calls { router, call: accept, every: 1, error, span: span_of_accepts };
    let loads_begin = LOADS_BEGIN.as_millis() as u64;
    vec![
        Timed { at: taken, trouble: Trouble::TakenPort { engine, by, span } },
        Timed { at: left, trouble: Trouble::LeaveLoads },
        Timed { at: left + loads_begin, trouble: fails },
        Timed { at: accepts, trouble: failing },
    ]
}

/// What may be drawn; clients that misbehave are drawn for all that has no number of its own.
const DRAWS: u32 = 24;

fn draw_one(chance: &mut Pcg32, router: usize, routers: usize, engines: usize) -> Trouble {
    let (engine, span) = (chance.random_range(0..engines), chance.random_range(300..1_500));
    match chance.random_range(0..DRAWS) {
        0 => Trouble::Stand { router, span },
        1 => Trouble::Kill { router, span: span / 4 },
        2 => Trouble::Restart { router },
        3 => Trouble::Reload { router, times: chance.random_range(2..12) },
        4 => Trouble::Move,
        5 => {
            // Late for longer than the grace, so that a change can't be heard behind it.
            match chance.random_range(0..4) {
                0 => Trouble::Discovery { mode: DiscoveryMode::Silent, span },
                1 => Trouble::Discovery { mode: DiscoveryMode::Cuts, span },
                _ => {
                    let late = chance.random_range(MOST_LATE / 3..MOST_LATE);
                    Trouble::Discovery { mode: DiscoveryMode::Late(late), span: LONG_LATE }
                }
            }
        }
        6 | 7 => {
            let modes = [EngineMode::Fails, EngineMode::Hangs, EngineMode::Cuts, EngineMode::Garbles];
            Trouble::Engine { engine, mode: modes[chance.random_range(0..modes.len())], span: span * 2 }
        }
        8 => Trouble::Replace { engines: vec![engine] },
        9 => {
            let calls = [SystemCall::Read, SystemCall::Peek, SystemCall::Send, SystemCall::Write];
            let call = calls[chance.random_range(0..calls.len())];
            Trouble::Calls { router, call, every: chance.random_range(2..20), error: Errno::INTR, span }
        }
        10 => {
            let errors = [Errno::CONNABORTED, Errno::NFILE, Errno::NOBUFS, Errno::INTR];
            let error = errors[chance.random_range(0..errors.len())];
            Trouble::Calls { router, call: SystemCall::Accept, every: 1, error, span: span / 4 }
        }
        11 => Trouble::Short { router, most: chance.random_range(1..40), span },
        12 => Trouble::Clock { router, step: STEPS[chance.random_range(0..STEPS.len())], span: span * 4 },
        14 => {
            let mut routers: Vec<usize> = (0..routers).collect();
            routers.shuffle(chance);
            routers.truncate(routers.len() * 3 / 4);
            Trouble::Herd { routers, step: STEPS[chance.random_range(0..STEPS.len())], span: span / 4 }
        }
        15 | 16 => draw_stop(chance, router),
        17 => Trouble::Crowd { router, count: chance.random_range(CROWD), span: span * 2 },
        18 => {
            // Unread for longer than callers wait, as nothing shows before.
            if chance.random() {
                Trouble::Log { router, reading: Reading::NotAtAll, span: LONG_UNREAD }
            } else {
                Trouble::Log { router, reading: Reading::Slowly, span: span * 4 }
            }
        }
        19 => {
            // A FIFO for longer than callers wait, as nothing shows before.
            if chance.random() {
                Trouble::Config { router, what: Unreadable::Fifo, span: LONG_UNREAD }
            } else {
                Trouble::Config { router, what: Unreadable::Garbage, span }
            }
        }
        20 | 21 => Trouble::Drain { engine, resets: chance.random(), span: span * 3 },
        22 => draw_failing_connects(chance, router, span),
        13 if chance.random() => Trouble::Cut { router, engine, span },
        13 => Trouble::Reset { router },
        _ => {
            let clients = [
                RudeClient::HalfMessage,
                RudeClient::Flood,
                RudeClient::EarlyClose,
                RudeClient::TinyDeadline,
                RudeClient::Garbage,
            ];
            let client = clients[chance.random_range(0..clients.len())];
            Trouble::Rude { router, client, count: chance.random_range(3..12) }
        }
    }
}

/// One signal to end, and up to two others before and behind it.
fn draw_stop(chance: &mut Pcg32, router: usize) -> Trouble {
    let all = [Order::Reload, Order::Terminate, Order::Interrupt];
    let mut orders = Vec::new();
    let mut until_first_end = 0;
    for _ in 0..chance.random_range(0..=2) {
        let gap = chance.random_range(0..200);
        until_first_end += gap;
        orders.push((gap, Order::Reload));
    }
    let gap = chance.random_range(0..200);
    orders.push((gap, if chance.random() { Order::Terminate } else { Order::Interrupt }));
    for _ in 0..chance.random_range(0..=2) {
        orders.push((chance.random_range(0..900), all[chance.random_range(0..all.len())]));
    }
    Trouble::Stop { router, orders, span: until_first_end + gap + EARLIEST_KILL }
}

/// Calls for connections that fail for a moment.
fn draw_failing_connects(chance: &mut Pcg32, router: usize, span: u64) -> Trouble {
    let of_connect = [Errno::ADDRNOTAVAIL, Errno::AGAIN, Errno::NETUNREACH, Errno::TIMEDOUT];
    let of_socket = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];
    let (call, errors) = match chance.random_range(0..3) {
        0 => (SystemCall::Connect, &of_connect[..]),
        1 => (SystemCall::Socket, &of_socket[..]),
        _ => (SystemCall::Poll, &[Errno::INTR, Errno::NOMEM][..]),
    };
    let error = errors[chance.random_range(0..errors.len())];
    // A poll that is interrupted each time would be made again for good.
    let every = chance.random_range(2..6);
    Trouble::Calls { router, call, every, error, span: span / 2 }
}
