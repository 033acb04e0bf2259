//! The processes, clients and rates of one point of an axis on loopback, and the measurements that are made
//! there.

use crate::arguments::Axis;

/// The number of routers of the target. Those that do not run are simulated: they are counted in the settings
/// and in the load that engines report.
const TARGET_ROUTERS: usize = 1_800;
/// Jobs a second at each router, unless they are the axis.
const JOBS_PER_S: usize = 250;
/// Jobs a second on the axis of engines: a rate that a router sustains at the largest size too.
const ENGINE_AXIS_JOBS_PER_S: usize = 100;
const DEFAULT_ENGINES: usize = 80;
const MANY_ENGINES: usize = 600;
/// Client connections that send jobs, at each router; each has one job in progress at a time.
const ACTIVE_CLIENTS: usize = 128;
const ACTIVE_CLIENTS_WITH_PEERS: usize = 32;
/// The descriptor limit of a router that runs alone (`descriptors` raises it for many clients), and of each
/// router where several run.
const DESCRIPTORS: usize = 6_000;
const DESCRIPTORS_WITH_PEERS: usize = 1_600;
/// A router reserves a third of its descriptors for clients.
const CLIENT_DIVISOR: usize = 3;
/// The number of clients that a router can accept beyond those of the point.
const SPARE_CLIENTS: usize = 64;
/// The processor time of a query of a simulated router at an engine, and an engine's cores.
const QUERY_CPU_SECS: f64 = 0.001;
const ENGINE_CORES: f64 = 8.0;

/// One point of an axis.
#[derive(Clone, Debug, PartialEq)]
pub struct Setup {
    pub engines: usize,
    /// The number of routers that run as processes.
    pub routers: usize,
    /// The number of routers in the settings, with the simulated ones.
    pub replicas: usize,
    /// The processor load that engines report, as a share of their cores: the load by the simulated routers.
    pub reported_cpu_share: f64,
    /// Client connections without jobs, at each router.
    pub idle_clients: usize,
    /// Client connections that send jobs, at each router.
    pub active_clients: usize,
    /// Jobs a second at each router.
    pub jobs_per_s: usize,
    /// Changes of the engine list a second.
    pub changes_per_s: usize,
    /// The descriptor limit of each router.
    pub descriptors: usize,
    /// Whether the point is also measured without jobs.
    pub measures_idle: bool,
    /// Whether the maximum throughput is also measured: each client sends a job as soon as its last one is
    /// answered.
    pub measures_max_throughput: bool,
}

impl Setup {
    /// `None` for the axis that runs on the virtual network.
    pub fn at_point(axis: Axis, size: usize) -> Option<Self> {
        let default_point = Self::default_point();
        let setup = match axis {
            Axis::Members => return None,
            Axis::Engines => Self {
                engines: size,
                jobs_per_s: ENGINE_AXIS_JOBS_PER_S,
                measures_max_throughput: true,
                ..default_point
            },
            Axis::Clients => Self { idle_clients: size, descriptors: descriptors(size), ..default_point },
            Axis::Jobs => Self { jobs_per_s: size, measures_idle: false, ..default_point },
            Axis::Events => Self { engines: MANY_ENGINES, changes_per_s: size, ..default_point },
            Axis::Routers => Self::with_peers(size),
        };
        Some(setup)
    }

    fn default_point() -> Self {
        Self {
            engines: DEFAULT_ENGINES,
            routers: 1,
            replicas: 1,
            reported_cpu_share: 0.0,
            idle_clients: 0,
            active_clients: ACTIVE_CLIENTS,
            jobs_per_s: JOBS_PER_S,
            changes_per_s: 0,
            descriptors: DESCRIPTORS,
            measures_idle: true,
            measures_max_throughput: false,
        }
    }

    /// A point with `routers` real routers; the other routers of the target are simulated.
    fn with_peers(routers: usize) -> Self {
        let simulated = TARGET_ROUTERS.saturating_sub(routers);
        let queries_per_s = (simulated * JOBS_PER_S) as f64 / MANY_ENGINES as f64;
        Self {
            engines: MANY_ENGINES,
            routers,
            replicas: TARGET_ROUTERS,
            reported_cpu_share: queries_per_s * QUERY_CPU_SECS / ENGINE_CORES,
            active_clients: ACTIVE_CLIENTS_WITH_PEERS,
            descriptors: DESCRIPTORS_WITH_PEERS,
            ..Self::default_point()
        }
    }

    /// The number of client connections at all routers.
    pub fn client_connections(&self) -> usize {
        self.routers * (self.idle_clients + self.active_clients)
    }

    /// The maximum number of connections from all routers to engines.
    pub fn engine_connections(&self) -> usize {
        self.routers * (self.descriptors - self.descriptors / CLIENT_DIVISOR)
    }
}

/// The descriptors that a router needs for `clients` idle clients, at least `DESCRIPTORS`.
fn descriptors(clients: usize) -> usize {
    DESCRIPTORS.max(CLIENT_DIVISOR * (clients + ACTIVE_CLIENTS + SPARE_CLIENTS))
}
