//! Resource usage of a process, read from `/proc`.

use std::fs;
use std::io;

const NANOS_IN_MICRO: f64 = 1_000.0;
const RESIDENT_MEMORY_FIELD: &str = "VmRSS:";

/// The processor time of all threads of the process so far, in microseconds. `/proc/PID/stat` would round it
/// to ticks of 10 ms, which is more than an idle router uses in a second.
pub fn cpu_us(process: u32) -> io::Result<f64> {
    let mut sum = 0.0;
    for thread in fs::read_dir(format!("/proc/{process}/task"))? {
        let text = fs::read_to_string(thread?.path().join("schedstat"))?;
        let nanos = text.split(' ').next().and_then(|nanos| nanos.parse::<f64>().ok());
        sum += nanos.ok_or_else(|| io::Error::other("schedstat has no time"))?;
    }
    Ok(sum / NANOS_IN_MICRO)
}

/// Resident memory in KB.
pub fn memory_kb(process: u32) -> io::Result<f64> {
    let text = fs::read_to_string(format!("/proc/{process}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix(RESIDENT_MEMORY_FIELD));
    let digits = line.and_then(|line| line.split_whitespace().next());
    digits.and_then(|digits| digits.parse().ok()).ok_or_else(|| io::Error::other("status has no VmRSS"))
}

/// The number of open descriptors.
pub fn descriptors(process: u32) -> io::Result<f64> {
    Ok(fs::read_dir(format!("/proc/{process}/fd"))?.count() as f64)
}
