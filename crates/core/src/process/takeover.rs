//! Decides which replica may take over from a primary, and which steps must come first.
//!
//! These targets acknowledge a commit as soon as one replica has received it, and a promoted
//! replica leads with exactly what it had received. So a promotion loses an acknowledged commit if
//! another replica had received more.
//!
//! Invariant: a replica that is promoted holds everything that any other member of the group
//! received and that may have been acknowledged. To get there, all other replicas are paused first:
//! a paused replica receives nothing, so each commit that is acknowledged from then on was received
//! by the remaining replica. Once that one has received at least what each paused one holds, it
//! stays ahead, however long the old primary keeps acknowledging until the promotion takes effect.
//!
//! A member that joins meanwhile can't be paused in time: it receives, and acknowledges with the old
//! primary, some 30 ms before it is listed. A late order may also resume a paused replica. So the old
//! primary has to confirm that it stepped down before a replica is promoted: then nothing is
//! acknowledged until the promotion takes effect, whoever receives. Pauses still come first, so that
//! writes are interrupted only once a replica can be promoted, and they are all that is left if no VM
//! reaches the old primary. What it acknowledges then with a member that no driver knows is lost, so a
//! success is returned to callers only once a listed member holds the commit
//! (`LeadReports::commit_verdict`).
//!
//! A pause ends with the promotion that reaches its term ([`pause_term`]), and an earlier call may promote
//! any member meanwhile.
//!
//! A replica that doesn't answer may be the only one that holds a commit, so nothing is promoted
//! without it. A vote of the members, as in `process/failover`, is not possible: these targets
//! accept a later pause with a lower term, and a resume by anybody.

use crate::log_position::LogPosition;

/// How long a replica that is behind may take to catch up while the old primary still answers. This
/// is some ten times the usual time to receive a record. After it all replicas are paused instead,
/// which interrupts writes but ends.
pub const CATCH_UP_LIMIT_US: u64 = 500_000;

/// How many promotions by earlier calls the pauses of a takeover outlast. Each takes a call that got no
/// answer within the time in which such a call may be executed, and a driver makes one in some seconds.
pub const MAX_LATE_PROMOTIONS: u64 = 16;

/// Returns the lowest term for which a replica has to be paused, where `newest_term` is the highest term
/// that a member leads or follows.
///
/// A promotion raises the term by one and ends the pauses for that term and earlier ones. A pause for the
/// next term ends with the driver's own promotion. If an earlier call took effect first, it would end as well,
/// and the replica could acknowledge commits with a member that the driver's promotion replaces. So while
/// calls may take effect late, a pause has to outlast their promotions.
pub fn pause_term(newest_term: u64, may_take_effect_late: bool) -> u64 {
    let outlasted = if may_take_effect_late { MAX_LATE_PROMOTIONS } else { 0 };
    newest_term + outlasted + 1
}

/// The state of one replica, as the driver of a takeover knows it.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct ReplicaView {
    /// Whether it answered the last status query.
    pub reachable: bool,
    /// The end of its log in its last answer.
    pub received: LogPosition,
    /// Whether it confirmed that it is paused for [`pause_term`] or a later one.
    pub paused: bool,
    /// Whether it will stop soon, and its log will be lost.
    pub leaving: bool,
    /// Whether it reported to be the primary.
    pub leads: bool,
    /// Whether an earlier call that promotes it may still be carried out.
    pub may_be_promoted_late: bool,
}

/// The next step of a takeover. Replicas are identified by their index.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TakeoverStep {
    /// Pause this replica, so that it receives nothing more.
    Pause(usize),
    /// Query the log position of this replica again.
    AskAgain(usize),
    /// Promote this replica: it holds everything that was acknowledged.
    Promote(usize),
    /// Nothing can be done now.
    Wait(WaitReason),
}

/// The reason for which a takeover can't proceed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum WaitReason {
    /// The group has no replica.
    NoReplica,
    /// This member reported to be the primary.
    MemberLeads(usize),
    /// This replica does not answer and may be the only one that holds a commit.
    ReplicaSilent(usize),
    /// No replica has everything that only a departed member may have held.
    LogIncomplete,
}

/// Returns the next step, given the state of all replicas of the group.
///
/// `floor` is the position that the new primary must have received to make departed members
/// dispensable. `primary_answers` says whether the old primary may still be sending its log, and
/// `waited_us` how long the chosen replica has had to catch up.
pub fn next_step(
    replicas: &[ReplicaView],
    floor: LogPosition,
    primary_answers: bool,
    waited_us: u64,
) -> TakeoverStep {
    if let Some(silent) = replicas.iter().position(|replica| !replica.reachable) {
        return TakeoverStep::Wait(WaitReason::ReplicaSilent(silent));
    }
    if let Some(leader) = replicas.iter().position(|replica| replica.leads) {
        return TakeoverStep::Wait(WaitReason::MemberLeads(leader));
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
    // Only the old primary can send the missing records.
    if primary_answers && !replicas[chosen].paused && waited_us < CATCH_UP_LIMIT_US {
        return TakeoverStep::AskAgain(chosen);
    }
    // Pausing the chosen replica as well would stop all commits without a benefit: no replica is
    // complete.
    let is_incomplete = replicas.iter().all(|replica| replica.received < floor);
    if primary_answers && is_incomplete {
        return TakeoverStep::Wait(WaitReason::LogIncomplete);
    }
    if !replicas[chosen].paused {
        return TakeoverStep::Pause(chosen);
    }
    // All replicas are paused, so nothing more is acknowledged and the longest log is final. If
    // only a leaving replica has it, that one is promoted: this is better than losing commits.
    let longest = longest(replicas);
    match has_all(longest) {
        true => TakeoverStep::Promote(longest),
        false => TakeoverStep::Wait(WaitReason::LogIncomplete),
    }
}

/// What is known of the lead of the primary that is to be replaced.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub enum OldLead {
    /// The old primary may acknowledge commits: it has not confirmed that it stepped down.
    #[default]
    MayContinue,
    /// The old primary confirmed that it stepped down.
    Ended {
        /// The end of its log, which holds everything that was acknowledged in its term.
        log_end: LogPosition,
        /// Whether it confirmed that it is paused, so that it receives nothing from a successor.
        is_paused: bool,
    },
    /// No VM reaches the old primary, or there is none.
    Unreachable,
}

/// What comes before the call that promotes the replica which [`next_step`] selected.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum PromotionStep {
    /// Demote the old primary.
    EndOldLead,
    /// Pause the old primary, which is a replica now. An earlier call may promote another member, which would
    /// acknowledge commits with it that the replica lacks.
    PauseOldPrimary,
    /// Wait until no earlier call may promote another member. It would acknowledge commits with the old primary,
    /// which can't be paused.
    AwaitEarlierCall,
    /// Query the members again: one that is not known yet may hold an acknowledged commit that the
    /// replica lacks.
    AskAgain,
    /// Promote the replica.
    Promote,
}

/// How long a member may be running before it is listed, in microseconds. It usually takes 30 ms.
pub const REGISTRATION_US: u64 = 150_000;

/// Returns what comes before the promotion of a replica whose log ended at `received`.
///
/// `members_are_known` says whether every member that received from the old primary is known: those
/// that started before it stepped down, or was last reached, have registered since, and the list was
/// read after that. `another_may_lead` says whether an earlier call may still promote another member.
pub fn promotion_step(
    received: LogPosition,
    old_lead: OldLead,
    members_are_known: bool,
    another_may_lead: bool,
) -> PromotionStep {
    match old_lead {
        OldLead::MayContinue => PromotionStep::EndOldLead,
        OldLead::Ended { is_paused: false, .. } if another_may_lead => {
            PromotionStep::PauseOldPrimary
        }
        OldLead::Unreachable if another_may_lead => PromotionStep::AwaitEarlierCall,
        OldLead::Ended { log_end, .. } if received >= log_end => PromotionStep::Promote,
        OldLead::Ended { .. } | OldLead::Unreachable => match members_are_known {
            true => PromotionStep::Promote,
            false => PromotionStep::AskAgain,
        },
    }
}

/// Returns the replica to promote: one that is not leaving, with the longest log; among equal ones
/// the first that is not paused, so that no pause has to be undone. A replica that may still be
/// promoted by an earlier call comes first: what others receive meanwhile would be lost if that call
/// were carried out.
fn choose(replicas: &[ReplicaView]) -> Option<usize> {
    let rank = |index: &usize| {
        let replica = &replicas[*index];
        let fallback = std::cmp::Reverse(*index);
        // A replica that is the only one not paused stays the choice: a paused one may still be
        // slightly ahead of it, and pausing them in turn would leave no replica that receives.
        let receives_alone = !replica.paused && has_paused_other(replicas, *index);
        let is_pending = replica.may_be_promoted_late;
        (is_pending, !replica.leaving, receives_alone, replica.received, !replica.paused, fallback)
    };
    (0..replicas.len()).max_by_key(rank)
}

fn has_paused_other(replicas: &[ReplicaView], index: usize) -> bool {
    replicas.iter().enumerate().any(|(other, replica)| other != index && replica.paused)
}

fn longest(replicas: &[ReplicaView]) -> usize {
    let log_ends = replicas.iter().enumerate().map(|(index, replica)| (replica.received, index));
    log_ends.max().map_or(0, |(_, index)| index)
}
