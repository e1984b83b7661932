//! How traffic threads reach the control thread.

use std::sync::Arc;

use skylark_core::ids::GroupId;
use skylark_core::ids::TargetId;
use skylark_core::ids::VmId;
use skylark_core::log_position::LogPosition;
use skylark_core::process::membership;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::version::published::Published;

/// What traffic tells or asks the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A write that this process executed at a target is acknowledged.
    WriteAcknowledged {
        /// The group written.
        group: GroupId,
        /// The session's identity, as the caller named it; none for a session without one, whose
        /// write is accounted for, so that it raises no other session's floor.
        session: Option<String>,
        /// The commit's position.
        position: LogPosition,
        /// Answered (or dropped) once the homes that answer for the session know the write: the
        /// caller sees its success only then, so that its next read can't overtake the record.
        recorded: oneshot::Sender<()>,
    },
    /// A session with an identity and without a token reads: what must it see?
    FloorRequested {
        /// The group read.
        group: GroupId,
        /// The session's identity.
        session: String,
        /// Where the answer goes; dropped when the floor can't be found out.
        answer: oneshot::Sender<LogPosition>,
    },
    /// Traffic saw a target fail: evidence for failure detection.
    TargetFailed {
        /// The target.
        target: TargetId,
        /// What was seen.
        evidence: TargetEvidence,
    },
    /// Traffic saw another VM fail or leave, or saw one answer again that had failed.
    VmSeen {
        /// The VM.
        vm: VmId,
        /// What was seen.
        evidence: membership::Evidence,
    },
}

/// What traffic saw of a failing target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TargetEvidence {
    /// The connection was refused, reset, or broke.
    Broken,
    /// The target said that it is not the primary.
    NotPrimary,
    /// The target said that it is leaving.
    Leaving,
}

/// An event with the version that issued the indices in it.
///
/// A new version may number groups and targets differently. An event that crosses one on its way
/// would otherwise name another group, and a floor recorded there would let a session miss its own
/// write; with its own version at hand the control thread translates the indices to names.
#[derive(Debug)]
pub struct VersionedEvent {
    /// The version whose indices the event uses.
    pub version: Arc<Published>,
    /// The event.
    pub event: ControlEvent,
}

/// The traffic threads' end of the channel to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    events: mpsc::UnboundedSender<VersionedEvent>,
}

impl ControlHandle {
    /// A handle, and the control thread's end.
    pub fn new() -> (ControlHandle, mpsc::UnboundedReceiver<VersionedEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        (ControlHandle { events }, receiver)
    }

    /// Sends an event whose indices belong to `version`. A control thread that has ended takes no
    /// more, and its process is stopping.
    pub fn send(&self, version: Arc<Published>, event: ControlEvent) {
        let _ = self.events.send(VersionedEvent { version, event });
    }
}
