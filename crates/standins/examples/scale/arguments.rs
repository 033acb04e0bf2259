//! The command line: the axis, its points, and the programs that are measured.

use std::path::PathBuf;

use clap::{Parser, ValueEnum};

use crate::limits::{self, Machine};

const PROGRAM: &str = "target/release/woadhook";
const FOLDER: &str = "docs/capacity";

/// What grows from point to point.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, ValueEnum)]
pub enum Axis {
    /// Engines that are listed
    Engines,
    /// Client connections at rest, at 80 engines
    Clients,
    /// Jobs a second, at 80 engines
    Jobs,
    /// Changes of the list a second, at 600 engines
    Events,
    /// Real routers that share 600 engines; hollow ones make up 1,800 with them
    Routers,
    /// Members that gossip, on the virtual network
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

    /// The usual points.
    pub fn sizes(self) -> &'static [usize] {
        match self {
            Axis::Engines => &[2, 80, 600, 2_400],
            Axis::Clients => &[0, 1_500, 3_000, 6_100],
            Axis::Jobs => &[250, 500, 1_000, 2_000, 3_000, 4_000],
            Axis::Events => &[0, 1, 5, 20],
            Axis::Routers => &[1, 2, 4, 8],
            Axis::Members => &[10, 40, 100, 400],
        }
    }

    /// The least and most that a point may be on any machine.
    pub fn range(self) -> (usize, usize) {
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
    /// What grows
    #[arg(value_enum)]
    pub axis: Axis,
    /// The axis's points, in place of the usual ones
    #[arg(long, value_delimiter = ',', value_name = "SIZE,SIZE,...")]
    pub sizes: Vec<usize>,
    /// For all that is drawn by chance
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// How often each point is measured; the medians count
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..=5))]
    pub rounds: u32,
    /// The built program; several are measured in turns
    #[arg(long = "program", value_name = "PATH", default_value = PROGRAM)]
    pub programs: Vec<PathBuf>,
    /// Where the output goes
    #[arg(long, value_name = "DIR", default_value = FOLDER)]
    pub out: PathBuf,
    /// A folder below DIR for each program, in their order
    #[arg(long = "label", value_name = "NAME")]
    pub labels: Vec<String>,
}

impl Arguments {
    /// The axis's points, each at most what is allowed here; the error says what is.
    pub fn points(&self, machine: &Machine) -> Result<Vec<usize>, String> {
        let mut sizes = if self.sizes.is_empty() { self.axis.sizes().to_vec() } else { self.sizes.clone() };
        sizes.sort_unstable();
        sizes.dedup();
        if sizes.len() < 2 {
            return Err("--sizes: one point makes no line; at least 2 different ones are needed".to_owned());
        }
        sizes.iter().try_for_each(|size| limits::check(self.axis, *size, machine))?;
        Ok(sizes)
    }

    /// Each program with the folder for its output.
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
