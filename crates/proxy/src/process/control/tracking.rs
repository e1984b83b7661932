//! The state of a group whose members this process tracks by control connections.

use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::process::detection;
use skylark_core::process::detection::PrimaryDetector;
use skylark_core::process::failover;
use skylark_core::process::failover::FailoverDriver;
use skylark_core::process::member_set::MemberSet;
use skylark_core::process::read_age::ReadAge;

use crate::process::control::floors::FloorLookups;
use crate::process::member::task::MemberHandle;
use crate::process::member::task::MemberKey;

/// A tracked member.
#[derive(Debug)]
pub struct TrackedMember {
    /// The member's key in events.
    pub key: MemberKey,
    /// The target's name.
    pub target: String,
    /// The member's IP address and port.
    pub address: String,
    /// The task of the member's control connection.
    pub handle: MemberHandle,
    /// Whether the member's last report says that it is leaving.
    pub reports_leaving: bool,
    /// Whether the member is drained by an operator, or answered a request that it is leaving.
    pub excluded: bool,
    /// The role and the raised term in the member's last report; `None` before the first.
    pub seen: Option<(Role, Term)>,
}

impl TrackedMember {
    /// Creates a member without reports.
    pub fn new(key: MemberKey, target: &str, address: &str, handle: MemberHandle) -> TrackedMember {
        TrackedMember {
            key,
            target: target.to_owned(),
            address: address.to_owned(),
            handle,
            reports_leaving: false,
            excluded: false,
            seen: None,
        }
    }
}

/// A member's report, as its control connection delivered it.
#[derive(Debug)]
pub struct Report {
    /// The member's index in the group's member list.
    pub member_index: usize,
    /// The status.
    pub status: MemberStatus,
    /// When the command that this answers was sent, in microseconds of this process's clock; `None` for a
    /// notice.
    pub sent_us: Option<u64>,
    /// The call of the failover driver that this answers, if any.
    pub call: Option<failover::MemberCall>,
}

/// The state of decisions about a group whose members this process tracks.
#[derive(Debug)]
pub struct Tracking {
    /// The failover driver, which also derives confirmed positions from the reports.
    pub driver: FailoverDriver,
    /// The members, in the order of the group's member list.
    pub members: Vec<TrackedMember>,
    /// Upper bounds of the age of each member's data.
    pub ages: ReadAge,
    /// Lookups of the floors of sessions without a token.
    pub floors: FloorLookups,
    /// Whether a majority is known to be unable to confirm writes.
    pub stalled: bool,
    /// The actions requested by the driver, executed by the control thread after each event.
    pub actions: Vec<failover::Action>,
    /// The settings of the failure detector.
    pub detection: detection::DetectionSettings,
    /// The failure detector of the current primary according to the reports.
    pub detector: Option<PrimaryDetector>,
    /// The failure detector's last verdict.
    pub verdict: detection::Verdict,
    /// Whether the detector's timer is set.
    pub detector_armed: bool,
}

impl Tracking {
    /// Creates the state before the first report.
    pub fn new(
        driver: FailoverDriver,
        members: Vec<TrackedMember>,
        floors: FloorLookups,
        detection: detection::DetectionSettings,
    ) -> Tracking {
        Tracking {
            ages: ReadAge::with_member_set(driver.members().clone()),
            driver,
            members,
            floors,
            stalled: false,
            actions: Vec::new(),
            detection,
            detector: None,
            verdict: detection::Verdict::Trusted,
            detector_armed: false,
        }
    }

    /// Replaces the members by those of another set. Ages, barriers and the failure detector are reset,
    /// because they refer to members by their old indexes.
    pub fn replace_members(&mut self, members: Vec<TrackedMember>, set: &MemberSet) {
        self.ages = ReadAge::with_member_set(set.clone());
        self.members = members;
        self.floors.change_members(set.clone());
        self.detector = None;
    }

    /// Returns when the failure detector's verdict can next change without new evidence, in microseconds.
    pub fn detector_due_us(&self) -> Option<u64> {
        self.detector.as_ref().map(PrimaryDetector::due_us)
    }
}
