//! What reaches the control thread besides members' reports and traffic's events.

use skylark_core::process::failover;
use skylark_core::process::membership;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::VmRecord;
use skylark_core::version::spreading::Source;
use skylark_objects::StoreError;
use skylark_objects::WatchResponse;

use crate::process::peer::api;

/// The result of work that the control thread started and did not wait for.
#[derive(Debug)]
pub enum Input {
    /// A whole snapshot came.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// From where.
        source: Source,
    },
    /// A pull from a peer failed.
    PullFailed,
    /// A watch of the platform ended.
    Watched {
        /// The revision that it started from.
        after_revision: u64,
        /// The changes, or why there is no answer.
        result: Result<WatchResponse, StoreError>,
    },
    /// The platform answered with its list of VMs, or did not.
    VmList(Result<Vec<VmRecord>, StoreError>),
    /// A call about a group's lead record ended.
    Lead {
        /// The group's name.
        group: String,
        /// The call's number.
        call: failover::PlatformCall,
        /// The answer.
        answer: failover::PlatformAnswer,
    },
    /// A peer answered an exchange of versions.
    PeerAnswered(api::PeerVersion),
    /// A peer told the primaries that it knows.
    Leaders(Vec<api::LeaderHint>),
    /// A call to a VM failed.
    PeerFailed {
        /// The VM's name.
        vm: String,
        /// What the failure says about it.
        evidence: membership::Evidence,
    },
}
