//! The program `woadhook`.

mod commands;
mod logs;

use std::process::ExitCode;

use clap::Parser;

use crate::commands::Line;

fn main() -> ExitCode {
    commands::carry_out(Line::parse())
}
