//! The channel from the traffic threads to the control thread.

use std::sync::Arc;

use skylark_core::ids::GroupId;
use skylark_core::ids::TargetId;
use skylark_core::ids::VmId;
use skylark_core::log_position::LogPosition;
use skylark_core::process::membership;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::version::published::Published;

/// An event or a query that a traffic thread sends to the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A target acknowledged a write that this process executed there.
    WriteAcknowledged {
        /// The group that was written to.
        group: GroupId,
        /// The session's identity, as the caller named it; `None` for a session without one. Such a write is
        /// recorded too: an unrecorded position would raise the read floors of other sessions.
        session: Option<String>,
        /// The log position of the commit.
        position: LogPosition,
        /// Completed or dropped once the control thread has recorded the write. The caller gets its answer
        /// only then, so that the session's next read can't overtake the record.
        recorded: oneshot::Sender<()>,
    },
    /// A session with an identity but without a token reads, and needs its read floor.
    FloorRequested {
        /// The group to read from.
        group: GroupId,
        /// The session's identity.
        session: String,
        /// Receives the position that the read must see; dropped if the floor can't be determined.
        answer: oneshot::Sender<LogPosition>,
    },
    /// A request to a target failed, which is evidence for failure detection.
    TargetFailed {
        /// The target.
        target: TargetId,
        /// How the request failed.
        evidence: TargetEvidence,
    },
    /// A request to another VM failed or showed that it is leaving, or a VM that had failed answered again.
    VmSeen {
        /// The VM.
        vm: VmId,
        /// What the request showed.
        evidence: membership::Evidence,
    },
}

/// How a request to a target failed.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TargetEvidence {
    /// The connection was refused, reset or lost.
    Broken,
    /// The target answered that it is not the primary.
    NotPrimary,
    /// The target answered that it is leaving.
    Leaving,
}

/// An event together with the version that its ids refer to.
///
/// A new version may number groups and targets differently. If an event were interpreted in a newer
/// version, it could refer to another group, and a write recorded there would let its session miss it
/// in a later read. The control thread therefore translates ids to names by the event's own version.
#[derive(Debug)]
pub struct VersionedEvent {
    /// The version whose ids the event uses.
    pub version: Arc<Published>,
    /// The event.
    pub event: ControlEvent,
}

/// The sending end of the channel to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    events: mpsc::UnboundedSender<VersionedEvent>,
}

impl ControlHandle {
    /// Returns a handle and the receiver for the control thread.
    pub fn new() -> (ControlHandle, mpsc::UnboundedReceiver<VersionedEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        (ControlHandle { events }, receiver)
    }

    /// Sends an event whose ids belong to `version`. The event is dropped if the control thread has
    /// ended, which happens only while the process stops.
    pub fn send(&self, version: Arc<Published>, event: ControlEvent) {
        let _ = self.events.send(VersionedEvent { version, event });
    }
}
