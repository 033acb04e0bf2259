//! Maximum flow of minimum cost by successive shortest paths, in integers, so that equal inputs give equal
//! flows on every machine.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// The index of a node of the graph.
pub type NodeIndex = usize;

#[derive(Clone, Copy, Debug)]
struct Edge {
    to: NodeIndex,
    residual_capacity: u64,
    unit_cost: i64,
    /// The index of the reverse edge in the list of `to`.
    reverse: usize,
}

/// A directed graph whose edges have a capacity and a cost for each unit of flow.
#[derive(Clone, Debug)]
pub struct Graph {
    edges: Vec<Vec<Edge>>,
}

/// Identifies an edge of a graph, to read its flow.
#[derive(Clone, Copy, Debug)]
pub struct EdgeId {
    from: NodeIndex,
    position: usize,
}

impl Graph {
    /// A graph of `nodes` nodes without edges.
    pub fn new(nodes: usize) -> Self {
        Self { edges: vec![Vec::new(); nodes] }
    }

    /// Adds an edge; `unit_cost` must be below 2^40.
    pub fn add_edge(&mut self, from: NodeIndex, to: NodeIndex, capacity: u64, unit_cost: u64) -> EdgeId {
        let (position, reverse) = (self.edges[from].len(), self.edges[to].len() + usize::from(from == to));
        self.edges[from].push(Edge { to, residual_capacity: capacity, unit_cost: unit_cost as i64, reverse });
        self.edges[to].push(Edge {
            to: from,
            residual_capacity: 0,
            unit_cost: -(unit_cost as i64),
            reverse: position,
        });
        EdgeId { from, position }
    }

    /// The flow on an edge, after [`maximize_flow`](Self::maximize_flow).
    pub fn flow_on(&self, id: EdgeId) -> u64 {
        let edge = self.edges[id.from][id.position];
        self.edges[edge.to][edge.reverse].residual_capacity
    }

    /// Sends as much flow from `source` to `sink` as the capacities allow, at minimum cost; returns the
    /// amount.
    pub fn maximize_flow(&mut self, source: NodeIndex, sink: NodeIndex) -> u64 {
        let nodes = self.edges.len();
        let mut potential = vec![0_i64; nodes];
        let mut total = 0;
        loop {
            // Dijkstra's algorithm over reduced costs, which the potentials keep non-negative.
            let mut distances: Vec<Option<i64>> = vec![None; nodes];
            let mut predecessors: Vec<Option<(NodeIndex, usize)>> = vec![None; nodes];
            let mut heap = BinaryHeap::from([Reverse((0_i64, source))]);
            distances[source] = Some(0);
            while let Some(Reverse((distance, node))) = heap.pop() {
                if distances[node] != Some(distance) {
                    continue;
                }
                for (position, edge) in
                    self.edges[node].iter().enumerate().filter(|(_, edge)| edge.residual_capacity > 0)
                {
                    let next = distance + edge.unit_cost + potential[node] - potential[edge.to];
                    if distances[edge.to].is_none_or(|known| next < known) {
                        (distances[edge.to], predecessors[edge.to]) = (Some(next), Some((node, position)));
                        heap.push(Reverse((next, edge.to)));
                    }
                }
            }
            let Some(sink_distance) = distances[sink] else { return total };
            // Capping at the sink's distance keeps the reduced costs of all residual edges non-negative, and
            // it gives unreachable nodes a finite potential.
            for (node, distance) in distances.iter().enumerate() {
                potential[node] += distance.unwrap_or(sink_distance).min(sink_distance);
            }
            let mut path = Vec::new();
            let mut node = sink;
            while let Some((previous, position)) = predecessors[node].filter(|_| node != source) {
                path.push((previous, position));
                node = previous;
            }
            let amount = path
                .iter()
                .map(|(node, position)| self.edges[*node][*position].residual_capacity)
                .min()
                .unwrap_or(0);
            if amount == 0 {
                return total;
            }
            for (node, position) in path {
                let Edge { to, reverse, .. } = self.edges[node][position];
                self.edges[node][position].residual_capacity -= amount;
                self.edges[to][reverse].residual_capacity += amount;
            }
            total += amount;
        }
    }
}
