//! What a router takes at rest, measured at the program itself.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use woadhook_standins::{Client, DiscoveryEvents, TEST_TIMEOUT, router_config};

const FEW: usize = 100;
const MANY: usize = 2_400;
/// What an engine that is listed may take while nothing is sent to it, in all tables.
const BYTES_AN_ENGINE: usize = 4 * 1024;
const PAGE: usize = 4096;

struct Program(Child);

impl Program {
    /// One that knows so many engines, once it serves.
    fn start(engines: usize) -> Self {
        let at = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let config = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("footprint-{engines}.json"));
        // Nothing listens there, and without jobs nothing is asked.
        let engine = |number: usize| {
            SocketAddr::from((Ipv4Addr::new(127, 1, (number / 250) as u8, (number % 250) as u8 + 1), 9))
        };
        let engines: Vec<SocketAddr> = (0..engines).map(engine).collect();
        fs::write(&config, router_config(&engines, DiscoveryEvents::default().serve().address, 1024))
            .unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_woadhook"));
        command.env("LB_CONFIG", &config).env("LB_LISTEN", at.to_string()).env_remove("RUST_LOG");
        let program = Self(command.stderr(Stdio::null()).spawn().unwrap());
        program.await_list(at);
        program
    }

    /// Its pings are answered with true once the list is taken in.
    fn await_list(&self, at: SocketAddr) {
        let until = Instant::now() + TEST_TIMEOUT;
        let ready = || TcpStream::connect(at).is_ok_and(|stream| Client(stream).try_ping());
        while !ready() {
            assert!(Instant::now() < until, "the router never served");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn resident(&self) -> usize {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.0.id())).unwrap();
        statm.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * PAGE
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn a_listed_engine_without_work_takes_little() {
    let (few, many) = (Program::start(FEW).resident(), Program::start(MANY).resident());
    let each = many.saturating_sub(few) / (MANY - FEW);
    assert!(each <= BYTES_AN_ENGINE, "{each} bytes an engine: {few} with {FEW}, {many} with {MANY}");
}
