//! What the control thread publishes to the traffic threads.
//!
//! [`Published`] is replaced as a whole at each new version. [`GroupLive`] is shared by successive
//! versions and changes many times a second; the control thread alone writes it.

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

/// The slot through which traffic threads see the newest version.
pub type PublishedSlot = Arc<ArcSwap<Published>>;

/// One version, as the traffic threads see it.
#[derive(Debug, Default)]
pub struct Published {
    /// The configuration, shared by the versions that differ in the groups' state alone.
    pub topology: Arc<Topology>,
    /// This process's VM in `topology`, once the platform lists it.
    pub own_vm: Option<VmId>,
    /// The state of each group, indexed by `GroupId`.
    pub groups: Vec<GroupView>,
    /// The homes of each target in order of rank, indexed by `TargetId`.
    pub homes: Vec<Vec<VmId>>,
    /// Whether there is a configuration, so that callers can be served.
    pub ready: bool,
    /// Whether this process is stopping and takes no new callers.
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

/// Who leads a group, as far as this process knows.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Leader {
    /// The term that the leader was promoted in.
    pub term: Term,
    /// The leader.
    pub target: TargetId,
}

/// One group in one version.
#[derive(Clone, Debug)]
pub struct GroupView {
    /// The primary, if one is known.
    pub leader: Option<Leader>,
    /// Whether an ordered change of primary holds back new writes.
    pub moving: bool,
    /// Whether a majority is known to be unable to confirm writes now.
    pub stalled: bool,
    /// Whether this process tracks the group's members, because it is home to one of them. Where
    /// it does not, `live` holds nothing and requests are forwarded to a process that does.
    pub tracked: bool,
    /// The state that changes faster than versions do.
    pub live: Arc<GroupLive>,
}

/// The fast-changing state of one group.
#[derive(Debug)]
pub struct GroupLive {
    /// The highest position that a majority has confirmed in the position's own term. Waiters
    /// compare terms: a position of an older term is never confirmed by one of a newer term.
    pub confirmed: watch::Sender<LogPosition>,
    /// The members in the order of the group's member list.
    pub members: Vec<MemberLive>,
}

/// The fast-changing state of one member.
#[derive(Debug, Default)]
pub struct MemberLive {
    /// The last record that reads at this member see, as last reported.
    pub applied: Mutex<LogPosition>,
    /// A time of this process's monotonic clock, in microseconds: reads at this member see all
    /// that the primary had acknowledged by then. Zero when nothing is shown.
    pub fresh_as_of_us: AtomicU64,
    /// How old the member's data usually is when it reports, in microseconds; zero when unknown.
    pub lag_us: AtomicU64,
    /// How long the member usually takes to apply what the primary has, in microseconds; zero when
    /// unknown.
    pub catch_up_us: AtomicU64,
    /// Whether the member answers now.
    pub reachable: AtomicBool,
    /// Whether the member is leaving or drained and gets no new work.
    pub leaving: AtomicBool,
}
