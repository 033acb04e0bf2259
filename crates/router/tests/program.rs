//! The program as operators use it: its commands, files and signals.

use std::fs;
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use woadhook_standins::clients::receive_answer;
use woadhook_standins::folders;
use woadhook_standins::{Client, DiscoveryEvents, StandinServer, TEST_TIMEOUT, result_page, router_config};

fn folder(scenario: &str) -> PathBuf {
    let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("program-{scenario}"));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn woadhook(folder: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_woadhook"));
    command.current_dir(folder).args(arguments).env_remove("LB_CONFIG").env_remove("RUST_LOG");
    command
}

fn run(folder: &Path, arguments: &[&str]) -> Result<String, String> {
    let Output { status, stdout, stderr } = woadhook(folder, arguments).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    if status.success() { Ok(text(stdout)) } else { Err(text(stderr)) }
}

/// Creates keys, a pass and an operator file for a member, in a folder of their own.
fn folder_with_keys(scenario: &str) -> PathBuf {
    let folder = folder(scenario);
    let operator = run(&folder, &["key", "new", "operator.key"]).unwrap();
    let member = run(&folder, &["key", "new", "n1.key"]).unwrap();
    let admit = [
        "key",
        "admit",
        "--operator-key",
        "operator.key",
        "--cluster",
        "arhiv",
        "--member",
        member.trim(),
        "--name",
        "n1",
        "--days",
        "30",
        "--to",
        "n1.pass",
    ];
    assert!(run(&folder, &admit).unwrap().starts_with("n1 "));
    fs::write(folder.join("operator.pub"), operator.trim()).unwrap();
    fs::write(folder.join("site.jsonnet"), "local operator = std.stripChars(importstr 'operator.pub', '\\n');
        { log: { format: 'json' },
          gossip: { cluster: 'arhiv', listen: '127.0.0.1:0', key: 'n1.key', pass: 'n1.pass', operator_keys: [operator] } }")
        .unwrap();
    folder
}

#[test]
fn help_version_and_fields_are_printed() {
    let folder = folder("help");
    assert!(run(&folder, &["--help"]).unwrap().contains("Usage: woadhook"));
    assert!(run(&folder, &["--version"]).unwrap().starts_with("woadhook 0."));
    assert!(run(&folder, &["fields"]).unwrap().contains("## gossip"));
    assert!(run(&folder, &["fly"]).unwrap_err().contains("unrecognized subcommand"));
    assert!(run(&folder, &[]).unwrap_err().contains("LB_CONFIG names no file"));
}

#[test]
fn check_prints_the_settings_or_the_error() {
    let folder = folder_with_keys("check");
    let output = run(&folder, &["check", "--operator", "site.jsonnet"]).unwrap();
    for line in
        ["gossip.cluster = \"arhiv\"", "gossip.period_ms = 200", "log.format = \"json\"", "member n1 "]
    {
        assert!(output.contains(line), "{line} in {output}");
    }
    let config = router_config(&[], DiscoveryEvents::default().serve().address, 1024);
    fs::write(folder.join("config.json"), &config).unwrap();
    assert!(run(&folder, &["check", "--config", "config.json"]).unwrap().contains("sockets = 1024"));
    fs::write(folder.join("config.json"), config.replace("\"seed\"", "\"seeds\"")).unwrap();
    assert_eq!(run(&folder, &["check", "--config", "config.json"]).unwrap_err(), "config.json: lacks seed\n");
    fs::write(folder.join("bad.jsonnet"), "{ gossip: { cluster: 7 } }").unwrap();
    let error = run(&folder, &["check", "--operator", "bad.jsonnet"]).unwrap_err();
    assert!(
        error.contains("bad.jsonnet: gossip.cluster: 7 given, allowed is text of 1 to 64 bytes"),
        "{error}"
    );
    fs::remove_file(folder.join("n1.pass")).unwrap();
    let error = run(&folder, &["check", "--operator", "site.jsonnet"]).unwrap_err();
    assert!(error.contains("gossip.pass") && error.contains("n1.pass"), "{error}");
    assert!(run(&folder, &["check"]).unwrap_err().contains("nothing to check"));
}

#[test]
fn a_template_that_exceeds_time_or_memory_is_stopped_at_the_bounds() {
    let folder = folder("bounds");
    fs::write(
        folder.join("time.jsonnet"),
        "{ log: std.foldl(function(a, b) a + b, std.range(1, 100000000), 0) }",
    )
    .unwrap();
    fs::write(
        folder.join("memory.jsonnet"),
        "local f(s, n) = if n == 0 then s else f(s + s, n - 1) tailstrict; { log: f('xxxxxxxx', 60) }",
    )
    .unwrap();
    for file in ["time.jsonnet", "memory.jsonnet"] {
        let error = run(&folder, &["check", "--operator", file]).unwrap_err();
        assert!(error.contains(file) && error.contains("bounds"), "{error}");
    }
}

#[test]
fn keys_are_created_shown_and_protected() {
    let folder = folder_with_keys("keys");
    let mode = fs::metadata(folder.join("n1.key")).unwrap().permissions().mode() & 0o777;
    assert_eq!(mode, 0o600);
    assert!(
        run(&folder, &["key", "new", "n1.key"]).unwrap_err().contains("exists"),
        "an existing key is never overwritten"
    );
    let secret = fs::read_to_string(folder.join("n1.key")).unwrap();
    let secret = secret.lines().nth(1).unwrap();
    let shown = run(&folder, &["key", "show", "n1.key"]).unwrap();
    assert!(shown.contains("public ") && !shown.contains(secret));
    assert!(run(&folder, &["key", "show", "n1.pass"]).unwrap().starts_with("pass of n1 "));
    let public = shown.split("public ").nth(1).unwrap().trim();
    let revoke = [
        "key",
        "revoke",
        "--operator-key",
        "operator.key",
        "--cluster",
        "arhiv",
        "--member",
        public,
        "--list",
        "out",
    ];
    assert!(run(&folder, &revoke).unwrap().contains("1 on the list"));
    assert!(run(&folder, &revoke).unwrap().contains("1 on the list"), "the list contains each key once");
    assert!(run(&folder, &["key", "show", "out"]).unwrap().starts_with("revoked "));
    fs::set_permissions(folder.join("n1.key"), fs::Permissions::from_mode(0o640)).unwrap();
    for arguments in [&["key", "show", "n1.key"][..], &["check", "--operator", "site.jsonnet"]] {
        let error = run(&folder, arguments).unwrap_err();
        assert!(error.contains("mode 0640, allowed is what its owner alone can read"), "{error}");
    }
}

/// A router process and its log lines.
struct RunningRouter {
    child: Child,
    lines: BufReader<std::process::ChildStderr>,
}

impl RunningRouter {
    fn new(folder: &Path, arguments: &[&str]) -> Self {
        let config = router_config(&[], DiscoveryEvents::default().serve().address, 1024);
        fs::write(folder.join("config.json"), config).unwrap();
        let mut child = woadhook(folder, arguments)
            .env("LB_CONFIG", "config.json")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap());
        Self { child, lines }
    }

    /// Returns the next log line that contains the text.
    fn wait_for_line(&mut self, text: &str) -> String {
        loop {
            let mut line = String::new();
            assert!(self.lines.read_line(&mut line).unwrap() > 0, "no line with {text}");
            if line.contains(text) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        let sent = Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
        assert!(sent.success());
    }

    fn stop(mut self) -> String {
        self.signal("-TERM");
        let mut rest = String::new();
        self.lines.read_to_string(&mut rest).unwrap();
        assert!(self.child.wait().unwrap().success());
        rest
    }
}

#[test]
fn a_router_with_an_operator_file_logs_json_and_keeps_it_when_the_new_one_is_invalid() {
    let folder = folder_with_keys("run");
    let mut router = RunningRouter::new(&folder, &["run", "--operator", "site.jsonnet"]);
    let line = router.wait_for_line("gossip_started");
    let line: Value = serde_json::from_str(&line).unwrap();
    assert_eq!((line["event"].as_str(), line["member"].as_str()), (Some("gossip_started"), Some("n1")));
    assert!(line["at"].is_string() && line["level"] == "info");
    router.wait_for_line("serving on");
    let good = fs::read_to_string(folder.join("site.jsonnet")).unwrap();
    fs::write(folder.join("site.jsonnet"), good.replace("cluster", "clutter")).unwrap();
    router.signal("-HUP");
    let line = router.wait_for_line("the old operator file stays");
    assert!(line.contains("gossip.clutter: no such field"), "{line}");
    fs::write(folder.join("site.jsonnet"), good).unwrap();
    router.signal("-HUP");
    router.wait_for_line("gossip_rekeyed");
    let rest = router.stop();
    assert!(rest.contains("stopping"));
    let secret = fs::read_to_string(folder.join("n1.key")).unwrap();
    assert!(!rest.contains(secret.lines().nth(1).unwrap()));
}

#[test]
fn without_a_command_a_router_starts_with_text_logs() {
    let folder = folder("bare");
    let mut router = RunningRouter::new(&folder, &[]);
    let line = router.wait_for_line("serving on 127.0.0.1:0");
    assert!(line.starts_with('['), "text, not JSON: {line}");
    router.stop();
    let mut router = RunningRouter::new(&folder, &["--log-format", "json"]);
    router.wait_for_line("\"says\":\"serving on");
    router.stop();
}

#[test]
fn a_voter_set_is_created_shown_checked_and_rejected_when_invalid() {
    let folder = folder_with_keys("order");
    let member = run(&folder, &["key", "show", "n1.key"]).unwrap();
    let public = member.lines().find_map(|line| line.strip_prefix("public ")).unwrap().to_owned();
    let create_voter_set = |operator: &str, cluster: &str, epoch: &str, to: &str| {
        let arguments = ["key", "order", "--operator-key", operator, "--cluster", cluster, "--epoch", epoch];
        run(&folder, &[&arguments[..], &["--voter", &public, "--to", to]].concat())
    };
    assert!(
        create_voter_set("operator.key", "arhiv", "1", "order")
            .unwrap()
            .starts_with("epoch 1 with 1 voters: ")
    );
    assert!(run(&folder, &["key", "show", "order"]).unwrap().starts_with("epoch 1 "));
    assert!(
        create_voter_set("operator.key", "arhiv", "0", "zero")
            .unwrap_err()
            .contains("epoch 0 given, allowed are 1")
    );
    create_voter_set("n1.key", "arhiv", "2", "forged").unwrap();
    create_voter_set("operator.key", "elsewhere", "2", "foreign").unwrap();
    let site = fs::read_to_string(folder.join("site.jsonnet")).unwrap();
    let check = |voter_set: &str, accord: &str| {
        let operator_file = site.replace("operator_keys:", &format!("order: '{voter_set}', operator_keys:"));
        let operator_file = operator_file.replace("gossip:", &format!("accord: {{ {accord} }}, gossip:"));
        fs::write(folder.join("with.jsonnet"), operator_file).unwrap();
        run(&folder, &["check", "--operator", "with.jsonnet"])
    };
    assert!(check("order", "").unwrap().contains("epoch 1 with 1 voters"));
    assert!(
        check("forged", "")
            .unwrap_err()
            .contains("not signed by one of the operator's keys for this cluster")
    );
    assert!(
        check("foreign", "")
            .unwrap_err()
            .contains("not signed by one of the operator's keys for this cluster")
    );
    assert!(check("n1.pass", "").unwrap_err().contains("line 1: allowed is \"woadhook order of voters\""));
    let lease = check("order", "lease_ms: 3000, clock_tolerance_ms: 2000").unwrap_err();
    assert!(lease.contains("accord.lease_ms: 3000 given, allowed is more than twice"), "{lease}");
}

/// Threat: a reload signal that arrives while the program still reads its files would end it.
#[test]
fn a_reload_signal_before_the_program_serves_does_not_end_it() {
    let folder = folder("early-order");
    let (operator, config) = (folder.join("site.jsonnet"), folder.join("config.json"));
    assert!(Command::new("mkfifo").arg(&operator).status().unwrap().success());
    fs::write(&config, router_config(&[], DiscoveryEvents::default().serve().address, 64)).unwrap();
    let mut command = woadhook(&folder, &["run", "--operator", "site.jsonnet"]);
    let mut child = command.env("LB_CONFIG", &config).stderr(Stdio::piped()).spawn().unwrap();
    // The open succeeds once the program reads the file.
    let mut pipe = fs::File::options().write(true).open(&operator).unwrap();
    let process = Pid::from_raw(child.id() as i32).unwrap();
    kill_process(process, Signal::HUP).unwrap();
    std::io::Write::write_all(&mut pipe, b"{}").unwrap();
    drop(pipe);
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let serves = lines.map_while(Result::ok).any(|line| line.contains("serving on"));
    let _ = child.kill();
    let _ = child.wait();
    assert!(serves, "the program ended");
}

/// Threat: the reader of the log stops, for example because a disk is full or a collector has stopped, and
/// the pipe fills up. Lines may be lost, requests may not.
#[test]
fn an_unread_log_blocks_no_request() {
    const REQUESTS: u32 = 600;
    let folder = folder("unread-log");
    let engine = StandinServer::start(|call| result_page(call, &["a\tb\tc\n"]));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    fs::write(
        folder.join("config.json"),
        router_config(&[engine.address], DiscoveryEvents::default().serve().address, 64),
    )
    .unwrap();
    let mut command = woadhook(&folder, &[]);
    command.env("LB_CONFIG", folder.join("config.json")).env("LB_LISTEN", address.to_string());
    let mut child = command.env("RUST_LOG", "debug").stderr(Stdio::piped()).spawn().unwrap();
    let answered = count_answered(address, REQUESTS);
    let _ = child.kill();
    let _ = child.wait();
    assert_eq!(answered, REQUESTS, "answered before the log pipe was full, of {REQUESTS}");
}

/// Sends requests one after another and returns how many were answered, each within five seconds.
fn count_answered(address: SocketAddr, requests: u32) -> u32 {
    let deadline = Instant::now() + TEST_TIMEOUT;
    let mut stream = loop {
        match TcpStream::connect(address) {
            Ok(stream) => break stream,
            Err(_) => assert!(Instant::now() < deadline, "the program does not serve"),
        }
    };
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    for number in 1..=requests {
        let message =
            Client::encode_job(number, "look", &format!("{number:016x}"), 4_000, "select 1 from sales_1.x");
        let answered = std::io::Write::write_all(&mut stream, &message)
            .and_then(|()| receive_answer(&mut stream, number));
        if answered.is_err() {
            return number - 1;
        }
    }
    requests
}
