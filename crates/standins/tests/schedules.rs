//! Guards against a change of draws, with which a seed that is known to fail would be another schedule.

use woadhook_standins::troubles::Plan;

/// As the commands of these seeds' entries in `KNOWN-RED.txt` have it: routers, engines, and how long troubles begin, in milliseconds.
const ROUTERS: usize = 12;
const ENGINES: usize = 8;
const LENGTH: u64 = 12_000;

#[test]
fn seeds_that_are_known_to_fail_keep_their_schedules() {
    for (seed, schedule) in
        [(219, include_str!("schedules/219.txt")), (316, include_str!("schedules/316.txt"))]
    {
        let plan = Plan::draw(seed, ROUTERS, ENGINES, LENGTH);
        let drawn: String = plan.troubles.iter().map(|timed| format!("{timed:?}\n")).collect();
        assert_eq!(drawn, schedule, "the schedule of seed {seed}");
    }
}
