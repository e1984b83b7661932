//! Which member of a group serves a read.
//!
//! A member may serve a read when it is reachable, is not leaving, covers the session's floor, and
//! can show data young enough. Among the replicas that may, the one with the shortest expected
//! time is taken: the predicted wait at the member plus the way to it; the nearer one on a tie.
//!
//! When no replica may serve the read now, two ways are weighed. Waiting costs the time in which the
//! replica usually follows the primary or, where its data is too old, the age that it usually shows.
//! The primary costs its own predicted wait, the same wait once more because the read delays
//! the writes behind it, and a fixed toll for a slot that writes need. The cheaper way that meets
//! the deadline is taken. Every verdict carries a [`ReadReason`], so that the share of reads served
//! by replicas can be explained by counters.
//!
//! An age is claimed only where it is shown (`process/read_age.rs`). This holds for the primary too:
//! an isolated old primary answers reads happily, and only the missing confirmation by a majority
//! tells.

use crate::ids::TargetId;
use crate::log_position::LogPosition;
use crate::log_position::Term;
use crate::request::error_kind::ErrorKind;
use crate::request::routing::survey::Survey;

mod survey;

/// The value of [`ReadRequest::max_age_us`] for a read without a bound on its age.
pub const NO_AGE_BOUND: u64 = u64::MAX;

/// How far a member is from this proxy. Earlier is nearer.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Nearness {
    /// In this proxy's availability zone.
    SameZone,
    /// In another availability zone of the region.
    OtherZone,
    /// In another region.
    OtherRegion,
}

/// What routing knows of one member.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MemberView {
    /// The member.
    pub target: TargetId,
    /// The last record that reads at the member see.
    pub applied: LogPosition,
    /// Reads at the member see all that was acknowledged by this time; zero when nothing is shown.
    pub fresh_as_of_us: u64,
    /// How old the member's data usually is when it reports; `None` when nothing is known.
    pub lag_us: Option<u64>,
    /// How long the member usually takes to apply what the primary has; `None` when nothing is known.
    pub catch_up_us: Option<u64>,
    /// Whether the member answers now.
    pub reachable: bool,
    /// Whether the member is leaving or drained.
    pub leaving: bool,
    /// How far the member is.
    pub nearness: Nearness,
    /// How long a request of this class is expected to wait for a connection to the member.
    pub predicted_wait_us: u64,
}

/// The primary, as far as this proxy knows.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct LeaderView {
    /// The primary.
    pub target: TargetId,
    /// The term that it was promoted in.
    pub term: Term,
}

/// What a read asks for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReadRequest {
    /// What the session must see; the default position when it wrote nothing.
    pub floor: LogPosition,
    /// The oldest age of the data, or [`NO_AGE_BOUND`].
    pub max_age_us: u64,
    /// When the caller gives up, on the clock of `now_us`.
    pub deadline_us: u64,
    /// How long this read has waited for a replica already; zero before the first verdict.
    pub waited_us: u64,
    /// Spreads reads over members that are equally good, for instance a count of requests.
    pub spread: u32,
}

/// The costs that routing reckons with.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RoutingPolicy {
    /// What a read at the primary costs on top of its wait, because it takes a slot from writes.
    pub primary_penalty_us: u64,
    /// The longest that one read waits for a replica.
    pub max_wait_us: u64,
    /// The lag reckoned with where none is known and the primary can't serve.
    pub assumed_lag_us: u64,
    /// The way there and back to another zone.
    pub other_zone_us: u64,
    /// The way there and back to another region.
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
        /// Why a read went where it went. Each has a counter of its own.
        #[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
        pub enum ReadReason {
            $($(#[$doc])* $reason,)*
        }

        impl ReadReason {
            /// Every reason, in the order of [`ReadReason::index`].
            pub const ALL: &'static [ReadReason] = &[$(ReadReason::$reason,)*];

            /// The name of the reason in counters and answers.
            pub fn name(self) -> &'static str {
                match self {
                    $(ReadReason::$reason => $name,)*
                }
            }

            /// Whether a replica serves the read.
            pub fn is_replica(self) -> bool {
                match self {
                    $(ReadReason::$reason => $replica,)*
                }
            }

            /// Whether a replica was fit to serve the read when it was decided: the denominator of
            /// the replicas' share of eligible reads.
            pub fn is_eligible(self) -> bool {
                match self {
                    $(ReadReason::$reason => $eligible,)*
                }
            }
        }
    };
}

read_reasons! {
    /// A replica serves the read at once.
    Replica = "replica", true, true;
    /// A replica serves the read after the read waited for it.
    ReplicaAfterWait = "replica_after_wait", true, true;
    /// The primary serves it: no reachable replica holds the session's own writes yet.
    PrimaryForFloor = "primary_for_floor", false, false;
    /// The primary serves it: no replica that holds the session's writes is young enough.
    PrimaryForAge = "primary_for_age", false, false;
    /// The primary serves it: no replica is reachable.
    PrimaryNoReplicaReachable = "primary_no_replica_reachable", false, false;
    /// The primary serves it: the reachable replicas are leaving.
    PrimaryReplicasLeaving = "primary_replicas_leaving", false, false;
    /// The primary serves it: replicas were fit, and their waits pass the deadline.
    PrimaryReplicasBusy = "primary_replicas_busy", false, true;
    /// The primary serves it: the group has no replica.
    PrimaryOnly = "primary_only", false, false;
    /// Nobody serves it yet: it waits until a replica holds the session's own writes.
    WaitForFloor = "wait_for_floor", false, false;
    /// Nobody serves it yet: it waits until a replica can show young enough data.
    WaitForAge = "wait_for_age", false, false;
    /// Refused: no member can show data young enough in time.
    RefusedTooOld = "refused_too_old", false, false;
    /// Refused: no member holds the session's own writes in time.
    RefusedFloor = "refused_floor", false, false;
    /// Refused: the predicted waits of all members that are fit pass the deadline.
    RefusedDeadline = "refused_deadline", false, true;
    /// Refused: no member takes work.
    RefusedNoMember = "refused_no_member", false, false;
}

impl ReadReason {
    /// Whether the read is decided with this reason. The two waits are steps on the way.
    pub fn is_final(self) -> bool {
        !matches!(self, ReadReason::WaitForFloor | ReadReason::WaitForAge)
    }

    /// The place of this reason in a dense table of counters.
    pub fn index(self) -> usize {
        self as usize
    }
}

/// What to do with a read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReadVerdict {
    /// Send it to this member now.
    Send {
        /// The member.
        target: TargetId,
        /// Why this one.
        reason: ReadReason,
    },
    /// Ask again when the state of `target` changes, at the latest after `wait_us`.
    Wait {
        /// The replica that is expected to be fit first.
        target: TargetId,
        /// The longest time until asking again.
        wait_us: u64,
        /// What is waited for.
        reason: ReadReason,
    },
    /// Refuse it: nothing was run.
    Refuse {
        /// The answer.
        kind: ErrorKind,
        /// When coming back can help.
        retry_after_us: u64,
        /// Why.
        reason: ReadReason,
    },
}

impl ReadVerdict {
    /// The reason that the verdict carries.
    pub fn reason(&self) -> ReadReason {
        match *self {
            ReadVerdict::Send { reason, .. } => reason,
            ReadVerdict::Wait { reason, .. } => reason,
            ReadVerdict::Refuse { reason, .. } => reason,
        }
    }
}

/// What keeps a member from serving a read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Shortfall {
    /// It does not answer.
    Unreachable,
    /// It takes no new work.
    Leaving,
    /// It is not known to hold the session's own writes.
    Floor,
    /// It can't show data young enough.
    Age,
}

/// What keeps `member` from serving `request` at `now_us`; `None` when it is fit.
///
/// A read that waited in a queue after it was routed is checked once more with the time at which it
/// is sent: its data grew older while it waited.
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

/// Whether reads at `member` see all that was acknowledged up to `floor`.
///
/// Reports of the primary's position lag behind its log, and a session that reads right after its
/// write would find no member. The primary of the floor's own term wrote the record, and one of a
/// later term was promoted from a majority that holds it, so the term alone is enough. A primary
/// of an older term than the floor is not: it was replaced before the write.
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

/// Decides who serves a read.
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
