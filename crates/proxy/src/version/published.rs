//! The state that the control thread publishes to the traffic threads.
//!
//! Each [`Published`] version is immutable and replaced as a whole. [`GroupLive`] is shared by
//! successive versions and changes many times a second; only the control thread writes to it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;

use arc_swap::ArcSwap;
use parking_lot::Mutex;
use skylark_core::ids::GroupId;
use skylark_core::ids::TargetId;
use skylark_core::ids::VmId;
use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::version::topology::Topology;
use tokio::sync::watch;

/// The slot from which traffic threads load the newest version.
pub type PublishedSlot = Arc<ArcSwap<Published>>;

/// An immutable version of the control state.
#[derive(Debug, Default)]
pub struct Published {
    /// The configuration; versions that differ only in the state of groups share it.
    pub topology: Arc<Topology>,
    /// This process's VM in `topology`; `None` until the platform lists it.
    pub own_vm: Option<VmId>,
    /// The state of each group, indexed by `GroupId`.
    pub groups: Vec<GroupView>,
    /// The homes of each target (the VMs that track its group and send requests to it) in order
    /// of rank, indexed by `TargetId`.
    pub homes: Vec<Vec<VmId>>,
    /// Whether a configuration is in force, without which no caller can be served.
    pub ready: bool,
    /// Whether this process is stopping and accepts no new callers.
    pub stopping: bool,
}

impl Published {
    /// The state of one group.
    pub fn group(&self, group: GroupId) -> &GroupView {
        &self.groups[group.index()]
    }

    /// The homes of one target in order of rank.
    pub fn homes_of(&self, target: TargetId) -> &[VmId] {
        &self.homes[target.index()]
    }

    /// Whether this process is home to the target.
    pub fn is_home(&self, target: TargetId) -> bool {
        self.own_vm.is_some_and(|own_vm| self.homes_of(target).contains(&own_vm))
    }
}

/// The primary of a group, as far as this process knows.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Leader {
    /// The term in which the primary was promoted.
    pub term: Term,
    /// The target that is the primary.
    pub target: TargetId,
}

/// The state of one group in one version.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// The primary, if one is known.
    pub leader: Option<Leader>,
    /// Whether new writes are held back for a change of primary requested by an operator.
    pub moving: bool,
    /// Whether a majority of the members is known to be unable to confirm writes now.
    pub stalled: bool,
    /// Whether this process tracks the group's members because it is home to one of them. If it
    /// does not, `live` holds only defaults and requests are forwarded to a process that does.
    pub tracked: bool,
    /// The state that is updated in place between versions.
    pub live: Arc<GroupLive>,
}

/// The state of one group that is updated in place between versions.
#[derive(Debug)]
pub struct GroupLive {
    /// The highest position that a majority has confirmed in the position's own term. Waiters must
    /// compare terms: a confirmed position of a newer term does not confirm one of an older term.
    pub confirmed: watch::Sender<LogPosition>,
    /// The state of each member, in the order of the group's member list.
    pub members: Vec<MemberLive>,
}

/// The state of one member that is updated in place between versions.
#[derive(Debug, Default)]
pub struct MemberLive {
    /// The position up to which the member has applied the log, as last reported: reads there see it.
    pub applied: Mutex<LogPosition>,
    /// A time of this process's monotonic clock, in microseconds: reads at this member see all
    /// writes that the primary had acknowledged by then. Zero when no such time is proved.
    pub fresh_as_of_us: AtomicU64,
    /// The usual age of the member's data when it reports, in microseconds; zero when unknown.
    pub lag_us: AtomicU64,
    /// How long the member usually takes to apply the records that the primary already has, in
    /// microseconds; zero when unknown.
    pub catch_up_us: AtomicU64,
    /// Whether the control connection to the member works.
    pub reachable: AtomicBool,
    /// Whether the member is leaving or drained, and gets no new requests.
    pub leaving: AtomicBool,
}
