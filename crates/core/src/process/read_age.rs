//! Bounds the age of the data of each member without synchronised clocks.
//!
//! A sample is a pair of a time `t` of this process's monotonic clock and the end of the primary's
//! log read after `t`. Everything acknowledged by `t` is at or below the sample's position, so a
//! member whose applied position covers it is at most `now - t` old.
//!
//! An isolated primary that still believes it leads would yield samples too, while another primary
//! acknowledges writes that it never receives. So the time of a sample is not the time of the probe
//! of the primary alone: it is the latest `t` such that the primary and members that together form
//! a quorum answered probes *sent* at `t` or later without having promised themselves to a later
//! term. A promise is never withdrawn, a newer primary needs the promises of a quorum before it
//! acknowledges anything, and two quorums share a member: at `t` there was no newer primary.
//!
//! The time at which a probe was sent counts, not the time of its answer: the answer may have been
//! delayed for long.

use std::collections;

use crate::log_position::LogPosition;
use crate::member_status::MemberStatus;
use crate::member_status::Role;
use crate::process::member_set::MemberMask;
use crate::process::member_set::MemberSet;

/// The maximum number of samples of a group.
pub const MAX_SAMPLES: usize = 64;

/// The number of positions of the primary that are kept to measure how fast members catch up.
const MAX_PRIMARY_POSITIONS: usize = 16;

/// The divisor of the moving averages of lags: a new observation has the weight 1/8.
const LAG_DIVISOR: u64 = 8;

/// The end of the primary's log at a time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Sample {
    /// The time by which everything acknowledged is at or below `position`, in microseconds.
    pub taken_us: u64,
    /// The end of the primary's log, read after `taken_us`.
    pub position: LogPosition,
}

/// The state of one member.
#[derive(Clone, Debug, Default)]
struct MemberAge {
    /// The answered probe that was sent last: its sending time and the status in the answer.
    probe: Option<(u64, MemberStatus)>,
    applied: LogPosition,
    lag_us: Option<u64>,
    catch_up_us: Option<u64>,
    /// The newest position of the primary for which the catch-up time was measured.
    last_measured: LogPosition,
}

/// The samples of one group and the applied positions of its members.
#[derive(Clone, Debug, Default)]
pub struct ReadAge {
    /// The member set if versions are known; otherwise a plain majority of the members is a quorum.
    set: Option<MemberSet>,
    members: Vec<MemberAge>,
    samples: collections::VecDeque<Sample>,
    /// The latest positions of the primary, each with the time at which this process first saw it.
    primary_positions: collections::VecDeque<(LogPosition, u64)>,
}

impl ReadAge {
    /// Creates the state of a group with this many members and no samples.
    pub fn new(members: usize) -> ReadAge {
        let members = vec![MemberAge::default(); members];
        ReadAge { members, ..ReadAge::default() }
    }

    /// Creates the state of a group with this member set, whose quorums include those of a joint
    /// phase.
    pub fn with_member_set(set: MemberSet) -> ReadAge {
        let age = ReadAge::new(set.count());
        ReadAge { set: Some(set), ..age }
    }

    /// Ends the joint phase of the member set; see [`MemberSet::settle`]. Earlier answers prove
    /// nothing for the settled set, since a removed member may have been part of their quorum, so
    /// they are dropped.
    pub fn settle_members(&mut self) {
        if let Some(set) = &mut self.set {
            set.settle();
        }
        for member in &mut self.members {
            member.probe = None;
        }
    }

    /// Records a member's answer to a probe that was sent at `sent_us` and answered at `now_us`.
    ///
    /// Answers of one member may arrive out of order; an answer to an older probe than the newest
    /// answered one is ignored.
    pub fn probe_answered(
        &mut self,
        member: usize,
        sent_us: u64,
        now_us: u64,
        status: &MemberStatus,
    ) {
        let state = &mut self.members[member];
        if state.probe.as_ref().is_some_and(|(newest_us, _)| *newest_us >= sent_us) {
            return;
        }
        state.probe = Some((sent_us, status.clone()));
        state.applied = status.applied;
        self.add_sample();
        self.update_averages(member, now_us);
    }

    /// Records a status notice that a member sent on its own after a change.
    ///
    /// It carries no sending time, so it updates the applied position and proves nothing about
    /// terms.
    pub fn notified(&mut self, member: usize, now_us: u64, applied: LogPosition) {
        self.members[member].applied = applied;
        self.update_averages(member, now_us);
    }

    /// Returns the time by which everything acknowledged is visible to reads at the member.
    pub fn fresh_as_of_us(&self, member: usize) -> Option<u64> {
        let applied = self.members[member].applied;
        let covered = self.samples.iter().rev().find(|sample| applied.covers(sample.position));
        covered.map(|sample| sample.taken_us)
    }

    /// Returns the average age of the member's data when it reports: its replication delay plus the
    /// time between probes.
    pub fn lag_us(&self, member: usize) -> Option<u64> {
        self.members[member].lag_us
    }

    /// Returns the average time between the arrival of a record of the primary at this process and
    /// the member's report that it applied the record. A read that needs the primary's newest
    /// record waits for about as long.
    pub fn catch_up_us(&self, member: usize) -> Option<u64> {
        self.members[member].catch_up_us
    }

    /// Returns the samples, oldest first.
    pub fn samples(&self) -> impl Iterator<Item = &Sample> {
        self.samples.iter()
    }

    /// Returns every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.samples.len() > MAX_SAMPLES {
            problems.push(format!("{} samples exceed the limit", self.samples.len()));
        }
        for (older, newer) in self.samples.iter().zip(self.samples.iter().skip(1)) {
            if older.taken_us >= newer.taken_us || older.position >= newer.position {
                problems.push(format!("{newer:?} does not follow {older:?}"));
            }
        }
        problems
    }

    /// Adds the best sample that the newest probes prove, unless it proves no more than the last
    /// one.
    fn add_sample(&mut self) {
        let Some((primary_sent_us, position)) = self.primary_report() else { return };
        let Some(quorum_us) = self.quorum_sent_us(position) else { return };
        let taken_us = primary_sent_us.min(quorum_us);
        let Some(last) = self.samples.back_mut() else {
            self.samples.push_back(Sample { taken_us, position });
            return;
        };
        if taken_us <= last.taken_us || position < last.position {
            return;
        }
        if last.position == position {
            last.taken_us = taken_us;
            return;
        }
        if self.samples.len() == MAX_SAMPLES {
            self.thin_out(taken_us);
        }
        self.samples.push_back(Sample { taken_us, position });
    }

    /// Returns the sending time of the probe and the log end of the primary of the highest term.
    fn primary_report(&self) -> Option<(u64, LogPosition)> {
        let probes = self.members.iter().filter_map(|member| member.probe.as_ref());
        // A primary whose log does not end in its own term has not opened the term yet.
        let primaries = probes.filter(|(_, status)| {
            status.role == Role::Primary && status.log.term == status.raised_term
        });
        let reports = primaries.map(|(sent_us, status)| (*sent_us, status.log));
        reports.max_by_key(|(_, log)| log.term)
    }

    /// Returns the latest time such that probes sent at that time or later found a quorum that had
    /// promised itself to no later term than the position's.
    fn quorum_sent_us(&self, position: LogPosition) -> Option<u64> {
        let bound = |member: &MemberAge| {
            let (sent_us, status) = member.probe.as_ref()?;
            (status.raised_term <= position.term).then_some(*sent_us)
        };
        let times = || self.members.iter().filter_map(bound);
        let is_shown = |time_us: &u64| {
            let found = |index: &usize| bound(&self.members[*index]) >= Some(*time_us);
            self.is_quorum((0..self.members.len()).filter(found).collect())
        };
        times().filter(is_shown).max()
    }

    fn is_quorum(&self, members: MemberMask) -> bool {
        match &self.set {
            Some(set) => set.is_quorum(members),
            None => members.count() > self.members.len() / 2,
        }
    }

    /// Drops the least useful sample: the one with the smallest gap between its neighbours relative
    /// to its age. The gaps thus grow with the age, and the samples cover a long lag with an error
    /// that is a small part of it. A missing sample makes the bound on the age higher, never wrong.
    fn thin_out(&mut self, now_us: u64) {
        let gap_to_age = |index: &usize| {
            let gap_us = self.samples[index + 1].taken_us - self.samples[index - 1].taken_us;
            let age_us = now_us.saturating_sub(self.samples[*index].taken_us).max(1);
            u128::from(gap_us) * u128::from(u32::MAX) / u128::from(age_us)
        };
        let inner = 1..self.samples.len() - 1;
        if let Some(index) = inner.min_by_key(gap_to_age) {
            self.samples.remove(index);
        }
    }

    fn update_averages(&mut self, member: usize, now_us: u64) {
        if self.is_primary(member) {
            self.record_primary_position(self.members[member].applied, now_us);
        }
        if let Some(fresh_us) = self.fresh_as_of_us(member) {
            let state = &mut self.members[member];
            state.lag_us = Some(moving_average(state.lag_us, now_us.saturating_sub(fresh_us)));
        }
        let applied = self.members[member].applied;
        let covered =
            self.primary_positions.iter().rev().find(|(position, _)| applied.covers(*position));
        let state = &mut self.members[member];
        if let Some((position, seen_us)) = covered.filter(|(at, _)| *at > state.last_measured) {
            state.last_measured = *position;
            state.catch_up_us =
                Some(moving_average(state.catch_up_us, now_us.saturating_sub(*seen_us)));
        }
    }

    fn is_primary(&self, member: usize) -> bool {
        let probe = self.members[member].probe.as_ref();
        probe.is_some_and(|(_, status)| status.role == Role::Primary)
    }

    fn record_primary_position(&mut self, position: LogPosition, now_us: u64) {
        if self.primary_positions.back().is_some_and(|(last, _)| *last >= position) {
            return;
        }
        if self.primary_positions.len() == MAX_PRIMARY_POSITIONS {
            self.primary_positions.pop_front();
        }
        self.primary_positions.push_back((position, now_us));
    }
}

fn moving_average(average_us: Option<u64>, observed_us: u64) -> u64 {
    match average_us {
        None => observed_us,
        Some(average_us) => average_us - average_us / LAG_DIVISOR + observed_us / LAG_DIVISOR,
    }
}
