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
const ARRIVAL_WINDOW: Span = Span::from_micros(600_000);
/// SIGKILL comes after the longest job timeout plus `ARRIVAL_WINDOW`; a longer timeout than this counts as
/// this long.
const MAX_COUNTED_DEADLINE: Span = Span::from_micros(3_000_000);
/// Part of the time before SIGKILL that is reserved for writing the last answers.
const FINAL_WRITE_TIME: Span = Span::from_micros(100_000);
/// Interval between checks whether all connections have closed.
const POLL_INTERVAL: Span = Span::from_micros(10_000);

/// A command that the operators give by a signal.
pub enum OperatorCommand {
    /// The configuration that was read, or what is wrong with it.
    Reload(Result<RouterConfig>),
    /// The keys that the operator file names, read again, or what is wrong with them.
    ReloadKeys(Result<Box<Keys>>),
    Stop,
}

/// Carries out commands as they arrive. The command to stop is passed on to `stop`; reloads continue after
/// it.
pub async fn execute_commands(
    commands: impl Stream<Item = OperatorCommand>, moves: Sender<DiscoveryMove>, stop: Sender<()>,
    gossip: Option<GossipHandle>, guards: Guards,
) {
    let mut commands = std::pin::pin!(commands);
    while let Some(command) = commands.next().await {
        match command {
            // Only the latest move to another discovery address counts, as it includes what an earlier one
            // contained.
            OperatorCommand::Reload(Ok(config)) => {
                guards.report();
                let _ = moves.force_send(DiscoveryMove {
                    address: config.discovery_address,
                    known_events: config.known_events,
                });
            }
            OperatorCommand::Reload(Err(error)) => log::error!("the old configuration stays: {error}"),
            OperatorCommand::ReloadKeys(Ok(keys)) => {
                if let Some(gossip) = &gossip {
                    gossip.send(GossipEvent::KeysReloaded(keys));
                }
            }
            OperatorCommand::ReloadKeys(Err(error)) => log::error!("the old operator file stays: {error}"),
            OperatorCommand::Stop => {
                if let Some(gossip) = &gossip {
                    gossip.send(GossipEvent::Stopping);
                }
                let _ = stop.try_send(());
            }
        }
    }
}

/// Waits from the command to stop until the process may end. Clients may keep connections idle until they are
/// notified of the end, or continue to send requests: each connection is closed once no answer is due on it,
/// and no connection delays the end of the process beyond the due time of the last answer and the time to
/// write it.
pub async fn shut_down(
    clock: Clock, max_job_timeout: Span, answers_owed: &Cell<usize>, connections: &Connections,
    acceptor: &Acceptor, events: Sender<Event>,
) {
    let began = clock.now();
    let last_answer_due =
        began + max_job_timeout.min(MAX_COUNTED_DEADLINE) + ARRIVAL_WINDOW.saturating_sub(FINAL_WRITE_TIME);
    log::info!("stopping");
    let _ = events.send(Event::Stopping { last_answer_due }).await;
    clock.sleep_until(began + ARRIVAL_WINDOW + FINAL_WRITE_TIME).await;
    connections.close_when_idle();
    let all_gone = async {
        while answers_owed.get() > 0 || !connections.is_empty() || !acceptor.has_no_pending() {
            sleep(POLL_INTERVAL).await;
        }
    };
    all_gone.or(clock.sleep_until(last_answer_due + FINAL_WRITE_TIME)).await;
}
