//! The rules, checked over all processes together from what engines and callers observed.

use std::collections::HashMap;
use std::io;
use std::time::{Duration, Instant};

use super::queries::Queries;
use super::{
    ANSWER_LIMIT, COLD_PERIOD, DRAIN_GRACE_MS, ENGINE_CORES, FALL_MS, JOB_COST_MS, OVERLOAD_FACTOR,
    START_CAPACITY,
};

/// A terminated router still accepts requests for at least this long.
const ACCEPTING_AFTER_END: Duration = Duration::from_millis(200);
/// By the protocol document, requests on open connections may come for this long after a terminating signal.
const OPEN_CONNECTIONS_AFTER_END: Duration = Duration::from_millis(600);
/// A request that crosses a close within this time is sent again.
pub(super) const CLOSE_CROSSING_LIMIT: Duration = Duration::from_millis(50);
/// No attempt begins later than this after its client left; and what a slow machine may add.
const MAX_SEND_AFTER_LEAVING: Duration = Duration::from_millis(100);
const SCHEDULING_SLACK: Duration = Duration::from_millis(900);
/// An answer that is late by up to this much only earns nothing; after that it counts as lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// How much longer than the client's remaining time a forwarded deadline may be.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// What engines and callers observed over all processes during one test.
#[derive(Default)]
pub(super) struct Observations {
    pub arrivals: Vec<QueryArrival>,
    pub answers: Vec<JobRecord>,
    /// The queries at engines and how they ended.
    pub queries: Queries,
    /// When the processes of drained engines ended.
    pub engine_ends: HashMap<usize, Instant>,
    /// Until when routers have a crowd of idle clients, and close idle connections in favour of new ones.
    pub crowded_until: HashMap<usize, Instant>,
    /// When clients left that wait for no answer, by job id.
    pub clients_left: HashMap<String, Instant>,
    /// When each engine was announced as draining.
    pub drained: HashMap<usize, Instant>,
    pub cold: HashMap<usize, Instant>,
    /// When each router was killed, and when it was terminated.
    pub killed: Vec<(usize, Instant)>,
    pub terminated: Vec<(usize, Instant)>,
    /// When routers were killed that had been terminated before; such a kill excuses no missing answer.
    pub killed_while_ending: Vec<(usize, Instant)>,
    /// Whether relays delayed bytes between routers and engines, so that arrival times at engines don't show
    /// when they were sent.
    pub had_ways: bool,
    /// Whether jobs of a key keep their order.
    pub ordered: bool,
    /// Routers that were suspended at times, and the number of routers.
    pub paused: Vec<usize>,
    pub routers: usize,
}

/// A query that arrived at an engine.
pub(super) struct QueryArrival {
    pub engine: usize,
    pub id: String,
    pub at: Instant,
    /// The remaining time that the engine was given.
    pub time_left: Duration,
}

/// A job that a client sent, and how it was answered.
pub(super) struct JobRecord {
    pub router: usize,
    pub id: String,
    pub at: Instant,
    /// How long the caller waits at most, and how long it waited.
    pub wait: Duration,
    pub elapsed: Duration,
    /// How long the caller took to write the request, from `at` on.
    pub write_time: Duration,
    /// When the connection was established.
    pub connected_at: Instant,
    /// True for done, false for another answer, an error if the connection ended.
    pub result: io::Result<bool>,
    /// Whether the client is connected to the router without a relay, so that what it sent arrived there.
    pub is_direct: bool,
}

/// Counts of a run, with which a test checks that enough happened.
#[derive(Debug)]
pub struct Tally {
    pub asked: usize,
    pub done: usize,
    pub to_cold: usize,
}

/// A violated rule.
pub(super) struct Violation {
    /// A description of the violation.
    pub message: String,
    /// The ids of the jobs that show it.
    pub jobs: Vec<String>,
}

impl Violation {
    fn for_job(job: &str, message: String) -> Self {
        Self { message, jobs: vec![job.to_owned()] }
    }
}

/// Rule 1: each job is answered, unless its router was killed, or was terminated some time before the job
/// came.
fn every_job_answered(observations: &Observations) -> Result<(), Violation> {
    for JobRecord { router, id, at, connected_at, elapsed, result, .. } in
        observations.answers.iter().filter(|job| !job.is_direct)
    {
        let killed =
            observations.killed.iter().any(|(number, when)| number == router && when >= connected_at);
        let past =
            |when: &Instant| when >= connected_at || at.saturating_duration_since(*when) < ANSWER_LIMIT;
        let ended = |when: &Instant| *at >= *when + ACCEPTING_AFTER_END && past(when);
        let ended = observations.terminated.iter().any(|(number, when)| number == router && ended(when));
        if let (Err(error), false, false) = (result, killed, ended) {
            let message =
                format!("job {id} at router {router} got no answer, {elapsed:?} behind it: {error}");
            return Err(Violation::for_job(id, message));
        }
    }
    Ok(())
}

/// Rule 1 for clients that go on over open connections of a terminated router. By the protocol document, such
/// requests may come for another 0.6 s, and one that crosses the close within 50 ms is sent again. A request
/// that was forwarded or read must be answered.
fn answered_on_open_connections(observations: &Observations) -> Result<(), Violation> {
    for job in observations.answers.iter().filter(|job| job.is_direct) {
        let (Err(error), id) = (&job.result, &job.id) else { continue };
        let past = |(number, when): &&(usize, Instant)| *number == job.router && *when >= job.connected_at;
        let terminated = observations.terminated.iter().filter(past).map(|(_, when)| *when).min();
        let forwarded = observations.arrivals.iter().any(|arrival| arrival.id == *id);
        let in_time = terminated.is_none_or(|terminated| job.at <= terminated + OPEN_CONNECTIONS_AFTER_END);
        let crossed = job.elapsed <= CLOSE_CROSSING_LIMIT + SCHEDULING_SLACK;
        // When a crowd uses up the descriptors, idle connections are closed in favour of new ones at any
        // time.
        let is_crowded = observations.crowded_until.get(&job.router).is_some_and(|until| job.at < *until);
        if is_crowded && !forwarded && job.elapsed <= CLOSE_CROSSING_LIMIT {
            continue;
        }
        if forwarded || in_time || !crossed {
            let behind = terminated.map(|terminated| job.at.saturating_duration_since(terminated));
            let message = format!(
                "job {id} at router {}, sent {behind:?} behind the order to end, forwarded: {forwarded}, got no answer after {:?}: {error}",
                job.router, job.elapsed
            );
            return Err(Violation::for_job(id, message));
        }
    }
    Ok(())
}

/// Rule 2: a run-once job arrives at one engine at most, as no engine here declines a job without running it.
fn run_once_jobs_sent_once(observations: &Observations) -> Result<(), Violation> {
    let mut arrival_counts: HashMap<&str, usize> = HashMap::new();
    for QueryArrival { id, .. } in observations.arrivals.iter().filter(|arrival| is_load(&arrival.id)) {
        let count = arrival_counts.entry(id).or_default();
        *count += 1;
        if *count > 1 {
            return Err(Violation::for_job(id, format!("run-once job {id} came to engines twice")));
        }
    }
    Ok(())
}

/// Rule 3: no job arrives at an engine after its drain grace.
fn nothing_sent_after_drain_grace(observations: &Observations) -> Result<(), Violation> {
    let late = observations.arrivals.iter().find(|arrival| {
        let announced = observations.drained.get(&arrival.engine);
        announced.is_some_and(|announced| {
            arrival.at.saturating_duration_since(*announced) > Duration::from_millis(DRAIN_GRACE_MS)
        })
    });
    late.map_or(Ok(()), |QueryArrival { engine, id, .. }| {
        Err(Violation::for_job(id, format!("job {id} came to engine {engine} after its grace")))
    })
}

/// Rule 4: a cold engine gets no more work in any window than its budget, from all routers together. Its
/// capacity rises linearly; the square root of the budget is allowed on top for jobs that arrive late on a
/// slow machine.
fn cold_engines_within_budget(observations: &Observations) -> Result<(), Violation> {
    for (engine, start) in &observations.cold {
        let at: Vec<Instant> = observations
            .arrivals
            .iter()
            .filter(|arrival| arrival.engine == *engine)
            .map(|arrival| arrival.at)
            .collect();
        for (first_index, first) in at.iter().enumerate() {
            let within = at[first_index..]
                .iter()
                .take_while(|at| at.duration_since(*first).as_millis() < u128::from(FALL_MS));
            let count = within.count();
            let progress =
                (first.saturating_duration_since(*start).as_secs_f64() / COLD_PERIOD.as_secs_f64()).min(1.0);
            let capacity = START_CAPACITY + (1.0 - START_CAPACITY) * progress;
            let budget = OVERLOAD_FACTOR * capacity * ENGINE_CORES * FALL_MS as f64 / JOB_COST_MS as f64;
            if count as f64 > budget + budget.sqrt() {
                let message =
                    format!("{count} jobs in a window at cold engine {engine}, {budget:.1} are its budget");
                return Err(Violation { message, jobs: Vec::new() });
            }
        }
    }
    Ok(())
}

/// Rule 5: all loads of a router have one key, and none arrives at an engine while an earlier one is
/// outstanding. A load is outstanding from its arrival until its end was written, it was deleted, it was not
/// polled for 2 s, after which its engine ends it, or its engine's process ended. A router that was killed or
/// terminated in between knows nothing of earlier loads.
fn ordered_loads_one_at_a_time(observations: &Observations) -> Result<(), Violation> {
    let mut last: HashMap<usize, &QueryArrival> = HashMap::new();
    for arrival in observations.arrivals.iter().filter(|arrival| observations.ordered && is_load(&arrival.id))
    {
        let router = caller_of(&arrival.id) % observations.routers;
        let Some(before) = last.insert(router, arrival) else { continue };
        let query = observations.queries.get(before.engine, &before.id).expect("a query for each arrival");
        let (ended_at, end) = query.end_time();
        let engine_has_ended =
            observations.engine_ends.get(&before.engine).is_some_and(|ended_at| *ended_at <= arrival.at);
        let between = |(number, when): &(usize, Instant)| {
            *number == router && *when >= before.at && *when <= arrival.at
        };
        let kills = observations.killed.iter().chain(&observations.killed_while_ending);
        let restarted = kills.chain(&observations.terminated).any(between);
        if ended_at > arrival.at && !engine_has_ended && !restarted {
            let since = |at: Instant| at.saturating_duration_since(before.at);
            let message = format!(
                "load {} of router {router} came to engine {} while {} was out at engine {}: {:?} behind it, which had {:?}, was asked for last at {:?} and was over at {:?} ({end:?}); the engine drained at {:?}",
                arrival.id,
                arrival.engine,
                before.id,
                before.engine,
                since(arrival.at),
                before.time_left,
                since(query.last_polled()),
                since(ended_at),
                observations.drained.get(&before.engine).map(|at| since(*at)),
            );
            return Err(Violation { message, jobs: vec![before.id.clone(), arrival.id.clone()] });
        }
    }
    Ok(())
}

/// No attempt is sent for a client that has left.
fn nothing_sent_for_departed_clients(observations: &Observations) -> Result<(), Violation> {
    let late = |arrival: &&QueryArrival| {
        let left = observations.clients_left.get(&arrival.id);
        left.is_some_and(|left| {
            arrival.at.saturating_duration_since(*left) > MAX_SEND_AFTER_LEAVING + SCHEDULING_SLACK
        })
    };
    match observations.arrivals.iter().filter(|_| !observations.had_ways).find(late) {
        Some(arrival) => {
            Err(Violation::for_job(&arrival.id, format!("job {} came after its client went", arrival.id)))
        }
        None => Ok(()),
    }
}

/// The deadline that an engine is given is no longer than the client's remaining time.
fn deadlines_not_extended(observations: &Observations) -> Result<(), Violation> {
    let jobs: HashMap<&str, &JobRecord> =
        observations.answers.iter().map(|job| (job.id.as_str(), job)).collect();
    for arrival in observations.arrivals.iter().filter(|_| !observations.had_ways) {
        let Some(job) = jobs.get(arrival.id.as_str()) else { continue };
        let left = job.wait.saturating_sub(arrival.at.saturating_duration_since(job.at));
        if arrival.time_left > left + DEADLINE_SLACK + SCHEDULING_SLACK.min(job.wait / 10) {
            let message = format!(
                "job {} was sent with {:?}, its client had {left:?}: it began to write at {:?}, took {:?}, and the job came to engine {} at {:?}",
                arrival.id, arrival.time_left, job.at, job.write_time, arrival.engine, arrival.at
            );
            return Err(Violation::for_job(&arrival.id, message));
        }
    }
    Ok(())
}

/// Checks all rules and returns the first violation.
pub(super) fn check_all_rules(observations: &Observations) -> Result<(), Violation> {
    every_job_answered(observations)?;
    answered_on_open_connections(observations)?;
    answers_in_time(observations)?;
    run_once_jobs_sent_once(observations)?;
    nothing_sent_after_drain_grace(observations)?;
    cold_engines_within_budget(observations)?;
    ordered_loads_one_at_a_time(observations)?;
    nothing_sent_for_departed_clients(observations)?;
    deadlines_not_extended(observations)
}

/// Rule 1: answers come in time, except at suspended routers and when relays delayed traffic.
fn answers_in_time(observations: &Observations) -> Result<(), Violation> {
    let is_counted = |job: &&JobRecord| !observations.had_ways && !observations.paused.contains(&job.router);
    let late =
        |job: &&JobRecord| job.result.is_ok() && job.elapsed > job.wait + ANSWER_SLACK + SCHEDULING_SLACK;
    match observations.answers.iter().filter(is_counted).find(late) {
        Some(job) => {
            Err(Violation::for_job(&job.id, format!("job {} was answered after {:?}", job.id, job.elapsed)))
        }
        None => Ok(()),
    }
}

/// The number of a job's caller, as encoded in the job's id.
pub(super) fn caller_of(id: &str) -> usize {
    usize::from_str_radix(&id[1..CALLER_DIGITS + 1], 16).unwrap_or(0)
}

/// Digits of the caller's number in a job's id, after the first character.
pub(super) const CALLER_DIGITS: usize = 5;

pub(super) fn is_load(id: &str) -> bool {
    id.starts_with('f')
}
