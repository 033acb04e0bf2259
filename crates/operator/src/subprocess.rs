//! Evaluates a template in a process of its own, so that neither its time nor its memory is the router's.

use std::io::Read;
use std::path::Path;
use std::process::{self, Command, Stdio};
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use rlimit::Resource;

use crate::template;

/// The hidden command with which the program evaluates a template for itself.
pub const EVALUATE_COMMAND: &str = "evaluate-template";
/// What one evaluation may take: memory in bytes, seconds of the processor, and of the wall clock.
pub const MAX_MEMORY_BYTES: u64 = 24 * 1024 * 1024;
pub const MAX_CPU_SECONDS: u64 = 2;
pub const MAX_WALL_TIME: Duration = Duration::from_secs(10);
const TIMER_STACK_BYTES: usize = 64 * 1024;
/// The largest result, in bytes.
pub const MAX_RESULT_BYTES: u64 = 1024 * 1024;

/// Evaluates the template within the bounds, by starting `program` (woadhook itself) anew.
pub fn evaluate(program: &Path, template: &Path) -> Result<String, String> {
    let shown = template.display();
    let mut child = Command::new(program)
        .arg(EVALUATE_COMMAND)
        .arg(template)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|error| format!("{shown}: {}: {error}", program.display()))?;
    let (out, told) = (child.stdout.take(), child.stderr.take());
    let (done, ends) = mpsc::channel();
    thread::spawn(move || {
        let take = |from: Option<&mut dyn Read>, most| {
            let mut text = String::new();
            let read = from.map(|from| from.take(most).read_to_string(&mut text));
            read.transpose().map(|_| text)
        };
        let (mut out, mut told) = (out, told);
        let result = take(out.as_mut().map(|out| out as &mut dyn Read), MAX_RESULT_BYTES + 1);
        let fault = take(told.as_mut().map(|told| told as &mut dyn Read), 64 * 1024);
        let _ = done.send((result, fault));
    });
    let heard = ends.recv_timeout(MAX_WALL_TIME);
    // Past the wall time, or with more to say than is read, it is ended; it has no state to lose.
    let ended = matches!(&heard, Ok((Ok(result), _)) if result.len() as u64 <= MAX_RESULT_BYTES);
    if !ended {
        let _ = child.kill();
    }
    let status = child.wait().map_err(|error| format!("{shown}: {error}"))?;
    let (result, fault) =
        heard.map_err(|_| format!("{shown}: not evaluated within {} seconds", MAX_WALL_TIME.as_secs()))?;
    let result = result.map_err(|error| format!("{shown}: {error}"))?;
    if result.len() as u64 > MAX_RESULT_BYTES {
        return Err(format!("{shown}: stands for more than {MAX_RESULT_BYTES} bytes, which are allowed"));
    }
    if result.ends_with('\n') {
        return Ok(result);
    }
    let fault = fault.unwrap_or_default();
    let fault = fault.lines().next().unwrap_or_default();
    Err(match (fault, status.code()) {
        (fault, Some(1)) if !fault.is_empty() => fault.to_owned(),
        _ => format!(
            "{shown}: evaluation ended at its bounds ({} MB, {MAX_CPU_SECONDS} s of the processor)",
            MAX_MEMORY_BYTES / (1024 * 1024)
        ),
    })
}

/// What the hidden command does: limits its own process, evaluates, and writes the result with a line feed behind it.
pub fn run_child(template: &Path) -> Result<String, String> {
    // Threat: a template that does not come, as from a FIFO without a writer, and a router that ends meanwhile: nobody else ends it.
    let ends = || {
        thread::sleep(MAX_WALL_TIME);
        process::exit(1);
    };
    let timer = thread::Builder::new().stack_size(TIMER_STACK_BYTES).spawn(ends);
    timer.map_err(|error| format!("{}: {error}", template.display()))?;
    for (resource, most) in [
        (Resource::DATA, MAX_MEMORY_BYTES),
        (Resource::AS, 4 * MAX_MEMORY_BYTES),
        (Resource::CPU, MAX_CPU_SECONDS),
    ] {
        resource.set(most, most).map_err(|error| format!("{}: {error}", template.display()))?;
    }
    template::evaluate(template).map(|json| json + "\n")
}
