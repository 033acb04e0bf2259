//! Carries out the operators' commands: reloading the configuration, and stopping. The process ends only
//! after SIGTERM, and only once every request is answered.

use std::cell::Cell;

use async_channel::Sender;
use futures_lite::{FutureExt, Stream, StreamExt};
use woadhook::Span;
use woadhook_host::fields::Result;

use crate::clock::{Clock, sleep};
use crate::config::RouterConfig;
use crate::discovery::poll::DiscoveryMove;
use crate::exchange::{Event, GossipEvent, GossipHandle};
use crate::frontends::rpc::connections::Connections;
use crate::frontends::rpc::listen::Acceptor;
use crate::guards::Guards;
use crate::keyfiles::Keys;

/// Requests may still arrive for this long after SIGTERM.
const STILL_COMING: Span = Span::from_micros(600_000);
/// SIGKILL comes `STILL_COMING` after the longest deadline, of which at most this much counts.
const LONGEST: Span = Span::from_micros(3_000_000);
/// Part of that time that is reserved for writing the last answers.
const LAST_WORDS: Span = Span::from_micros(100_000);
const LOOK: Span = Span::from_micros(10_000);

pub enum OperatorCommand {
    /// The configuration that was read, or what is wrong with it.
    Reload(Result<RouterConfig>),
    /// The keys that the operator file names, read again, or what is wrong with them.
    ReloadKeys(Result<Box<Keys>>),
    Stop,
}

/// Carries out orders as they arrive. The order to stop is passed on to `stop`; reloads continue after it.
pub async fn heed(
    orders: impl Stream<Item = OperatorCommand>, moves: Sender<DiscoveryMove>, stop: Sender<()>,
    notes: Option<GossipHandle>, guards: Guards,
) {
    let mut orders = std::pin::pin!(orders);
    while let Some(order) = orders.next().await {
        match order {
            // Only the latest move counts, as it includes what an earlier one contained.
            OperatorCommand::Reload(Ok(given)) => {
                guards.report();
                let _ =
                    moves.force_send(DiscoveryMove { address: given.bulletin, known_events: given.known });
            }
            OperatorCommand::Reload(Err(fault)) => log::error!("the old configuration stays: {fault}"),
            OperatorCommand::ReloadKeys(Ok(keys)) => {
                if let Some(notes) = &notes {
                    notes.send(GossipEvent::KeysReloaded(keys));
                }
            }
            OperatorCommand::ReloadKeys(Err(fault)) => log::error!("the old operator file stays: {fault}"),
            OperatorCommand::Stop => {
                if let Some(notes) = &notes {
                    notes.send(GossipEvent::Stopping);
                }
                let _ = stop.try_send(());
            }
        }
    }
}

/// Waits from the order to stop until the process may end. Clients may keep connections idle until they are
/// notified of the end, or continue to send requests: each connection is closed once no answer is owed on it,
/// and none delays the end beyond its time.
pub async fn wait(
    clock: Clock, longest: Span, owing: &Cell<usize>, connections: &Connections, intake: &Acceptor,
    module: Sender<Event>,
) {
    let told = clock.now();
    let by = told + longest.min(LONGEST) + STILL_COMING.saturating_sub(LAST_WORDS);
    log::info!("stopping");
    let _ = module.send(Event::Stopping { last_answer_due: by }).await;
    clock.sleep_until(told + STILL_COMING + LAST_WORDS).await;
    connections.close_when_idle();
    let all_gone = async {
        while owing.get() > 0 || !connections.is_empty() || !intake.has_no_pending() {
            sleep(LOOK).await;
        }
    };
    all_gone.or(clock.sleep_until(by + LAST_WORDS)).await;
}
