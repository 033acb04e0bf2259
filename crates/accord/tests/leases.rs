//! Every order of events around leases in a small world with clocks apart, checked by `stateright`: voters learn late or
//! never, a follower hears some warrants and acts on what it holds. A warrant that comes late counts from when it was said,
//! and one that is not heard only makes voters wait longer, so those that are heard are heard at once. Acceptors, proposer
//! and follower are the package's own; a decision is one step.

use stateright::{Checker, Model, Property};
use woadhook::{Moment, Span};
use woadhook_accord::acceptor::Acceptor;
use woadhook_accord::proposer::Proposer;
use woadhook_accord::{
    Attestation, Ballot, DecidedState, DecisionRecord, Follower, Incarnation, NodeId, Proposal, StateNumber,
    Voter,
};

const VOTERS: usize = 3;
/// One tick is the clocks' tolerance; the time is the ticks.
const TICK: u64 = 1_000_000;
const BEGIN: u64 = 100;

/// What may happen, and what can be taken out.
#[derive(Clone)]
struct World {
    ticks: u64,
    /// In ticks: what voters count their warrants for, and what the follower does.
    lease: u64,
    held: u64,
    /// Whether voters wait for the tolerance. Followers always leave it out: one that did not would hold a tick more.
    voters_wait: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u64,
    /// Ticks that each voter's clock and the follower's is ahead.
    ahead: Vec<u64>,
    acceptors: Vec<Acceptor>,
    follower: Follower,
    decided: Vec<DecisionRecord>,
}

#[derive(Clone, Debug, PartialEq)]
enum Happens {
    Tick,
    Vouches(usize),
    /// These two voters decide what follows.
    Decide(usize, usize),
    Learns(usize),
}

fn span(ticks: u64) -> Span {
    Span::from_micros(ticks * TICK)
}

fn at(ticks: u64) -> Moment {
    Moment::from_micros(ticks * TICK)
}

fn voters() -> Vec<Voter> {
    (0..VOTERS as u64).map(|name| Voter { node: NodeId(name), incarnation: Incarnation(0) }).collect()
}

fn state(step: u64) -> DecidedState {
    DecidedState {
        number: StateNumber { epoch: 1, step, founding_id: 1 },
        proposal: Proposal { voters: voters(), content: vec![] },
    }
}

impl State {
    fn now(&self, place: usize) -> Moment {
        at(self.time + self.ahead[place])
    }

    fn acts_on(&self) -> Option<u64> {
        self.follower.in_force(self.now(VOTERS)).map(|agreed| agreed.number.step)
    }
}

impl Model for World {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        let first = DecisionRecord { state: state(0), previous_lease_end_us: 0 };
        let wait = if self.voters_wait { span(1) } else { Span::ZERO };
        let acceptors: Vec<Acceptor> = voters()
            .into_iter()
            .map(|me| {
                let mut acceptor = Acceptor::new(me, wait, span(self.lease));
                acceptor.learn(first.clone());
                acceptor
            })
            .collect();
        let mut follower = Follower::new(span(1), span(self.held), 8);
        follower.apply_voter_set(1, &voters().iter().map(|voter| voter.node).collect::<Vec<_>>());
        // The voters' ahead of the follower's, the follower's ahead, two voters' ahead.
        [[1, 1, 1, 0], [0, 0, 0, 1], [1, 1, 0, 0]]
            .into_iter()
            .map(|ahead| State {
                time: BEGIN,
                ahead: ahead.to_vec(),
                acceptors: acceptors.clone(),
                follower: follower.clone(),
                decided: vec![first.clone()],
            })
            .collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Happens>) {
        if state.time < BEGIN + self.ticks {
            actions.push(Happens::Tick);
        }
        actions.extend((0..VOTERS).map(Happens::Vouches));
        if state.decided.len() < 3 {
            actions.extend([(0, 1), (0, 2), (1, 2)].map(|(one, other)| Happens::Decide(one, other)));
        }
        actions.extend((0..VOTERS).map(Happens::Learns));
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let mut next = last.clone();
        match action {
            Happens::Tick => next.time += 1,
            Happens::Vouches(place) => {
                let now = next.now(place);
                let number = next.acceptors[place].attest(now)?;
                let agreed = state(number.step);
                let said = (next.time + next.ahead[place]) * TICK;
                let warrant = Attestation {
                    incarnation: Incarnation(0),
                    number,
                    digest: agreed.digest(),
                    issued_at_us: said,
                };
                let heard = next.now(VOTERS);
                next.follower.receive_attestation(heard, NodeId(place as u64), warrant);
                next.follower.receive_state(agreed);
            }
            Happens::Decide(one, other) => {
                let after = next.acceptors[one].latest()?.state.clone();
                let number = after.number.next()?;
                if number.step as usize != next.decided.len() {
                    return None;
                }
                let ballot = Ballot { round: 1, by: voters()[one] };
                let mut bid = Proposer::start(&after, ballot, state(number.step).proposal)?;
                for place in [one, other] {
                    let now = next.now(place);
                    let accepted = next.acceptors[place].prepare(now, number, ballot).ok()?;
                    bid.receive_promise(voters()[place], ballot, accepted);
                }
                let proposal = bid.proposal_to_accept()?.clone();
                let mut settled = None;
                for place in [one, other] {
                    let now = next.now(place);
                    let until = next.acceptors[place].accept(now, number, ballot, proposal.clone()).ok()?;
                    settled = settled.or(bid.receive_accepted(voters()[place], ballot, until));
                }
                next.decided.push(settled?);
            }
            Happens::Learns(place) => {
                let known = next.acceptors[place].latest()?.state.number.step as usize;
                let settled = next.decided.get(known + 1)?.clone();
                next.acceptors[place].learn(settled);
            }
        }
        (next != *last).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nobody acts on a state once its second next is decided", |_, state: &State| {
                state.acts_on().is_none_or(|step| state.decided.len() as u64 <= step + 2)
            }),
            Property::sometimes("somebody acts", |_, state: &State| state.acts_on().is_some()),
            Property::sometimes("a second next is decided", |_, state: &State| state.decided.len() == 3),
        ]
    }
}

const USUAL: World = World { ticks: 4, lease: 2, held: 2, voters_wait: true };
const SAFE: &str = "nobody acts on a state once its second next is decided";

/// Searches until it ends, or finds what may not be.
fn finds(world: World) -> (bool, usize) {
    let checker = world.checker().threads(2).spawn_bfs().join();
    (checker.discovery(SAFE).is_some(), checker.unique_state_count())
}

#[test]
fn leases_keep_apart_what_is_acted_on_and_what_is_decided() {
    let checker = USUAL.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.discovery(SAFE).is_none());
    assert!(checker.discovery("somebody acts").is_some());
    assert!(checker.discovery("a second next is decided").is_some());
}

#[test]
fn without_the_wait_of_voters_or_the_allowance_of_followers_the_search_finds_what_may_not_be() {
    for (what, world) in [
        ("voters count their warrants for less than followers do", World { lease: 1, held: 4, ..USUAL }),
        ("nobody counts clocks apart", World { held: USUAL.held + 1, voters_wait: false, ..USUAL }),
    ] {
        let (found, states) = finds(world);
        println!("{what}: {states} states");
        assert!(found, "{what}");
    }
}
