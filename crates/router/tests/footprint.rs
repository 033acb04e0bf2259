//! The resident memory of an idle router process for each engine in its list.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use woadhook_standins::{Client, DiscoveryEvents, TEST_TIMEOUT, router_config};

const FEW_ENGINES: usize = 100;
const MANY_ENGINES: usize = 2_400;
/// The maximum memory for each listed engine, over all tables, while no query is sent to it.
const MAX_BYTES_PER_ENGINE: usize = 4 * 1024;
const MEMORY_PAGE_BYTES: usize = 4096;

struct IdleRouter(Child);

impl IdleRouter {
    /// Starts a router with that many engines in its list and waits until it serves.
    fn start(engines: usize) -> Self {
        let address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let config = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("footprint-{engines}.json"));
        // Nothing listens at these addresses; the router connects to none of them without jobs.
        let engine = |number: usize| {
            SocketAddr::from((Ipv4Addr::new(127, 1, (number / 250) as u8, (number % 250) as u8 + 1), 9))
        };
        let engines: Vec<SocketAddr> = (0..engines).map(engine).collect();
        fs::write(&config, router_config(&engines, DiscoveryEvents::default().serve().address, 1024))
            .unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_woadhook"));
        command.env("LB_CONFIG", &config).env("LB_LISTEN", address.to_string()).env_remove("RUST_LOG");
        let router = Self(command.stderr(Stdio::null()).spawn().unwrap());
        router.wait_until_ready(address);
        router
    }

    /// Waits until pings are answered with `true`, which is the case once the engine list has been applied.
    fn wait_until_ready(&self, address: SocketAddr) {
        let deadline = Instant::now() + TEST_TIMEOUT;
        let is_ready = || TcpStream::connect(address).is_ok_and(|stream| Client(stream).try_ping());
        while !is_ready() {
            assert!(Instant::now() < deadline, "the router did not become ready");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    fn resident_bytes(&self) -> usize {
        let statm = fs::read_to_string(format!("/proc/{}/statm", self.0.id())).unwrap();
        statm.split(' ').nth(1).unwrap().parse::<usize>().unwrap() * MEMORY_PAGE_BYTES
    }
}

impl Drop for IdleRouter {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn memory_per_idle_engine_is_bounded() {
    let (few, many) =
        (IdleRouter::start(FEW_ENGINES).resident_bytes(), IdleRouter::start(MANY_ENGINES).resident_bytes());
    let bytes_per_engine = many.saturating_sub(few) / (MANY_ENGINES - FEW_ENGINES);
    assert!(
        bytes_per_engine <= MAX_BYTES_PER_ENGINE,
        "{bytes_per_engine} bytes per engine: {few} with {FEW_ENGINES} engines, {many} with {MANY_ENGINES}"
    );
}
