//! The adapter: reads one batch per line from standard input and writes one reply per line.

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

use woadhook_adapter::flint;

fn main() -> ExitCode {
    let mut host = flint::Host::default();
    let mut output = io::stdout().lock();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let reply = line.map_err(|error| error.to_string()).and_then(|line| host.handle_batch(&line));
        let written = match reply {
            Ok(reply) => writeln!(output, "{reply}").and_then(|()| output.flush()),
            Err(error) => {
                eprintln!("line {}: {error}", number + 1);
                return ExitCode::FAILURE;
            }
        };
        if let Err(error) = written {
            eprintln!("standard output: {error}");
            return ExitCode::FAILURE;
        }
    }
    ExitCode::SUCCESS
}
