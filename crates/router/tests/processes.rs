//! What the tests' own processes leave behind.
//!
//! What happened before: routers of a test that was killed went on; all eight of a soak that was killed were alive a second later. They
//! probe ports that may be another test's by then: a stand-in of discovery that was asked for a load report panicked under its lock
//! and answered nobody any more.

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

/// Set where this program plays the test that is killed.
const FOLDER: &str = "WOADHOOK_TEST_TO_BE_KILLED";

#[test]
fn the_processes_of_a_test_that_is_killed_end_with_it() {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("processes-killed");
    let _ = fs::remove_dir_all(&folder);
    let mut test = Command::new(env::current_exe().unwrap());
    test.args(["--exact", "a_test_that_is_killed", "--ignored", "--nocapture"]).env(FOLDER, &folder);
    let mut test = test.stdout(Stdio::piped()).spawn().unwrap();
    let lines = BufReader::new(test.stdout.take().unwrap()).lines().map_while(Result::ok);
    let id = lines.filter_map(|line| line.split_once("process ")?.1.parse::<u32>().ok()).next().unwrap();
    let process = format!("/proc/{id}");
    assert!(Path::new(&process).exists());
    test.kill().unwrap();
    test.wait().unwrap();
    let by = Instant::now() + TEST_TIMEOUT;
    while fs::read_to_string(format!("{process}/stat")).is_ok_and(|stat| !stat.contains(") Z ")) {
        assert!(Instant::now() < by, "the process goes on");
        thread::sleep(Duration::from_millis(10));
    }
}

#[test]
#[ignore = "is started and killed by the test above"]
fn a_test_that_is_killed() {
    let folder = env::var_os(FOLDER).expect("started by the test above");
    let told = router_config(&[], DiscoveryEvents::default().serve().address, 64);
    let process = RouterProcess::start(env!("CARGO_BIN_EXE_woadhook"), Path::new(&folder), "n0", &told);
    process.wait_until_ready();
    println!("process {}", process.id().unwrap());
    thread::sleep(TEST_TIMEOUT + TEST_TIMEOUT);
}

#[test]
fn a_discovery_stand_in_goes_on_behind_a_call_that_is_meant_for_another() {
    let discovery = DiscoveryEvents::default().serve();
    let asks = |path: &str| {
        let mut stream = TcpStream::connect(discovery.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        write!(stream, "GET {path} HTTP/1.1\r\n\r\n").unwrap();
        let mut answer = [0; 12];
        stream.read_exact(&mut answer).map(|()| String::from_utf8_lossy(&answer).into_owned())
    };
    assert_eq!(asks("/load").unwrap(), "HTTP/1.1 404");
    assert_eq!(asks("/bulletins?after=0&patience=0").unwrap(), "HTTP/1.1 200");
}
