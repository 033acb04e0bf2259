//! What stands at one point of an axis on loopback, and what is measured there.

use crate::arguments::Axis;

/// Routers of the target; those that are not real show in the settings and in the load that engines report.
const ALL_ROUTERS: usize = 1_800;
/// Jobs a second at each router, where they are not the axis.
const RATE: usize = 250;
/// On the axis of engines: a rate that the last point bears too.
const RATE_OF_ENGINES: usize = 100;
const FEW_ENGINES: usize = 80;
const MANY_ENGINES: usize = 600;
/// Connections of clients that ask, at each router; each has one job out at a time.
const ASKING: usize = 128;
const ASKING_OF_MANY: usize = 32;
/// Descriptors of each router, where it is one, where it has many clients, and where there are several.
const DESCRIPTORS: usize = 6_000;
const DESCRIPTORS_OF_MANY: usize = 1_600;
/// A router keeps a third of its descriptors for clients.
const CLIENT_PART: usize = 3;
/// Clients that a router has room for beyond those of the point.
const SPARE_CLIENTS: usize = 64;
/// The processor time of a query at an engine, as hollow routers load them, and an engine's cores.
const WORK_SECS: f64 = 0.001;
const CORES: f64 = 8.0;

/// One point.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    pub engines: usize,
    /// Real ones.
    pub routers: usize,
    /// All that the settings speak of.
    pub replicas: usize,
    /// The share of their processors that engines report, as hollow routers load them.
    pub busy: f64,
    /// At each router.
    pub clients_at_rest: usize,
    pub clients_asking: usize,
    pub jobs_per_s: usize,
    pub changes_per_s: usize,
    /// Of each router.
    pub descriptors: usize,
    /// Whether there is a time at rest to measure.
    pub rests: bool,
    /// Whether as many jobs are asked as are answered, too.
    pub full: bool,
}

impl Setup {
    /// Nothing for the axis that stands on the virtual network.
    pub fn of(axis: Axis, size: usize) -> Option<Self> {
        let usual = Self::usual();
        let setup = match axis {
            Axis::Members => return None,
            Axis::Engines => Self { engines: size, jobs_per_s: RATE_OF_ENGINES, full: true, ..usual },
            Axis::Clients => Self { clients_at_rest: size, descriptors: descriptors(size), ..usual },
            Axis::Jobs => Self { jobs_per_s: size, rests: false, ..usual },
            Axis::Events => Self { engines: MANY_ENGINES, changes_per_s: size, ..usual },
            Axis::Routers => Self::shared(size),
        };
        Some(setup)
    }

    fn usual() -> Self {
        Self {
            engines: FEW_ENGINES,
            routers: 1,
            replicas: 1,
            busy: 0.0,
            clients_at_rest: 0,
            clients_asking: ASKING,
            jobs_per_s: RATE,
            changes_per_s: 0,
            descriptors: DESCRIPTORS,
            rests: true,
            full: false,
        }
    }

    /// So many real routers among hollow ones.
    fn shared(routers: usize) -> Self {
        let hollow = ALL_ROUTERS.saturating_sub(routers);
        let queries_per_s = (hollow * RATE) as f64 / MANY_ENGINES as f64;
        Self {
            engines: MANY_ENGINES,
            routers,
            replicas: ALL_ROUTERS,
            busy: queries_per_s * WORK_SECS / CORES,
            clients_asking: ASKING_OF_MANY,
            descriptors: DESCRIPTORS_OF_MANY,
            ..Self::usual()
        }
    }

    /// Connections of clients at all routers.
    pub fn client_connections(&self) -> usize {
        self.routers * (self.clients_at_rest + self.clients_asking)
    }

    /// The most connections of all routers to engines.
    pub fn engine_connections(&self) -> usize {
        self.routers * (self.descriptors - self.descriptors / CLIENT_PART)
    }
}

/// As many as a router needs for such clients at rest, at least the usual.
fn descriptors(clients: usize) -> usize {
    DESCRIPTORS.max(CLIENT_PART * (clients + ASKING + SPARE_CLIENTS))
}
