//! Whether a group's primary is gone, judged by one home of the group.
//!
//! Two ways lead to a suspicion. The fast way: connections to the primary break or are refused
//! repeatedly and a reconnect failed too, which a living process on a reachable VM does not do. The
//! slow way: nothing was heard for a timeout that follows the measured round trips (Jacobson 1988:
//! mean plus a multiple of the mean deviation), and never less than the configured silence.
//!
//! A wrong suspicion costs a short gap and never a write, since only the fence decides. Two causes
//! of wrong suspicions are still worth avoiding. A detector that was paused itself sees every
//! primary silent at once; the time by which its own timer was late is no silence of the primary.
//! And a home that alone is cut off from the primary would depose one that works for all others;
//! while a quorum of members goes on taking the primary's records, the suspicion is withheld.

use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::process::member_set::MemberMask;
use crate::process::member_set::MemberSet;

/// How a deviation of the round trip counts towards the timeout.
const DEVIATION_FACTOR: u64 = 8;

/// How often a silent primary is judged again, in microseconds.
const RECHECK_US: u64 = 50_000;

/// Bounds of the detector. The defaults are for zones about 1.5 ms apart.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct DetectionSettings {
    /// The least silence that makes a suspicion, in microseconds.
    pub silence_us: u64,
    /// The most that measured round trips can stretch the silence to, in microseconds.
    pub max_silence_us: u64,
    /// How many failed connections in a row make a suspicion at once.
    pub connection_failures: u32,
    /// A timer that comes later than this shows that this process was paused, in microseconds.
    pub late_timer_us: u64,
    /// Records that members took this long after the primary was last heard can't have been on
    /// their way already, in microseconds.
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

/// What was seen of the primary, by a probe or by traffic.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Evidence {
    /// A probe was answered.
    Answered {
        /// How long the answer took, in microseconds.
        round_trip_us: u64,
    },
    /// Traffic got an answer of any kind, or a status notice came.
    Heard,
    /// A probe or a statement got no answer in its time. Silence is counted from the last answer,
    /// so that this adds nothing by itself.
    TimedOut,
    /// An established connection was reset or closed.
    Broken,
    /// A new connection was refused or reset while it was opened.
    Refused,
}

/// Why the primary counts as gone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Suspicion {
    /// Connections failed repeatedly.
    ConnectionsFail,
    /// Nothing was heard for too long.
    Silent,
}

/// The detector's judgement.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// The primary is taken to work.
    Trusted,
    /// This process can't reach the primary, but a quorum of members goes on replicating from it.
    Withheld(Suspicion),
    /// The primary is taken to be gone.
    Suspected(Suspicion),
}

/// The failure detector of one group's primary.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct PrimaryDetector {
    settings: DetectionSettings,
    primary: usize,
    term: Term,
    last_heard_us: u64,
    /// When the timer last fired.
    checked_us: u64,
    failures: u32,
    connect_failed: bool,
    mean_round_trip_us: u64,
    deviation_us: u64,
    /// For each member, the last record seen and when the member was first seen with it.
    progress: Vec<Option<(MemberStatus, u64)>>,
}

impl PrimaryDetector {
    /// A detector of a primary that was announced now.
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

    /// The member under watch.
    pub fn primary(&self) -> usize {
        self.primary
    }

    /// The term of the primary under watch.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Takes in what was seen of the primary.
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

    /// Takes in a report of any member. One of the primary itself counts as an answer.
    pub fn report(&mut self, now_us: u64, member: usize, status: &MemberStatus) {
        if member == self.primary {
            self.record_contact(now_us);
            return;
        }
        let Some(slot) = self.progress.get_mut(member) else { return };
        if slot.as_ref().is_none_or(|(known, _)| known.log < status.log) {
            // The first report of a member shows a state, not a change.
            let since_us = if slot.is_some() { now_us } else { 0 };
            *slot = Some((status.clone(), since_us));
        }
    }

    /// Tells that a timer due at `due_us` fires at `now_us`. Events that waited meanwhile should
    /// be taken in first.
    pub fn timer(&mut self, now_us: u64, due_us: u64) {
        self.checked_us = now_us;
        let late_us = now_us.saturating_sub(due_us);
        if late_us > self.settings.late_timer_us {
            self.last_heard_us = self.last_heard_us.saturating_add(late_us).min(now_us);
        }
    }

    /// The judgement now.
    pub fn verdict(&self, now_us: u64, members: &MemberSet) -> Verdict {
        let Some(suspicion) = self.suspicion(now_us) else { return Verdict::Trusted };
        if members.is_quorum(self.replicating_members(now_us)) {
            return Verdict::Withheld(suspicion);
        }
        Verdict::Suspected(suspicion)
    }

    /// How long the primary may be silent now, in microseconds.
    pub fn timeout_us(&self) -> u64 {
        let measured_us = self.mean_round_trip_us + DEVIATION_FACTOR * self.deviation_us;
        let longest_us = self.settings.max_silence_us.max(self.settings.silence_us);
        (self.settings.silence_us + measured_us).min(longest_us)
    }

    /// When the verdict can change next without new evidence. While the primary stays silent after
    /// the timer has told so, the view of the members is looked at again from time to time: a due
    /// time that stays in the past would have the embedder's timer fire without a pause.
    pub fn due_us(&self) -> u64 {
        let silent_us = self.last_heard_us.saturating_add(self.timeout_us()).saturating_add(1);
        if silent_us > self.checked_us {
            return silent_us;
        }
        self.checked_us.saturating_add(RECHECK_US)
    }

    /// Every broken invariant.
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

    /// The members that took records of the primary's term lately, after this process last heard
    /// the primary. The primary itself counts with them.
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
    /// The primary was heard later than now.
    LastHeardInFuture,
    /// Measured round trips shortened the configured silence.
    TimeoutBelowSilence,
    /// A refused connection is not among the failures.
    FailureNotCounted,
}
