//! Queries at the stand-in engines, which live as the protocol's page says: until they end, are deleted, or were not asked for in 2 s.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An engine ends a query that was not asked for in this time.
const UNASKED: Duration = Duration::from_secs(2);

/// One query at one engine.
pub(super) struct Query {
    /// When it has its result.
    done: Instant,
    /// When it was asked for last.
    asked: Instant,
    over: Option<(Instant, End)>,
}

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Its engine wrote an answer that tells the end.
    Written,
    Deleted,
    Unasked,
}

/// What becomes of a call for a query.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum News {
    Runs,
    Done,
    /// The engine knows no such query, or none any more.
    Unknown,
}

impl Query {
    pub fn start(now: Instant, runs: Duration) -> Self {
        Self { done: now + runs, asked: now, over: None }
    }

    /// A call for it came whole.
    fn ask(&mut self, now: Instant) -> News {
        self.expire(now);
        match self.over {
            Some((_, End::Written)) => News::Done,
            Some(_) => News::Unknown,
            None => {
                self.asked = now;
                if now < self.done { News::Runs } else { News::Done }
            }
        }
    }

    fn end(&mut self, now: Instant, end: End) {
        self.expire(now);
        self.over.get_or_insert((now, end));
    }

    fn expire(&mut self, now: Instant) {
        if self.over.is_none() && now >= self.asked + UNASKED {
            self.over = Some((self.asked + UNASKED, End::Unasked));
        }
    }

    /// When it ran no more, if nothing comes behind what was seen.
    pub fn over(&self) -> (Instant, End) {
        self.over.unwrap_or((self.asked + UNASKED, End::Unasked))
    }

    /// When it was asked for last.
    pub fn asked(&self) -> Instant {
        self.asked
    }
}

/// All queries of a story, by engine and id; as many as there are jobs.
#[derive(Default)]
pub(super) struct Queries(HashMap<(usize, String), Query>);

impl Queries {
    /// A query came to an engine, which takes so long for it. One that it has already goes on.
    pub fn start(&mut self, engine: usize, id: &str, now: Instant, runs: Duration) {
        self.0.entry((engine, id.to_owned())).or_insert_with(|| Query::start(now, runs));
    }

    /// A call for a query came whole to its engine.
    pub fn ask(&mut self, engine: usize, id: &str, now: Instant) -> News {
        let query = self.0.get_mut(&(engine, id.to_owned()));
        query.map_or(News::Unknown, |query| query.ask(now))
    }

    /// A query ended.
    pub fn end(&mut self, engine: usize, id: &str, now: Instant, end: End) {
        if let Some(query) = self.0.get_mut(&(engine, id.to_owned())) {
            query.end(now, end);
        }
    }

    pub fn get(&self, engine: usize, id: &str) -> Option<&Query> {
        self.0.get(&(engine, id.to_owned()))
    }
}
