//! Every order of events in a small world, checked by `stateright`: three voters, two proposers, words lost and repeated, a
//! voter started from nothing. The acceptors and proposers are the package's own.

use std::collections::BTreeSet;

use stateright::{Checker, Model, Property};
use woadhook::{Moment, Span};
use woadhook_accord::acceptor::Acceptor;
use woadhook_accord::proposer::Proposer;
use woadhook_accord::{
    Ballot, DecidedState, DecisionRecord, Incarnation, NodeId, Proposal, StateNumber, Voter,
};

const VOTERS: usize = 3;

/// What may happen, and one defence that can be taken out.
struct World {
    restarts: u8,
    /// Whether a start from nothing is another incarnation, as it has to be.
    new_lives: bool,
    /// Whom each of the two proposers reaches at all.
    reach: [&'static [usize]; 2],
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
enum Word {
    Prepare { to: usize, by: usize, ballot: Ballot },
    Promise { to: usize, voter: Voter, ballot: Ballot, accepted: Option<(Ballot, Proposal)> },
    Accept { to: usize, by: usize, ballot: Ballot, proposal: Proposal },
    Accepted { to: usize, voter: Voter, ballot: Ballot },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    acceptors: Vec<Acceptor>,
    proposers: Vec<Option<Proposer>>,
    /// Never taken out: a word may come again at any time, or not at all.
    words: BTreeSet<Word>,
    decided: BTreeSet<DecidedState>,
    restarts: u8,
}

#[derive(Clone, Debug, PartialEq)]
enum Happens {
    Bid(usize),
    Comes(Word),
    Restart(usize),
}

fn voter(place: usize, incarnation: u64) -> Voter {
    Voter { node: NodeId(place as u64), incarnation: Incarnation(incarnation) }
}

fn first() -> DecisionRecord {
    let number = StateNumber { epoch: 1, step: 0, founding_id: 9 };
    let voters = (0..VOTERS).map(|place| voter(place, 0)).collect();
    DecisionRecord {
        state: DecidedState { number, proposal: Proposal { voters, content: vec![] } },
        previous_lease_end_us: 0,
    }
}

fn now() -> Moment {
    Moment::from_micros(1_000_000)
}

fn acceptor(place: usize, incarnation: u64) -> Acceptor {
    let mut acceptor = Acceptor::new(voter(place, incarnation), Span::ZERO, Span::ZERO);
    acceptor.learn(first());
    acceptor
}

impl Model for World {
    type State = State;
    type Action = Happens;

    fn init_states(&self) -> Vec<State> {
        let acceptors = (0..VOTERS).map(|place| acceptor(place, 0)).collect();
        let proposers = vec![None, None];
        vec![State { acceptors, proposers, words: BTreeSet::new(), decided: BTreeSet::new(), restarts: 0 }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Happens>) {
        let bids = state.proposers.iter().enumerate().filter(|(_, bid)| bid.is_none());
        actions.extend(bids.map(|(by, _)| Happens::Bid(by)));
        actions.extend(state.words.iter().cloned().map(Happens::Comes));
        if state.restarts < self.restarts {
            actions.extend((0..VOTERS).map(Happens::Restart));
        }
    }

    fn next_state(&self, last: &State, action: Happens) -> Option<State> {
        let mut state = last.clone();
        match action {
            Happens::Bid(by) => {
                let ballot = Ballot { round: by as u64 + 1, by: voter(10 + by, 0) };
                let want = Proposal { voters: first().state.proposal.voters, content: vec![by as u8] };
                state.proposers[by] = Proposer::start(&first().state, ballot, want);
                state.words.extend(self.reach[by].iter().map(|to| Word::Prepare { to: *to, by, ballot }));
            }
            Happens::Restart(place) => {
                state.restarts += 1;
                let incarnation = if self.new_lives { u64::from(state.restarts) } else { 0 };
                state.acceptors[place] = acceptor(place, incarnation);
            }
            Happens::Comes(Word::Prepare { to, by, ballot }) => {
                let number = first().state.number.next()?;
                let accepted = state.acceptors[to].prepare(now(), number, ballot).ok()?;
                let voter = state.acceptors[to].me();
                state.words.insert(Word::Promise { to: by, voter, ballot, accepted });
            }
            Happens::Comes(Word::Promise { to, voter, ballot, accepted }) => {
                let proposal = state.proposers[to].as_mut()?.receive_promise(voter, ballot, accepted);
                let accept =
                    |place| Word::Accept { to: place, by: to, ballot, proposal: proposal.clone().unwrap() };
                if proposal.is_some() {
                    state.words.extend((0..VOTERS).map(accept));
                }
            }
            Happens::Comes(Word::Accept { to, by, ballot, proposal }) => {
                let number = first().state.number.next()?;
                state.acceptors[to].accept(now(), number, ballot, proposal).ok()?;
                let voter = state.acceptors[to].me();
                state.words.insert(Word::Accepted { to: by, voter, ballot });
            }
            Happens::Comes(Word::Accepted { to, voter, ballot }) => {
                let settled =
                    state.proposers[to].as_mut()?.receive_accepted(voter, ballot, Moment::default());
                state.decided.extend(settled.map(|settled| settled.state));
            }
        }
        (state != *last).then_some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("one state a number", |_, state: &State| state.decided.len() <= 1),
            Property::sometimes("something is decided", |_, state: &State| !state.decided.is_empty()),
        ]
    }
}

#[test]
fn no_order_of_words_lost_and_repeated_decides_two_states_of_one_number() {
    let checker = World { restarts: 0, new_lives: true, reach: [&[0, 1, 2], &[1, 2]] }
        .checker()
        .threads(2)
        .spawn_bfs()
        .join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
}

#[test]
fn a_voter_that_forgot_its_promises_does_not_change_that() {
    let checker = World { restarts: 1, new_lives: true, reach: [&[0, 1], &[1, 2]] };
    let checker = checker.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.discovery("one state a number").is_none());
    assert!(checker.discovery("something is decided").is_some());
}

/// The same search finds what goes wrong if a start from nothing were taken for the same voter.
#[test]
fn with_one_life_for_all_starts_the_search_finds_two_states_of_one_number() {
    let checker = World { restarts: 1, new_lives: false, reach: [&[0, 1], &[1, 2]] };
    let checker = checker.checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    assert!(checker.discovery("one state a number").is_some());
}
