//! The end of the process: only after SIGTERM, and only with all answered.

use std::cell::Cell;

use async_channel::Sender;
use woadhook::Span;

use crate::clock::{Clock, pass};
use crate::decide::Event;

/// Requests may come for so long after SIGTERM.
const STILL_COMING: Span = Span::from_micros(600_000);
/// SIGKILL comes so long after the longest deadline, which counts for `LONGEST` at most.
const LONGEST: Span = Span::from_micros(3_000_000);
/// Kept back of that for the last answers to be written.
const LAST_WORDS: Span = Span::from_micros(100_000);
const LOOK: Span = Span::from_micros(10_000);

/// From the word to stop until the process may end.
pub async fn wait(clock: Clock, longest: Span, owing: &Cell<usize>, module: Sender<Event>) {
    let told = clock.now();
    let by = told + longest.min(LONGEST) + STILL_COMING.less(LAST_WORDS);
    log::info!("stopping");
    let _ = module.send(Event::Stopping { by }).await;
    clock.until(told + STILL_COMING + LAST_WORDS).await;
    while owing.get() > 0 {
        pass(LOOK).await;
    }
}
