//! Allocation of demand: near while that is safe, as much billed value served as the zones bear, and then the least crossing.

use crate::flow::{Graph, EdgeId};

/// The most zones and reservation types that are planned for.
pub const MAX_ZONES: usize = 8;
pub const MAX_TYPES: usize = 8;
/// Figures are whole numbers of thousandths of a core; none is larger.
pub const MAX_MILLICORES: u64 = 1 << 32;

/// A zone as it is planned for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// What its engines bear safely, in thousandths of a core; 0 where it is lost or evacuated.
    pub capacity: u64,
    /// What its clients ask for, by reservation type, in the same.
    pub asks: Vec<u64>,
    /// What a job pays for being served in each zone, in microseconds of crossing; 0 at home.
    pub crossing: Vec<u32>,
}

/// A reservation type as it is planned for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReservationType {
    /// Billed value of a core's second, in whole units; the larger, the later it is throttled.
    pub value: u32,
    /// Where it may run (rule 6), by zone.
    pub runs_in: Vec<bool>,
}

/// What is wrong with figures.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum InputError {
    /// More zones or types than planned for, or none.
    Count,
    /// A list that is not as long as there are zones or types, by name of the field.
    Length(&'static str),
    /// A figure over [`MAX_MILLICORES`], or a value or crossing that is too large for exact costs.
    TooLarge(&'static str),
}

/// The most of values and crossings: the sum over all units stays within whole numbers.
const MOST_VALUE: u32 = 1 << 10;
const MOST_CROSSING: u32 = 1 << 18;

/// What is planned, in thousandths of a core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Allocation {
    /// By zone that asks, type and zone that serves.
    pub served: Vec<Vec<Vec<u64>>>,
    /// By zone that asks and type.
    pub throttled: Vec<Vec<u64>>,
    /// By zone that serves, what is left of what it bears.
    pub spare: Vec<u64>,
}

impl Allocation {
    pub fn cross_zone_total(&self) -> u64 {
        let away = |(home, kinds): (usize, &Vec<Vec<u64>>)| -> u64 {
            kinds
                .iter()
                .flat_map(|to| to.iter().enumerate())
                .filter(|(zone, _)| *zone != home)
                .map(|(_, m)| m)
                .sum()
        };
        self.served.iter().enumerate().map(away).sum()
    }

    pub fn throttles_any(&self) -> bool {
        self.throttled.iter().flatten().any(|milli| *milli > 0)
    }
}

fn check(zones: &[Zone], kinds: &[ReservationType]) -> Result<(), InputError> {
    if zones.is_empty() || kinds.is_empty() || zones.len() > MAX_ZONES || kinds.len() > MAX_TYPES {
        return Err(InputError::Count);
    }
    for zone in zones {
        if zone.asks.len() != kinds.len() {
            return Err(InputError::Length("asks"));
        }
        if zone.crossing.len() != zones.len() {
            return Err(InputError::Length("crossing"));
        }
        if zone.capacity > MAX_MILLICORES || zone.asks.iter().any(|asks| *asks > MAX_MILLICORES) {
            return Err(InputError::TooLarge("capacity or asks"));
        }
        if zone.crossing.iter().any(|crossing| *crossing > MOST_CROSSING) {
            return Err(InputError::TooLarge("crossing"));
        }
    }
    for kind in kinds {
        if kind.runs_in.len() != zones.len() {
            return Err(InputError::Length("runs_in"));
        }
        if kind.value > MOST_VALUE {
            return Err(InputError::TooLarge("value"));
        }
    }
    Ok(())
}

/// Plans which share of each zone's demand is served where. In this order: the most billed value is served, what is over is
/// throttled by least value; then the least crossing is paid. Ties are broken by the order of zones and types alone.
pub fn solve(zones: &[Zone], kinds: &[ReservationType]) -> Result<Allocation, InputError> {
    check(zones, kinds)?;
    let (all, types) = (zones.len(), kinds.len());
    // From the source to each zone's type, from there to the zones and past them, from the zones to the sink.
    let (source, sink) = (0, 1);
    let asked = |zone: usize, kind: usize| 2 + zone * types + kind;
    let serves = |zone: usize| 2 + all * types + zone;
    let mut graph = Graph::new(2 + all * types + all);
    let mut ways: Vec<(usize, usize, usize, EdgeId)> = Vec::new();
    let mut past: Vec<(usize, usize, EdgeId)> = Vec::new();
    // One unit of value costs more than any chain of moves among zones saves: so served value goes before crossing.
    let most = zones.iter().flat_map(|zone| &zone.crossing).max().copied().unwrap_or(0);
    let dearest = u64::from(most) * 2 * all as u64 + 1;
    for (home, zone) in zones.iter().enumerate() {
        for (kind, of) in kinds.iter().enumerate() {
            let at = asked(home, kind);
            graph.add_edge(source, at, zone.asks[kind], 0);
            for away in (0..all).filter(|away| of.runs_in[*away]) {
                ways.push((
                    home,
                    kind,
                    away,
                    graph.add_edge(at, serves(away), u64::MAX >> 2, zone.crossing[away].into()),
                ));
            }
            past.push((home, kind, graph.add_edge(at, sink, u64::MAX >> 2, u64::from(of.value + 1) * dearest)));
        }
    }
    let borne: Vec<EdgeId> =
        zones.iter().enumerate().map(|(zone, of)| graph.add_edge(serves(zone), sink, of.capacity, 0)).collect();
    graph.maximize_flow(source, sink);
    let mut goes = vec![vec![vec![0; all]; types]; all];
    for (home, kind, away, over) in ways {
        goes[home][kind][away] = graph.flow_on(over);
    }
    let mut throttled = vec![vec![0; types]; all];
    for (home, kind, over) in past {
        throttled[home][kind] = graph.flow_on(over);
    }
    let spare = zones.iter().zip(borne).map(|(zone, over)| zone.capacity - graph.flow_on(over)).collect();
    Ok(Allocation { served: goes, throttled, spare })
}

/// What would be throttled if one more zone were lost, for each: `None` where its clients would all be served elsewhere.
pub fn extra_throttled_per_lost_zone(zones: &[Zone], kinds: &[ReservationType]) -> Result<Vec<Option<u64>>, InputError> {
    check(zones, kinds)?;
    let now: u64 = solve(zones, kinds)?.throttled.iter().flatten().sum();
    (0..zones.len())
        .map(|lost| {
            let mut fewer = zones.to_vec();
            fewer[lost].capacity = 0;
            let then: u64 = solve(&fewer, kinds)?.throttled.iter().flatten().sum();
            Ok(Some(then.saturating_sub(now)).filter(|more| *more > 0))
        })
        .collect()
}
