//! The inputs and outputs of the failover driver.

use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::process::member_set::MemberSet;
use crate::version::objects::LeadRecord;

/// The primary of a term.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Leader {
    /// The term in which the member was promoted.
    pub term: Term,
    /// The index of the member in the member list.
    pub member: usize,
}

/// A call to a member's control endpoint. The answer to each is the member's status.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum MemberCall {
    /// Read the status.
    ReadStatus,
    /// Raise the term in the name of this driver; this is the member's vote.
    Raise {
        /// The term to raise to.
        term: Term,
    },
    /// Become primary of the term that this driver raised.
    Promote {
        /// The raised term.
        term: Term,
    },
    /// Follow the primary of a term.
    Follow {
        /// The term of the primary.
        term: Term,
        /// The index of the primary in the member list.
        primary: usize,
    },
}

/// The platform's answer to a call.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum PlatformAnswer {
    /// The conditional update succeeded.
    Updated {
        /// The new version of the record.
        version: u64,
    },
    /// The conditional update failed: the record has another version than expected.
    Conflict,
    /// The record was read.
    Read {
        /// The version of the record; zero if there is none.
        version: u64,
        /// The record; `None` if there is none.
        record: Option<LeadRecord>,
    },
    /// No answer arrived within the embedder's time limit. An update may have taken effect.
    NoAnswer,
}

/// The number of a call to the platform, which distinguishes a late answer from the answer to a later
/// call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct PlatformCall(pub u64);

/// The properties of a member that decide between members with equal logs.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct MemberProfile {
    /// Whether an operator drains the target.
    pub drained: bool,
    /// Whether the target is in the same region as most of the group's traffic.
    pub same_region: bool,
}

/// An input of the driver.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Event {
    /// A member's status arrived without a call of the driver: a notice or the answer to a probe.
    Report {
        /// The index of the member.
        member: usize,
        /// The status of the member.
        status: MemberStatus,
    },
    /// A member answered a call.
    MemberAnswer {
        /// The index of the member.
        member: usize,
        /// The call that was answered.
        call: MemberCall,
        /// The status after the call took effect, if it did.
        status: MemberStatus,
    },
    /// A call was not answered: the connection failed or the embedder's time limit passed. The call
    /// may have taken effect.
    MemberFailed {
        /// The index of the member.
        member: usize,
        /// The call that was not answered.
        call: MemberCall,
    },
    /// The watch of the platform delivered the lead record.
    LeadSeen {
        /// The version of the record; zero if there is none.
        version: u64,
        /// The record; `None` if there is none.
        record: Option<LeadRecord>,
    },
    /// The platform answered a call, or the embedder's time limit passed.
    Platform {
        /// The number of the call.
        call: PlatformCall,
        /// The answer, or [`PlatformAnswer::NoAnswer`].
        answer: PlatformAnswer,
    },
    /// The detector suspects the primary of this term.
    Suspected {
        /// The term of the suspected primary.
        term: Term,
    },
    /// The detector trusts the primary again.
    Trusted,
    /// The members of the group or their profiles changed. A member set of an older version is
    /// ignored.
    Members {
        /// The present member set.
        members: MemberSet,
        /// The profiles in the order of the members; missing ones are default.
        profiles: Vec<MemberProfile>,
    },
    /// Every process knows the present member set, so its joint phase ends.
    MembersSettled,
    /// The rank of this process among the group's candidates changed.
    Rank {
        /// The rank; candidates with a lower rank start earlier, beginning with zero.
        rank: u32,
    },
    /// The timer that was last set has expired.
    Timer,
}

/// A step of a change of primary, for logs and latency measurements.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Step {
    /// A change started.
    Started(Cause),
    /// A quorum of members answered, so the change can succeed.
    QuorumReached,
    /// The platform's record names this driver.
    Claimed,
    /// The platform did not answer; the votes of the members alone decide.
    ClaimSkipped,
    /// Writes are held back for a planned move.
    Held,
    /// A quorum of members raised the term.
    Fenced,
    /// The new primary accepted the promotion.
    Promoted,
    /// A quorum confirmed the first record of the new primary.
    Opened,
    /// Another driver was faster, or a member refused.
    Lost,
    /// The change was abandoned without an effect.
    GivenUp,
}

/// The cause of a change of primary.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Cause {
    /// The primary is suspected to have failed.
    Suspected,
    /// No member is known to lead.
    NoLeader,
    /// A member promised itself to a higher term than the primary's and can't confirm its records.
    HigherTerm,
    /// An operator requested another primary.
    Wanted,
}

/// An output of the driver, which the embedder carries out.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Action {
    /// Call a member. The result is passed back as [`Event::MemberAnswer`] or
    /// [`Event::MemberFailed`].
    CallMember {
        /// The index of the member.
        member: usize,
        /// The call, made in the name of [`FailoverDriver::name`](super::FailoverDriver::name).
        call: MemberCall,
    },
    /// Update the lead record if it has the expected version. Zero creates the record.
    UpdateLead {
        /// The number of the call.
        call: PlatformCall,
        /// The expected version.
        expected_version: u64,
        /// The new record.
        record: LeadRecord,
    },
    /// Read the lead record.
    ReadLead {
        /// The number of the call.
        call: PlatformCall,
    },
    /// Hold back new writes to the group at this process.
    HoldWrites,
    /// Stop holding back writes.
    ReleaseWrites,
    /// Publish the primary: a quorum confirmed the record that opens its term.
    Announce {
        /// The primary and its term.
        leader: Leader,
    },
    /// Send [`Event::Timer`] at this time. Replaces the timer that was set before.
    SetTimer {
        /// The time in microseconds.
        at_us: u64,
    },
    /// Report that a step was reached.
    Trace {
        /// The step that was reached.
        step: Step,
        /// The term that the change opens; zero before one is chosen.
        term: Term,
    },
}
