//! Tests of the scale example: the fitted lines, the limits and their error messages, and the lightweight
//! engines and discovery.

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

const LARGE_MACHINE: Machine = Machine { descriptors: 20_000, memory_kb: 24 * 1024 * 1024 };

fn parse(arguments: &str) -> Result<Arguments, String> {
    let command_line = ["scale"].into_iter().chain(arguments.split_whitespace());
    Arguments::try_parse_from(command_line).map_err(|error| error.to_string())
}

fn sizes(arguments: &str, machine: Machine) -> Result<Vec<usize>, String> {
    parse(arguments)?.checked_sizes(&machine)
}

fn nearly_equal(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

#[test]
fn fit_recovers_a_line_from_points_on_it() {
    let line = Line::fit(&[(0.0, 5.0), (10.0, 25.0), (20.0, 45.0)]).unwrap();
    assert!(
        nearly_equal(line.slope, 2.0)
            && nearly_equal(line.intercept, 5.0)
            && nearly_equal(line.residual, 0.0),
        "{line:?}"
    );
    assert!(nearly_equal(line.value_at(100.0), 205.0));
}

#[test]
fn residual_is_the_root_mean_square() {
    let line = Line::fit(&[(0.0, 1.0), (0.0, -1.0), (1.0, 1.0), (1.0, -1.0)]).unwrap();
    assert!(
        nearly_equal(line.slope, 0.0) && nearly_equal(line.residual, 1.0) && line.point_count == 4,
        "{line:?}"
    );
}

#[test]
fn points_at_a_single_size_give_no_line() {
    assert_eq!(Line::fit(&[]), None);
    assert_eq!(Line::fit(&[(3.0, 1.0), (3.0, 2.0)]), None);
}

#[test]
fn default_sizes_are_allowed_on_a_large_machine() {
    for axis in ["engines", "clients", "jobs", "events", "routers", "members"] {
        assert!(sizes(axis, LARGE_MACHINE).unwrap().len() >= 4, "{axis}");
    }
}

#[test]
fn error_for_an_unknown_axis_lists_the_axes() {
    let error = parse("moons").unwrap_err();
    assert!(error.contains("engines, clients, jobs, events, routers, members"), "{error}");
}

#[test]
fn error_for_a_size_out_of_range_names_the_range() {
    let error = sizes("routers --sizes 1,17", LARGE_MACHINE).unwrap_err();
    assert_eq!(error, "routers: 17 is out of range; allowed are 1 to 16");
}

#[test]
fn a_single_size_is_rejected() {
    let error = sizes("jobs --sizes 100,100", LARGE_MACHINE).unwrap_err();
    assert!(error.contains("at least 2 different ones"), "{error}");
}

#[test]
fn error_for_too_few_descriptors_names_the_allowed_sizes() {
    let short = Machine { descriptors: 8_000, ..LARGE_MACHINE };
    let error = sizes("clients", short).unwrap_err();
    assert!(error.contains("the limit is 8000 (ulimit -n); allowed are 0 to "), "{error}");
    let max_clients: usize = error.rsplit(' ').next().unwrap().parse().unwrap();
    assert!(sizes(&format!("clients --sizes 0,{max_clients}"), short).is_ok());
    assert!(sizes(&format!("clients --sizes 0,{}", max_clients + 1), short).is_err());
}

#[test]
fn error_for_too_little_memory_names_the_allowed_sizes() {
    let small = Machine { memory_kb: 1024 * 1024, ..LARGE_MACHINE };
    let error = sizes("engines --sizes 2,8000", small).unwrap_err();
    assert!(error.contains("half of the machine's memory is 512 MB; allowed are 1 to "), "{error}");
}

#[test]
fn several_programs_need_a_label_each() {
    let error = parse("jobs --program a --program b --label a").unwrap().targets().unwrap_err();
    assert_eq!(error, "--label: 1 labels for 2 programs; each program needs one of its own");
    let targets =
        parse("jobs --program a --program b --label x --label y --out o").unwrap().targets().unwrap();
    let folders: Vec<String> = targets.iter().map(|(_, folder)| folder.display().to_string()).collect();
    assert_eq!(folders, ["o/x", "o/y"]);
}

#[test]
fn lightweight_engines_and_discovery_serve_a_router_and_count_traffic() {
    let (engines, events) = (LightweightEngines::start(3).unwrap(), DiscoveryEvents::default());
    let discovery = LightweightDiscovery::start(events.clone());
    let listed_engines: Vec<_> = (0..2).map(|engine| engines.address(engine)).collect();
    let router = RouterThread::start(&listed_engines, discovery.address);
    let mut client = Client::connect(&router);
    for number in 1..=20 {
        client.send_job(number, "look", 10_000);
        assert_eq!(client.receive(), (number, Ok("a\tb\tc\n".to_owned())));
    }
    assert_eq!(engines.total_counts().queries, 20);
    assert_eq!(engines.counts(0).queries + engines.counts(1).queries, 20);
    events.add(2, vec![roster_member("late", engines.address(2), "SERVING")]);
    let deadline = std::time::Instant::now() + TEST_TIMEOUT;
    while discovery.applied_at(2).is_none() {
        assert!(std::time::Instant::now() < deadline, "the change is not in force");
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    let (received, sent) = discovery.traffic();
    assert!(received > 0 && sent > 0);
}
