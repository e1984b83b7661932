//! What is kept of a group whose members this process tracks.

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

/// A member under track.
#[derive(Debug)]
pub struct TrackedMember {
    /// The member's key in events.
    pub key: MemberKey,
    /// The target's name.
    pub target: String,
    /// Its IP address and port.
    pub address: String,
    /// Its control connection.
    pub handle: MemberHandle,
    /// Whether its last report says that it is leaving.
    pub reports_leaving: bool,
    /// Whether an operator drains it, or traffic was told by it that it is leaving.
    pub excluded: bool,
    /// The role and the term of its last report.
    pub seen: Option<(Role, Term)>,
}

impl TrackedMember {
    /// A member of which nothing was heard yet.
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
    /// The member's place in the group.
    pub member_index: usize,
    /// The status.
    pub status: MemberStatus,
    /// When the command was sent whose answer this is.
    pub sent_us: Option<u64>,
    /// The failover driver's call that this answers.
    pub call: Option<failover::MemberCall>,
}

/// The decisions about a group whose members this process tracks.
#[derive(Debug)]
pub struct Tracking {
    /// Changes of primary, and what the reports prove.
    pub driver: FailoverDriver,
    /// The members, in the order of the group's member list.
    pub members: Vec<TrackedMember>,
    /// How old each member's data can be.
    pub ages: ReadAge,
    /// The floors of sessions without a token.
    pub floors: FloorLookups,
    /// Whether a majority is known to be unable to confirm writes.
    pub stalled: bool,
    /// What the driver wants done; taken by the control thread after each event.
    pub actions: Vec<failover::Action>,
    /// The bounds of the failure detector.
    pub detection: detection::DetectionSettings,
    /// The failure detector of the primary that the reports show.
    pub detector: Option<PrimaryDetector>,
    /// Its last verdict.
    pub verdict: detection::Verdict,
    /// Whether the detector's timer is set.
    pub detector_armed: bool,
}

impl Tracking {
    /// Tracking that has no reports yet.
    pub fn new(
        driver: FailoverDriver,
        members: Vec<TrackedMember>,
        floors: FloorLookups,
        detection: detection::DetectionSettings,
    ) -> Tracking {
        Tracking {
            ages: ReadAge::for_set(driver.members().clone()),
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

    /// Replaces the members by those of another set. What was known of ages and barriers belongs to
    /// the old places.
    pub fn replace_members(&mut self, members: Vec<TrackedMember>, set: &MemberSet) {
        self.ages = ReadAge::for_set(set.clone());
        self.members = members;
        self.floors.change_members(set.clone());
        self.detector = None;
    }

    /// When the failure detector's verdict can change without new evidence.
    pub fn detector_due_us(&self) -> Option<u64> {
        self.detector.as_ref().map(PrimaryDetector::due_us)
    }
}
