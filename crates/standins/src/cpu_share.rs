//! Limits a process to a share of one core by suspending it, as a busy machine would.

use std::fs;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

/// Interval at which the processor time of the process is compared with its share.
const CHECK_INTERVAL: Duration = Duration::from_micros(500);
/// Processor time that the process may use beyond its share before it is suspended, so that an idle process
/// does not save up time.
const MAX_CREDIT: Duration = Duration::from_millis(1);
/// Units of the share, which is kept as an integer.
const SHARE_UNITS: f64 = 1e6;

/// Keeps a process within its share of one core until it is dropped.
pub struct CpuShare {
    share: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl CpuShare {
    /// Limits the process with this id to `share` of one core, from above 0 to 1.
    pub fn limit(id: u32, share: f64) -> Self {
        let shared = Arc::new(AtomicU64::new((share * SHARE_UNITS) as u64));
        let stopped = Arc::new(AtomicBool::new(false));
        let (limiter_share, limiter_stopped) = (shared.clone(), stopped.clone());
        let thread = thread::spawn(move || keep_within(id, &limiter_share, &limiter_stopped));
        Self { share: shared, stopped, thread: Some(thread) }
    }

    /// Changes the share.
    pub fn set(&self, share: f64) {
        self.share.store((share * SHARE_UNITS) as u64, Ordering::Relaxed);
    }
}

impl Drop for CpuShare {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn keep_within(id: u32, share: &AtomicU64, stopped: &AtomicBool) {
    let Some(process) = Pid::from_raw(id as i32) else { return };
    let (mut checked_at, mut used) = (Instant::now(), cpu_time(id));
    let mut credit = Duration::ZERO.as_secs_f64();
    let mut is_suspended = false;
    while !stopped.load(Ordering::Relaxed) {
        thread::sleep(CHECK_INTERVAL);
        let (now, used_now) = (Instant::now(), cpu_time(id));
        let share = share.load(Ordering::Relaxed) as f64 / SHARE_UNITS;
        credit += now.duration_since(checked_at).as_secs_f64() * share;
        credit -= used_now.saturating_sub(used).as_secs_f64();
        credit = credit.min(MAX_CREDIT.as_secs_f64());
        (checked_at, used) = (now, used_now);
        let suspend = credit < 0.0;
        if suspend != is_suspended {
            let signal = if suspend { Signal::STOP } else { Signal::CONT };
            if kill_process(process, signal).is_err() {
                return;
            }
            is_suspended = suspend;
        }
    }
    if is_suspended {
        let _ = kill_process(process, Signal::CONT);
    }
}

/// The processor time that all threads of a process have used; zero if there is no such process.
pub fn cpu_time(id: u32) -> Duration {
    let threads = fs::read_dir(format!("/proc/{id}/task")).into_iter().flatten().flatten();
    let nanos = threads.filter_map(|thread| {
        let text = fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    });
    Duration::from_nanos(nanos.sum())
}
