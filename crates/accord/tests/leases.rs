//! A model of leases with clock differences, checked by `stateright` in every order of events: voters learn
//! of decisions late or never, and a follower receives some attestations and acts on the state that is in
//! force. Attestations are received at once or never, which covers the other cases: a late attestation counts
//! from the time at which it was issued, and a lost one only makes voters wait longer. The acceptors, the
//! proposer and the follower are those of the package; a decision is one step.

use stateright::{Checker, Model, Property};
use woadhook::{Moment, Span};
use woadhook_accord::acceptor::Acceptor;
use woadhook_accord::proposer::Proposer;
use woadhook_accord::{
    Attestation, Ballot, DecidedState, DecisionRecord, Follower, Incarnation, NodeId, Proposal, StateNumber,
    Voter,
};

const VOTERS: usize = 3;
/// Microseconds in a tick. Time is counted in ticks, and one tick is the clock tolerance.
const TICK_US: u64 = 1_000_000;
const START_TICK: u64 = 100;

/// The model's limits, and the defences that can be turned off.
#[derive(Clone)]
struct LeaseModel {
    max_ticks: u64,
    /// How many ticks an attestation is valid for voters (`lease`) and for the follower (`follower_lease`).
    lease: u64,
    follower_lease: u64,
    /// Whether voters wait for the clock tolerance. The follower always subtracts it; a follower that does
    /// not is modelled by a `follower_lease` that is one tick longer.
    voters_wait_for_tolerance: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    time: u64,
    /// How many ticks the clocks of the voters and, last, of the follower are ahead.
    clock_offsets: Vec<u64>,
    acceptors: Vec<Acceptor>,
    follower: Follower,
    decided: Vec<DecisionRecord>,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    Tick,
    Attest(usize),
    /// These two voters decide the state that follows.
    Decide(usize, usize),
    Learn(usize),
}

fn span(ticks: u64) -> Span {
    Span::from_micros(ticks * TICK_US)
}

fn at(ticks: u64) -> Moment {
    Moment::from_micros(ticks * TICK_US)
}

fn voters() -> Vec<Voter> {
    (0..VOTERS as u64).map(|node| Voter { node: NodeId(node), incarnation: Incarnation(0) }).collect()
}

fn state(step: u64) -> DecidedState {
    DecidedState {
        number: StateNumber { epoch: 1, step, founding_id: 1 },
        proposal: Proposal { voters: voters(), content: vec![] },
    }
}

impl State {
    fn now(&self, node: usize) -> Moment {
        at(self.time + self.clock_offsets[node])
    }

    fn acts_on(&self) -> Option<u64> {
        self.follower.in_force(self.now(VOTERS)).map(|state| state.number.step)
    }
}

impl Model for LeaseModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let first = DecisionRecord { state: state(0), previous_lease_end_us: 0 };
        let clock_tolerance = if self.voters_wait_for_tolerance { span(1) } else { Span::ZERO };
        let acceptors: Vec<Acceptor> = voters()
            .into_iter()
            .map(|me| {
                let mut acceptor = Acceptor::new(me, clock_tolerance, span(self.lease));
                acceptor.learn(first.clone());
                acceptor
            })
            .collect();
        let mut follower = Follower::new(span(1), span(self.follower_lease), 8);
        follower.apply_voter_set(1, &voters().iter().map(|voter| voter.node).collect::<Vec<_>>());
        // The clocks that are ahead: those of all voters, that of the follower, those of two voters.
        [[1, 1, 1, 0], [0, 0, 0, 1], [1, 1, 0, 0]]
            .into_iter()
            .map(|clock_offsets| State {
                time: START_TICK,
                clock_offsets: clock_offsets.to_vec(),
                acceptors: acceptors.clone(),
                follower: follower.clone(),
                decided: vec![first.clone()],
            })
            .collect()
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        if state.time < START_TICK + self.max_ticks {
            actions.push(Step::Tick);
        }
        actions.extend((0..VOTERS).map(Step::Attest));
        if state.decided.len() < 3 {
            actions.extend([(0, 1), (0, 2), (1, 2)].map(|(one, other)| Step::Decide(one, other)));
        }
        actions.extend((0..VOTERS).map(Step::Learn));
    }

    fn next_state(&self, last: &State, action: Step) -> Option<State> {
        let mut next = last.clone();
        match action {
            Step::Tick => next.time += 1,
            Step::Attest(node) => {
                let now = next.now(node);
                let number = next.acceptors[node].attest(now)?;
                let state = state(number.step);
                let issued_at_us = (next.time + next.clock_offsets[node]) * TICK_US;
                let attestation =
                    Attestation { incarnation: Incarnation(0), number, digest: state.digest(), issued_at_us };
                let received_at = next.now(VOTERS);
                next.follower.receive_attestation(received_at, NodeId(node as u64), attestation);
                next.follower.receive_state(state);
            }
            Step::Decide(one, other) => {
                let after = next.acceptors[one].latest()?.state.clone();
                let number = after.number.next()?;
                if number.step as usize != next.decided.len() {
                    return None;
                }
                let ballot = Ballot { round: 1, proposer: voters()[one] };
                let mut proposer = Proposer::start(&after, ballot, state(number.step).proposal)?;
                for node in [one, other] {
                    let now = next.now(node);
                    let accepted = next.acceptors[node].prepare(now, number, ballot).ok()?;
                    proposer.receive_promise(voters()[node], ballot, accepted);
                }
                let proposal = proposer.proposal_to_accept()?.clone();
                let mut record = None;
                for node in [one, other] {
                    let now = next.now(node);
                    let until = next.acceptors[node].accept(now, number, ballot, proposal.clone()).ok()?;
                    record = record.or(proposer.receive_accepted(voters()[node], ballot, until));
                }
                next.decided.push(record?);
            }
            Step::Learn(node) => {
                let known = next.acceptors[node].latest()?.state.number.step as usize;
                let record = next.decided.get(known + 1)?.clone();
                next.acceptors[node].learn(record);
            }
        }
        (next != *last).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(
                "nobody acts on a state once the state two steps later is decided",
                |_, state: &State| state.acts_on().is_none_or(|step| state.decided.len() as u64 <= step + 2),
            ),
            Property::sometimes("the follower acts", |_, state: &State| state.acts_on().is_some()),
            Property::sometimes("a state two steps later is decided", |_, state: &State| {
                state.decided.len() == 3
            }),
        ]
    }
}

const DEFAULT_MODEL: LeaseModel =
    LeaseModel { max_ticks: 4, lease: 2, follower_lease: 2, voters_wait_for_tolerance: true };
const NO_STALE_ACTION: &str = "nobody acts on a state once the state two steps later is decided";

/// Runs the search. Returns whether it found a violation, and the number of states.
fn search(model: LeaseModel) -> (bool, usize) {
    let checker = model.checker().threads(2).spawn_bfs().join();
    (checker.discovery(NO_STALE_ACTION).is_some(), checker.unique_state_count())
}

#[test]
fn follower_does_not_act_on_a_state_two_steps_behind() {
    let checker = DEFAULT_MODEL.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.discovery(NO_STALE_ACTION).is_none());
    assert!(checker.discovery("the follower acts").is_some());
    assert!(checker.discovery("a state two steps later is decided").is_some());
}

#[test]
fn short_voter_leases_or_ignored_clock_tolerance_let_the_follower_act_on_an_old_state() {
    for (case, model) in [
        (
            "attestations are valid for a shorter time for voters than for the follower",
            LeaseModel { lease: 1, follower_lease: 4, ..DEFAULT_MODEL },
        ),
        (
            "neither voters nor the follower allow for the clock tolerance",
            LeaseModel {
                follower_lease: DEFAULT_MODEL.follower_lease + 1,
                voters_wait_for_tolerance: false,
                ..DEFAULT_MODEL
            },
        ),
    ] {
        let (found, states) = search(model);
        println!("{case}: {states} states");
        assert!(found, "{case}");
    }
}
