//! How old the data of each member can be, shown without synchronised clocks.
//!
//! A sample is a pair of a time `t` of this process's monotonic clock and the end of the primary's
//! log read after `t`. All that was acknowledged by `t` is at or below the sample's position, so a
//! member whose applied position covers it is at most `now - t` old.
//!
//! A primary that is isolated and still believes it leads would yield samples too, while another
//! one acknowledges writes that it never sees. So a sample's time is not the time of the primary's
//! probe alone: it is the latest `t` such that the primary and members that together make a
//! quorum answered probes *sent* at `t` or later without having promised themselves to a later
//! term. A promise is never taken back, a newer primary needs promises of a quorum before it
//! acknowledges anything, and two quorums share a member: at `t` there was no newer primary.
//!
//! The time of sending counts, not that of the answer: the answer may have been under way for long.

use std::collections;

use crate::log_position::LogPosition;
use crate::member_status::MemberStatus;
use crate::member_status::Role;
use crate::process::member_set::MemberMask;
use crate::process::member_set::MemberSet;

/// How many samples are kept for a group.
pub const MAX_SAMPLES: usize = 64;

/// How many of the primary's positions are kept for telling how fast members follow.
const MAX_PRIMARY_POSITIONS: usize = 16;

/// The weight of the newest observation in the average lag, as one part in this many.
const LAG_DIVISOR: u64 = 8;

/// The primary's log end at a time.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Sample {
    /// All that was acknowledged by this time is at or below `position`.
    pub taken_us: u64,
    /// The end of the primary's log, read after `taken_us`.
    pub position: LogPosition,
}

/// What is known of one member.
#[derive(Clone, Debug, Default)]
struct MemberAge {
    /// The newest answered probe: when it was sent, and the report.
    probe: Option<(u64, MemberStatus)>,
    applied: LogPosition,
    lag_us: Option<u64>,
    catch_up_us: Option<u64>,
    /// The last of the primary's positions by which catching up was measured.
    last_measured: LogPosition,
}

/// The samples of one group and what its members have applied.
#[derive(Clone, Debug, Default)]
pub struct ReadAge {
    /// The member set where versions are known; otherwise a majority of the members counts.
    set: Option<MemberSet>,
    members: Vec<MemberAge>,
    samples: collections::VecDeque<Sample>,
    /// When the primary's latest positions were first seen here.
    primary_positions: collections::VecDeque<(LogPosition, u64)>,
}

impl ReadAge {
    /// A group of this many members, about which nothing is known.
    pub fn new(members: usize) -> ReadAge {
        let members = vec![MemberAge::default(); members];
        ReadAge { members, ..ReadAge::default() }
    }

    /// A group with this member set, whose quorums count also in a joint phase.
    pub fn for_set(set: MemberSet) -> ReadAge {
        let age = ReadAge::new(set.count());
        ReadAge { set: Some(set), ..age }
    }

    /// Ends the joint phase of the member set, see [`MemberSet::settle`]. Answers from before
    /// prove nothing for the settled set: a member that left may have been part of what they say.
    pub fn settle_members(&mut self) {
        if let Some(set) = &mut self.set {
            set.settle();
        }
        for member in &mut self.members {
            member.probe = None;
        }
    }

    /// Takes a member's answer to a probe that was sent at `sent_us` and answered at `now_us`.
    ///
    /// Answers of one member may come out of order; an older one than the newest is ignored.
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

    /// Takes a notice that a member sent on its own after a change.
    ///
    /// It carries no time of sending, so it moves the applied position and proves nothing of terms.
    pub fn notified(&mut self, member: usize, now_us: u64, applied: LogPosition) {
        self.members[member].applied = applied;
        self.update_averages(member, now_us);
    }

    /// The time up to which reads at the member see all that was acknowledged.
    pub fn fresh_as_of_us(&self, member: usize) -> Option<u64> {
        let applied = self.members[member].applied;
        let covered = self.samples.iter().rev().find(|sample| applied.covers(sample.position));
        covered.map(|sample| sample.taken_us)
    }

    /// How old the member's data usually is when it reports: its replication delay together with
    /// the time between probes.
    pub fn lag_us(&self, member: usize) -> Option<u64> {
        self.members[member].lag_us
    }

    /// How long after the primary's records are seen here the member usually reports them as applied:
    /// what a read that needs the primary's newest record has to wait.
    pub fn catch_up_us(&self, member: usize) -> Option<u64> {
        self.members[member].catch_up_us
    }

    /// The samples, oldest first.
    pub fn samples(&self) -> impl Iterator<Item = &Sample> {
        self.samples.iter()
    }

    /// Every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.samples.len() > MAX_SAMPLES {
            problems.push(format!("{} samples pass the bound", self.samples.len()));
        }
        for (older, newer) in self.samples.iter().zip(self.samples.iter().skip(1)) {
            if older.taken_us >= newer.taken_us || older.position >= newer.position {
                problems.push(format!("{newer:?} does not follow {older:?}"));
            }
        }
        problems
    }

    /// Adds the best sample that the newest probes prove, if it says more than the last one.
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

    /// The probe time and log end of the primary of the highest term.
    fn primary_report(&self) -> Option<(u64, LogPosition)> {
        let probes = self.members.iter().filter_map(|member| member.probe.as_ref());
        // A primary whose log does not end in its own term has not opened the term yet.
        let primaries = probes.filter(|(_, status)| {
            status.role == Role::Primary && status.log.term == status.raised_term
        });
        let reports = primaries.map(|(sent_us, status)| (*sent_us, status.log));
        reports.max_by_key(|(_, log)| log.term)
    }

    /// The latest time such that probes sent then or later found a quorum that had promised itself to
    /// no later term than the position's.
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

    /// Drops the sample whose loss matters least: the one between neighbours that are close together
    /// for their age. So the samples stand ever wider apart the older they are, and the ring covers a
    /// long lag with a claim that is too old by a small part of it. A missing sample makes claims
    /// older, never wrong.
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
