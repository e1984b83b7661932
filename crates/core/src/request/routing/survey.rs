//! One pass over a group's members: the eligible members for a read, and why the others are not eligible.

use crate::ids::TargetId;
use crate::request::error_kind::ErrorKind;
use crate::request::routing;
use crate::request::routing::LeaderView;
use crate::request::routing::MemberView;
use crate::request::routing::Nearness;
use crate::request::routing::ReadReason;
use crate::request::routing::ReadRequest;
use crate::request::routing::ReadVerdict;
use crate::request::routing::RoutingPolicy;
use crate::request::routing::Shortfall;

/// Refuses a read because the predicted wait exceeds its deadline.
pub(super) fn refuse_deadline(predicted_us: u64) -> ReadVerdict {
    ReadVerdict::Refuse {
        kind: ErrorKind::DeadlineUnreachable,
        retry_after_us: predicted_us,
        reason: ReadReason::RefusedDeadline,
    }
}

/// A member with its costs for the read.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub target: TargetId,
    pub cost_us: u64,
    predicted_wait_us: u64,
    nearness: Nearness,
}

impl Candidate {
    fn new(policy: &RoutingPolicy, member: &MemberView) -> Candidate {
        let round_trip_us = policy.round_trip_us(member.nearness);
        Candidate {
            target: member.target,
            cost_us: member.predicted_wait_us.saturating_add(round_trip_us),
            predicted_wait_us: member.predicted_wait_us,
            nearness: member.nearness,
        }
    }

    fn rank(&self) -> (u64, Nearness) {
        (self.cost_us, self.nearness)
    }

    /// Returns the cost of a read at the primary for the whole group: its own latency, the delay of the writes
    /// queued behind it, and the penalty for the slot.
    pub fn group_cost_us(&self, policy: &RoutingPolicy) -> u64 {
        let imposed_us = self.predicted_wait_us;
        self.cost_us.saturating_add(imposed_us).saturating_add(policy.primary_penalty_us)
    }
}

/// A wait for a replica that is expected to become eligible.
#[derive(Clone, Copy)]
pub(super) struct Wait {
    target: TargetId,
    ready_us: u64,
    pub cost_us: u64,
    reason: ReadReason,
}

impl Wait {
    pub fn verdict(&self) -> ReadVerdict {
        ReadVerdict::Wait { target: self.target, wait_us: self.ready_us, reason: self.reason }
    }
}

/// The result of one pass over the members of a group.
#[derive(Default)]
pub(super) struct Survey {
    pub replica: Option<Candidate>,
    ties: u32,
    pub primary: Option<Candidate>,
    /// The replica that is expected to be eligible at the lowest cost, with the time until then. A replica
    /// without a known time is only taken if there is no other.
    pending: Option<(Option<u64>, Candidate, Shortfall)>,
    replica_leaving: bool,
    any_lacks_age: bool,
    any_lacks_floor: bool,
    replica_lacks_age: bool,
    replica_lacks_floor: bool,
}

impl Survey {
    pub fn collect(
        policy: &RoutingPolicy,
        request: &ReadRequest,
        leader: Option<LeaderView>,
        members: &[MemberView],
        now_us: u64,
    ) -> Survey {
        let mut survey = Survey::default();
        for member in members {
            let is_primary = leader.is_some_and(|leader| leader.target == member.target);
            let candidate = Candidate::new(policy, member);
            match routing::shortfall(request, leader, member, now_us) {
                None if is_primary => survey.primary = Some(candidate),
                None => survey.add_replica(request, candidate),
                Some(shortfall) => {
                    survey.add_ineligible(request, member, candidate, shortfall, is_primary)
                }
            }
        }
        survey
    }

    fn add_replica(&mut self, request: &ReadRequest, candidate: Candidate) {
        let Some(best) = self.replica else {
            self.replica = Some(candidate);
            self.ties = 1;
            return;
        };
        if candidate.rank() < best.rank() {
            self.replica = Some(candidate);
            self.ties = 1;
        } else if candidate.rank() == best.rank() {
            self.ties += 1;
            if request.tie_breaker.is_multiple_of(self.ties) {
                self.replica = Some(candidate);
            }
        }
    }

    fn add_ineligible(
        &mut self,
        request: &ReadRequest,
        member: &MemberView,
        candidate: Candidate,
        shortfall: Shortfall,
        is_primary: bool,
    ) {
        let is_replica = !is_primary;
        match shortfall {
            Shortfall::Unreachable => return,
            Shortfall::Leaving => {
                self.replica_leaving |= is_replica;
                return;
            }
            Shortfall::Floor => {
                self.any_lacks_floor = true;
                self.replica_lacks_floor |= is_replica;
            }
            Shortfall::Age => {
                self.any_lacks_age = true;
                self.replica_lacks_age |= is_replica;
            }
        }
        // A replica whose usual lag exceeds the bound is not waited for: its data never gets fresh enough.
        let never_fresh_enough = member.lag_us.is_some_and(|lag_us| lag_us > request.max_age_us);
        if is_replica && !never_fresh_enough {
            let ready_us = match shortfall {
                Shortfall::Floor => member.catch_up_us.or(member.lag_us),
                _ => member.lag_us,
            };
            self.add_pending(ready_us, candidate, shortfall);
        }
    }

    fn add_pending(&mut self, ready_us: Option<u64>, candidate: Candidate, shortfall: Shortfall) {
        let cost_us = |ready_us: Option<u64>, candidate: &Candidate| {
            Some(ready_us?.saturating_add(candidate.cost_us))
        };
        let better = match &self.pending {
            None => true,
            Some((known_us, known, _)) => {
                match (cost_us(ready_us, &candidate), cost_us(*known_us, known)) {
                    (Some(new), Some(old)) => new < old,
                    (new, old) => new.is_some() && old.is_none(),
                }
            }
        };
        if better {
            self.pending = Some((ready_us, candidate, shortfall));
        }
    }

    pub fn send_to_replica(
        &self,
        request: &ReadRequest,
        replica: Candidate,
        left_us: u64,
    ) -> ReadVerdict {
        if replica.cost_us <= left_us {
            let reason = match request.waited_us {
                0 => ReadReason::Replica,
                _ => ReadReason::ReplicaAfterWait,
            };
            return ReadVerdict::Send { target: replica.target, reason };
        }
        match self.primary {
            Some(primary) if primary.cost_us <= left_us => ReadVerdict::Send {
                target: primary.target,
                reason: ReadReason::PrimaryReplicasBusy,
            },
            _ => refuse_deadline(replica.cost_us),
        }
    }

    pub fn wait_for_replica(
        &self,
        policy: &RoutingPolicy,
        request: &ReadRequest,
        left_us: u64,
    ) -> Option<Wait> {
        let (expected_us, candidate, shortfall) = self.pending?;
        let allowed_us = policy.max_wait_us.saturating_sub(request.waited_us);
        let ready_us = match expected_us {
            Some(expected_us) => expected_us.max(1),
            None if self.primary.is_some() => return None,
            None => policy.assumed_lag_us.min(allowed_us),
        };
        let cost_us = ready_us.saturating_add(candidate.cost_us);
        if allowed_us == 0 || ready_us > allowed_us || cost_us > left_us {
            return None;
        }
        let reason = match shortfall {
            Shortfall::Age => ReadReason::WaitForAge,
            _ => ReadReason::WaitForFloor,
        };
        Some(Wait { target: candidate.target, ready_us, cost_us, reason })
    }

    /// Returns the reason for a read at the primary: the shortfall of the replica that comes closest to
    /// being eligible. One that holds the session's writes and is too old is closer than one that lacks
    /// them.
    pub fn reason_for_primary(&self, members: &[MemberView]) -> ReadReason {
        if members.len() <= 1 {
            ReadReason::PrimaryOnly
        } else if self.replica_lacks_age {
            ReadReason::PrimaryForAge
        } else if self.replica_lacks_floor {
            ReadReason::PrimaryForFloor
        } else if self.replica_leaving {
            ReadReason::PrimaryReplicasLeaving
        } else {
            ReadReason::PrimaryNoReplicaReachable
        }
    }

    pub fn refuse(&self, policy: &RoutingPolicy) -> ReadVerdict {
        let (kind, reason) = if self.any_lacks_age {
            (ErrorKind::TooOld, ReadReason::RefusedTooOld)
        } else if self.any_lacks_floor {
            (ErrorKind::FloorUnreachable, ReadReason::RefusedFloor)
        } else {
            (ErrorKind::TargetUnreachable, ReadReason::RefusedNoMember)
        };
        let table_us = kind.answer().retry_after_ms * 1_000;
        let ready_us = self.pending.and_then(|(ready_us, _, _)| ready_us);
        ReadVerdict::Refuse {
            kind,
            retry_after_us: ready_us.unwrap_or(table_us).max(policy.primary_penalty_us),
            reason,
        }
    }
}
