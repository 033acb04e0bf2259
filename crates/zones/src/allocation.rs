//! Allocates each zone's demand to zones. Demand stays in its own zone while that is safe; the allocation
//! serves the largest billed value that the zones' capacities allow, at the least crossing cost.

use crate::flow::{EdgeId, Graph};

/// Maximum number of zones.
pub const MAX_ZONES: usize = 8;
/// Maximum number of reservation types.
pub const MAX_TYPES: usize = 8;
/// Maximum of every capacity and demand. They are integers in thousandths of a core.
pub const MAX_MILLICORES: u64 = 1 << 32;

/// The inputs for one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// The demand that its engines can serve safely, in thousandths of a core; 0 for a zone that is lost or
    /// evacuated.
    pub capacity: u64,
    /// Demand of its clients by reservation type, in thousandths of a core.
    pub asks: Vec<u64>,
    /// Cost of serving a job of this zone in each zone: the time in microseconds that crossing to that zone
    /// takes; 0 for the zone itself.
    pub crossing: Vec<u32>,
}

/// The inputs for one reservation type.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationType {
    /// Billed value of one core-second, in whole units; demand of the types with the least value is throttled
    /// first.
    pub value: u32,
    /// For each zone, whether jobs of the type may run there; a job is never served in another zone.
    pub runs_in: Vec<bool>,
}

/// Why the inputs are invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InputError {
    /// There are no zones or types, or more than [`MAX_ZONES`] or [`MAX_TYPES`].
    Count,
    /// The named field is a list that does not have one entry for each zone or type.
    Length(&'static str),
    /// The named field contains a figure over [`MAX_MILLICORES`], or a value or crossing cost that is too
    /// large for exact costs.
    TooLarge(&'static str),
}

/// Maximum of a type's value. Together with [`MAX_CROSSING_US`], it keeps the sum over all units within the
/// integer range.
const MAX_VALUE: u32 = 1 << 10;
/// Maximum of a crossing cost, in microseconds.
const MAX_CROSSING_US: u32 = 1 << 18;

/// The result of [`solve`], in thousandths of a core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// Demand served, by home zone, type and serving zone.
    pub served: Vec<Vec<Vec<u64>>>,
    /// Demand throttled, by home zone and type.
    pub throttled: Vec<Vec<u64>>,
    /// Capacity left over, by serving zone.
    pub spare: Vec<u64>,
}

impl Allocation {
    /// The demand that is served outside its home zone.
    pub fn cross_zone_total(&self) -> u64 {
        let served_elsewhere = |(home, types): (usize, &Vec<Vec<u64>>)| -> u64 {
            types
                .iter()
                .flat_map(|by_zone| by_zone.iter().enumerate())
                .filter(|(zone, _)| *zone != home)
                .map(|(_, millicores)| millicores)
                .sum()
        };
        self.served.iter().enumerate().map(served_elsewhere).sum()
    }

    pub fn throttles_any(&self) -> bool {
        self.throttled.iter().flatten().any(|millicores| *millicores > 0)
    }
}

fn validate(zones: &[Zone], types: &[ReservationType]) -> Result<(), InputError> {
    if zones.is_empty() || types.is_empty() || zones.len() > MAX_ZONES || types.len() > MAX_TYPES {
        return Err(InputError::Count);
    }
    for zone in zones {
        if zone.asks.len() != types.len() {
            return Err(InputError::Length("asks"));
        }
        if zone.crossing.len() != zones.len() {
            return Err(InputError::Length("crossing"));
        }
        if zone.capacity > MAX_MILLICORES || zone.asks.iter().any(|asks| *asks > MAX_MILLICORES) {
            return Err(InputError::TooLarge("capacity or asks"));
        }
        if zone.crossing.iter().any(|crossing| *crossing > MAX_CROSSING_US) {
            return Err(InputError::TooLarge("crossing"));
        }
    }
    for reservation_type in types {
        if reservation_type.runs_in.len() != zones.len() {
            return Err(InputError::Length("runs_in"));
        }
        if reservation_type.value > MAX_VALUE {
            return Err(InputError::TooLarge("value"));
        }
    }
    Ok(())
}

/// Decides which share of each zone's demand is served in which zone. The solution serves the largest billed
/// value, so that excess demand is throttled in ascending order of value; among such allocations, the one of
/// the least crossing cost is chosen. Ties are broken by the order of zones and types alone.
pub fn solve(zones: &[Zone], types: &[ReservationType]) -> Result<Allocation, InputError> {
    validate(zones, types)?;
    let (zone_count, type_count) = (zones.len(), types.len());
    // The source has edges to a demand node for each zone and type. Each demand node has edges to the
    // capacity nodes of the zones that may serve it and one to the sink for what is throttled. Capacity nodes
    // have edges to the sink.
    let (source, sink) = (0, 1);
    let demand_node = |zone: usize, type_index: usize| 2 + zone * type_count + type_index;
    let capacity_node = |zone: usize| 2 + zone_count * type_count + zone;
    let mut graph = Graph::new(2 + zone_count * type_count + zone_count);
    let mut serving_edges: Vec<(usize, usize, usize, EdgeId)> = Vec::new();
    let mut throttling_edges: Vec<(usize, usize, EdgeId)> = Vec::new();
    // Throttling one unit of value costs more than any chain of moves between zones can save, so that served
    // value takes precedence over crossing cost.
    let max_crossing = zones.iter().flat_map(|zone| &zone.crossing).max().copied().unwrap_or(0);
    let cost_per_value = u64::from(max_crossing) * 2 * zone_count as u64 + 1;
    for (home, zone) in zones.iter().enumerate() {
        for (type_index, reservation_type) in types.iter().enumerate() {
            let node = demand_node(home, type_index);
            graph.add_edge(source, node, zone.asks[type_index], 0);
            for serving in (0..zone_count).filter(|serving| reservation_type.runs_in[*serving]) {
                serving_edges.push((
                    home,
                    type_index,
                    serving,
                    graph.add_edge(
                        node,
                        capacity_node(serving),
                        u64::MAX >> 2,
                        zone.crossing[serving].into(),
                    ),
                ));
            }
            throttling_edges.push((
                home,
                type_index,
                graph.add_edge(
                    node,
                    sink,
                    u64::MAX >> 2,
                    u64::from(reservation_type.value + 1) * cost_per_value,
                ),
            ));
        }
    }
    let capacity_edges: Vec<EdgeId> = zones
        .iter()
        .enumerate()
        .map(|(index, zone)| graph.add_edge(capacity_node(index), sink, zone.capacity, 0))
        .collect();
    graph.maximize_flow(source, sink);
    let mut served = vec![vec![vec![0; zone_count]; type_count]; zone_count];
    for (home, type_index, serving, edge) in serving_edges {
        served[home][type_index][serving] = graph.flow_on(edge);
    }
    let mut throttled = vec![vec![0; type_count]; zone_count];
    for (home, type_index, edge) in throttling_edges {
        throttled[home][type_index] = graph.flow_on(edge);
    }
    let spare =
        zones.iter().zip(capacity_edges).map(|(zone, edge)| zone.capacity - graph.flow_on(edge)).collect();
    Ok(Allocation { served, throttled, spare })
}

/// For each zone, how much more demand would be throttled if that zone were lost too, in thousandths of a
/// core; `None` where the other zones would serve all of its clients.
pub fn extra_throttled_per_lost_zone(
    zones: &[Zone], types: &[ReservationType],
) -> Result<Vec<Option<u64>>, InputError> {
    validate(zones, types)?;
    let before: u64 = solve(zones, types)?.throttled.iter().flatten().sum();
    (0..zones.len())
        .map(|lost| {
            let mut remaining = zones.to_vec();
            remaining[lost].capacity = 0;
            let after: u64 = solve(&remaining, types)?.throttled.iter().flatten().sum();
            Ok(Some(after.saturating_sub(before)).filter(|extra| *extra > 0))
        })
        .collect()
}
