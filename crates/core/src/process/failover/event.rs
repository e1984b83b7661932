//! What goes into the failover driver and what comes out of it.

use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::process::member_set::MemberSet;
use crate::version::objects::LeadRecord;

/// The primary of a term.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct Leader {
    /// The term that the member was promoted in.
    pub term: Term,
    /// The member's place in the member list.
    pub member: usize,
}

/// A call to a member's control endpoint. Each is answered by the member's status.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum MemberCall {
    /// Read the status.
    ReadStatus,
    /// Raise the term in this driver's name: the vote.
    Raise {
        /// The term asked for.
        term: Term,
    },
    /// Become primary of the term that this driver raised.
    Promote {
        /// The term.
        term: Term,
    },
    /// Follow the primary of a term.
    Follow {
        /// The term.
        term: Term,
        /// The primary's place in the member list.
        primary: usize,
    },
}

/// What the platform answered to a call.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum PlatformAnswer {
    /// The conditional update took.
    Updated {
        /// The record's new version.
        version: u64,
    },
    /// The conditional update did not take: the record has another version than expected.
    Conflict,
    /// The record as read.
    Read {
        /// Its version; zero for none.
        version: u64,
        /// The record.
        record: Option<LeadRecord>,
    },
    /// No answer in the embedder's bound. An update may have taken effect.
    NoAnswer,
}

/// A call to the platform, numbered so that a late answer is not taken for that of a later call.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct PlatformCall(pub u64);

/// What a member is to the choice among equals.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug, Default)]
pub struct MemberProfile {
    /// Whether an operator drains the target.
    pub drained: bool,
    /// Whether the target is in the same region as most of the group's traffic.
    pub same_region: bool,
}

/// What happened.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Event {
    /// A member's status came without a call of the driver's: a notice or a probe's answer.
    Report {
        /// The member.
        member: usize,
        /// Its status.
        status: MemberStatus,
    },
    /// A member answered a call.
    MemberAnswer {
        /// The member.
        member: usize,
        /// The call.
        call: MemberCall,
        /// The status after the call's effect, if it had one.
        status: MemberStatus,
    },
    /// A member's answer did not come: the connection failed or the embedder's bound passed. The
    /// call may have taken effect.
    MemberFailed {
        /// The member.
        member: usize,
        /// The call.
        call: MemberCall,
    },
    /// The lead record as the watch of the platform shows it.
    LeadSeen {
        /// Its version; zero for none.
        version: u64,
        /// The record.
        record: Option<LeadRecord>,
    },
    /// The platform answered a call, or the embedder gave up waiting.
    Platform {
        /// The call.
        call: PlatformCall,
        /// The answer.
        answer: PlatformAnswer,
    },
    /// The detector suspects the primary of this term.
    Suspected {
        /// The suspected primary's term.
        term: Term,
    },
    /// The detector trusts the primary again.
    Trusted,
    /// The group's members or their profiles changed. A member set of an older version is ignored.
    Members {
        /// The member set.
        members: MemberSet,
        /// The profiles in the order of the members.
        profiles: Vec<MemberProfile>,
    },
    /// Every process knows the present member set by now, so that its joint phase ends.
    MembersSettled,
    /// This process's place among the group's candidates changed; zero goes first.
    Rank {
        /// The place.
        rank: u32,
    },
    /// The timer that was set last fired.
    Timer,
}

/// A step of a change of primary, for logs and for measuring where the time goes.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Step {
    /// A change begins.
    Started(Cause),
    /// A quorum of members answers, so that the change can succeed.
    QuorumReached,
    /// The platform's record names this driver.
    Claimed,
    /// The platform did not answer; the members' votes alone decide.
    ClaimSkipped,
    /// Writes are held back for a planned move.
    Held,
    /// A quorum of members raised the term.
    Fenced,
    /// The new primary took the promotion.
    Promoted,
    /// A quorum confirmed the new primary's first record.
    Opened,
    /// Another driver was faster, or a member refused.
    Lost,
    /// The change was given up without an effect.
    GivenUp,
}

/// Why a change of primary begins.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Cause {
    /// The primary is taken to be gone.
    Suspected,
    /// No member is known to lead.
    NoLeader,
    /// A member promised itself to a higher term than the primary's and can't confirm any more.
    HigherTerm,
    /// An operator asked for another primary.
    Wanted,
}

/// What the embedder is to do.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum Action {
    /// Call a member. The answer comes back as [`Event::MemberAnswer`] or [`Event::MemberFailed`].
    CallMember {
        /// The member.
        member: usize,
        /// The call, made in the name of [`FailoverDriver::name`](super::FailoverDriver::name).
        call: MemberCall,
    },
    /// Update the lead record if it has the expected version (zero creates it).
    UpdateLead {
        /// The call's number.
        call: PlatformCall,
        /// The version.
        expected_version: u64,
        /// The new record.
        record: LeadRecord,
    },
    /// Read the lead record.
    ReadLead {
        /// The call's number.
        call: PlatformCall,
    },
    /// Hold back new writes of the group at this process.
    HoldWrites,
    /// Stop holding back writes.
    ReleaseWrites,
    /// Publish the primary: a quorum confirmed the record that opens its term.
    Announce {
        /// The primary.
        leader: Leader,
    },
    /// Send [`Event::Timer`] at this time; replaces the timer set before.
    SetTimer {
        /// The time in microseconds.
        at_us: u64,
    },
    /// A step was reached.
    Trace {
        /// The step.
        step: Step,
        /// The term that the change opens; zero before one is chosen.
        term: Term,
    },
}
