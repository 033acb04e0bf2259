//! The program `woadhook`: one router, as `LB_CONFIG` tells it, until SIGTERM. SIGHUP has the file read
//! again.

use std::net::TcpListener;
use std::process::ExitCode;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use woadhook_router::stop::Order;
use woadhook_router::tasks::Tasks;
use woadhook_router::{config, serve};

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            log::error!("{fault}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> Result<(), String> {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let orders = signals.map_err(|error| error.to_string())?.filter_map(|signal| match signal.ok()? {
        Signal::Hup => Some(Order::Reload(config::read())),
        _ => Some(Order::Stop),
    });
    let given = config::read()?;
    let listener = TcpListener::bind(given.listen).map_err(|error| format!("{}: {error}", given.listen))?;
    let tasks = Tasks::default();
    async_io::block_on(tasks.run(serve(tasks, given, listener, orders)))
}
