//! Scenarios with more engines than are compared for each job.

use woadhook::*;

use crate::host::*;

/// The largest number of engines that the operators name.
const MANY: usize = 3_200;
/// Maximum number of engines whose records one pull removes.
const MAX_REMOVED_PER_PULL: usize = 128;
/// Pulls that return something else than an unused index.
const PULLS_WITHOUT_REMOVAL: usize = 50;
/// Maximum number of engines' records that the decisions on one job may look at.
const MAX_EXAMINED_PER_JOB: u64 = 1_500;
/// Time between two changes, in which the working set is drawn again.
const MS_BETWEEN_CHANGES: u64 = 150;

fn host_with(engines: usize, change: impl Fn(&mut Start)) -> Host {
    let mut host = Host::new(change);
    (2..engines).for_each(|engine| host.list_engine(engine, EngineStatus::Live, None));
    host
}

/// Runs jobs one after another; every tenth fails to connect, so that its engine is set aside, and runs at
/// another engine.
fn run_jobs(host: &mut Host, count: usize) {
    for number in 0..count {
        let job = host.job(LOOKUP, number % 10);
        host.pull();
        let outcome = if number % 10 == 0 { Outcome::NotConnected } else { Outcome::Done };
        host.end(job, 0, outcome, 50);
        host.end(job, 1, Outcome::Done, 50);
        host.now = host.now + ms(5);
    }
}

/// Guards against decisions on a job that look at every listed engine.
#[test]
fn decisions_on_a_job_look_at_a_bounded_number_of_engines() {
    let mut host = host_with(MANY, |_| ());
    host.pull();
    let (jobs, before) = (400, host.router.engines_examined());
    run_jobs(&mut host, jobs);
    // The cores of all engines are summed up once a second.
    let scans = jobs as u64 * 5 / 1_000 + 1;
    let allowed = jobs as u64 * MAX_EXAMINED_PER_JOB + scans * MANY as u64;
    let examined = host.router.engines_examined() - before;
    assert!(examined <= allowed, "{examined} for {jobs} jobs");
    assert!(host.sent.len() >= jobs, "{} of {jobs}", host.sent.len());
}

/// Guards against pulls that look at every engine that is gone until its work there has ended.
#[test]
fn engines_that_leave_together_are_removed_in_bounded_steps() {
    let mut host = host_with(MANY, |_| ());
    let jobs = 200;
    run_jobs(&mut host, jobs);
    let set_aside = jobs / 10;
    let staying: Vec<EngineId> = (0..MANY / 2).map(EngineId).collect();
    host.router.list_complete(&staying);
    let before = host.router.engines_examined();
    host.pull();
    let engines = host.forgotten.iter().filter(|index| matches!(index, Forgotten::Engine(_))).count();
    let probed = host.probed.iter().filter(|engine| engine.0 >= MANY / 2).count();
    assert_eq!(engines + probed, MANY - MANY / 2);
    // The cores are summed up once, and each engine that left is looked at once. Those that are set aside, or
    // have a probe in flight, are looked at again in each pull that decides something or removes further
    // engines.
    let examined = host.router.engines_examined() - before;
    let pulls = engines.div_ceil(MAX_REMOVED_PER_PULL) + PULLS_WITHOUT_REMOVAL;
    let allowed = MANY + engines + pulls * (set_aside + probed);
    assert!(examined <= allowed as u64, "{examined} of {allowed} looked at");
}

/// Guards against jobs that find no engine because the few that they may run on are not considered.
#[test]
fn jobs_bound_to_a_zone_kind_or_cell_find_their_engines_among_thousands() {
    let keyed = Effect::Keyed { scope: Scope::Cell, window: ms(5_000) };
    let mut host = host_with(MANY, |start| {
        start.types[0].zones = Some(vec![ZoneId(1)]);
        start.types[0].kinds = Some(vec![KindId(1)]);
        start.types[0].effect = keyed;
    });
    for number in 0..40 {
        let job = host.job(LOOKUP, number);
        host.pull();
        host.end(job, 0, Outcome::TimedOut, 50);
        let engines = host.engines_of(job);
        assert!(engines.len() == 2 && engines[0] == engines[1], "{engines:?}");
        assert_eq!(engines[0].0 % 2, 1);
        host.end(job, 1, Outcome::Done, 50);
    }
}

/// Guards against a set that keeps engines that drain or were set aside.
#[test]
fn engines_that_drain_get_nothing_more_although_the_set_was_drawn_before() {
    let mut host = host_with(MANY, |_| ());
    run_jobs(&mut host, 5);
    (0..MANY - 1).for_each(|engine| host.list_engine(engine, EngineStatus::Draining, None));
    let before = host.sent.len();
    let job = host.job(LOOKUP, 1);
    host.advance(200);
    assert_eq!(host.sent[before..].iter().map(|sent| sent.1).collect::<Vec<_>>(), [EngineId(MANY - 1)]);
    assert_eq!(host.engines_of(job), [EngineId(MANY - 1)]);
}

/// Guards against a router that looks at every listed engine whenever engines are set aside or listed.
#[test]
fn changes_of_few_engines_cost_no_look_at_all_of_them() {
    let mut host = host_with(MANY, |_| ());
    host.pull();
    let (before, changes) = (host.router.engines_examined(), 20);
    for engine in 0..changes {
        host.list_engine(engine, EngineStatus::Draining, None);
        host.advance(MS_BETWEEN_CHANGES);
    }
    let scans = changes as u64 * MS_BETWEEN_CHANGES / 1_000 + 1;
    let allowed = scans * MANY as u64 + changes as u64 * MAX_EXAMINED_PER_JOB;
    let examined = host.router.engines_examined() - before;
    assert!(examined <= allowed, "{examined} for {changes} changes");
}
