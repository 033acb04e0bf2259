//! The stand-ins of the review's cases: `rig CASE FOLDER RECORD TROUBLE`. It writes the router's configuration
//! into FOLDER, waits until the router that `run.sh` starts is ready, plays the case and judges it. Exit code:
//! 0 the rule held, 1 it was broken, 2 the case could not run.

mod cold;
mod net;
mod order;
mod settings;
mod twice;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::process::exit;

use net::{Record, free_address, wait_until_ready};

const LONGEST_RUN_MS: u64 = 110_000;

/// What a case is given.
pub struct Stage {
    pub record: Record,
    pub folder: String,
    /// Whether the disruption is played.
    pub trouble: bool,
}

impl Stage {
    /// Writes the configuration and waits for the router that is started from it.
    pub fn start_router(
        &self, settings: &str, members: &[settings::Member], bulletin: SocketAddr,
    ) -> SocketAddr {
        let listen = free_address();
        let config = settings::config(listen, settings, members, bulletin);
        let folder = Path::new(&self.folder);
        fs::write(folder.join("listen"), listen.to_string()).expect("the folder can be written");
        fs::write(folder.join("config.new"), config).expect("the folder can be written");
        fs::rename(folder.join("config.new"), folder.join("config.json")).expect("a file can be renamed");
        if !wait_until_ready(listen) {
            self.record.say("the router did not become ready");
            exit(2);
        }
        self.record.line("the router is ready");
        listen
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, record, trouble] = arguments.as_slice() else {
        eprintln!("rig CASE FOLDER RECORD TROUBLE");
        exit(2);
    };
    // A run that hangs ends before its 120 s are over.
    std::thread::spawn(|| {
        net::sleep_ms(LONGEST_RUN_MS);
        println!("the run took too long");
        exit(2);
    });
    let stage = Stage { record: Record::create(record), folder: folder.clone(), trouble: trouble != "0" };
    let is_broken = match case.as_str() {
        "twice" => twice::play(&stage),
        "cold" => cold::play(&stage),
        "order" => order::play(&stage),
        _ => {
            eprintln!("no case {case}");
            exit(2);
        }
    };
    stage.record.say(if is_broken { "the rule was broken" } else { "the rule held" });
    exit(i32::from(is_broken));
}
