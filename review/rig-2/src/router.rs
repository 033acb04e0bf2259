//! One router, started by the command of the deploy file, with the settings of a small deployment.

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Answer, Client, ping};
use crate::engine::Engine;
use crate::record::Record;

/// All routers that were started; each is taken out as it is ended.
static PROCESSES: Mutex<Vec<Child>> = Mutex::new(Vec::new());

pub struct Router {
    pub address: SocketAddr,
    process_id: u32,
    folder: PathBuf,
}

/// The settings of a small deployment, after those of ljubljana-arhiv: one zone, one kind of engine with 8 cores, a class that may run again
/// (`lookup`), a longer one (`report`) and one that must never run twice (`load`).
const SETTINGS: &str = r#"{
 "replicasOfMe": 1, "myNumber": 0, "zone": "east", "zones": ["east"], "kinds": ["std"], "tenants": [],
 "discovery": "pushed", "feedback": {"how": "probe", "names": ["waiting", "cpu"]},
 "prices": {"crossZone": 0.04},
 "classes": [
  {"name": "lookup", "goalTimeUs": 750000, "aimStretch": 1.5, "deadlineUs": 4000000, "gain": 1.0,
   "lateWorth": 0.1, "effect": "repeatable"},
  {"name": "report", "goalTimeUs": 1500000, "aimStretch": 2.5, "deadlineUs": 20000000, "gain": 6.0,
   "lateWorth": 0.4, "effect": "repeatable"},
  {"name": "load", "goalTimeUs": 4000000, "aimStretch": 2.5, "deadlineUs": 20000000, "gain": 12.0,
   "lateWorth": 0.5, "effect": "once"}],
 "familyInfo": {"coresByKind": [8], "ramOfKindMb": [16384.0], "maxGrantShare": 0.4, "widthByClass": [1, 4, 2],
  "isLoad": [false, false, true], "waitsForLoads": [true, true, false], "notePeriodUs": 1000000,
  "takesGrants": false, "takesPriority": true, "costInAnswers": true},
 "limits": {"tryLimit": 5, "secondCopies": false, "cancelling": true, "mayProbe": true,
  "connectTimeoutUs": 250000, "idleCloseUs": 15000000, "retryAfter": true, "maxRetryAfterUs": 2000000},
 "obligations": {"answerSlackUs": 20000, "stopSendingWithinUs": 1000000, "overloadFactor": 2.0,
  "fallUs": 2000000, "startCapacity": 0.32, "coldUs": 15000000}}"#;

impl Router {
    /// Starts a router and waits until it answers a ping with true. `sockets` is its limit on descriptors.
    pub fn start(
        run: &str, engines: &[Engine], bulletin: SocketAddr, sockets: usize, record: &Record,
    ) -> Self {
        let address =
            TcpListener::bind("127.0.0.1:0").and_then(|free| free.local_addr()).expect("a free port");
        let folder = std::env::temp_dir().join(format!("rig-2-{}-{}", std::process::id(), address.port()));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let lines: Vec<String> = engines.iter().map(line).collect();
        let config = format!(
            r#"{{"name":"n0","listen":"{address}","seed":"8c1f30d27a5be964",
 "limits":{{"cores":1.0,"memory_mb":192,"sockets":{sockets}}},"bulletin":"{bulletin}",
 "known":{{"no":1,"items":[{{"no":1,"roster":{{"revision":1,"complete":true,"members":[{}]}}}}]}},
 "settings":{SETTINGS}}}"#,
            lines.join(",")
        );
        let file = folder.join("config.json");
        fs::write(&file, config).expect("the configuration can be written");
        let log = fs::File::create(folder.join("log.txt")).expect("the log can be written");
        let process = Command::new("/bin/sh")
            .args(["-c", run])
            .env("LB_CONFIG", &file)
            .env("LB_NAME", "n0")
            .env("LB_LISTEN", address.to_string())
            .env("TMPDIR", &folder)
            .env_remove("RUST_LOG")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the router starts");
        let process_id = process.id();
        PROCESSES.lock().unwrap().push(process);
        let router = Self { address, process_id, folder };
        router.wait_until_ready(record);
        record.line("router: serves");
        router
    }

    fn wait_until_ready(&self, record: &Record) {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            if let Ok(client) = Client::connect("~ping", self.address, record) {
                let _ = client.write(&ping(1));
                let answered = client.wait_for(1, Instant::now() + Duration::from_secs(1));
                client.close();
                if answered.is_some_and(|answered| answered.answer == Answer::Pong(true)) {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(50));
        }
        panic!("the router does not serve");
    }

    /// Whether the process has not ended.
    pub fn is_running(&self) -> bool {
        let mut processes = PROCESSES.lock().unwrap();
        let own = processes.iter_mut().find(|process| process.id() == self.process_id);
        own.is_some_and(|process| matches!(process.try_wait(), Ok(None)))
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        end(|process| process.id() == self.process_id);
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Ends all routers that still run.
pub fn end_all() {
    end(|_| true);
}

fn end(is_meant: impl Fn(&Child) -> bool) {
    let mut processes = PROCESSES.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    for process in processes.iter_mut().filter(|process| is_meant(process)) {
        let _ = process.kill();
        let _ = process.wait();
    }
    processes.retain(|process| !is_meant(process));
}

fn line(engine: &Engine) -> String {
    format!(
        r#"{{"id":"{}","host_port":"{}","locality":"east","flavor":"std","cell":0,"phase":"SERVING","size":1,"up_since_ms":0}}"#,
        engine.name, engine.address
    )
}
