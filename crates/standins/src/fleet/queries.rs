//! Queries at the stand-in engines. By the protocol document, a query lives until it ends, is deleted, or was
//! not polled for 2 s.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// An engine ends a query that was not polled for this time.
const UNPOLLED_QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// One query at one engine.
pub(super) struct Query {
    /// When its result is ready.
    done_at: Instant,
    /// When it was polled last.
    last_polled: Instant,
    /// When and how the query ended.
    ended: Option<(Instant, QueryEnd)>,
}

/// How a query ended. The names are part of a printed verdict.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum QueryEnd {
    /// The engine wrote an answer that reports the end.
    Written,
    /// The query was given up by DELETE.
    Deleted,
    /// The engine ended the query because it was not polled.
    Unasked,
}

/// The state of a query that a call finds.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum QueryStatus {
    Running,
    Done,
    /// The engine does not know the query, or not any more.
    Unknown,
}

impl Query {
    pub fn new(now: Instant, run_time: Duration) -> Self {
        Self { done_at: now + run_time, last_polled: now, ended: None }
    }

    /// Handles a complete call for the query.
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

    /// Ends the query if it was not polled for too long.
    fn expire(&mut self, now: Instant) {
        if self.ended.is_none() && now >= self.last_polled + UNPOLLED_QUERY_TIMEOUT {
            self.ended = Some((self.last_polled + UNPOLLED_QUERY_TIMEOUT, QueryEnd::Unasked));
        }
    }

    /// When the query ended, or will end if it is not polled again.
    pub fn end_time(&self) -> (Instant, QueryEnd) {
        self.ended.unwrap_or((self.last_polled + UNPOLLED_QUERY_TIMEOUT, QueryEnd::Unasked))
    }

    /// When it was polled last.
    pub fn last_polled(&self) -> Instant {
        self.last_polled
    }
}

/// All queries of a run by engine and job id; there are as many as jobs.
#[derive(Default)]
pub(super) struct Queries(HashMap<(usize, String), Query>);

impl Queries {
    /// Starts a query that takes this long. A query that the engine already has stays as it is.
    pub fn start(&mut self, engine: usize, id: &str, now: Instant, run_time: Duration) {
        self.0.entry((engine, id.to_owned())).or_insert_with(|| Query::new(now, run_time));
    }

    /// Handles a complete call for a query.
    pub fn poll(&mut self, engine: usize, id: &str, now: Instant) -> QueryStatus {
        let query = self.0.get_mut(&(engine, id.to_owned()));
        query.map_or(QueryStatus::Unknown, |query| query.poll(now))
    }

    /// Ends a query.
    pub fn end(&mut self, engine: usize, id: &str, now: Instant, end: QueryEnd) {
        if let Some(query) = self.0.get_mut(&(engine, id.to_owned())) {
            query.end(now, end);
        }
    }

    /// The query of a job at an engine.
    pub fn get(&self, engine: usize, id: &str) -> Option<&Query> {
        self.0.get(&(engine, id.to_owned()))
    }
}
