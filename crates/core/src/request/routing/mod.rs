//! Routing of reads: selects the member of a group that serves a read.
//!
//! A member is eligible if it is reachable, is not leaving, covers the session's floor, and has data
//! that is provably fresh enough. Of the eligible replicas the one with the lowest expected latency is
//! taken: the predicted wait for a connection plus the round trip to it. The nearer one wins a tie.
//!
//! If no replica is eligible now, two costs are compared. Waiting for a replica costs the time that it
//! usually takes to apply the primary's log or, if its data is too old, its usual age. The primary costs
//! its predicted wait, the same wait once more because the read delays the writes queued behind it, and
//! a fixed penalty for a slot that writes need. The cheaper alternative that meets the deadline is taken.
//! Every verdict carries a [`ReadReason`], so that counters explain the share of reads that replicas serve.
//!
//! The age of data is only assumed where it is proved (`process/read_age.rs`). This applies to the
//! primary too: an isolated former primary answers reads, and only the missing confirmation by a
//! majority reveals that its data may be stale.

use crate::ids::TargetId;
use crate::log_position::LogPosition;
use crate::log_position::Term;
use crate::request::error_kind::ErrorKind;
use crate::request::routing::survey::Survey;

mod survey;

/// The value of [`ReadRequest::max_age_us`] for a read without a bound on its age.
pub const NO_AGE_BOUND: u64 = u64::MAX;

/// The distance of a member from this proxy, ordered from near to far.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Nearness {
    /// In this proxy's availability zone.
    SameZone,
    /// In another availability zone of the region.
    OtherZone,
    /// In another region.
    OtherRegion,
}

/// The state of a member as far as it is known here.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MemberView {
    /// The member.
    pub target: TargetId,
    /// The position of the last record that is visible to reads at the member.
    pub applied: LogPosition,
    /// Reads at the member see everything that was acknowledged by this time; zero if nothing is proved.
    pub fresh_as_of_us: u64,
    /// The usual age of the member's data when it reports its status; `None` if unknown.
    pub lag_us: Option<u64>,
    /// The usual time until the member has applied a record of the primary; `None` if unknown.
    pub catch_up_us: Option<u64>,
    /// Whether the member currently answers.
    pub reachable: bool,
    /// Whether the member is leaving or drained.
    pub leaving: bool,
    /// The member's distance from this proxy.
    pub nearness: Nearness,
    /// The predicted time that a request of this class waits for a connection to the member.
    pub predicted_wait_us: u64,
}

/// The primary of a group as this proxy knows it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaderView {
    /// The primary.
    pub target: TargetId,
    /// The term that it was promoted in.
    pub term: Term,
}

/// The requirements of a read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReadRequest {
    /// The position that the read must see; the default position if the session wrote nothing.
    pub floor: LogPosition,
    /// The maximum age of the data, or [`NO_AGE_BOUND`].
    pub max_age_us: u64,
    /// The deadline of the caller, on the clock of `now_us`.
    pub deadline_us: u64,
    /// The time that this read has already waited for a replica; zero before the first verdict.
    pub waited_us: u64,
    /// Selects among members with equal rank, for instance a count of requests.
    pub tie_breaker: u32,
}

/// The costs and limits that routing uses.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RoutingPolicy {
    /// The additional cost of a read at the primary, because it takes a slot from writes.
    pub primary_penalty_us: u64,
    /// The maximum time that one read waits for a replica.
    pub max_wait_us: u64,
    /// The lag that is assumed if it is unknown and the primary is not eligible.
    pub assumed_lag_us: u64,
    /// The round trip to another availability zone.
    pub other_zone_us: u64,
    /// The round trip to another region.
    pub other_region_us: u64,
}

impl Default for RoutingPolicy {
    fn default() -> RoutingPolicy {
        RoutingPolicy {
            primary_penalty_us: 30_000,
            max_wait_us: 250_000,
            assumed_lag_us: 100_000,
            other_zone_us: 3_000,
            other_region_us: 40_000,
        }
    }
}

impl RoutingPolicy {
    fn round_trip_us(&self, nearness: Nearness) -> u64 {
        match nearness {
            Nearness::SameZone => 0,
            Nearness::OtherZone => self.other_zone_us,
            Nearness::OtherRegion => self.other_region_us,
        }
    }
}

macro_rules! read_reasons {
    ($($(#[$doc:meta])* $reason:ident = $name:literal, $replica:literal, $eligible:literal;)*) => {
        /// The reason of a routing verdict. Each reason has its own counter.
        #[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
        pub enum ReadReason {
            $($(#[$doc])* $reason,)*
        }

        impl ReadReason {
            /// All reasons, in the order of [`ReadReason::index`].
            pub const ALL: &'static [ReadReason] = &[$(ReadReason::$reason,)*];

            /// Returns the name of the reason in counters and answers.
            pub fn name(self) -> &'static str {
                match self {
                    $(ReadReason::$reason => $name,)*
                }
            }

            /// Returns whether a replica serves the read.
            pub fn is_replica(self) -> bool {
                match self {
                    $(ReadReason::$reason => $replica,)*
                }
            }

            /// Returns whether a replica was eligible when the read was decided. These reads are the
            /// denominator of the replicas' share of eligible reads.
            pub fn is_eligible(self) -> bool {
                match self {
                    $(ReadReason::$reason => $eligible,)*
                }
            }
        }
    };
}

read_reasons! {
    /// A replica serves the read without a wait.
    Replica = "replica", true, true;
    /// A replica serves the read after the read waited for it.
    ReplicaAfterWait = "replica_after_wait", true, true;
    /// The primary serves it: no reachable replica holds the session's own writes yet.
    PrimaryForFloor = "primary_for_floor", false, false;
    /// The primary serves it: no replica that holds the session's writes is fresh enough.
    PrimaryForAge = "primary_for_age", false, false;
    /// The primary serves it: no replica is reachable.
    PrimaryNoReplicaReachable = "primary_no_replica_reachable", false, false;
    /// The primary serves it: the reachable replicas are leaving.
    PrimaryReplicasLeaving = "primary_replicas_leaving", false, false;
    /// The primary serves it: replicas are eligible, but their predicted waits exceed the deadline.
    PrimaryReplicasBusy = "primary_replicas_busy", false, true;
    /// The primary serves it: the group has no replica.
    PrimaryOnly = "primary_only", false, false;
    /// The read waits until a replica holds the session's own writes.
    WaitForFloor = "wait_for_floor", false, false;
    /// The read waits until a replica is provably fresh enough.
    WaitForAge = "wait_for_age", false, false;
    /// Refused: no member is provably fresh enough in time.
    RefusedTooOld = "refused_too_old", false, false;
    /// Refused: no member holds the session's own writes in time.
    RefusedFloor = "refused_floor", false, false;
    /// Refused: the predicted waits of all eligible members exceed the deadline.
    RefusedDeadline = "refused_deadline", false, true;
    /// Refused: no member accepts work.
    RefusedNoMember = "refused_no_member", false, false;
}

impl ReadReason {
    /// Returns whether this reason is the final one of a read. The two waits are intermediate.
    pub fn is_final(self) -> bool {
        !matches!(self, ReadReason::WaitForFloor | ReadReason::WaitForAge)
    }

    /// Returns the index of this reason in a dense table of counters.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// The routing decision for a read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadVerdict {
    /// Send it to this member now.
    Send {
        /// The member.
        target: TargetId,
        /// The reason for the choice.
        reason: ReadReason,
    },
    /// Route it again when the state of `target` changes, at the latest after `wait_us`.
    Wait {
        /// The replica that is expected to be eligible first.
        target: TargetId,
        /// The maximum time until the read is routed again.
        wait_us: u64,
        /// The reason for the wait.
        reason: ReadReason,
    },
    /// Refuse it. Nothing was run.
    Refuse {
        /// The error that the caller gets.
        kind: ErrorKind,
        /// The time after which a retry can succeed.
        retry_after_us: u64,
        /// The reason for the refusal.
        reason: ReadReason,
    },
}

impl ReadVerdict {
    /// Returns the reason of the verdict.
    pub fn reason(&self) -> ReadReason {
        match *self {
            ReadVerdict::Send { reason, .. } => reason,
            ReadVerdict::Wait { reason, .. } => reason,
            ReadVerdict::Refuse { reason, .. } => reason,
        }
    }
}

/// The reason why a member is not eligible for a read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Shortfall {
    /// It does not answer.
    Unreachable,
    /// It is leaving and accepts no new work.
    Leaving,
    /// It is not known to cover the session's floor.
    Floor,
    /// Its data is not provably fresh enough.
    Age,
}

/// Returns why `member` is not eligible for `request` at `now_us`, or `None` if it is eligible.
///
/// A read that was queued after it was routed is checked again when it is sent, since the member's data
/// has aged meanwhile.
pub fn shortfall(
    request: &ReadRequest,
    leader: Option<LeaderView>,
    member: &MemberView,
    now_us: u64,
) -> Option<Shortfall> {
    if !member.reachable {
        return Some(Shortfall::Unreachable);
    }
    if member.leaving {
        return Some(Shortfall::Leaving);
    }
    if !covers_floor(request.floor, leader, member) {
        return Some(Shortfall::Floor);
    }
    if !fresh_enough(request.max_age_us, member, now_us) {
        return Some(Shortfall::Age);
    }
    None
}

/// Returns whether reads at `member` see everything that was acknowledged up to `floor`.
///
/// The known position of the primary lags behind its log, so by positions alone a session that reads
/// right after its write would find no eligible member. The term is therefore sufficient for the primary:
/// the primary of the floor's own term wrote the record, and the primary of a later term was promoted from a
/// majority that holds it. A primary of an older term is not eligible: it was replaced before the write.
fn covers_floor(floor: LogPosition, leader: Option<LeaderView>, member: &MemberView) -> bool {
    if member.applied.covers(floor) {
        return true;
    }
    leader.is_some_and(|leader| leader.target == member.target && leader.term >= floor.term)
}

fn fresh_enough(max_age_us: u64, member: &MemberView, now_us: u64) -> bool {
    if max_age_us == NO_AGE_BOUND {
        return true;
    }
    let is_proved = member.fresh_as_of_us != 0;
    is_proved && now_us.saturating_sub(member.fresh_as_of_us) <= max_age_us
}

/// Decides which member serves a read, or whether the read waits or is refused.
pub fn route(
    policy: &RoutingPolicy,
    request: &ReadRequest,
    leader: Option<LeaderView>,
    members: &[MemberView],
    now_us: u64,
) -> ReadVerdict {
    let survey = Survey::collect(policy, request, leader, members, now_us);
    let left_us = request.deadline_us.saturating_sub(now_us);
    if let Some(replica) = survey.replica {
        return survey.send_to_replica(request, replica, left_us);
    }
    let wait = survey.wait_for_replica(policy, request, left_us);
    match (survey.primary, wait) {
        (Some(primary), Some(wait)) if wait.cost_us < primary.group_cost_us(policy) => {
            wait.verdict()
        }
        (Some(primary), _) if primary.cost_us <= left_us => {
            let reason = survey.reason_for_primary(members);
            ReadVerdict::Send { target: primary.target, reason }
        }
        (_, Some(wait)) => wait.verdict(),
        (Some(primary), None) => survey::refuse_deadline(primary.cost_us),
        (None, None) => survey.refuse(policy),
    }
}
