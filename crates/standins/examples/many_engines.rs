//! Measures whether one router with very many listed engines answers in time on a small share of a core:
//! `cargo run --release -p woadhook-standins --example many_engines -- --engines 12,3200 --share 0.05`. Each
//! count of engines gets the same requests.

use std::path::PathBuf;
use std::time::Duration;

use clap::Parser;
use woadhook_standins::lightweight::callers::Traffic;
use woadhook_standins::many_engines::Scenario;

const CONNECTIONS: usize = 24;
const WITHDRAWN_SHARE: f64 = 0.1;

/// Measures how late answers are, by the number of listed engines.
#[derive(Parser)]
struct Arguments {
    /// Numbers of engines
    #[arg(long, value_delimiter = ',', default_value = "12,3200")]
    engines: Vec<usize>,
    /// The router's share of one core
    #[arg(long, default_value_t = 0.05)]
    share: f64,
    /// Requests a second
    #[arg(long, default_value_t = 400.0)]
    rate: f64,
    /// How long a client waits for an answer, in milliseconds
    #[arg(long, default_value_t = 1_000)]
    wait: u64,
    /// Length of the traffic in seconds
    #[arg(long, default_value_t = 8)]
    seconds: u64,
    /// Seed of the requests
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Prints the router's log
    #[arg(long)]
    log: bool,
    /// The built program
    #[arg(long, default_value = "target/release/woadhook")]
    program: PathBuf,
}

fn main() {
    let arguments = Arguments::parse();
    println!(
        "engines | requests | served | refused | failed | none | over 0.5 s late | worst ms late | attempts over 0.15 s after a withdrawal | connections | CPU us a request"
    );
    for engines in &arguments.engines {
        let traffic = Traffic {
            requests_per_s: arguments.rate,
            connections: CONNECTIONS,
            wait: Duration::from_millis(arguments.wait),
            withdrawn_share: WITHDRAWN_SHARE,
            seed: arguments.seed,
        };
        let scenario = Scenario {
            program: &arguments.program.display().to_string(),
            engines: *engines,
            share: arguments.share,
            traffic,
            length: Duration::from_secs(arguments.seconds),
        };
        let report = scenario.run();
        println!(
            "{engines} | {} | {} | {} | {} | {} | {} | {} | {} | {} | {:.0}",
            report.requests,
            report.served,
            report.refused,
            report.failed,
            report.unanswered,
            report.late,
            report.worst_lateness.as_millis(),
            report.attempts_after_withdrawal,
            report.engine_connections,
            report.cpu.as_secs_f64() * 1e6 / report.requests as f64
        );
        if arguments.log {
            println!("{}", report.log);
        }
    }
}
