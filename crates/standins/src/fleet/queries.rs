//! Queries at the stand-in engines, which live as the protocol's page says: until they end, are deleted, or were not asked for in 2 s.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An engine ends a query that was not asked for in this time.
const UNPOLLED_QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// One query at one engine.
pub(super) struct Query {
    /// When it has its result.
    done_at: Instant,
    /// When it was asked for last.
    last_polled: Instant,
    ended: Option<(Instant, QueryEnd)>,
}

/// How a query ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryEnd {
    /// Its engine wrote an answer that tells the end.
    Written,
    Deleted,
    Unasked,
}

/// What becomes of a call for a query.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryStatus {
    Running,
    Done,
    /// The engine knows no such query, or none any more.
    Unknown,
}

impl Query {
    pub fn new(now: Instant, runs: Duration) -> Self {
        Self { done_at: now + runs, last_polled: now, ended: None }
    }

    /// A call for it came whole.
    fn poll(&mut self, now: Instant) -> QueryStatus {
        self.expire(now);
        match self.ended {
            Some((_, QueryEnd::Written)) => QueryStatus::Done,
            Some(_) => QueryStatus::Unknown,
            None => {
                self.last_polled = now;
                if now < self.done_at { QueryStatus::Running } else { QueryStatus::Done }
            }
        }
    }

    fn end(&mut self, now: Instant, end: QueryEnd) {
        self.expire(now);
        self.ended.get_or_insert((now, end));
    }

    fn expire(&mut self, now: Instant) {
        if self.ended.is_none() && now >= self.last_polled + UNPOLLED_QUERY_TIMEOUT {
            self.ended = Some((self.last_polled + UNPOLLED_QUERY_TIMEOUT, QueryEnd::Unasked));
        }
    }

    /// When it ran no more, if nothing comes behind what was seen.
    pub fn end_time(&self) -> (Instant, QueryEnd) {
        self.ended.unwrap_or((self.last_polled + UNPOLLED_QUERY_TIMEOUT, QueryEnd::Unasked))
    }

    /// When it was asked for last.
    pub fn last_polled(&self) -> Instant {
        self.last_polled
    }
}

/// All queries of a story, by engine and id; as many as there are jobs.
#[derive(Default)]
pub(super) struct Queries(HashMap<(usize, String), Query>);

impl Queries {
    /// A query came to an engine, which takes so long for it. One that it has already goes on.
    pub fn start(&mut self, engine: usize, id: &str, now: Instant, runs: Duration) {
        self.0.entry((engine, id.to_owned())).or_insert_with(|| Query::new(now, runs));
    }

    /// A call for a query came whole to its engine.
    pub fn poll(&mut self, engine: usize, id: &str, now: Instant) -> QueryStatus {
        let query = self.0.get_mut(&(engine, id.to_owned()));
        query.map_or(QueryStatus::Unknown, |query| query.poll(now))
    }

    /// A query ended.
    pub fn end(&mut self, engine: usize, id: &str, now: Instant, end: QueryEnd) {
        if let Some(query) = self.0.get_mut(&(engine, id.to_owned())) {
            query.end(now, end);
        }
    }

    pub fn get(&self, engine: usize, id: &str) -> Option<&Query> {
        self.0.get(&(engine, id.to_owned()))
    }
}
