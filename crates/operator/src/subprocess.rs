//! Evaluates a template in a child process, so that it can't use up the router's time or memory.

use std::io::Read;
use std::path::Path;
use std::process::{self, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use rlimit::Resource;

use crate::template;

/// The hidden command of the program that evaluates a template in the child process.
pub const EVALUATE_COMMAND: &str = "evaluate-template";
/// The limits of one evaluation: memory in bytes, processor time in seconds, and wall-clock time.
pub const MAX_MEMORY_BYTES: u64 = 24 * 1024 * 1024;
pub const MAX_CPU_SECONDS: u64 = 2;
pub const MAX_WALL_TIME: Duration = Duration::from_secs(10);
/// The stack size of the timer thread in the child process.
const TIMER_STACK_BYTES: usize = 64 * 1024;
/// The maximum length of the result in bytes.
pub const MAX_RESULT_BYTES: u64 = 1024 * 1024;

/// Evaluates the template within the limits, in a child process that runs `program` (woadhook itself).
pub fn evaluate(program: &Path, template: &Path) -> Result<String, String> {
    let display = template.display();
    let mut child = Command::new(program)
        .arg(EVALUATE_COMMAND)
        .arg(template)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|error| format!("{display}: {}: {error}", program.display()))?;
    let (stdout, stderr) = (child.stdout.take(), child.stderr.take());
    let (sender, receiver) = mpsc::channel();
    thread::spawn(move || {
        let read_limited = |from: Option<&mut dyn Read>, max_bytes| {
            let mut text = String::new();
            let read = from.map(|from| from.take(max_bytes).read_to_string(&mut text));
            read.transpose().map(|_| text)
        };
        let (mut stdout, mut stderr) = (stdout, stderr);
        let result = read_limited(stdout.as_mut().map(|pipe| pipe as &mut dyn Read), MAX_RESULT_BYTES + 1);
        let error_text = read_limited(stderr.as_mut().map(|pipe| pipe as &mut dyn Read), 64 * 1024);
        let _ = sender.send((result, error_text));
    });
    let received = receiver.recv_timeout(MAX_WALL_TIME);
    // A child that exceeds the wall-clock time or the length of the result is killed. It has no state to
    // lose.
    let completed = matches!(&received, Ok((Ok(result), _)) if result.len() as u64 <= MAX_RESULT_BYTES);
    if !completed {
        let _ = child.kill();
    }
    let status = child.wait().map_err(|error| format!("{display}: {error}"))?;
    let (result, error_text) = received
        .map_err(|_| format!("{display}: not evaluated within {} seconds", MAX_WALL_TIME.as_secs()))?;
    let result = result.map_err(|error| format!("{display}: {error}"))?;
    if result.len() as u64 > MAX_RESULT_BYTES {
        return Err(format!("{display}: the result is longer than the allowed {MAX_RESULT_BYTES} bytes"));
    }
    if result.ends_with('\n') {
        return Ok(result);
    }
    let error_text = error_text.unwrap_or_default();
    let error_text = error_text.lines().next().unwrap_or_default();
    Err(match (error_text, status.code()) {
        (error_text, Some(1)) if !error_text.is_empty() => error_text.to_owned(),
        _ => format!(
            "{display}: evaluation ended at its bounds ({} MB of memory, {MAX_CPU_SECONDS} s of processor time)",
            MAX_MEMORY_BYTES / (1024 * 1024)
        ),
    })
}

/// Runs the hidden command: limits its own process, evaluates the template, and returns the result with a
/// line feed at the end.
pub fn run_child(template: &Path) -> Result<String, String> {
    // Threat: reading the template blocks, for example on a FIFO without a writer, and the router exits
    // meanwhile. Nothing else would end this process.
    let exit_after_limit = || {
        thread::sleep(MAX_WALL_TIME);
        process::exit(1);
    };
    let timer = thread::Builder::new().stack_size(TIMER_STACK_BYTES).spawn(exit_after_limit);
    timer.map_err(|error| format!("{}: {error}", template.display()))?;
    for (resource, limit) in [
        (Resource::DATA, MAX_MEMORY_BYTES),
        (Resource::AS, 4 * MAX_MEMORY_BYTES),
        (Resource::CPU, MAX_CPU_SECONDS),
    ] {
        resource.set(limit, limit).map_err(|error| format!("{}: {error}", template.display()))?;
    }
    template::evaluate(template).map(|json| json + "\n")
}
