//! Hosts routers of the decision module behind a protocol on standard input and output. [`flint`] is the
//! bench's wire; another protocol would stand beside it and share the crate `woadhook_door`.

mod flint;

use std::io::{self, BufRead, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut host = flint::Host::default();
    let mut output = io::stdout().lock();
    for (number, line) in io::stdin().lock().lines().enumerate() {
        let reply = line.map_err(|error| error.to_string()).and_then(|line| host.answer(&line));
        let written = match reply {
            Ok(reply) => writeln!(output, "{reply}").and_then(|()| output.flush()),
            Err(fault) => {
                eprintln!("line {}: {fault}", number + 1);
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
