//! The program `woadhook`: one router, as `LB_CONFIG` tells it, until SIGTERM.

use std::net::TcpListener;
use std::process::ExitCode;

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
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
    let given = config::read()?;
    let mut signals = Signals::new([Signal::Term, Signal::Int]).map_err(|error| error.to_string())?;
    let told_to_stop = async {
        signals.next().await;
    };
    let listener = TcpListener::bind(given.listen).map_err(|error| format!("{}: {error}", given.listen))?;
    let tasks = Tasks::default();
    async_io::block_on(tasks.run(serve(tasks, given, listener, told_to_stop)))
}
