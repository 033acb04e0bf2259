//! The program as operators meet it: its commands, its files, its signals.

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

fn folder(story: &str) -> PathBuf {
    let folder = folders::run_folder(env!("CARGO_TARGET_TMPDIR"), &format!("program-{story}"));
    fs::create_dir_all(&folder).unwrap();
    folder
}

fn woadhook(folder: &Path, words: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_woadhook"));
    command.current_dir(folder).args(words).env_remove("LB_CONFIG").env_remove("RUST_LOG");
    command
}

fn said(folder: &Path, words: &[&str]) -> Result<String, String> {
    let Output { status, stdout, stderr } = woadhook(folder, words).output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    if status.success() { Ok(text(stdout)) } else { Err(text(stderr)) }
}

/// Keys, pass and operator file for an instance, in the folder.
fn equipped(story: &str) -> PathBuf {
    let folder = folder(story);
    let operator = said(&folder, &["key", "new", "operator.key"]).unwrap();
    let member = said(&folder, &["key", "new", "n1.key"]).unwrap();
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
    assert!(said(&folder, &admit).unwrap().starts_with("n1 "));
    fs::write(folder.join("operator.pub"), operator.trim()).unwrap();
    fs::write(folder.join("site.jsonnet"), "local operator = std.stripChars(importstr 'operator.pub', '\\n');
        { log: { format: 'json' },
          gossip: { cluster: 'arhiv', listen: '127.0.0.1:0', key: 'n1.key', pass: 'n1.pass', operator_keys: [operator] } }")
        .unwrap();
    folder
}

#[test]
fn help_version_and_the_page_of_fields_are_told() {
    let folder = folder("help");
    assert!(said(&folder, &["--help"]).unwrap().contains("Usage: woadhook"));
    assert!(said(&folder, &["--version"]).unwrap().starts_with("woadhook 0."));
    assert!(said(&folder, &["fields"]).unwrap().contains("## gossip"));
    assert!(said(&folder, &["fly"]).unwrap_err().contains("unrecognized subcommand"));
    assert!(said(&folder, &[]).unwrap_err().contains("LB_CONFIG names no file"));
}

#[test]
fn check_says_what_is_set_or_what_is_wrong() {
    let folder = equipped("check");
    let words = said(&folder, &["check", "--operator", "site.jsonnet"]).unwrap();
    for line in
        ["gossip.cluster = \"arhiv\"", "gossip.period_ms = 200", "log.format = \"json\"", "member n1 "]
    {
        assert!(words.contains(line), "{line} in {words}");
    }
    let told = router_config(&[], DiscoveryEvents::default().serve().address, 1024);
    fs::write(folder.join("config.json"), &told).unwrap();
    assert!(said(&folder, &["check", "--config", "config.json"]).unwrap().contains("sockets = 1024"));
    fs::write(folder.join("config.json"), told.replace("\"seed\"", "\"seeds\"")).unwrap();
    assert_eq!(
        said(&folder, &["check", "--config", "config.json"]).unwrap_err(),
        "config.json: lacks seed\n"
    );
    fs::write(folder.join("bad.jsonnet"), "{ gossip: { cluster: 7 } }").unwrap();
    let fault = said(&folder, &["check", "--operator", "bad.jsonnet"]).unwrap_err();
    assert!(
        fault.contains("bad.jsonnet: gossip.cluster: 7 given, allowed is text of 1 to 64 bytes"),
        "{fault}"
    );
    fs::remove_file(folder.join("n1.pass")).unwrap();
    let fault = said(&folder, &["check", "--operator", "site.jsonnet"]).unwrap_err();
    assert!(fault.contains("gossip.pass") && fault.contains("n1.pass"), "{fault}");
    assert!(said(&folder, &["check"]).unwrap_err().contains("nothing to check"));
}

#[test]
fn a_template_without_end_or_measure_ends_at_the_bounds() {
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
        let fault = said(&folder, &["check", "--operator", file]).unwrap_err();
        assert!(fault.contains(file) && fault.contains("bounds"), "{fault}");
    }
}

#[test]
fn keys_are_made_shown_and_guarded() {
    let folder = equipped("keys");
    let mode = fs::metadata(folder.join("n1.key")).unwrap().permissions().mode() & 0o777;
    assert_eq!(mode, 0o600);
    assert!(
        said(&folder, &["key", "new", "n1.key"]).unwrap_err().contains("exists"),
        "a key is never overwritten"
    );
    let secret = fs::read_to_string(folder.join("n1.key")).unwrap();
    let secret = secret.lines().nth(1).unwrap();
    let shown = said(&folder, &["key", "show", "n1.key"]).unwrap();
    assert!(shown.contains("public ") && !shown.contains(secret));
    assert!(said(&folder, &["key", "show", "n1.pass"]).unwrap().starts_with("pass of n1 "));
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
    assert!(said(&folder, &revoke).unwrap().contains("1 on the list"));
    assert!(said(&folder, &revoke).unwrap().contains("1 on the list"), "once each");
    assert!(said(&folder, &["key", "show", "out"]).unwrap().starts_with("revoked "));
    fs::set_permissions(folder.join("n1.key"), fs::Permissions::from_mode(0o640)).unwrap();
    for words in [&["key", "show", "n1.key"][..], &["check", "--operator", "site.jsonnet"]] {
        let fault = said(&folder, words).unwrap_err();
        assert!(fault.contains("mode 0640, allowed is what its owner alone can read"), "{fault}");
    }
}

/// A router of this program, and its log lines.
struct Started {
    child: Child,
    lines: BufReader<std::process::ChildStderr>,
}

impl Started {
    fn new(folder: &Path, words: &[&str]) -> Self {
        let told = router_config(&[], DiscoveryEvents::default().serve().address, 1024);
        fs::write(folder.join("config.json"), told).unwrap();
        let mut child =
            woadhook(folder, words).env("LB_CONFIG", "config.json").stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap());
        Self { child, lines }
    }

    /// The next line with such a text.
    fn awaits(&mut self, text: &str) -> String {
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

    fn ends(mut self) -> String {
        self.signal("-TERM");
        let mut rest = String::new();
        self.lines.read_to_string(&mut rest).unwrap();
        assert!(self.child.wait().unwrap().success());
        rest
    }
}

#[test]
fn a_router_with_an_operator_file_logs_json_and_keeps_the_old_file_when_the_new_is_bad() {
    let folder = equipped("run");
    let mut router = Started::new(&folder, &["run", "--operator", "site.jsonnet"]);
    let line = router.awaits("gossip_started");
    let line: Value = serde_json::from_str(&line).unwrap();
    assert_eq!((line["event"].as_str(), line["member"].as_str()), (Some("gossip_started"), Some("n1")));
    assert!(line["at"].is_string() && line["level"] == "info");
    router.awaits("serving on");
    let good = fs::read_to_string(folder.join("site.jsonnet")).unwrap();
    fs::write(folder.join("site.jsonnet"), good.replace("cluster", "clutter")).unwrap();
    router.signal("-HUP");
    let line = router.awaits("the old operator file stays");
    assert!(line.contains("gossip.clutter: no such field"), "{line}");
    fs::write(folder.join("site.jsonnet"), good).unwrap();
    router.signal("-HUP");
    router.awaits("gossip_rekeyed");
    let rest = router.ends();
    assert!(rest.contains("stopping"));
    let secret = fs::read_to_string(folder.join("n1.key")).unwrap();
    assert!(!rest.contains(secret.lines().nth(1).unwrap()));
}

#[test]
fn without_a_command_a_router_starts_as_ever() {
    let folder = folder("bare");
    let mut router = Started::new(&folder, &[]);
    let line = router.awaits("serving on 127.0.0.1:0");
    assert!(line.starts_with('['), "text for people: {line}");
    router.ends();
    let mut router = Started::new(&folder, &["--log-format", "json"]);
    router.awaits("\"says\":\"serving on");
    router.ends();
}

#[test]
fn an_order_of_voters_is_made_shown_checked_and_refused_where_it_can_not_hold() {
    let folder = equipped("order");
    let member = said(&folder, &["key", "show", "n1.key"]).unwrap();
    let public = member.lines().find_map(|line| line.strip_prefix("public ")).unwrap().to_owned();
    let order = |operator: &str, cluster: &str, epoch: &str, to: &str| {
        let words = ["key", "order", "--operator-key", operator, "--cluster", cluster, "--epoch", epoch];
        said(&folder, &[&words[..], &["--voter", &public, "--to", to]].concat())
    };
    assert!(order("operator.key", "arhiv", "1", "order").unwrap().starts_with("epoch 1 with 1 voters: "));
    assert!(said(&folder, &["key", "show", "order"]).unwrap().starts_with("epoch 1 "));
    assert!(
        order("operator.key", "arhiv", "0", "zero").unwrap_err().contains("epoch 0 given, allowed are 1")
    );
    order("n1.key", "arhiv", "2", "forged").unwrap();
    order("operator.key", "elsewhere", "2", "foreign").unwrap();
    let site = fs::read_to_string(folder.join("site.jsonnet")).unwrap();
    let check = |order: &str, accord: &str| {
        let with = site.replace("operator_keys:", &format!("order: '{order}', operator_keys:"));
        let with = with.replace("gossip:", &format!("accord: {{ {accord} }}, gossip:"));
        fs::write(folder.join("with.jsonnet"), with).unwrap();
        said(&folder, &["check", "--operator", "with.jsonnet"])
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

/// Threat: an order that comes while the program still reads its files, which would end it.
#[test]
fn a_reload_ordered_before_the_program_serves_does_not_end_it() {
    let folder = folder("early-order");
    let (operator, config) = (folder.join("site.jsonnet"), folder.join("config.json"));
    assert!(Command::new("mkfifo").arg(&operator).status().unwrap().success());
    fs::write(&config, router_config(&[], DiscoveryEvents::default().serve().address, 64)).unwrap();
    let mut command = woadhook(&folder, &["run", "--operator", "site.jsonnet"]);
    let mut child = command.env("LB_CONFIG", &config).stderr(Stdio::piped()).spawn().unwrap();
    // Opened once the program is at reading it.
    let mut pipe = fs::File::options().write(true).open(&operator).unwrap();
    let process = Pid::from_raw(child.id() as i32).unwrap();
    kill_process(process, Signal::HUP).unwrap();
    std::io::Write::write_all(&mut pipe, b"{}").unwrap();
    drop(pipe);
    let lines = BufReader::new(child.stderr.take().unwrap()).lines();
    let serves = lines.map_while(Result::ok).any(|line| line.contains("serving on"));
    let _ = child.kill();
    let _ = child.wait();
    assert!(serves, "it ended");
}

/// Threat: whoever reads the log stands, as a full disk or a stopped collector; the pipe fills. Lines may be lost, requests not.
#[test]
fn a_log_that_nobody_reads_holds_up_no_request() {
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
    let answered = asks_one_after_another(address, REQUESTS);
    let _ = child.kill();
    let _ = child.wait();
    assert_eq!(answered, REQUESTS, "answered before the log was full, of {REQUESTS}");
}

/// How many of so many requests were answered, each within five seconds.
fn asks_one_after_another(address: SocketAddr, requests: u32) -> u32 {
    let by = Instant::now() + TEST_TIMEOUT;
    let mut stream = loop {
        match TcpStream::connect(address) {
            Ok(stream) => break stream,
            Err(_) => assert!(Instant::now() < by, "it does not serve"),
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
