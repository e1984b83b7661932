//! Which replica may take over from a primary, and what has to happen before.
//!
//! Here a target acknowledges a commit as soon as one replica has received it, and a promoted replica
//! leads with what it had received and nothing more. So a promote loses an acknowledged commit
//! wherever another replica had received more.
//!
//! Invariant: when a replica is promoted, it holds all that any other member of the group received
//! and that may have been acknowledged. To get there all other replicas are paused first: a paused
//! replica receives nothing, so each commit that is acknowledged from then on was received by the one
//! that is left. Once that one has received at least what each paused one holds, it stays ahead,
//! however long the old primary goes on acknowledging until the promote takes effect. A planned move
//! made this way has hardly any gap, because the old primary leads until the new one does.
//!
//! A replica that doesn't answer may be the only one that holds a commit, so nothing is promoted
//! without it. A vote of the members, as in `process/failover`, is not to be had: these targets
//! accept a later pause with a lower term, and anybody's resume.

use crate::log_position::LogPosition;

/// How long a replica that is behind may take to catch up while the old primary still answers. Half
/// a second is some ten times the usual time to receive; after it all replicas are paused instead,
/// which costs a gap but ends.
pub const CATCH_UP_LIMIT_US: u64 = 500_000;

/// What the driver of a takeover knows of one replica.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ReplicaView {
    /// Whether it answered the last question.
    pub reachable: bool,
    /// The end of its log when it last answered.
    pub received: LogPosition,
    /// Whether it confirmed that it is paused.
    pub paused: bool,
    /// Whether it will stop soon, and take its log with it.
    pub leaving: bool,
}

/// The next thing to do.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TakeoverStep {
    /// Ask this replica to receive nothing more.
    Pause(usize),
    /// Ask this replica again how far its log goes.
    AskAgain(usize),
    /// Promote this replica: it holds all that was acknowledged.
    Promote(usize),
    /// Nothing can be done now.
    Wait(WaitReason),
}

/// Why a takeover can't go on.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WaitReason {
    /// There is no replica.
    NoReplica,
    /// This replica does not answer and may be the only one that holds a commit.
    ReplicaSilent(usize),
    /// No replica has what a departed one may have been alone with.
    LogIncomplete,
}

/// Decides the next step over all replicas of the group.
///
/// `floor` is what the new primary must have received to do without members that are gone.
/// `primary_answers` tells whether the old primary may still be sending its log, and `waited_us` how
/// long the chosen replica has been waited for.
pub fn next_step(
    replicas: &[ReplicaView],
    floor: LogPosition,
    primary_answers: bool,
    waited_us: u64,
) -> TakeoverStep {
    if let Some(silent) = replicas.iter().position(|replica| !replica.reachable) {
        return TakeoverStep::Wait(WaitReason::ReplicaSilent(silent));
    }
    let Some(chosen) = choose(replicas) else {
        return TakeoverStep::Wait(WaitReason::NoReplica);
    };
    let others = || (0..replicas.len()).filter(|other| *other != chosen);
    if let Some(running) = others().find(|other| !replicas[*other].paused) {
        return TakeoverStep::Pause(running);
    }
    let has_all = |index: usize| {
        let received = replicas[index].received;
        received >= floor && replicas.iter().all(|other| received >= other.received)
    };
    if has_all(chosen) {
        return TakeoverStep::Promote(chosen);
    }
    // Only the old primary can send what is missing.
    if primary_answers && !replicas[chosen].paused && waited_us < CATCH_UP_LIMIT_US {
        return TakeoverStep::AskAgain(chosen);
    }
    // Pausing it as well would stop all commits and bring nothing: none of them is complete.
    let is_incomplete = replicas.iter().all(|replica| replica.received < floor);
    if primary_answers && is_incomplete {
        return TakeoverStep::Wait(WaitReason::LogIncomplete);
    }
    if !replicas[chosen].paused {
        return TakeoverStep::Pause(chosen);
    }
    // All are paused, so nothing more is acknowledged and the longest log is final. If only a
    // replica that is leaving has it, the group is better led by that one than losing commits.
    let longest = longest(replicas);
    match has_all(longest) {
        true => TakeoverStep::Promote(longest),
        false => TakeoverStep::Wait(WaitReason::LogIncomplete),
    }
}

/// The replica to promote: one that stays, with the longest log; of equal ones the first that still
/// receives, so that no pause has to be undone.
fn choose(replicas: &[ReplicaView]) -> Option<usize> {
    let rank = |index: &usize| {
        let replica = &replicas[*index];
        let fallback = std::cmp::Reverse(*index);
        // Once it alone receives, it stays the choice: a paused one may still be a little ahead of
        // it, and pausing by turns would end in no replica that receives.
        let receives_alone = !replica.paused && has_paused_other(replicas, *index);
        (!replica.leaving, receives_alone, replica.received, !replica.paused, fallback)
    };
    (0..replicas.len()).max_by_key(rank)
}

fn has_paused_other(replicas: &[ReplicaView], index: usize) -> bool {
    replicas.iter().enumerate().any(|(other, replica)| other != index && replica.paused)
}

fn longest(replicas: &[ReplicaView]) -> usize {
    let ends = replicas.iter().enumerate().map(|(index, replica)| (replica.received, index));
    ends.max().map_or(0, |(_, index)| index)
}
