//! Repeats system calls that a signal interrupts: a few times at once, then after pauses, so that other
//! connections, timers and signals are served however often calls are interrupted.

use std::io;

use woadhook::Span;

use crate::clock::sleep;

/// Number of consecutive calls without a pause.
pub const MAX_IMMEDIATE_TRIES: usize = 4;
/// Pause between rounds of calls.
pub const RETRY_PAUSE: Span = Span::from_micros(1_000);

/// Whether a signal interrupted the call before it did anything.
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// Repeats an interrupted call a few times without a pause, for callers that can't wait; returns the
/// interruption if each of these calls was interrupted.
pub fn retry_interrupted_at_once<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut outcome = call();
    for _ in 1..MAX_IMMEDIATE_TRIES {
        if !outcome.as_ref().is_err_and(is_interrupted) {
            break;
        }
        outcome = call();
    }
    outcome
}

/// Repeats the call for as long as it is interrupted. Threat: a loop without pauses would block all other
/// tasks of the thread, and an interrupted read would be taken for the end of its connection.
pub async fn retry_interrupted<T>(mut call: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        for _ in 0..MAX_IMMEDIATE_TRIES {
            match call().await {
                Err(error) if is_interrupted(&error) => {}
                outcome => return outcome,
            }
        }
        sleep(RETRY_PAUSE).await;
    }
}
