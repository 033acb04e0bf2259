//! Agreement among a few voters on a sequence of small states, and how all other routers follow it.
//!
//! Each state has a growing number and is decided by a majority of the voters that the previous state names.
//! A voter is named with its *incarnation*: one start of its process. A voter that was killed and starts
//! again without its memory is another incarnation, whose votes don't count until a state names it. So
//! nothing has to be stored on a disk. If a majority of the incarnations is lost at once, nothing more is
//! decided until the operator begins a new epoch with a voter set ([`Node::apply_voter_set`]).
//!
//! A follower regards a state as the latest while a majority of the state's voters has recently attested that
//! it is ([`Follower`]). Once the state two steps later is decided, no follower acts on it any more. This
//! holds if clocks differ by no more than the stated tolerance, also when processes are stopped for a while:
//! see `docs/design/accord.md`.
//!
//! The crate does no I/O, reads no clock and starts no thread. [`Node::receive`] and similar methods take
//! input, [`Node::next_action`] returns what the host has to do, and [`Node::next_deadline`] returns when
//! to call it again.

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
