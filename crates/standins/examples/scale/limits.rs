//! The limits of the machine: a point that would need more is refused before anything starts.

use std::fs;

use rustix::process::{Resource, getrlimit};

use crate::arguments::Axis;
use crate::setup::Setup;

/// The example and its routers may use the machine's memory divided by this.
const MEMORY_DIVISOR: u64 = 2;
const BYTES_IN_KB: u64 = 1024;
/// Estimated memory in KB of a router without engines and clients, of each engine and each client at a
/// router, and of the example itself.
const KB_PER_ROUTER: u64 = 16 * 1024;
const KB_PER_ENGINE: u64 = 128;
const KB_PER_CLIENT: u64 = 24;
const EXAMPLE_KB: u64 = 256 * 1024;
/// Estimated memory in KB that each member needs for each member that it knows.
const KB_PER_KNOWN_MEMBER: u64 = 1;
/// Descriptors of the example that are not connections.
const OTHER_DESCRIPTORS: u64 = 200;

/// The resources of the machine.
#[derive(Clone, Copy, Debug)]
pub struct Machine {
    /// The limit of open descriptors of one process.
    pub descriptors: u64,
    pub memory_kb: u64,
}

impl Machine {
    pub fn detect() -> Result<Self, String> {
        let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
        let text = fs::read_to_string("/proc/meminfo").map_err(|error| format!("/proc/meminfo: {error}"))?;
        let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let digits = total.and_then(|total| total.split_whitespace().next());
        let memory_kb =
            digits.and_then(|digits| digits.parse().ok()).ok_or("/proc/meminfo: no MemTotal".to_owned())?;
        Ok(Self { descriptors, memory_kb })
    }
}

/// The resources that one point needs.
struct Requirements {
    descriptors: u64,
    memory_kb: u64,
}

impl Requirements {
    fn at_point(axis: Axis, size: usize) -> Self {
        let Some(setup) = Setup::at_point(axis, size) else {
            let memory_kb = (size as u64).pow(2) * KB_PER_KNOWN_MEMBER + EXAMPLE_KB;
            return Self { descriptors: OTHER_DESCRIPTORS, memory_kb };
        };
        let routers = setup.routers as u64;
        let own_descriptors =
            (setup.client_connections() + setup.engine_connections()) as u64 + OTHER_DESCRIPTORS;
        let engines = KB_PER_ENGINE * setup.engines as u64;
        let clients = KB_PER_CLIENT * setup.client_connections() as u64;
        Self {
            descriptors: own_descriptors.max(setup.descriptors as u64),
            memory_kb: routers * (KB_PER_ROUTER + engines) + clients + EXAMPLE_KB,
        }
    }
}

/// Fails if the size is out of range or needs more than the machine has. The error names the allowed sizes.
pub fn check(axis: Axis, size: usize, machine: &Machine) -> Result<(), String> {
    let (min, max) = axis.allowed_range();
    let name = axis.name();
    if !(min..=max).contains(&size) {
        return Err(format!("{name}: {size} is out of range; allowed are {min} to {max}"));
    }
    let required = Requirements::at_point(axis, size);
    if required.descriptors > machine.descriptors {
        return Err(format!(
            "{name}: {size} need {} descriptors a process, the limit is {} (ulimit -n); {}",
            required.descriptors,
            machine.descriptors,
            allowed_sizes(axis, size, machine)
        ));
    }
    let memory_kb = machine.memory_kb / MEMORY_DIVISOR;
    if required.memory_kb > memory_kb {
        return Err(format!(
            "{name}: {size} need some {} MB, half of the machine's memory is {} MB; {}",
            required.memory_kb / BYTES_IN_KB,
            memory_kb / BYTES_IN_KB,
            allowed_sizes(axis, size, machine)
        ));
    }
    Ok(())
}

fn allowed_sizes(axis: Axis, size: usize, machine: &Machine) -> String {
    let (min, _) = axis.allowed_range();
    let fits = |size: &usize| {
        let required = Requirements::at_point(axis, *size);
        required.descriptors <= machine.descriptors
            && required.memory_kb <= machine.memory_kb / MEMORY_DIVISOR
    };
    let max = (min..size).rev().find(fits);
    max.map_or("none are allowed".to_owned(), |max| format!("allowed are {min} to {max}"))
}
