//! System calls that a signal interrupts. They are made again a few times at once and then behind pauses, so that other connections,
//! timers and signals have their turn however often that happens.

use std::io;

use woadhook::Span;

use crate::clock::sleep;

/// Calls in a row without a pause.
pub const MAX_IMMEDIATE_TRIES: usize = 4;
/// Between rounds of tries.
pub const RETRY_PAUSE: Span = Span::from_micros(1_000);

/// Whether a signal interrupted the call, which did nothing then.
pub fn is_interrupted(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::Interrupted
}

/// The outcome of a call that can't be paused; where each of a few tries is interrupted, that.
pub fn retried_at_once<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut outcome = call();
    for _ in 1..MAX_IMMEDIATE_TRIES {
        if !outcome.as_ref().is_err_and(is_interrupted) {
            break;
        }
        outcome = call();
    }
    outcome
}

/// The outcome of a call, which is made again for as long as it is interrupted. Threat: a loop in place would hold up all that the thread
/// carries; and an interrupted read would pass for the end of its connection.
pub async fn retried<T>(mut call: impl AsyncFnMut() -> io::Result<T>) -> io::Result<T> {
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
