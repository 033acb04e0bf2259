//! The router accepts queries from clients and runs them on sql engines; the decision module decides when and
//! on which engine each of them runs.
//!
//! The files follow a request: `frontends` accept clients, read and check their requests, and write the one
//! answer to each; `statement` finds the table group, `decide` runs the decision module, and `backends` carry
//! out dispatches over `http` connections from `pool`. `discovery` follows the engine list, `gossip`
//! exchanges reports with other routers if the operator file enables it, `sockets` and `memory` divide the
//! descriptors and the memory among their users, `signals` receives the operators' signals and `stop` acts on
//! them. Calls that may block run on threads of their own: `log_queue` writes log lines, `file_reads` reads
//! files. The messages between these parts are defined in `exchange`, below them all.
//!
//! The text after `Threat:` in a comment names the fault that the code below it guards against, and, where
//! there is one, the case in which this defence costs something.

pub mod agreement;
mod arrivals;
mod backends;
pub mod clock;
pub mod config;
mod decide;
mod discovery;
mod engine_list;
mod exchange;
mod faults;
pub mod file_reads;
pub mod files;
mod freshness;
mod frontends;
pub mod gossip;
mod guards;
mod http;
mod interrupted_calls;
pub mod keyfiles;
mod list_update;
pub mod log_queue;
pub mod memory;
mod past_runs;
mod pool;
pub mod signals;
pub mod sockets;
mod starts;
pub mod statement;
pub mod stop;
pub mod tasks;
mod timers;
mod unsettled_keys;

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;

use futures_lite::Stream;
use woadhook::Span;
use woadhook_flow_control::min_rate::MinRate;
use woadhook_host::fields::*;
use woadhook_operator::OperatorFile;

pub use crate::frontends::rpc::codec;

use crate::arrivals::LoopTicks;
use crate::backends::sql::engine::EngineContext;
use crate::clock::Clock;
use crate::decide::Dispatcher;
use crate::discovery::poll;
use crate::freshness::ListFreshness;
use crate::frontends::rpc::connections::Connections;
use crate::frontends::rpc::front::FrontendContext;
use crate::frontends::rpc::listen::{self, Acceptor};
use crate::frontends::rpc::request::RequestLimits;
use crate::gossip::GossipSetup;
use crate::guards::Guards;
use crate::memory::MemoryBudget;
use crate::pool::ConnectionPool;
use crate::sockets::DescriptorBudget;
use crate::stop::OperatorCommand;
use crate::tasks::Tasks;

/// Serves until a stop that `commands` requests is complete. With `gossip_setup` the router takes part in
/// gossip with other routers.
pub async fn serve(
    tasks: Tasks, config: config::RouterConfig, listener: TcpListener,
    commands: impl Stream<Item = OperatorCommand> + 'static, gossip_setup: Option<GossipSetup>,
    operator_file: &OperatorFile,
) -> Result<()> {
    let clock = Clock::start();
    let settings = config.settings;
    let limits = required(&settings, "limits")?;
    let connect_timeout = span(limits, "connectTimeoutUs")?;
    let idle_close = span(limits, "idleCloseUs")?;
    let grace = span(required(&settings, "obligations")?, "stopSendingWithinUs")?;
    let wants_load_reports = text(required(&settings, "feedback")?, "how")? != "none";
    let engine_settings = required(&settings, "familyInfo")?;
    let classes = array(&settings, "classes")?;
    let types = classes.iter().map(|class| Ok((text(class, "name")?.to_owned(), span(class, "deadlineUs")?)));
    let max_of = |field| numbers(engine_settings, field).map(|each| each.into_iter().fold(1.0, f64::max));
    let request_limits = RequestLimits {
        types: types.collect::<Result<_>>()?,
        max_cores: max_of("coresByKind")?,
        max_memory_mb: max_of("ramOfKindMb")?,
    };
    let max_job_timeout = request_limits.types.iter().map(|(_, timeout)| *timeout).max().unwrap_or_default();
    let max_retry_after = woadhook_host::max_retry_after(limits)?;

    let pace = operator_file.section("pace").ok_or("no section pace")?;
    let min_rate = |rate: &str, grace: &str| MinRate {
        bytes_per_s: pace.integer(rate) as f64,
        grace: Span::from_micros(pace.integer(grace) * 1000),
    };
    let min_rate_share = pace.integer("engine_rate_percent") as f64 / 100.0;
    tasks.spawn(timers::drive());
    let descriptors = DescriptorBudget::split(config.max_descriptors);
    // All budgets together take half of the memory limit; the other half is for connections and the program
    // itself.
    let budget = |part: f64| {
        MemoryBudget::new((config.memory_mb * 1024.0 * 1024.0 * part) as usize, descriptors.max_clients)
    };
    let (events, mailbox) = async_channel::bounded(decide::MAILBOX_CAPACITY);
    let (urgent, urgent_events) = async_channel::bounded(decide::MAILBOX_CAPACITY);
    let guards = Guards::default();
    let loop_ticks = LoopTicks::start(clock, tasks);
    let freshness = ListFreshness::new(clock, loop_ticks.clone(), grace);
    let context = Rc::new(EngineContext {
        clock,
        tasks,
        queries: ConnectionPool::new(clock, descriptors.queries, idle_close),
        control_calls: ConnectionPool::new(clock, descriptors.control_calls, idle_close),
        probes: ConnectionPool::new(clock, descriptors.probes, idle_close),
        connect_timeout,
        wants_load_reports,
        result_memory: budget(0.15),
        min_rate: Rc::new(Cell::new(min_rate("engine_bytes_per_s", "engine_grace_ms"))),
        urgent: urgent.clone(),
        guards: guards.clone(),
        freshness: freshness.clone(),
        loop_ticks: loop_ticks.clone(),
    });
    let gossip_handle = gossip_setup
        .map(|gossip_setup| gossip::start(gossip_setup, clock, config.seed, tasks, events.clone()))
        .transpose()?;
    let dispatcher = Dispatcher::new(
        clock,
        config.seed,
        settings,
        context,
        events.clone(),
        gossip_handle.clone(),
        min_rate_share,
    )?;
    tasks.spawn(dispatcher.run(urgent_events, mailbox));
    let mut last_event = 0;
    // The router starts even if the list can't be read, as discovery sends it again.
    if let Err(error) = poll::forward_known_events(config.known_events, &mut last_event, &urgent).await {
        log::warn!("known: {error}");
    }
    let (moves, received_moves) = async_channel::bounded(1);
    tasks.spawn(poll::follow(
        clock,
        config.discovery_address,
        grace,
        last_event,
        received_moves,
        urgent.clone(),
        freshness,
    ));
    let (stop, stop_requested) = async_channel::bounded(1);
    tasks.spawn(stop::execute_commands(commands, moves, stop, gossip_handle, guards.clone()));

    let acceptor = Acceptor::new(listener).map_err(|error| error.to_string())?;
    let answers_owed = Rc::new(Cell::new(0));
    let frontend_context = FrontendContext {
        clock,
        tasks,
        events: events.clone(),
        request_limits: Rc::new(request_limits),
        job_memory: budget(0.25),
        message_memory: budget(0.1),
        come_back: max_retry_after,
        answers_owed: answers_owed.clone(),
        min_send_rate: min_rate("client_sends_bytes_per_s", "client_grace_ms"),
        min_receive_rate: min_rate("client_takes_bytes_per_s", "client_grace_ms"),
        quantum_bytes: pace.integer("turn_bytes") as usize,
        loop_ticks,
        guards: guards.clone(),
    };
    let connections = Connections::default();
    tasks.spawn(listen::accept(
        acceptor.clone(),
        descriptors.clients,
        clock,
        connections.clone(),
        frontend_context,
    ));
    log::info!("serving on {}", config.listen);
    if stop_requested.recv().await.is_err() {
        std::future::pending().await
    }
    stop::shut_down(clock, max_job_timeout, &answers_owed, &connections, &acceptor, urgent).await;
    guards.report();
    Ok(())
}
