//! Flows of least cost: successive shortest paths over whole numbers, so that the same figures give the same flow anywhere.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A place in the graph.
pub type NodeIndex = usize;

#[derive(Clone, Copy, Debug)]
struct Edge {
    to: NodeIndex,
    room: u64,
    cost: i64,
    /// The edge back, in the list of `to`.
    back: usize,
}

/// A graph of places with edges that have room and a cost for each unit.
#[derive(Clone, Debug)]
pub struct Graph {
    edges: Vec<Vec<Edge>>,
}

/// An edge, to ask what flows over it.
#[derive(Clone, Copy, Debug)]
pub struct EdgeId {
    from: NodeIndex,
    at: usize,
}

impl Graph {
    pub fn new(places: usize) -> Self {
        Self { edges: vec![Vec::new(); places] }
    }

    /// Costs are below 2^40.
    pub fn add_edge(&mut self, from: NodeIndex, to: NodeIndex, room: u64, cost: u64) -> EdgeId {
        let (at, back) = (self.edges[from].len(), self.edges[to].len() + usize::from(from == to));
        self.edges[from].push(Edge { to, room, cost: cost as i64, back });
        self.edges[to].push(Edge { to: from, room: 0, cost: -(cost as i64), back: at });
        EdgeId { from, at }
    }

    /// What flows over an edge, after [`maximize_flow`](Self::maximize_flow).
    pub fn flow_on(&self, over: EdgeId) -> u64 {
        let edge = self.edges[over.from][over.at];
        self.edges[edge.to][edge.back].room
    }

    /// Sends as much as there is room for, at the least cost; gives how much.
    pub fn maximize_flow(&mut self, from: NodeIndex, to: NodeIndex) -> u64 {
        let count = self.edges.len();
        let mut potential = vec![0_i64; count];
        let mut sent = 0;
        loop {
            // Dijkstra over costs less potentials, which stay without negative ones.
            let mut far: Vec<Option<i64>> = vec![None; count];
            let mut came: Vec<Option<(NodeIndex, usize)>> = vec![None; count];
            let mut heap = BinaryHeap::from([Reverse((0_i64, from))]);
            far[from] = Some(0);
            while let Some(Reverse((reached, place))) = heap.pop() {
                if far[place] != Some(reached) {
                    continue;
                }
                for (at, edge) in self.edges[place].iter().enumerate().filter(|(_, edge)| edge.room > 0) {
                    let next = reached + edge.cost + potential[place] - potential[edge.to];
                    if far[edge.to].is_none_or(|known| next < known) {
                        (far[edge.to], came[edge.to]) = (Some(next), Some((place, at)));
                        heap.push(Reverse((next, edge.to)));
                    }
                }
            }
            let Some(end) = far[to] else { return sent };
            for (place, far) in far.iter().enumerate() {
                potential[place] += far.unwrap_or(end).min(end);
            }
            let mut path = Vec::new();
            let mut at = to;
            while let Some((place, edge)) = came[at].filter(|_| at != from) {
                path.push((place, edge));
                at = place;
            }
            let room = path.iter().map(|(place, edge)| self.edges[*place][*edge].room).min().unwrap_or(0);
            if room == 0 {
                return sent;
            }
            for (place, edge) in path {
                let Edge { to, back, .. } = self.edges[place][edge];
                self.edges[place][edge].room -= room;
                self.edges[to][back].room += room;
            }
            sent += room;
        }
    }
}
