//! Agreement among a few voters on one small state after another, and how everybody else follows it.
//!
//! Each state has a number that only grows and is decided by a majority of the voters that the state before it names, each
//! named with its *incarnation*: one start of its process. A voter that was killed and starts from nothing is another incarnation, whose
//! votes count for nothing until a state names it. So no disk has to last. Losing a majority of lives at once ends in no
//! further decision, and in the operator's order of a new epoch ([`Node::apply_voter_set`]).
//!
//! Whoever follows believes a state for as long as a majority of its voters has lately said that it is the latest
//! ([`Follower`]). That a state is followed nowhere once its second next is decided holds with clocks apart by no more than
//! the stated tolerance, also through stops of processes: see `docs/design/accord.md`.
//!
//! No I/O, clock or thread: [`Node::receive`] and the like take in, [`Node::next_action`] gives out, [`Node::next_deadline`] says when it wants
//! to be asked again.

pub mod acceptor;
pub mod follower;
pub mod messages;
pub mod node;
pub mod proposer;
pub mod state;

pub use crate::follower::{Attestation, Follower};
pub use crate::node::{AccordConfig, Action, EventKind, Node};
pub use crate::state::{
    Ballot, DecidedState, DecisionRecord, Incarnation, NodeId, Proposal, StateNumber, Voter,
};
