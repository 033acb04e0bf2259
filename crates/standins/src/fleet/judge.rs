//! The rules, counted over all processes together by what engines and callers saw.

use std::collections::HashMap;
use std::io;
use std::time::{Duration, Instant};

use super::queries::Queries;
use super::{
    ANSWER_LIMIT, COLD_PERIOD, DRAIN_GRACE_MS, ENGINE_CORES, FALL_MS, JOB_COST_MS, OVERLOAD_FACTOR,
    START_CAPACITY,
};

/// A router told to end takes what comes for longer than this.
const ACCEPTING_AFTER_END: Duration = Duration::from_millis(200);
/// Requests on open connections come for so long behind the order to end, by the page.
const OPEN_CONNECTIONS_AFTER_END: Duration = Duration::from_millis(600);
/// A request that crosses a close within this is sent again.
pub(super) const CLOSE_CROSSING_LIMIT: Duration = Duration::from_millis(50);
/// No attempt begins later than this after its client went; and what a slow machine may add.
const MAX_SEND_AFTER_LEAVING: Duration = Duration::from_millis(100);
const SCHEDULING_SLACK: Duration = Duration::from_millis(900);
/// So long after its time an answer only earns nothing; later, it is lost.
const ANSWER_SLACK: Duration = Duration::from_millis(500);
/// What a deadline may be passed on too long.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// What engines and callers saw, over all processes together; as long as a story.
#[derive(Default)]
pub(super) struct Observations {
    pub arrivals: Vec<QueryArrival>,
    pub answers: Vec<AnsweredJob>,
    /// What became of the queries at engines.
    pub queries: Queries,
    /// When engines ended that had drained.
    pub engine_ends: HashMap<usize, Instant>,
    /// Until when routers have a crowd of clients that say nothing, and close connections that rest for new ones.
    pub crowded_until: HashMap<usize, Instant>,
    /// When clients left that wait for no answer.
    pub clients_left: HashMap<String, Instant>,
    /// When each engine was told to drain.
    pub drained: HashMap<usize, Instant>,
    pub cold: HashMap<usize, Instant>,
    /// When each router was killed outright, or told to end.
    pub killed: Vec<(usize, Instant)>,
    pub told_to_end: Vec<(usize, Instant)>,
    /// When each was killed that had been told to end; it frees no request of its answer.
    pub killed_while_ending: Vec<(usize, Instant)>,
    /// Whether bytes between routers and engines were held up, so that engines tell nothing of when they were sent.
    pub had_ways: bool,
    /// Whether jobs of a key keep their order.
    pub ordered: bool,
    /// Routers that stood still at times, and how many there are.
    pub paused: Vec<usize>,
    pub routers: usize,
}

/// A query that came to an engine.
pub(super) struct QueryArrival {
    pub engine: usize,
    pub id: String,
    pub at: Instant,
    /// The time left that the engine was told.
    pub time_left: Duration,
}

pub(super) struct AnsweredJob {
    pub router: usize,
    pub id: String,
    pub at: Instant,
    /// How long its caller waits, and how long it waited.
    pub wait: Duration,
    pub elapsed: Duration,
    /// How long its caller took to write it, from `at` on.
    pub write_time: Duration,
    /// When its connection came up.
    pub connected_at: Instant,
    /// Done, another answer, or none as the connection ended.
    pub result: io::Result<bool>,
    /// Whether nothing stands between it and the router, so that what it sent came there.
    pub is_direct: bool,
}

/// What happened, for a story to see that it was a story at all.
#[derive(Debug)]
pub struct Tally {
    pub asked: usize,
    pub done: usize,
    pub to_cold: usize,
}

/// A broken rule.
pub(super) struct Violation {
    /// What is wrong.
    pub message: String,
    /// The ids of the jobs that show it.
    pub jobs: Vec<String>,
}

impl Violation {
    fn for_job(job: &str, words: String) -> Self {
        Self { message: words, jobs: vec![job.to_owned()] }
    }
}

/// Rule 1: an answer for each job, unless its router was killed, or was told to end some time before the job came.
fn every_job_answered(observations: &Observations) -> Result<(), Violation> {
    for AnsweredJob { router, id, at, connected_at: since, elapsed, result: got, .. } in
        observations.answers.iter().filter(|job| !job.is_direct)
    {
        let killed = observations.killed.iter().any(|(of, when)| of == router && when >= since);
        let past = |when: &Instant| when >= since || at.saturating_duration_since(*when) < ANSWER_LIMIT;
        let ended = |when: &Instant| *at >= *when + ACCEPTING_AFTER_END && past(when);
        let ended = observations.told_to_end.iter().any(|(of, when)| of == router && ended(when));
        if let (Err(error), false, false) = (got, killed, ended) {
            let words = format!("job {id} at router {router} got no answer, {elapsed:?} behind it: {error}");
            return Err(Violation::for_job(id, words));
        }
    }
    Ok(())
}

/// Rule 1, for clients that go on over open connections of a router that was told to end: by the page, requests on these come for
/// 0.6 s more, and one that crosses the close within 50 ms is sent again. What was forwarded, or read, is owed its answer.
fn answered_on_open_connections(observations: &Observations) -> Result<(), Violation> {
    for job in observations.answers.iter().filter(|job| job.is_direct) {
        let (Err(error), id) = (&job.result, &job.id) else { continue };
        let past = |(of, when): &&(usize, Instant)| *of == job.router && *when >= job.connected_at;
        let told = observations.told_to_end.iter().filter(past).map(|(_, when)| *when).min();
        let forwarded = observations.arrivals.iter().any(|arrival| arrival.id == *id);
        let in_time = told.is_none_or(|told| job.at <= told + OPEN_CONNECTIONS_AFTER_END);
        let crossed = job.elapsed <= CLOSE_CROSSING_LIMIT + SCHEDULING_SLACK;
        // As a crowd fills the descriptors, connections that rest are closed for new ones at any time.
        let is_crowded = observations.crowded_until.get(&job.router).is_some_and(|until| job.at < *until);
        if is_crowded && !forwarded && job.elapsed <= CLOSE_CROSSING_LIMIT {
            continue;
        }
        if forwarded || in_time || !crossed {
            let behind = told.map(|told| job.at.saturating_duration_since(told));
            let words = format!(
                "job {id} at router {}, sent {behind:?} behind the order to end, forwarded: {forwarded}, got no answer after {:?}: {error}",
                job.router, job.elapsed
            );
            return Err(Violation::for_job(id, words));
        }
    }
    Ok(())
}

/// Rule 2: a run-once job came to one engine at most, as no engine here says that it never ran.
fn run_once_jobs_sent_once(observations: &Observations) -> Result<(), Violation> {
    let mut came: HashMap<&str, usize> = HashMap::new();
    for QueryArrival { id, .. } in observations.arrivals.iter().filter(|arrival| is_load(&arrival.id)) {
        let count = came.entry(id).or_default();
        *count += 1;
        if *count > 1 {
            return Err(Violation::for_job(id, format!("run-once job {id} came to engines twice")));
        }
    }
    Ok(())
}

/// Rule 3.
fn nothing_sent_after_drain_grace(observations: &Observations) -> Result<(), Violation> {
    let late = observations.arrivals.iter().find(|arrival| {
        let told = observations.drained.get(&arrival.engine);
        told.is_some_and(|told| {
            arrival.at.saturating_duration_since(*told) > Duration::from_millis(DRAIN_GRACE_MS)
        })
    });
    late.map_or(Ok(()), |QueryArrival { engine, id, .. }| {
        Err(Violation::for_job(id, format!("job {id} came to engine {engine} after its grace")))
    })
}

/// Rule 4: no more work to a cold engine in any window than its budget, from all routers together. Its capacity rises evenly;
/// a root of the budget is allowed for jobs that the machine brings late.
fn cold_engines_within_budget(observations: &Observations) -> Result<(), Violation> {
    for (engine, start) in &observations.cold {
        let at: Vec<Instant> = observations
            .arrivals
            .iter()
            .filter(|arrival| arrival.engine == *engine)
            .map(|arrival| arrival.at)
            .collect();
        for (place, first) in at.iter().enumerate() {
            let within = at[place..]
                .iter()
                .take_while(|at| at.duration_since(*first).as_millis() < u128::from(FALL_MS));
            let count = within.count();
            let risen =
                (first.saturating_duration_since(*start).as_secs_f64() / COLD_PERIOD.as_secs_f64()).min(1.0);
            let able = START_CAPACITY + (1.0 - START_CAPACITY) * risen;
            let budget = OVERLOAD_FACTOR * able * ENGINE_CORES * FALL_MS as f64 / JOB_COST_MS as f64;
            if count as f64 > budget + budget.sqrt() {
                let words =
                    format!("{count} jobs in a window at cold engine {engine}, {budget:.1} are its budget");
                return Err(Violation { message: words, jobs: Vec::new() });
            }
        }
    }
    Ok(())
}

/// Rule 5: of a router's loads, which all have one key, none comes to an engine while an earlier one is out: from when it came
/// until its end was written, it was given up, it had not been asked for in 2 s, behind which its engine ends it, or its engine's process
/// ended. A router that was killed knows of none before.
fn ordered_loads_one_at_a_time(observations: &Observations) -> Result<(), Violation> {
    let mut last: HashMap<usize, &QueryArrival> = HashMap::new();
    for arrival in observations.arrivals.iter().filter(|arrival| observations.ordered && is_load(&arrival.id))
    {
        let router = caller_of(&arrival.id) % observations.routers;
        let Some(before) = last.insert(router, arrival) else { continue };
        let query = observations.queries.get(before.engine, &before.id).expect("a query for each arrival");
        let (ended_at, end) = query.end_time();
        let engine_ends = observations
            .engine_ends
            .get(&before.engine)
            .is_some_and(|engine_ends| *engine_ends <= arrival.at);
        let between =
            |(of, when): &(usize, Instant)| *of == router && *when >= before.at && *when <= arrival.at;
        let kills = observations.killed.iter().chain(&observations.killed_while_ending);
        let restarted = kills.chain(&observations.told_to_end).any(between);
        if ended_at > arrival.at && !engine_ends && !restarted {
            let since = |at: Instant| at.saturating_duration_since(before.at);
            let words = format!(
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
            return Err(Violation { message: words, jobs: vec![before.id.clone(), arrival.id.clone()] });
        }
    }
    Ok(())
}

/// No attempt for a client that has gone.
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

/// The deadline that an engine is told is no longer than what the client has left.
fn deadlines_not_extended(observations: &Observations) -> Result<(), Violation> {
    let job: HashMap<&str, &AnsweredJob> =
        observations.answers.iter().map(|job| (job.id.as_str(), job)).collect();
    for arrival in observations.arrivals.iter().filter(|_| !observations.had_ways) {
        let Some(job) = job.get(arrival.id.as_str()) else { continue };
        let left = job.wait.saturating_sub(arrival.at.saturating_duration_since(job.at));
        if arrival.time_left > left + DEADLINE_SLACK + SCHEDULING_SLACK.min(job.wait / 10) {
            let words = format!(
                "job {} was sent with {:?}, its client had {left:?}: it began to write at {:?}, took {:?}, and the job came to engine {} at {:?}",
                arrival.id, arrival.time_left, job.at, job.write_time, arrival.engine, arrival.at
            );
            return Err(Violation::for_job(&arrival.id, words));
        }
    }
    Ok(())
}

/// The first broken rule, with the job that shows it, if one does.
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

/// Rule 1: in time, but for routers that stood and ways that were cut.
fn answers_in_time(observations: &Observations) -> Result<(), Violation> {
    let counts = |job: &&AnsweredJob| !observations.had_ways && !observations.paused.contains(&job.router);
    let late =
        |job: &&AnsweredJob| job.result.is_ok() && job.elapsed > job.wait + ANSWER_SLACK + SCHEDULING_SLACK;
    match observations.answers.iter().filter(counts).find(late) {
        Some(job) => {
            Err(Violation::for_job(&job.id, format!("job {} was answered after {:?}", job.id, job.elapsed)))
        }
        None => Ok(()),
    }
}

/// The number of a job's caller.
pub(super) fn caller_of(id: &str) -> usize {
    usize::from_str_radix(&id[1..CALLER_DIGITS + 1], 16).unwrap_or(0)
}

/// The digits of a caller's number in its jobs' ids, behind the first.
pub(super) const CALLER_DIGITS: usize = 5;

pub(super) fn is_load(id: &str) -> bool {
    id.starts_with('f')
}
