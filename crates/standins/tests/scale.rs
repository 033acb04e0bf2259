//! The parts of the scale example that can be wrong: its lines, its limits and their errors, and the lightweight parties.

use clap::Parser;
use woadhook_standins::lightweight::discovery::LightweightDiscovery;
use woadhook_standins::lightweight::engines::LightweightEngines;
use woadhook_standins::{Client, DiscoveryEvents, RouterThread, TEST_TIMEOUT, roster_member};

#[allow(dead_code, reason = "the example uses the rest")]
#[path = "../examples/scale/arguments.rs"]
mod arguments;
#[allow(dead_code, reason = "the example uses the rest")]
#[path = "../examples/scale/fit.rs"]
mod fit;
#[allow(dead_code, reason = "the example uses the rest")]
#[path = "../examples/scale/limits.rs"]
mod limits;
#[allow(dead_code, reason = "the example uses the rest")]
#[path = "../examples/scale/setup.rs"]
mod setup;

use arguments::Arguments;
use fit::Line;
use limits::Machine;

const LARGE: Machine = Machine { descriptors: 20_000, memory_kb: 24 * 1024 * 1024 };

fn read(words: &str) -> Result<Arguments, String> {
    let words = ["scale"].into_iter().chain(words.split_whitespace());
    Arguments::try_parse_from(words).map_err(|error| error.to_string())
}

fn points(words: &str, machine: Machine) -> Result<Vec<usize>, String> {
    read(words)?.points(&machine)
}

fn close(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

#[test]
fn a_line_goes_through_points_that_lie_on_one() {
    let line = Line::fit(&[(0.0, 5.0), (10.0, 25.0), (20.0, 45.0)]).unwrap();
    assert!(close(line.slope, 2.0) && close(line.intercept, 5.0) && close(line.residual, 0.0), "{line:?}");
    assert!(close(line.at(100.0), 205.0));
}

#[test]
fn a_residual_is_the_root_of_the_mean_square() {
    let line = Line::fit(&[(0.0, 1.0), (0.0, -1.0), (1.0, 1.0), (1.0, -1.0)]).unwrap();
    assert!(close(line.slope, 0.0) && close(line.residual, 1.0) && line.points == 4, "{line:?}");
}

#[test]
fn points_at_one_size_make_no_line() {
    assert_eq!(Line::fit(&[]), None);
    assert_eq!(Line::fit(&[(3.0, 1.0), (3.0, 2.0)]), None);
}

#[test]
fn the_usual_points_are_allowed_on_a_large_machine() {
    for axis in ["engines", "clients", "jobs", "events", "routers", "members"] {
        assert!(points(axis, LARGE).unwrap().len() >= 4, "{axis}");
    }
}

#[test]
fn an_unknown_axis_is_told_which_there_are() {
    let error = read("moons").unwrap_err();
    assert!(error.contains("engines, clients, jobs, events, routers, members"), "{error}");
}

#[test]
fn a_size_out_of_range_is_told_the_range() {
    let error = points("routers --sizes 1,17", LARGE).unwrap_err();
    assert_eq!(error, "routers: 17 is out of range; allowed are 1 to 16");
}

#[test]
fn one_point_makes_no_line() {
    let error = points("jobs --sizes 100,100", LARGE).unwrap_err();
    assert!(error.contains("at least 2 different ones"), "{error}");
}

#[test]
fn short_descriptors_are_told_with_what_they_allow() {
    let short = Machine { descriptors: 8_000, ..LARGE };
    let error = points("clients", short).unwrap_err();
    assert!(error.contains("the limit is 8000 (ulimit -n); allowed are 0 to "), "{error}");
    let most: usize = error.rsplit(' ').next().unwrap().parse().unwrap();
    assert!(points(&format!("clients --sizes 0,{most}"), short).is_ok());
    assert!(points(&format!("clients --sizes 0,{}", most + 1), short).is_err());
}

#[test]
fn too_little_memory_is_told_with_what_it_allows() {
    let small = Machine { memory_kb: 1024 * 1024, ..LARGE };
    let error = points("engines --sizes 2,8000", small).unwrap_err();
    assert!(error.contains("half of the machine's memory is 512 MB; allowed are 1 to "), "{error}");
}

#[test]
fn each_of_several_programs_needs_a_folder() {
    let error = read("jobs --program a --program b --label a").unwrap().targets().unwrap_err();
    assert_eq!(error, "--label: 1 labels for 2 programs; each program needs one of its own");
    let targets =
        read("jobs --program a --program b --label x --label y --out o").unwrap().targets().unwrap();
    let folders: Vec<String> = targets.iter().map(|(_, folder)| folder.display().to_string()).collect();
    assert_eq!(folders, ["o/x", "o/y"]);
}

#[test]
fn hollow_parties_serve_a_router_and_count() {
    let (engines, events) = (LightweightEngines::start(3).unwrap(), DiscoveryEvents::default());
    let discovery = LightweightDiscovery::start(events.clone());
    let listed: Vec<_> = (0..2).map(|engine| engines.address(engine)).collect();
    let router = RouterThread::start(&listed, discovery.address);
    let mut client = Client::connect(&router);
    for number in 1..=20 {
        client.send_job(number, "look", 10_000);
        assert_eq!(client.receive(), (number, Ok("a\tb\tc\n".to_owned())));
    }
    assert_eq!(engines.total_counts().queries, 20);
    assert_eq!(engines.counts(0).queries + engines.counts(1).queries, 20);
    events.add(2, vec![roster_member("late", engines.address(2), "SERVING")]);
    let until = std::time::Instant::now() + TEST_TIMEOUT;
    while discovery.applied_at(2).is_none() {
        assert!(std::time::Instant::now() < until, "the change is not in force");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    let (received, sent) = discovery.traffic();
    assert!(received > 0 && sent > 0);
}
