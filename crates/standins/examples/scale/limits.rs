//! What the machine allows: a point is refused before anything starts where it would take more.

use std::fs;

use rustix::process::{Resource, getrlimit};

use crate::arguments::Axis;
use crate::setup::Setup;

/// The example and its routers may take this part of the machine's memory.
const MEMORY_SHARE: u64 = 2;
const BYTES_IN_KB: u64 = 1024;
/// Memory in KB: a router with nothing, for each engine and each client of it, and the example itself.
const ROUTER_KB: u64 = 16 * 1024;
const ENGINE_KB: u64 = 128;
const CLIENT_KB: u64 = 24;
const EXAMPLE_KB: u64 = 256 * 1024;
/// For each member that another one knows.
const ACQUAINTANCE_KB: u64 = 1;
/// Descriptors of the example that are no connections.
const OWN_DESCRIPTORS: u64 = 200;

/// What there is.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// The most descriptors of one process.
    pub descriptors: u64,
    pub memory_kb: u64,
}

impl Machine {
    pub fn here() -> Result<Self, String> {
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let text = fs::read_to_string("/proc/meminfo").map_err(|error| format!("/proc/meminfo: {error}"))?;
        let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let digits = total.and_then(|total| total.split_whitespace().next());
        let memory_kb =
            digits.and_then(|digits| digits.parse().ok()).ok_or("/proc/meminfo: no MemTotal".to_owned())?;
        Ok(Self { descriptors, memory_kb })
    }
}

/// What one point takes.
struct Needs {
    descriptors: u64,
    memory_kb: u64,
}

impl Needs {
    fn of(axis: Axis, size: usize) -> Self {
        let Some(setup) = Setup::of(axis, size) else {
            let memory_kb = (size as u64).pow(2) * ACQUAINTANCE_KB + EXAMPLE_KB;
            return Self { descriptors: OWN_DESCRIPTORS, memory_kb };
        };
        let routers = setup.routers as u64;
        let own = (setup.client_connections() + setup.engine_connections()) as u64 + OWN_DESCRIPTORS;
        let engines = ENGINE_KB * setup.engines as u64;
        let clients = CLIENT_KB * setup.client_connections() as u64;
        Self {
            descriptors: own.max(setup.descriptors as u64),
            memory_kb: routers * (ROUTER_KB + engines) + clients + EXAMPLE_KB,
        }
    }
}

/// The error says what is allowed.
pub fn check(axis: Axis, size: usize, machine: &Machine) -> Result<(), String> {
    let (least, most) = axis.range();
    let name = axis.name();
    if !(least..=most).contains(&size) {
        return Err(format!("{name}: {size} is out of range; allowed are {least} to {most}"));
    }
    let needs = Needs::of(axis, size);
    if needs.descriptors > machine.descriptors {
        return Err(format!(
            "{name}: {size} need {} descriptors a process, the limit is {} (ulimit -n); {}",
            needs.descriptors,
            machine.descriptors,
            allowed(axis, size, machine)
        ));
    }
    let memory_kb = machine.memory_kb / MEMORY_SHARE;
    if needs.memory_kb > memory_kb {
        return Err(format!(
            "{name}: {size} need some {} MB, half of the machine's memory is {} MB; {}",
            needs.memory_kb / BYTES_IN_KB,
            memory_kb / BYTES_IN_KB,
            allowed(axis, size, machine)
        ));
    }
    Ok(())
}

fn allowed(axis: Axis, size: usize, machine: &Machine) -> String {
    let (least, _) = axis.range();
    let fits = |size: &usize| {
        let needs = Needs::of(axis, *size);
        needs.descriptors <= machine.descriptors && needs.memory_kb <= machine.memory_kb / MEMORY_SHARE
    };
    let most = (least..size).rev().find(fits);
    most.map_or("none are allowed".to_owned(), |most| format!("allowed are {least} to {most}"))
}
