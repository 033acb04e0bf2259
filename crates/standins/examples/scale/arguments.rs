//! The command line: the axis, its sizes, and the programs to measure.

use std::path::PathBuf;

use clap::{Parser, ValueEnum};

use crate::limits::{self, Machine};

const DEFAULT_PROGRAM: &str = "target/release/woadhook";
const DEFAULT_OUTPUT_FOLDER: &str = "docs/capacity";

/// The quantity that grows from point to point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Axis {
    /// Listed engines
    Engines,
    /// Idle client connections, at 80 engines
    Clients,
    /// Jobs a second, at 80 engines
    Jobs,
    /// Changes of the engine list a second, at 600 engines
    Events,
    /// Real routers that share 600 engines; simulated routers bring the total to 1,800
    Routers,
    /// Gossip members, on the virtual network
    Members,
}

impl Axis {
    pub fn name(self) -> &'static str {
        match self {
            Axis::Engines => "engines",
            Axis::Clients => "clients",
            Axis::Jobs => "jobs",
            Axis::Events => "events",
            Axis::Routers => "routers",
            Axis::Members => "members",
        }
    }

    /// The sizes that are measured unless `--sizes` names others.
    pub fn default_sizes(self) -> &'static [usize] {
        match self {
            Axis::Engines => &[2, 80, 600, 2_400],
            Axis::Clients => &[0, 1_500, 3_000, 6_100],
            Axis::Jobs => &[250, 500, 1_000, 2_000, 3_000, 4_000],
            Axis::Events => &[0, 1, 5, 20],
            Axis::Routers => &[1, 2, 4, 8],
            Axis::Members => &[10, 40, 100, 400],
        }
    }

    /// The minimum and maximum size on any machine.
    pub fn allowed_range(self) -> (usize, usize) {
        match self {
            Axis::Engines => (1, 8_000),
            Axis::Clients => (0, 20_000),
            Axis::Jobs => (10, 20_000),
            Axis::Events => (0, 200),
            Axis::Routers => (1, 16),
            Axis::Members => (4, 1_000),
        }
    }
}

/// Measures what a router costs as one axis grows, and fits a line to each measure.
#[derive(Debug, Parser)]
#[command(name = "scale")]
pub struct Arguments {
    /// The quantity that grows
    #[arg(value_enum)]
    pub axis: Axis,
    /// The sizes to measure, in place of the default ones
    #[arg(long, value_delimiter = ',', value_name = "SIZE,SIZE,...")]
    pub sizes: Vec<usize>,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How often each point is measured; the output holds the medians
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=5))]
    pub rounds: u32,
    /// The built program; several programs are measured in turns
    #[arg(long = "program", value_name = "PATH", default_value = DEFAULT_PROGRAM)]
    pub programs: Vec<PathBuf>,
    /// The folder of the output
    #[arg(long, value_name = "DIR", default_value = DEFAULT_OUTPUT_FOLDER)]
    pub out: PathBuf,
    /// The name of a folder below DIR for each program, in the same order
    #[arg(long = "label", value_name = "NAME")]
    pub labels: Vec<String>,
}

impl Arguments {
    /// The sizes in ascending order, each once. The error names the sizes that this machine allows.
    pub fn checked_sizes(&self, machine: &Machine) -> Result<Vec<usize>, String> {
        let mut sizes =
            if self.sizes.is_empty() { self.axis.default_sizes().to_vec() } else { self.sizes.clone() };
        sizes.sort_unstable();
        sizes.dedup();
        if sizes.len() < 2 {
            return Err("--sizes: one point makes no line; at least 2 different ones are needed".to_owned());
        }
        sizes.iter().try_for_each(|size| limits::check(self.axis, *size, machine))?;
        Ok(sizes)
    }

    /// Each program with its output folder.
    pub fn targets(&self) -> Result<Vec<(PathBuf, PathBuf)>, String> {
        let (programs, labels) = (self.programs.len(), self.labels.len());
        if self.axis == Axis::Members && programs > 1 {
            return Err("--program: members stand in this build alone; one program is allowed".to_owned());
        }
        if programs == 1 && labels == 0 {
            return Ok(vec![(self.programs[0].clone(), self.out.clone())]);
        }
        if programs != labels {
            return Err(format!(
                "--label: {labels} labels for {programs} programs; each program needs one of its own"
            ));
        }
        let folders = self.labels.iter().map(|label| self.out.join(label));
        Ok(self.programs.iter().cloned().zip(folders).collect())
    }
}
