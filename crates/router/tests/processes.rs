//! Processes that tests start end with their test.
//!
//! Routers of a killed test used to keep running: all eight of a killed soak were alive a second later. Such
//! routers probe ports that may belong to another test by then. A stand-in for discovery that received such a
//! probe, a request for a load report, used to panic while it held its lock, and answered no further call.

use std::env;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use woadhook_standins::processes::RouterProcess;
use woadhook_standins::{DiscoveryEvents, TEST_TIMEOUT, router_config};

/// The environment variable that is set when this program runs as the test that is killed. It holds the
/// folder for the router's files.
const FOLDER_VARIABLE: &str = "WOADHOOK_TEST_TO_BE_KILLED";

#[test]
fn processes_of_a_killed_test_end_with_it() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("processes-killed");
    let _ = fs::remove_dir_all(&folder);
    let mut test = Command::new(env::current_exe().unwrap());
    test.args(["--exact", "a_test_that_is_killed", "--ignored", "--nocapture"]).env(FOLDER_VARIABLE, &folder);
    let mut test = test.stdout(Stdio::piped()).spawn().unwrap();
    let lines = BufReader::new(test.stdout.take().unwrap()).lines().map_while(Result::ok);
    let id = lines.filter_map(|line| line.split_once("process ")?.1.parse::<u32>().ok()).next().unwrap();
    let process = format!("/proc/{id}");
    assert!(Path::new(&process).exists());
    test.kill().unwrap();
    test.wait().unwrap();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while fs::read_to_string(format!("{process}/stat")).is_ok_and(|stat| !stat.contains(") Z ")) {
        assert!(Instant::now() < deadline, "the process is still running");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
#[ignore = "is started and killed by the test above"]
fn a_test_that_is_killed() {
    let folder = env::var_os(FOLDER_VARIABLE).expect("started by the test above");
    let config = router_config(&[], DiscoveryEvents::default().serve().address, 64);
    let process = RouterProcess::start(env!("CARGO_BIN_EXE_woadhook"), Path::new(&folder), "n0", &config);
    process.wait_until_ready();
    println!("process {}", process.id().unwrap());
    thread::sleep(TEST_TIMEOUT + TEST_TIMEOUT);
}

#[test]
fn a_discovery_stand_in_survives_a_call_meant_for_an_engine() {
    let discovery = DiscoveryEvents::default().serve();
    let status_line = |path: &str| {
        let mut stream = TcpStream::connect(discovery.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        write!(stream, "GET {path} HTTP/1.1\r\n\r\n").unwrap();
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).map(|()| String::from_utf8_lossy(&answer).into_owned())
    };
    assert_eq!(status_line("/load").unwrap(), "HTTP/1.1 404");
    assert_eq!(status_line("/bulletins?after=0&patience=0").unwrap(), "HTTP/1.1 200");
}
