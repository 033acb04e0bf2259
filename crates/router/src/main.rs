//! The program `woadhook`.

mod commands;
mod logs;

use std::process::ExitCode;

use clap::Parser;

use crate::commands::CommandLine;

fn main() -> ExitCode {
    commands::execute(CommandLine::parse())
}
