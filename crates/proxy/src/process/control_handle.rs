//! How traffic threads reach the control thread.

use skylark_core::ids::GroupId;
use skylark_core::ids::TargetId;
use skylark_core::log_position::LogPosition;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

/// What traffic tells or asks the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A write of a session with an identity was acknowledged here.
    WriteAcknowledged {
        /// The group written.
        group: GroupId,
        /// The session's identity, as the caller named it.
        session: String,
        /// The commit's position.
        position: LogPosition,
    },
    /// A session with an identity and without a token reads: what must it see?
    FloorWanted {
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

/// The traffic threads' end of the channel to the control thread.
#[derive(Clone, Debug)]
pub struct ControlHandle {
    events: mpsc::UnboundedSender<ControlEvent>,
}

impl ControlHandle {
    /// A handle, and the control thread's end.
    pub fn new() -> (ControlHandle, mpsc::UnboundedReceiver<ControlEvent>) {
        let (events, receiver) = mpsc::unbounded_channel();
        (ControlHandle { events }, receiver)
    }

    /// Sends an event. A control thread that has ended takes no more, and its process is stopping.
    pub fn send(&self, event: ControlEvent) {
        let _ = self.events.send(event);
    }
}
