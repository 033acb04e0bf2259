//! Checks the rules that a fleet of routers must keep (answers, repetitions, draining and cold engines, order
//! of loads, deadlines) on what the stand-in engines and callers of all routers observed.

use std::collections::HashMap;
use std::io;
use std::time::{Duration, Instant};

use super::queries::Queries;
use super::{
    ANSWER_LIMIT, COLD_BUDGET_WINDOW_MS, COLD_PERIOD, DRAIN_GRACE_MS, ENGINE_CORES, JOB_COST_MS,
    OVERLOAD_FACTOR, START_CAPACITY,
};

/// A router accepts requests for at least this long after a terminating signal.
const MIN_ACCEPT_TIME_AFTER_TERMINATION: Duration = Duration::from_millis(200);
/// By the protocol document, requests on open connections may be sent for this long after a terminating
/// signal.
const OPEN_CONNECTION_TIME_AFTER_TERMINATION: Duration = Duration::from_millis(600);
/// A client sends a request again if the connection turns out closed within this time, as the router may have
/// closed it while the request was under way.
pub(super) const CLOSED_CONNECTION_RESEND_LIMIT: Duration = Duration::from_millis(50);
/// A router sends no dispatch of a job later than this after the job's client left.
const MAX_SEND_AFTER_LEAVING: Duration = Duration::from_millis(100);
/// Additional delay that a slow machine may cause.
const SCHEDULING_SLACK: Duration = Duration::from_millis(900);
/// An answer that is late by up to this much is merely worth no billed value; a later one violates the rule.
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
    /// Until when each router has so many idle clients that it closes idle connections in favour of new ones.
    pub many_idle_clients_until: HashMap<usize, Instant>,
    /// When the clients that leave without waiting for an answer left, by job id.
    pub clients_left: HashMap<String, Instant>,
    /// When each engine was announced as draining.
    pub drained: HashMap<usize, Instant>,
    /// When each cold engine was added.
    pub cold_since: HashMap<usize, Instant>,
    /// Routers that were killed, and when.
    pub killed: Vec<(usize, Instant)>,
    /// Routers that received a terminating signal, and when.
    pub terminated: Vec<(usize, Instant)>,
    /// Routers that were killed after a terminating signal, and when. Such a kill does not excuse a missing
    /// answer.
    pub killed_after_termination: Vec<(usize, Instant)>,
    /// Whether relays ever had conditions, which may delay bytes, so that the arrival times at engines don't
    /// show when the bytes were sent.
    pub had_relay_conditions: bool,
    /// Whether the jobs of one order key run one at a time, in order.
    pub ordered: bool,
    /// Routers that were suspended at times.
    pub suspended: Vec<usize>,
    /// The number of routers.
    pub routers: usize,
}

/// A query that arrived at an engine.
pub(super) struct QueryArrival {
    pub engine: usize,
    pub id: String,
    pub at: Instant,
    /// The remaining time that the dispatch stated.
    pub time_left: Duration,
}

/// A job that a client sent, and how it was answered.
pub(super) struct JobRecord {
    pub router: usize,
    pub id: String,
    pub at: Instant,
    /// How long the caller waits at most.
    pub wait: Duration,
    /// How long the caller waited.
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
    /// Number of jobs that clients sent and whose answer, or its absence, was recorded.
    pub recorded_jobs: usize,
    /// Number of jobs answered as done.
    pub done: usize,
    /// Number of dispatches that arrived at cold engines.
    pub cold_engine_dispatches: usize,
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

/// Each job is answered, unless its router was killed, or was terminated some time before the job was sent.
/// Clients that are connected directly are checked by [`answered_on_open_connections`].
fn every_job_answered(observations: &Observations) -> Result<(), Violation> {
    for JobRecord { router, id, at, connected_at, elapsed, result, .. } in
        observations.answers.iter().filter(|job| !job.is_direct)
    {
        let was_killed =
            observations.killed.iter().any(|(number, when)| number == router && when >= connected_at);
        // Whether a terminating signal was sent after the connection was established, or less than
        // `ANSWER_LIMIT` before the job was sent.
        let is_relevant =
            |when: &Instant| when >= connected_at || at.saturating_duration_since(*when) < ANSWER_LIMIT;
        let excuses = |when: &Instant| *at >= *when + MIN_ACCEPT_TIME_AFTER_TERMINATION && is_relevant(when);
        let was_terminated =
            observations.terminated.iter().any(|(number, when)| number == router && excuses(when));
        if let (Err(error), false, false) = (result, was_killed, was_terminated) {
            let message = format!("job {id} at router {router} got no answer within {elapsed:?}: {error}");
            return Err(Violation::for_job(id, message));
        }
    }
    Ok(())
}

/// Each job is answered also if its client continues to send over an open connection of a terminated router.
/// By the protocol document, such requests may be sent for another 0.6 s, and the client sends a request
/// again if the connection turns out closed within 50 ms. A request that was forwarded or read must be
/// answered.
fn answered_on_open_connections(observations: &Observations) -> Result<(), Violation> {
    for job in observations.answers.iter().filter(|job| job.is_direct) {
        let (Err(error), id) = (&job.result, &job.id) else { continue };
        let is_relevant =
            |(number, when): &&(usize, Instant)| *number == job.router && *when >= job.connected_at;
        let terminated = observations.terminated.iter().filter(is_relevant).map(|(_, when)| *when).min();
        let forwarded = observations.arrivals.iter().any(|arrival| arrival.id == *id);
        let in_time =
            terminated.is_none_or(|terminated| job.at <= terminated + OPEN_CONNECTION_TIME_AFTER_TERMINATION);
        let failed_soon = job.elapsed <= CLOSED_CONNECTION_RESEND_LIMIT + SCHEDULING_SLACK;
        // A router whose file descriptors are used up by idle clients may close idle connections in favour of
        // new ones at any time.
        let has_many_idle_clients =
            observations.many_idle_clients_until.get(&job.router).is_some_and(|until| job.at < *until);
        if has_many_idle_clients && !forwarded && job.elapsed <= CLOSED_CONNECTION_RESEND_LIMIT {
            continue;
        }
        if forwarded || in_time || !failed_soon {
            let since_termination = terminated.map(|terminated| job.at.saturating_duration_since(terminated));
            let message = format!(
                "job {id} at router {}, sent {since_termination:?} after the terminating signal, forwarded: {forwarded}, got no answer after {:?}: {error}",
                job.router, job.elapsed
            );
            return Err(Violation::for_job(id, message));
        }
    }
    Ok(())
}

/// A run-once job, which is a load here, is dispatched at most once, as no engine here proves that it never
/// ran the query.
fn run_once_jobs_sent_once(observations: &Observations) -> Result<(), Violation> {
    let mut arrival_counts: HashMap<&str, usize> = HashMap::new();
    for QueryArrival { id, .. } in observations.arrivals.iter().filter(|arrival| is_load(&arrival.id)) {
        let count = arrival_counts.entry(id).or_default();
        *count += 1;
        if *count > 1 {
            return Err(Violation::for_job(id, format!("run-once job {id} arrived at engines twice")));
        }
    }
    Ok(())
}

/// No job arrives at an engine later than the drain grace after the engine was announced as draining.
fn nothing_sent_after_drain_grace(observations: &Observations) -> Result<(), Violation> {
    let late = observations.arrivals.iter().find(|arrival| {
        let announced = observations.drained.get(&arrival.engine);
        announced.is_some_and(|announced| {
            arrival.at.saturating_duration_since(*announced) > Duration::from_millis(DRAIN_GRACE_MS)
        })
    });
    late.map_or(Ok(()), |QueryArrival { engine, id, .. }| {
        Err(Violation::for_job(id, format!("job {id} arrived at engine {engine} after its drain grace")))
    })
}

/// All routers together send a cold engine no more work than its budget in any window of
/// `COLD_BUDGET_WINDOW_MS`. The engine's capacity rises linearly from `START_CAPACITY`; the square root of
/// the budget is allowed on top for jobs that arrive late on a slow machine.
fn cold_engines_within_budget(observations: &Observations) -> Result<(), Violation> {
    for (engine, start) in &observations.cold_since {
        let at: Vec<Instant> = observations
            .arrivals
            .iter()
            .filter(|arrival| arrival.engine == *engine)
            .map(|arrival| arrival.at)
            .collect();
        for (first_index, first) in at.iter().enumerate() {
            let within = at[first_index..]
                .iter()
                .take_while(|at| at.duration_since(*first).as_millis() < u128::from(COLD_BUDGET_WINDOW_MS));
            let count = within.count();
            let progress =
                (first.saturating_duration_since(*start).as_secs_f64() / COLD_PERIOD.as_secs_f64()).min(1.0);
            let capacity = START_CAPACITY + (1.0 - START_CAPACITY) * progress;
            let budget =
                OVERLOAD_FACTOR * capacity * ENGINE_CORES * COLD_BUDGET_WINDOW_MS as f64 / JOB_COST_MS as f64;
            if count as f64 > budget + budget.sqrt() {
                let message =
                    format!("{count} jobs in a window at cold engine {engine}, whose budget is {budget:.1}");
                return Err(Violation { message, jobs: Vec::new() });
            }
        }
    }
    Ok(())
}

/// All loads of a router have one order key, and none arrives at an engine while an earlier one is
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
        let kills = observations.killed.iter().chain(&observations.killed_after_termination);
        let restarted = kills.chain(&observations.terminated).any(between);
        if ended_at > arrival.at && !engine_has_ended && !restarted {
            let since = |at: Instant| at.saturating_duration_since(before.at);
            let message = format!(
                "load {} of router {router} arrived at engine {} while load {} was outstanding at engine {}: it arrived {:?} after the earlier load, which had {:?} left, was polled last after {:?} and ended after {:?} ({end:?}); the earlier load's engine drained after {:?}",
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

/// No dispatch is sent for a client that has left.
fn nothing_sent_for_departed_clients(observations: &Observations) -> Result<(), Violation> {
    let late = |arrival: &&QueryArrival| {
        let left = observations.clients_left.get(&arrival.id);
        left.is_some_and(|left| {
            arrival.at.saturating_duration_since(*left) > MAX_SEND_AFTER_LEAVING + SCHEDULING_SLACK
        })
    };
    match observations.arrivals.iter().filter(|_| !observations.had_relay_conditions).find(late) {
        Some(arrival) => Err(Violation::for_job(
            &arrival.id,
            format!("job {} arrived at an engine after its client left", arrival.id),
        )),
        None => Ok(()),
    }
}

/// The time that a dispatch grants is no longer than the client's remaining time.
fn deadlines_not_extended(observations: &Observations) -> Result<(), Violation> {
    let jobs: HashMap<&str, &JobRecord> =
        observations.answers.iter().map(|job| (job.id.as_str(), job)).collect();
    for arrival in observations.arrivals.iter().filter(|_| !observations.had_relay_conditions) {
        let Some(job) = jobs.get(arrival.id.as_str()) else { continue };
        let left = job.wait.saturating_sub(arrival.at.saturating_duration_since(job.at));
        if arrival.time_left > left + DEADLINE_SLACK + SCHEDULING_SLACK.min(job.wait / 10) {
            let message = format!(
                "job {} was sent with {:?}, its client had {left:?}: it began to write at {:?}, took {:?}, and the job arrived at engine {} at {:?}",
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

/// Answers are sent in time, except at suspended routers and when relays delayed traffic.
fn answers_in_time(observations: &Observations) -> Result<(), Violation> {
    let is_counted = |job: &&JobRecord| {
        !observations.had_relay_conditions && !observations.suspended.contains(&job.router)
    };
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

/// Whether a job is a load, which is run-once. The callers start the ids of loads, and of no other jobs, with
/// `f`.
pub(super) fn is_load(id: &str) -> bool {
    id.starts_with('f')
}
