//! The rules, counted over all processes together by what engines and callers saw.

use std::collections::HashMap;
use std::io;
use std::time::{Duration, Instant};

use super::queries::Queries;
use super::{ANSWERED, COLD, CORES, COST, DRAIN_GRACE_MS, FACTOR, FALL_MS, START_CAPACITY};

/// A router told to end takes what comes for longer than this.
const STILL_TAKEN: Duration = Duration::from_millis(200);
/// Requests on open connections come for so long behind the order to end, by the page.
const STILL_ON_OPEN: Duration = Duration::from_millis(600);
/// A request that crosses a close within this is sent again.
pub(super) const CROSSING: Duration = Duration::from_millis(50);
/// No attempt begins later than this after its client went; and what a slow machine may add.
const GONE: Duration = Duration::from_millis(100);
const MACHINE: Duration = Duration::from_millis(900);
/// So long after its time an answer only earns nothing; later, it is lost.
const LATE: Duration = Duration::from_millis(500);
/// What a deadline may be passed on too long.
const DEADLINE_SLACK: Duration = Duration::from_millis(150);

/// What engines and callers saw, over all processes together; as long as a story.
#[derive(Default)]
pub(super) struct Seen {
    pub posts: Vec<Post>,
    pub answers: Vec<Asked>,
    /// What became of the queries at engines.
    pub queries: Queries,
    /// When engines ended that had drained.
    pub died: HashMap<usize, Instant>,
    /// Until when routers have a crowd of clients that say nothing, and close connections that rest for new ones.
    pub crowded: HashMap<usize, Instant>,
    /// When clients left that wait for no answer.
    pub left: HashMap<String, Instant>,
    /// When each engine was told to drain.
    pub drained: HashMap<usize, Instant>,
    pub cold: HashMap<usize, Instant>,
    /// When each router was killed outright, or told to end.
    pub killed: Vec<(usize, Instant)>,
    pub ended: Vec<(usize, Instant)>,
    /// When each was killed that had been told to end; it frees no request of its answer.
    pub killed_behind_their_end: Vec<(usize, Instant)>,
    /// Whether bytes between routers and engines were held up, so that engines tell nothing of when they were sent.
    pub ways_cut: bool,
    /// Whether jobs of a key keep their order.
    pub ordered: bool,
    /// Routers that stood still at times, and how many there are.
    pub stood: Vec<usize>,
    pub routers: usize,
}

/// A query that came to an engine.
pub(super) struct Post {
    pub engine: usize,
    pub id: String,
    pub at: Instant,
    /// The time left that the engine was told.
    pub patience: Duration,
}

pub(super) struct Asked {
    pub router: usize,
    pub id: String,
    pub at: Instant,
    /// How long its caller waits, and how long it waited.
    pub wait: Duration,
    pub took: Duration,
    /// How long its caller took to write it, from `at` on.
    pub written: Duration,
    /// When its connection came up.
    pub since: Instant,
    /// Done, another answer, or none as the connection ended.
    pub got: io::Result<bool>,
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
pub(super) struct Broken {
    /// What is wrong.
    pub words: String,
    /// The ids of the jobs that show it.
    pub jobs: Vec<String>,
}

impl Broken {
    fn by(job: &str, words: String) -> Self {
        Self { words, jobs: vec![job.to_owned()] }
    }
}

/// Rule 1: an answer for each job, unless its router was killed, or was told to end some time before the job came.
fn one_answer(seen: &Seen) -> Result<(), Broken> {
    for Asked { router, id, at, since, took, got, .. } in seen.answers.iter().filter(|asked| !asked.is_direct)
    {
        let killed = seen.killed.iter().any(|(of, when)| of == router && when >= since);
        let past = |when: &Instant| when >= since || at.saturating_duration_since(*when) < ANSWERED;
        let ended = |when: &Instant| *at >= *when + STILL_TAKEN && past(when);
        let ended = seen.ended.iter().any(|(of, when)| of == router && ended(when));
        if let (Err(error), false, false) = (got, killed, ended) {
            let words = format!("job {id} at router {router} got no answer, {took:?} behind it: {error}");
            return Err(Broken::by(id, words));
        }
    }
    Ok(())
}

/// Rule 1, for clients that go on over open connections of a router that was told to end: by the page, requests on these come for
/// 0.6 s more, and one that crosses the close within 50 ms is sent again. What was forwarded, or read, is owed its answer.
fn answered_until_the_end(seen: &Seen) -> Result<(), Broken> {
    for asked in seen.answers.iter().filter(|asked| asked.is_direct) {
        let (Err(error), id) = (&asked.got, &asked.id) else { continue };
        let past = |(of, when): &&(usize, Instant)| *of == asked.router && *when >= asked.since;
        let told = seen.ended.iter().filter(past).map(|(_, when)| *when).min();
        let forwarded = seen.posts.iter().any(|post| post.id == *id);
        let in_time = told.is_none_or(|told| asked.at <= told + STILL_ON_OPEN);
        let crossed = asked.took <= CROSSING + MACHINE;
        // As a crowd fills the descriptors, connections that rest are closed for new ones at any time.
        let crowded = seen.crowded.get(&asked.router).is_some_and(|until| asked.at < *until);
        if crowded && !forwarded && asked.took <= CROSSING {
            continue;
        }
        if forwarded || in_time || !crossed {
            let behind = told.map(|told| asked.at.saturating_duration_since(told));
            let words = format!(
                "job {id} at router {}, sent {behind:?} behind the order to end, forwarded: {forwarded}, got no answer after {:?}: {error}",
                asked.router, asked.took
            );
            return Err(Broken::by(id, words));
        }
    }
    Ok(())
}

/// Rule 2: a run-once job came to one engine at most, as no engine here says that it never ran.
fn no_effect_twice(seen: &Seen) -> Result<(), Broken> {
    let mut came: HashMap<&str, usize> = HashMap::new();
    for Post { id, .. } in seen.posts.iter().filter(|post| is_load(&post.id)) {
        let count = came.entry(id).or_default();
        *count += 1;
        if *count > 1 {
            return Err(Broken::by(id, format!("run-once job {id} came to engines twice")));
        }
    }
    Ok(())
}

/// Rule 3.
fn nothing_after_the_grace(seen: &Seen) -> Result<(), Broken> {
    let late = seen.posts.iter().find(|post| {
        let told = seen.drained.get(&post.engine);
        told.is_some_and(|told| {
            post.at.saturating_duration_since(*told) > Duration::from_millis(DRAIN_GRACE_MS)
        })
    });
    late.map_or(Ok(()), |Post { engine, id, .. }| {
        Err(Broken::by(id, format!("job {id} came to engine {engine} after its grace")))
    })
}

/// Rule 4: no more work to a cold engine in any window than its budget, from all routers together. Its capacity rises evenly;
/// a root of the budget is allowed for jobs that the machine brings late.
fn cold_engines_hold(seen: &Seen) -> Result<(), Broken> {
    for (engine, start) in &seen.cold {
        let at: Vec<Instant> =
            seen.posts.iter().filter(|post| post.engine == *engine).map(|post| post.at).collect();
        for (place, first) in at.iter().enumerate() {
            let within = at[place..]
                .iter()
                .take_while(|at| at.duration_since(*first).as_millis() < u128::from(FALL_MS));
            let count = within.count();
            let risen = (first.saturating_duration_since(*start).as_secs_f64() / COLD.as_secs_f64()).min(1.0);
            let able = START_CAPACITY + (1.0 - START_CAPACITY) * risen;
            let most = FACTOR * able * CORES * FALL_MS as f64 / COST as f64;
            if count as f64 > most + most.sqrt() {
                let words =
                    format!("{count} jobs in a window at cold engine {engine}, {most:.1} are its budget");
                return Err(Broken { words, jobs: Vec::new() });
            }
        }
    }
    Ok(())
}

/// Rule 5: of a router's loads, which all have one key, none comes to an engine while an earlier one is out: from when it came
/// until its end was written, it was given up, it had not been asked for in 2 s, behind which its engine ends it, or its engine's process
/// ended. A router that was killed knows of none before.
fn one_at_a_time(seen: &Seen) -> Result<(), Broken> {
    let mut last: HashMap<usize, &Post> = HashMap::new();
    for post in seen.posts.iter().filter(|post| seen.ordered && is_load(&post.id)) {
        let router = caller_of(&post.id) % seen.routers;
        let Some(before) = last.insert(router, post) else { continue };
        let query = seen.queries.get(before.engine, &before.id).expect("a query for each post");
        let (over, how) = query.over();
        let died = seen.died.get(&before.engine).is_some_and(|died| *died <= post.at);
        let between = |(of, when): &(usize, Instant)| *of == router && *when >= before.at && *when <= post.at;
        let kills = seen.killed.iter().chain(&seen.killed_behind_their_end);
        let anew = kills.chain(&seen.ended).any(between);
        if over > post.at && !died && !anew {
            let since = |at: Instant| at.saturating_duration_since(before.at);
            let words = format!(
                "load {} of router {router} came to engine {} while {} was out at engine {}: {:?} behind it, which had {:?}, was asked for last at {:?} and was over at {:?} ({how:?}); the engine drained at {:?}",
                post.id,
                post.engine,
                before.id,
                before.engine,
                since(post.at),
                before.patience,
                since(query.asked()),
                since(over),
                seen.drained.get(&before.engine).map(|at| since(*at)),
            );
            return Err(Broken { words, jobs: vec![before.id.clone(), post.id.clone()] });
        }
    }
    Ok(())
}

/// No attempt for a client that has gone.
fn none_for_the_gone(seen: &Seen) -> Result<(), Broken> {
    let late = |post: &&Post| {
        let left = seen.left.get(&post.id);
        left.is_some_and(|left| post.at.saturating_duration_since(*left) > GONE + MACHINE)
    };
    match seen.posts.iter().filter(|_| !seen.ways_cut).find(late) {
        Some(post) => Err(Broken::by(&post.id, format!("job {} came after its client went", post.id))),
        None => Ok(()),
    }
}

/// The deadline that an engine is told is no longer than what the client has left.
fn no_longer_deadline(seen: &Seen) -> Result<(), Broken> {
    let asked: HashMap<&str, &Asked> = seen.answers.iter().map(|asked| (asked.id.as_str(), asked)).collect();
    for post in seen.posts.iter().filter(|_| !seen.ways_cut) {
        let Some(asked) = asked.get(post.id.as_str()) else { continue };
        let left = asked.wait.saturating_sub(post.at.saturating_duration_since(asked.at));
        if post.patience > left + DEADLINE_SLACK + MACHINE.min(asked.wait / 10) {
            let words = format!(
                "job {} was sent with {:?}, its client had {left:?}: it began to write at {:?}, took {:?}, and the job came to engine {} at {:?}",
                post.id, post.patience, asked.at, asked.written, post.engine, post.at
            );
            return Err(Broken::by(&post.id, words));
        }
    }
    Ok(())
}

/// The first broken rule, with the job that shows it, if one does.
pub(super) fn all_rules(seen: &Seen) -> Result<(), Broken> {
    one_answer(seen)?;
    answered_until_the_end(seen)?;
    answers_in_time(seen)?;
    no_effect_twice(seen)?;
    nothing_after_the_grace(seen)?;
    cold_engines_hold(seen)?;
    one_at_a_time(seen)?;
    none_for_the_gone(seen)?;
    no_longer_deadline(seen)
}

/// Rule 1: in time, but for routers that stood and ways that were cut.
fn answers_in_time(seen: &Seen) -> Result<(), Broken> {
    let counts = |asked: &&Asked| !seen.ways_cut && !seen.stood.contains(&asked.router);
    let late = |asked: &&Asked| asked.got.is_ok() && asked.took > asked.wait + LATE + MACHINE;
    match seen.answers.iter().filter(counts).find(late) {
        Some(asked) => {
            Err(Broken::by(&asked.id, format!("job {} was answered after {:?}", asked.id, asked.took)))
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
