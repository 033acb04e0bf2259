//! The table of members: their signed records, which of them are suspected to have failed, and how much their
//! observations count.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::rc::Rc;

use woadhook::{Moment, Span};

use crate::budget::TokenBucket;
use crate::keys::{MemberId, hash, micros};
use crate::wire::{FailureReport, MemberRecord};

/// Number of reporters with different names whose failure reports make a suspect gone even if this instance's
/// own probes did not fail.
pub const MIN_REPORTERS: usize = 3;
/// Observations per second, and separately failure reports per second, that are accepted from one member.
const ITEMS_PER_S: f64 = 4.0;
/// The time over which the budget of observations, or that of failure reports, accumulates while it is not
/// used.
const ITEMS_BURST: Span = Span::from_micros(8_000_000);
/// Observations of a member with less credit are ignored. A contradicted observation halves the credit, so
/// full credit falls below this after four in a row.
pub const MIN_CREDIT: f64 = 0.1;
/// Credit that a member must regain before its observations count again after they were ignored.
const MIN_RESTORED_CREDIT: f64 = 0.25;

/// Sequence numbers of one incarnation seen recently, so that no datagram counts twice. Reordering by fewer
/// than 64 numbers is tolerated, as in RFC 6479.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplayWindow {
    last: u64,
    bits: u64,
}

impl ReplayWindow {
    /// Returns whether the number has not been seen yet.
    pub fn is_new(&self, number: u64) -> bool {
        if number > self.last {
            return true;
        }
        let back = self.last - number;
        back < 64 && self.bits & (1 << back) == 0
    }

    /// Marks a number as seen.
    pub fn record(&mut self, number: u64) {
        if number > self.last {
            let ahead = number - self.last;
            self.bits = if ahead < 64 { self.bits << ahead } else { 0 } | 1;
            self.last = number;
        } else if self.last - number < 64 {
            self.bits |= 1 << (self.last - number);
        }
    }
}

/// The state of a member as this instance sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum State {
    Alive,
    /// Since when the member is a suspect, whether this instance's own probe failed, and the hashed names of
    /// the members that reported its failure.
    Suspect {
        since: Moment,
        own_probe_failed: bool,
        reporters: Vec<u64>,
    },
    Gone {
        since: Moment,
    },
    Left {
        since: Moment,
    },
}

/// A known member, with its latest record and its state.
pub struct Member {
    /// The latest record. It contains the member's pass: the operator's signed admission of the member's key
    /// to the cluster for a period of time.
    pub record: Rc<MemberRecord>,
    pub state: State,
    /// The hash of the member's name. Two keys with the same name count as one reporter.
    pub name_hash: u64,
    pub replay_window: ReplayWindow,
    /// Whether the member replied from its address with the id of a datagram that was sent there. Only a
    /// process that receives at that address can know the id.
    pub address_verified: bool,
    /// When the last fresh datagram arrived from the member itself.
    pub last_contact: Option<Moment>,
    credit: f64,
    observation_budget: TokenBucket,
    report_budget: TokenBucket,
    /// Set when the credit falls below [`MIN_CREDIT`], and cleared when it reaches [`MIN_RESTORED_CREDIT`].
    /// Meanwhile the credit counts as zero.
    distrusted: bool,
}

impl Member {
    fn new(record: Rc<MemberRecord>, now: Moment) -> Self {
        Self {
            name_hash: hash(&[b"name", record.pass.name.as_bytes()]),
            record,
            state: State::Alive,
            replay_window: ReplayWindow::default(),
            address_verified: false,
            last_contact: None,
            credit: 1.0,
            observation_budget: TokenBucket::new(now, ITEMS_PER_S, ITEMS_BURST),
            report_budget: TokenBucket::new(now, ITEMS_PER_S, ITEMS_BURST),
            distrusted: false,
        }
    }

    /// Returns whether the member counts as running. A suspect still does.
    pub fn is_live(&self) -> bool {
        matches!(self.state, State::Alive | State::Suspect { .. })
    }

    /// Takes one observation from the member's budget. Returns false if the budget is used up.
    pub fn take_observation_budget(&mut self, now: Moment) -> bool {
        self.observation_budget.take(now, 1.0)
    }

    /// Takes one failure report from the member's budget. Returns false if the budget is used up.
    pub fn take_report_budget(&mut self, now: Moment) -> bool {
        self.report_budget.take(now, 1.0)
    }

    /// Returns how much the member's observations count, from 0 to 1.
    pub fn credit(&self) -> f64 {
        if self.distrusted { 0.0 } else { self.credit }
    }

    /// Halves the credit after this instance's own results contradicted an observation of the member.
    pub fn lower_credit(&mut self) {
        self.credit *= 0.5;
        self.distrusted |= self.credit < MIN_CREDIT;
    }

    /// Raises the credit by `step`, as time passes or after a confirmed observation.
    pub fn raise_credit(&mut self, step: f64) {
        self.credit = (self.credit + step).min(1.0);
        self.distrusted &= self.credit < MIN_RESTORED_CREDIT;
    }
}

/// The effect of a record or a datagram on the state of its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    Unchanged,
    Joined,
    /// The member was gone or had left before, and is live again.
    Back,
    /// A suspect proved that it is live.
    Refuted,
    /// A live member that is no suspect has a newer record.
    Renewed,
    Left,
    /// The table is full of live members.
    TableFull,
}

/// The effect of a failure report or a failed probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportEffect {
    /// The subject is unknown, not live or at another incarnation, or the report was counted before.
    Ignored,
    NewSuspect,
    Counted,
}

/// A change of a member's state that a timeout causes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimedChange {
    Gone,
    /// A member that only few reporters suspected is considered live again after a time.
    Cleared,
    Forgotten,
    /// The member's pass has ended.
    PassEnded,
}

/// The other members that this instance knows.
pub struct MemberTable {
    own_id: MemberId,
    /// At most `capacity` members. Gone and left ones are removed when their time to be forgotten comes, or
    /// to make space for a new one.
    members: BTreeMap<MemberId, Member>,
    capacity: usize,
    live_count: usize,
    suspect_count: usize,
    peer_digest: u64,
}

impl MemberTable {
    pub fn new(own_id: MemberId, capacity: usize) -> Self {
        Self { own_id, members: BTreeMap::new(), capacity, live_count: 0, suspect_count: 0, peer_digest: 0 }
    }

    /// Replaces this instance's own id after its key changed. The other members are kept.
    pub fn replace_own_id(&mut self, own_id: MemberId) {
        self.remove(own_id);
        self.own_id = own_id;
    }

    pub fn get(&self, id: MemberId) -> Option<&Member> {
        self.members.get(&id)
    }

    pub fn get_mut(&mut self, id: MemberId) -> Option<&mut Member> {
        self.members.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.members.iter().map(|(id, member)| (*id, member))
    }

    /// Returns the live members except this instance.
    pub fn live(&self) -> impl Iterator<Item = (MemberId, &Member)> {
        self.iter().filter(|(_, member)| member.is_live())
    }

    /// Returns the number of live members, this instance included.
    pub fn live_count(&self) -> usize {
        self.live_count + 1
    }

    /// Returns a digest of the live members and their incarnations, this instance included. It is equal at
    /// instances whose views agree.
    pub fn view_digest(&self, own_incarnation: u64) -> u64 {
        self.peer_digest ^ digest_part(self.own_id, own_incarnation)
    }

    /// Changes a member's state and updates the counts and the digest.
    fn set_state(&mut self, id: MemberId, state: State) {
        let Some(member) = self.members.get_mut(&id) else { return };
        let is_suspect = |member: &Member| usize::from(matches!(member.state, State::Suspect { .. }));
        let (before, incarnation) = (member.is_live(), member.record.incarnation);
        self.suspect_count -= is_suspect(member);
        member.state = state;
        self.suspect_count += is_suspect(member);
        let after = member.is_live();
        if before != after {
            self.peer_digest ^= digest_part(id, incarnation);
            if after { self.live_count += 1 } else { self.live_count -= 1 }
        }
    }

    /// Applies a record whose signatures were verified.
    pub fn apply_record(&mut self, now: Moment, record: Rc<MemberRecord>) -> MemberChange {
        let id = record.id;
        if id == self.own_id {
            return MemberChange::Unchanged;
        }
        let Some(known) = self.members.get_mut(&id) else {
            if self.members.len() >= self.capacity && !self.evict_oldest() {
                return MemberChange::TableFull;
            }
            let leaving = record.leaving;
            // Inserted as not live at first, so that `set_state` below adds a live member to the counts and
            // the digest.
            let state = State::Left { since: now };
            self.members.insert(id, Member { state: state.clone(), ..Member::new(record, now) });
            if leaving {
                return MemberChange::Unchanged;
            }
            self.set_state(id, State::Alive);
            return MemberChange::Joined;
        };
        if record.incarnation <= known.record.incarnation {
            return MemberChange::Unchanged;
        }
        let (before, leaving) = (known.state.clone(), record.leaving);
        let moved = known.record.address != record.address;
        let was_live = known.is_live();
        let old = std::mem::replace(&mut known.record, record.clone());
        known.address_verified &= !moved;
        known.replay_window = ReplayWindow::default();
        if was_live {
            self.peer_digest ^= digest_part(id, old.incarnation) ^ digest_part(id, record.incarnation);
        }
        self.set_state(id, if leaving { State::Left { since: now } } else { State::Alive });
        match before {
            _ if leaving => {
                if was_live {
                    MemberChange::Left
                } else {
                    MemberChange::Unchanged
                }
            }
            State::Gone { .. } | State::Left { .. } => MemberChange::Back,
            State::Suspect { .. } => MemberChange::Refuted,
            State::Alive => MemberChange::Renewed,
        }
    }

    /// Removes the member that has been gone or has left for the longest time. Returns false if there is
    /// none.
    fn evict_oldest(&mut self) -> bool {
        let since = |member: &Member| match member.state {
            State::Gone { since } | State::Left { since } => Some(since),
            _ => None,
        };
        let oldest = self.iter().filter_map(|(id, member)| Some((since(member)?, id))).min();
        oldest.is_some_and(|(_, id)| self.members.remove(&id).is_some())
    }

    /// Records a fresh datagram from a member itself, which shows that it is live whatever others reported.
    pub fn record_contact(&mut self, now: Moment, id: MemberId) -> MemberChange {
        let Some(member) = self.members.get_mut(&id) else { return MemberChange::Unchanged };
        member.last_contact = Some(now);
        match member.state.clone() {
            State::Gone { .. } => {
                self.set_state(id, State::Alive);
                MemberChange::Back
            }
            State::Suspect { own_probe_failed: true, reporters, .. } if reporters.is_empty() => {
                self.set_state(id, State::Alive);
                MemberChange::Refuted
            }
            State::Suspect { since, reporters, .. } => {
                self.set_state(id, State::Suspect { since, own_probe_failed: false, reporters });
                MemberChange::Unchanged
            }
            _ => MemberChange::Unchanged,
        }
    }

    /// Records that this instance's own probe of a member failed.
    pub fn probe_failed(&mut self, now: Moment, id: MemberId) -> ReportEffect {
        let Some(member) = self.members.get(&id) else { return ReportEffect::Ignored };
        match member.state.clone() {
            State::Alive => {
                self.set_state(
                    id,
                    State::Suspect { since: now, own_probe_failed: true, reporters: Vec::new() },
                );
                ReportEffect::NewSuspect
            }
            State::Suspect { own_probe_failed: false, since, reporters } => {
                self.set_state(id, State::Suspect { since, own_probe_failed: true, reporters });
                ReportEffect::Counted
            }
            _ => ReportEffect::Ignored,
        }
    }

    /// Returns whether a failure report would change anything, so that its signature is worth checking.
    pub fn would_count(&self, report: &FailureReport) -> bool {
        let Some(subject) = self.members.get(&report.subject) else { return false };
        let Some(reporter) = self.members.get(&report.reporter) else { return false };
        let already_counted = match &subject.state {
            State::Alive => false,
            // At most `2 * MIN_REPORTERS` reporters are recorded for one suspect.
            State::Suspect { reporters, .. } => {
                reporters.contains(&reporter.name_hash) || reporters.len() >= 2 * MIN_REPORTERS
            }
            _ => true,
        };
        !already_counted
            && reporter.is_live()
            && reporter.name_hash != subject.name_hash
            && report.incarnation == subject.record.incarnation
    }

    /// Applies a failure report whose signature was verified.
    pub fn apply_failure_report(&mut self, now: Moment, report: &FailureReport) -> ReportEffect {
        if !self.would_count(report) {
            return ReportEffect::Ignored;
        }
        let Some(name_hash) = self.members.get(&report.reporter).map(|reporter| reporter.name_hash) else {
            return ReportEffect::Ignored;
        };
        let Some(subject) = self.members.get(&report.subject) else { return ReportEffect::Ignored };
        match subject.state.clone() {
            State::Suspect { since, own_probe_failed, mut reporters } => {
                reporters.push(name_hash);
                self.set_state(report.subject, State::Suspect { since, own_probe_failed, reporters });
                ReportEffect::Counted
            }
            _ => {
                self.set_state(
                    report.subject,
                    State::Suspect { since: now, own_probe_failed: false, reporters: vec![name_hash] },
                );
                ReportEffect::NewSuspect
            }
        }
    }

    /// Returns whether any member is a suspect, whose state a timeout may change soon.
    pub fn has_suspects(&self) -> bool {
        self.suspect_count > 0
    }

    /// Applies the timeouts that passed since the last call and returns the changes. A suspect is gone after
    /// `suspicion_timeout` if this instance's own probe failed or enough others reported it, and is otherwise
    /// cleared after twice that time. A member that is gone or has left is forgotten after `forget_after`.
    pub fn apply_timeouts(
        &mut self, now: Moment, suspicion_timeout: Span, forget_after: Span, clock_tolerance: Span,
    ) -> Vec<(MemberId, TimedChange, Rc<MemberRecord>)> {
        let change = |member: &Member| match &member.state {
            _ if now > member.record.pass.until + clock_tolerance => Some(TimedChange::PassEnded),
            State::Suspect { since, own_probe_failed, reporters } => {
                let suspected_for = now.since(*since);
                if suspected_for > suspicion_timeout
                    && (*own_probe_failed || reporters.len() >= MIN_REPORTERS)
                {
                    Some(TimedChange::Gone)
                } else {
                    (suspected_for > suspicion_timeout.mul_f64(2.0)).then_some(TimedChange::Cleared)
                }
            }
            State::Gone { since } | State::Left { since } => {
                (now.since(*since) > forget_after).then_some(TimedChange::Forgotten)
            }
            State::Alive => None,
        };
        let changes: Vec<_> =
            self.iter().filter_map(|(id, m)| Some((id, change(m)?, m.record.clone()))).collect();
        for (id, change, _) in &changes {
            match change {
                TimedChange::Gone => self.set_state(*id, State::Gone { since: now }),
                TimedChange::Cleared => self.set_state(*id, State::Alive),
                TimedChange::Forgotten | TimedChange::PassEnded => self.remove(*id),
            }
        }
        changes
    }

    pub fn remove(&mut self, id: MemberId) {
        // This takes the member out of the counts and the digest.
        self.set_state(id, State::Gone { since: Moment::default() });
        self.members.remove(&id);
    }

    /// Returns the records of live members whose id is greater than `cursor`, in ascending order of ids.
    pub fn records_after(&self, cursor: MemberId) -> impl Iterator<Item = &Rc<MemberRecord>> {
        let after = self.members.range((Bound::Excluded(cursor), Bound::Unbounded));
        after.filter(|(_, member)| member.is_live()).map(|(_, member)| &member.record)
    }

    /// Raises the credit of all members by `step`.
    pub fn raise_credits(&mut self, step: f64) {
        self.members.values_mut().for_each(|member| member.raise_credit(step));
    }
}

fn digest_part(id: MemberId, incarnation: u64) -> u64 {
    hash(&[b"living", &id.0.to_be_bytes(), &incarnation.to_be_bytes()])
}

/// The id of no member. It stands for the start and the end of the table, and for an unknown member.
pub const NO_MEMBER: MemberId = MemberId(0);

/// Returns whether an incarnation is further ahead of the clock than the tolerance and an allowance for
/// refutations. Incarnations start as Unix time in milliseconds, and each refutation adds 1 or more.
pub fn is_too_far_ahead(incarnation: u64, now: Moment, clock_tolerance: Span) -> bool {
    const REFUTATION_ALLOWANCE: Span = Span::from_micros(60_000_000);
    incarnation > micros(now + clock_tolerance + REFUTATION_ALLOWANCE) / 1000
}
