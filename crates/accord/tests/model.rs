//! A model checked by `stateright` in every order of events: three voters, two proposers, lost and duplicated
//! messages, and a voter that restarts from nothing. The acceptors and proposers are those of the package.

use std::collections::BTreeSet;

use stateright::{Checker, Model, Property};
use woadhook::{Moment, Span};
use woadhook_accord::acceptor::Acceptor;
use woadhook_accord::proposer::Proposer;
use woadhook_accord::{
    Ballot, DecidedState, DecisionRecord, Incarnation, NodeId, Proposal, StateNumber, Voter,
};

const VOTERS: usize = 3;

/// The model's limits, and one defence that can be turned off.
struct AgreementModel {
    restarts: u8,
    /// Whether a restart is another incarnation, as it has to be.
    restart_changes_incarnation: bool,
    /// The voters that each of the two proposers reaches.
    reachable: [&'static [usize]; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Message {
    Prepare { to: usize, proposer: usize, ballot: Ballot },
    Promise { to: usize, voter: Voter, ballot: Ballot, accepted: Option<(Ballot, Proposal)> },
    Accept { to: usize, proposer: usize, ballot: Ballot, proposal: Proposal },
    Accepted { to: usize, voter: Voter, ballot: Ballot },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    acceptors: Vec<Acceptor>,
    proposers: Vec<Option<Proposer>>,
    /// Messages that were sent. None is removed: each may arrive any number of times, or never.
    messages: BTreeSet<Message>,
    decided: BTreeSet<DecidedState>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Step {
    StartBallot(usize),
    Deliver(Message),
    Restart(usize),
}

fn voter(node: usize, incarnation: u64) -> Voter {
    Voter { node: NodeId(node as u64), incarnation: Incarnation(incarnation) }
}

fn first_record() -> DecisionRecord {
    let number = StateNumber { epoch: 1, step: 0, founding_id: 9 };
    let voters = (0..VOTERS).map(|node| voter(node, 0)).collect();
    DecisionRecord {
        state: DecidedState { number, proposal: Proposal { voters, content: vec![] } },
        previous_lease_end_us: 0,
    }
}

fn now() -> Moment {
    Moment::from_micros(1_000_000)
}

fn acceptor(node: usize, incarnation: u64) -> Acceptor {
    let mut acceptor = Acceptor::new(voter(node, incarnation), Span::ZERO, Span::ZERO);
    acceptor.learn(first_record());
    acceptor
}

impl Model for AgreementModel {
    type State = State;
    type Action = Step;

    fn init_states(&self) -> Vec<State> {
        let acceptors = (0..VOTERS).map(|node| acceptor(node, 0)).collect();
        let proposers = vec![None, None];
        vec![State { acceptors, proposers, messages: BTreeSet::new(), decided: BTreeSet::new(), restarts: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Step>) {
        let idle = state.proposers.iter().enumerate().filter(|(_, proposer)| proposer.is_none());
        actions.extend(idle.map(|(proposer, _)| Step::StartBallot(proposer)));
        actions.extend(state.messages.iter().cloned().map(Step::Deliver));
        if state.restarts < self.restarts {
            actions.extend((0..VOTERS).map(Step::Restart));
        }
    }

    fn next_state(&self, last: &State, action: Step) -> Option<State> {
        let mut state = last.clone();
        match action {
            Step::StartBallot(proposer) => {
                let ballot = Ballot { round: proposer as u64 + 1, proposer: voter(10 + proposer, 0) };
                let proposal =
                    Proposal { voters: first_record().state.proposal.voters, content: vec![proposer as u8] };
                state.proposers[proposer] = Proposer::start(&first_record().state, ballot, proposal);
                state.messages.extend(self.reachable[proposer].iter().map(|to| Message::Prepare {
                    to: *to,
                    proposer,
                    ballot,
                }));
            }
            Step::Restart(node) => {
                state.restarts += 1;
                let incarnation =
                    if self.restart_changes_incarnation { u64::from(state.restarts) } else { 0 };
                state.acceptors[node] = acceptor(node, incarnation);
            }
            Step::Deliver(Message::Prepare { to, proposer, ballot }) => {
                let number = first_record().state.number.next()?;
                let accepted = state.acceptors[to].prepare(now(), number, ballot).ok()?;
                let voter = state.acceptors[to].me();
                state.messages.insert(Message::Promise { to: proposer, voter, ballot, accepted });
            }
            Step::Deliver(Message::Promise { to, voter, ballot, accepted }) => {
                let proposal = state.proposers[to].as_mut()?.receive_promise(voter, ballot, accepted);
                let accept = |node| Message::Accept {
                    to: node,
                    proposer: to,
                    ballot,
                    proposal: proposal.clone().unwrap(),
                };
                if proposal.is_some() {
                    state.messages.extend((0..VOTERS).map(accept));
                }
            }
            Step::Deliver(Message::Accept { to, proposer, ballot, proposal }) => {
                let number = first_record().state.number.next()?;
                state.acceptors[to].accept(now(), number, ballot, proposal).ok()?;
                let voter = state.acceptors[to].me();
                state.messages.insert(Message::Accepted { to: proposer, voter, ballot });
            }
            Step::Deliver(Message::Accepted { to, voter, ballot }) => {
                let record = state.proposers[to].as_mut()?.receive_accepted(voter, ballot, Moment::default());
                state.decided.extend(record.map(|record| record.state));
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("at most one state per number", |_, state: &State| state.decided.len() <= 1),
            Property::sometimes("a state is decided", |_, state: &State| !state.decided.is_empty()),
        ]
    }
}

#[test]
fn lost_and_duplicated_messages_do_not_decide_two_states_of_one_number() {
    let checker =
        AgreementModel { restarts: 0, restart_changes_incarnation: true, reachable: [&[0, 1, 2], &[1, 2]] }
            .checker()
            .threads(2)
            .spawn_bfs()
            .join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn restarted_voter_does_not_decide_two_states_of_one_number() {
    let checker =
        AgreementModel { restarts: 1, restart_changes_incarnation: true, reachable: [&[0, 1], &[1, 2]] };
    let checker = checker.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.discovery("at most one state per number").is_none());
    assert!(checker.discovery("a state is decided").is_some());
}

/// Without the defence the search has to find the failure: a restarted voter that counts as the same voter
/// has forgotten its promises, and two states of one number are decided.
#[test]
fn restart_without_a_new_incarnation_decides_two_states_of_one_number() {
    let checker =
        AgreementModel { restarts: 1, restart_changes_incarnation: false, reachable: [&[0, 1], &[1, 2]] };
    let checker = checker.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.discovery("at most one state per number").is_some());
}
