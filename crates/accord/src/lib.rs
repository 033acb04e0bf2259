//! Agreement among a few voters on one small state after another, and how everybody else follows it.
//!
//! Each state has a number that only grows and is decided by a majority of the voters that the state before it names, each
//! named with its *life*: one start of its process. A voter that was killed and starts from nothing is another life, whose
//! votes count for nothing until a state names it. So no disk has to last. Losing a majority of lives at once ends in no
//! further decision, and in the operator's order of a new epoch ([`Node::ordered`]).
//!
//! Whoever follows believes a state for as long as a majority of its voters has lately said that it is the latest
//! ([`Follower`]). That a state is followed nowhere once its second next is decided holds with clocks apart by no more than
//! the stated tolerance, also through stops of processes: see `docs/design/accord.md`.
//!
//! No I/O, clock or thread: [`Node::heard`] and the like take in, [`Node::next`] gives out, [`Node::due`] says when it wants
//! to be asked again.

pub mod agreed;
pub mod follow;
pub mod node;
pub mod propose;
pub mod vote;
pub mod words;

pub use crate::agreed::{Agreed, Ballot, Life, Name, Number, Proposal, Settled, Voter};
pub use crate::follow::{Follower, Warrant};
pub use crate::node::{Do, Node, Pace, What};
