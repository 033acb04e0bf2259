//! Guards against a change of the random draws: a seed that is known to fail would then give another fault
//! schedule.

use woadhook_standins::troubles::Plan;

/// The arguments of the commands in these seeds' entries in `KNOWN-RED.txt`: the numbers of routers and
/// engines, and the period in which faults begin, in milliseconds.
const ROUTERS: usize = 12;
const ENGINES: usize = 8;
const FAULT_PERIOD_MS: u64 = 12_000;

#[test]
fn seeds_that_are_known_to_fail_keep_their_schedules() {
    for (seed, schedule) in
        [(219, include_str!("schedules/219.txt")), (316, include_str!("schedules/316.txt"))]
    {
        let plan = Plan::draw(seed, ROUTERS, ENGINES, FAULT_PERIOD_MS);
        let drawn: String = plan.troubles.iter().map(|timed| format!("{timed:?}\n")).collect();
        assert_eq!(drawn, schedule, "the schedule of seed {seed}");
    }
}
