//! The calls to discovery that are out at once, and when the next one is due. A call that is answered late is not given up:
//! others go out beside it, so that a connection that fell silent is found out within the grace, and a discovery that is
//! merely slow is heard all the same.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use woadhook::{Moment, Span};

/// Calls that may be out at once, each on a connection of its own.
pub const MOST_CALLS: usize = 6;

/// What is left of the time that an earlier call took, by each answer.
const FADES: f64 = 0.75;

/// A call under way; dropping it closes its connection.
pub type Call<T, E> = Pin<Box<dyn Future<Output = Result<T, E>>>>;

/// Whether a call was written to a connection that is up; the call sets it.
pub type Asked = Rc<Cell<bool>>;

struct Out<T, E> {
    began: Moment,
    asked: Asked,
    call: Call<T, E>,
}

/// Calls to an earlier address that may still be answered.
pub const MOST_FORMER: usize = 3;

/// A call that ended, and when it began.
pub struct Ended<T, E> {
    pub began: Moment,
    /// Whether it was made to an earlier address.
    pub is_former: bool,
    pub outcome: Result<T, E>,
}

/// Calls by their age, the oldest first.
pub struct Calls<T, E> {
    out: Vec<Out<T, E>>,
    /// Those to earlier addresses: an answer to one counts, and nothing else of them does.
    former: Vec<Out<T, E>>,
}

impl<T, E> Calls<T, E> {
    pub fn new() -> Self {
        Self { out: Vec::new(), former: Vec::new() }
    }

    /// When one more call is due, where any is out. Threat: a connection that went silent under a notice to drain, or that does
    /// not come up; so one more is due a span after the youngest. Where more than `at_pace` were asked and none was
    /// answered, it is discovery that is crowded, and each further call would crowd it more: the span doubles with each.
    pub fn due(&self, span: Span, at_pace: usize) -> Option<Moment> {
        let asked = self.out.iter().filter(|out| out.asked.get()).count();
        let spans = f64::from(1 << asked.saturating_sub(at_pace));
        self.out.last().map(|youngest| youngest.began + span.mul_f64(spans))
    }

    /// Sends out one more. Where too many are out, one goes whose neighbours are nearest to it in age: what is left is spread
    /// over ages from the newest to the oldest, so that an answer is met however late discovery answers, also where some
    /// connections are silent for good.
    pub fn start(&mut self, began: Moment, asked: Asked, call: Call<T, E>) {
        self.out.push(Out { began, asked, call });
        if self.out.len() > MOST_CALLS {
            let spread = |place: &usize| {
                let age = |place: usize| began.since(self.out[place].began).secs();
                age(place - 1) / age(place + 1).max(Span::from_micros(1).secs())
            };
            let places = 1..self.out.len() - 1;
            let closest = places.min_by(|a, b| spread(a).total_cmp(&spread(b))).expect("more than two");
            drop(self.out.remove(closest));
        }
    }

    /// The first call that ends; none ends where none is out. An answer ends the calls that are older, too.
    pub async fn next(&mut self) -> Ended<T, E> {
        poll_fn(|context| {
            for place in 0..self.out.len() {
                if let Poll::Ready(outcome) = self.out[place].call.as_mut().poll(context) {
                    let began = self.out[place].began;
                    let ended = if outcome.is_ok() { 0..place + 1 } else { place..place + 1 };
                    self.out.drain(ended);
                    return Poll::Ready(Ended { began, is_former: false, outcome });
                }
            }
            self.poll_former(context)
        })
        .await
    }

    /// The answer of a call to an earlier address; one that fails is dropped.
    fn poll_former(&mut self, context: &mut Context<'_>) -> Poll<Ended<T, E>> {
        let mut place = 0;
        while place < self.former.len() {
            let Poll::Ready(outcome) = self.former[place].call.as_mut().poll(context) else {
                place += 1;
                continue;
            };
            let began = self.former.remove(place).began;
            if outcome.is_ok() {
                return Poll::Ready(Ended { began, is_former: true, outcome });
            }
        }
        Poll::Pending
    }

    /// Calls go to another address from now on. Threat: moves in a row, each under a late answer that would have told a change. The youngest
    /// calls to the old address are left to be answered.
    pub fn moved(&mut self) {
        self.former.append(&mut self.out);
        let too_many = self.former.len().saturating_sub(MOST_FORMER);
        self.former.drain(..too_many);
    }
}

/// How far apart calls go out.
pub struct Pace {
    /// A change is to be heard within this.
    pub heard_within: Span,
    /// How far apart they go out where answers come soon.
    pub usual: Span,
    /// Calls that go out at that pace, though none is answered.
    pub unanswered: usize,
    /// How long answered calls took of late.
    took: Span,
}

impl Pace {
    pub fn new(heard_within: Span, usual: Span, unanswered: usize) -> Self {
        Self { heard_within, usual, unanswered, took: Span::ZERO }
    }

    /// Notes how long an answered call took; what earlier ones took fades.
    pub fn answered_after(&mut self, took: Span) {
        self.took = took.max(self.took.mul_f64(FADES));
    }

    /// How far apart calls go out. Threat: a discovery whose answers are late and tell what was known as the call came: a change is heard
    /// with the answer to the next call only, that span and an answer's time later. It may hurt where discovery is late because it
    /// is crowded: up to so many calls as may be out at once. Where even these could not keep the time, the pace is the usual one.
    pub fn span(&self) -> Span {
        let in_time = self.heard_within.saturating_sub(self.took);
        let least = self.took.mul_f64(1.0 / (MOST_CALLS - 1) as f64);
        if in_time < least { self.usual } else { in_time.min(self.usual) }
    }

    /// Calls that may be out before the pace slows down: those that are if answers go on taking their time.
    pub fn at_pace(&self) -> usize {
        let out = (self.took.secs() / self.span().secs()).ceil() as usize;
        self.unanswered.max(out + 1).min(MOST_CALLS)
    }
}
