//! The failure detector of a group's primary, run by each home of the group.
//!
//! There are two grounds for a suspicion. The fast one: connections to the primary break or are
//! refused repeatedly and a reconnect failed as well, which does not happen with a live process on
//! a reachable VM. The slow one: the primary was silent for longer than a timeout that follows the
//! measured round trips (Jacobson 1988: mean plus a multiple of the mean deviation) and is never
//! below the configured silence.
//!
//! A wrong suspicion costs a short interruption of writes and never an acknowledged write, since
//! only the fence decides about those. Two causes of wrong suspicions are avoided nevertheless. A
//! detector whose own process was paused would see every primary as silent, so the delay of its own
//! timer does not count as silence. A home that alone is partitioned from the primary would depose
//! a primary that works for all others, so the suspicion is withheld while a quorum of members
//! keeps replicating from the primary.

use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::process::member_set::MemberMask;
use crate::process::member_set::MemberSet;

/// The weight of the mean deviation of the round trip in the timeout.
const DEVIATION_FACTOR: u64 = 8;

/// The interval at which a silent primary is checked again, in microseconds.
const RECHECK_US: u64 = 50_000;

/// The settings of the detector. The defaults are for zones about 1.5 ms apart.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct DetectionSettings {
    /// The shortest silence that causes a suspicion, in microseconds.
    pub silence_us: u64,
    /// The longest timeout that measured round trips can lead to, in microseconds.
    pub max_silence_us: u64,
    /// The number of consecutive connection failures that cause a suspicion without a timeout.
    pub connection_failures: u32,
    /// The delay of a timer beyond which this process counts as having been paused, in
    /// microseconds.
    pub late_timer_us: u64,
    /// The longest time that a record may be in transit to a member, in microseconds. Records that
    /// a member received later than this after the last contact with the primary show that the
    /// primary still works.
    pub replication_us: u64,
}

impl Default for DetectionSettings {
    fn default() -> DetectionSettings {
        DetectionSettings {
            silence_us: 300_000,
            max_silence_us: 2_000_000,
            connection_failures: 2,
            late_timer_us: 50_000,
            replication_us: 50_000,
        }
    }
}

/// An observation of the primary, made by a probe or by traffic.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Evidence {
    /// A probe was answered.
    Answered {
        /// The round-trip time in microseconds.
        round_trip_us: u64,
    },
    /// Traffic received an answer of any kind, or a status notice arrived.
    Heard,
    /// A probe or a statement timed out. Silence is measured from the last answer, so this adds
    /// nothing by itself.
    TimedOut,
    /// An established connection was reset or closed.
    Broken,
    /// A new connection was refused, or reset while it was opened.
    Refused,
}

/// The reason for suspecting the primary.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Suspicion {
    /// Connections failed repeatedly.
    ConnectionsFail,
    /// The primary was silent for longer than the timeout.
    Silent,
}

/// The verdict of the detector.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// The primary is considered alive.
    Trusted,
    /// This process can't reach the primary, but a quorum of members keeps replicating from it.
    Withheld(Suspicion),
    /// The primary is considered failed.
    Suspected(Suspicion),
}

/// The failure detector of one group's primary.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct PrimaryDetector {
    settings: DetectionSettings,
    primary: usize,
    term: Term,
    last_heard_us: u64,
    /// The time at which the timer last fired.
    checked_us: u64,
    failures: u32,
    connect_failed: bool,
    mean_round_trip_us: u64,
    deviation_us: u64,
    /// For each member, the latest report that showed progress, and when it arrived.
    progress: Vec<Option<(MemberStatus, u64)>>,
}

impl PrimaryDetector {
    /// Creates a detector for a primary that is announced at `now_us`.
    pub fn new(
        settings: DetectionSettings,
        now_us: u64,
        primary: usize,
        term: Term,
        member_count: usize,
    ) -> PrimaryDetector {
        PrimaryDetector {
            settings,
            primary,
            term,
            last_heard_us: now_us,
            checked_us: now_us,
            failures: 0,
            connect_failed: false,
            mean_round_trip_us: 0,
            deviation_us: 0,
            progress: vec![None; member_count],
        }
    }

    /// Returns the member that is monitored.
    pub fn primary(&self) -> usize {
        self.primary
    }

    /// Returns the term of the monitored primary.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Records an observation of the primary.
    pub fn evidence(&mut self, now_us: u64, evidence: Evidence) {
        match evidence {
            Evidence::Answered { round_trip_us } => {
                self.record_round_trip(round_trip_us);
                self.record_contact(now_us);
            }
            Evidence::Heard => self.record_contact(now_us),
            Evidence::TimedOut => {}
            Evidence::Broken => self.failures = self.failures.saturating_add(1),
            Evidence::Refused => {
                self.failures = self.failures.saturating_add(1);
                self.connect_failed = true;
            }
        }
    }

    /// Records a report of any member. A report of the primary itself counts as an answer.
    pub fn report(&mut self, now_us: u64, member: usize, status: &MemberStatus) {
        if member == self.primary {
            self.record_contact(now_us);
            return;
        }
        let Some(slot) = self.progress.get_mut(member) else { return };
        if slot.as_ref().is_none_or(|(known, _)| known.log < status.log) {
            // The first report of a member shows its state, not progress.
            let since_us = if slot.is_some() { now_us } else { 0 };
            *slot = Some((status.clone(), since_us));
        }
    }

    /// Handles a timer that was due at `due_us` and fires at `now_us`. Events that arrived before
    /// must be passed in first.
    pub fn timer(&mut self, now_us: u64, due_us: u64) {
        self.checked_us = now_us;
        let late_us = now_us.saturating_sub(due_us);
        if late_us > self.settings.late_timer_us {
            self.last_heard_us = self.last_heard_us.saturating_add(late_us).min(now_us);
        }
    }

    /// Returns the verdict at `now_us`.
    pub fn verdict(&self, now_us: u64, members: &MemberSet) -> Verdict {
        let Some(suspicion) = self.suspicion(now_us) else { return Verdict::Trusted };
        if members.is_quorum(self.replicating_members(now_us)) {
            return Verdict::Withheld(suspicion);
        }
        Verdict::Suspected(suspicion)
    }

    /// Returns the present timeout for a silent primary, in microseconds.
    pub fn timeout_us(&self) -> u64 {
        let measured_us = self.mean_round_trip_us + DEVIATION_FACTOR * self.deviation_us;
        let longest_us = self.settings.max_silence_us.max(self.settings.silence_us);
        (self.settings.silence_us + measured_us).min(longest_us)
    }

    /// Returns when the verdict can next change without new evidence. While the primary stays
    /// silent after the timer reported the timeout, the progress of the members is checked again
    /// every `RECHECK_US`: with a due time in the past the embedder's timer would fire without a
    /// pause.
    pub fn due_us(&self) -> u64 {
        let silent_us = self.last_heard_us.saturating_add(self.timeout_us()).saturating_add(1);
        if silent_us > self.checked_us {
            return silent_us;
        }
        self.checked_us.saturating_add(RECHECK_US)
    }

    /// Returns every broken invariant.
    pub fn verify(&self, now_us: u64) -> Vec<DetectorViolation> {
        let mut violations = Vec::new();
        if self.last_heard_us > now_us {
            violations.push(DetectorViolation::LastHeardInFuture);
        }
        if self.timeout_us() < self.settings.silence_us {
            violations.push(DetectorViolation::TimeoutBelowSilence);
        }
        if self.connect_failed && self.failures == 0 {
            violations.push(DetectorViolation::FailureNotCounted);
        }
        violations
    }

    fn suspicion(&self, now_us: u64) -> Option<Suspicion> {
        if self.connect_failed && self.failures >= self.settings.connection_failures {
            return Some(Suspicion::ConnectionsFail);
        }
        let silent_us = now_us.saturating_sub(self.last_heard_us);
        (silent_us > self.timeout_us()).then_some(Suspicion::Silent)
    }

    /// Returns the members that recently received records of the primary's term, after the last
    /// contact of this process with the primary. If there are any, the primary is included.
    fn replicating_members(&self, now_us: u64) -> MemberMask {
        let lost_us = self.last_heard_us.saturating_add(self.settings.replication_us);
        let recent_us = now_us.saturating_sub(self.settings.silence_us);
        let is_replicating = |member: usize| {
            self.progress[member].as_ref().is_some_and(|(status, since_us)| {
                status.log.term == self.term
                    && status.raised_term == self.term
                    && *since_us > lost_us
                    && *since_us >= recent_us
            })
        };
        let replicas: MemberMask =
            (0..self.progress.len()).filter(|&member| is_replicating(member)).collect();
        if replicas == MemberMask::EMPTY {
            return replicas;
        }
        let mut all = replicas;
        all.insert(self.primary);
        all
    }

    fn record_contact(&mut self, now_us: u64) {
        self.last_heard_us = self.last_heard_us.max(now_us);
        self.failures = 0;
        self.connect_failed = false;
    }

    fn record_round_trip(&mut self, round_trip_us: u64) {
        if self.mean_round_trip_us == 0 {
            self.mean_round_trip_us = round_trip_us;
            self.deviation_us = round_trip_us / 2;
            return;
        }
        let deviation_us = self.mean_round_trip_us.abs_diff(round_trip_us);
        self.deviation_us = (3 * self.deviation_us + deviation_us) / 4;
        self.mean_round_trip_us = (7 * self.mean_round_trip_us + round_trip_us) / 8;
    }
}

/// A broken invariant of [`PrimaryDetector`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum DetectorViolation {
    /// The last contact is later than the present time.
    LastHeardInFuture,
    /// Measured round trips made the timeout shorter than the configured silence.
    TimeoutBelowSilence,
    /// A refused connection was recorded, but the failure count is zero.
    FailureNotCounted,
}
