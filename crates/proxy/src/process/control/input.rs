//! Results of tasks that the control thread started: calls to the platform and to peers.

use skylark_core::process::failover;
use skylark_core::process::membership;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::VmRecord;
use skylark_core::version::spreading::Source;
use skylark_objects::StoreError;
use skylark_objects::WatchResponse;

use crate::process::peer::api;

/// The result of a task that the control thread started.
#[derive(Debug)]
pub enum Input {
    /// A full snapshot was received.
    Snapshot {
        /// The snapshot.
        snapshot: Snapshot,
        /// The kind of sender: the platform, a watcher or another peer.
        source: Source,
    },
    /// A pull from a peer failed.
    PullFailed,
    /// A watch call to the platform ended.
    Watched {
        /// The revision that the watch started from.
        after_revision: u64,
        /// The changes, or the error.
        result: Result<WatchResponse, StoreError>,
    },
    /// A call for the platform's list of VMs ended.
    VmList(Result<Vec<VmRecord>, StoreError>),
    /// A call to read or update a group's lead record ended.
    Lead {
        /// The group's name.
        group: String,
        /// The driver's identifier of the call.
        call: failover::PlatformCall,
        /// The answer.
        answer: failover::PlatformAnswer,
    },
    /// A peer answered an exchange of versions.
    PeerAnswered(api::PeerVersion),
    /// A peer sent the primaries that it knows.
    Leaders(Vec<api::LeaderHint>),
    /// A call to a VM failed.
    PeerFailed {
        /// The VM's name.
        vm: String,
        /// The evidence about the VM that the failure gives.
        evidence: membership::Evidence,
    },
}
