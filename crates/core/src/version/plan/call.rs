//! The calls of a confirmation to the platform, their answers, and the results of a confirmation.

use serde_json::Value;

use crate::version::objects::ObjectKind;
use crate::version::objects::StoredObject;

/// A call to the platform.
#[derive(Clone, PartialEq, Debug)]
pub struct Call {
    /// The object's kind.
    pub kind: ObjectKind,
    /// The object's name.
    pub name: String,
    /// The operation on the object.
    pub verb: Verb,
}

/// The operation of a call.
#[derive(Clone, PartialEq, Debug)]
pub enum Verb {
    /// Reads the object.
    Get,
    /// Creates or replaces the object if it has the expected version.
    Put {
        /// The version that the object must have; zero if it must not exist.
        expected_version: u64,
        /// The new body.
        body: Value,
    },
    /// Deletes the object if it has the expected version.
    Delete {
        /// The version that the object must have.
        expected_version: u64,
    },
}

/// The platform's answer to a call.
#[derive(Clone, PartialEq, Debug)]
pub enum Answer {
    /// The object that was read.
    Found(StoredObject),
    /// The object that was to be read does not exist.
    Missing,
    /// The update was applied.
    Took {
        /// The object's new version.
        version: u64,
    },
    /// The object had another version, so the update was not applied.
    Conflict,
    /// No answer was received. An update may have been applied.
    Lost,
}

/// The next action of a confirmation.
#[derive(Clone, PartialEq, Debug)]
pub enum Next {
    /// Make this call, and pass its answer to the confirmation.
    Call(Call),
    /// Continue after a pause: a call was not answered, or a step waits for a change by others.
    Pause,
    /// The confirmation has ended.
    End(End),
}

/// The result of a confirmation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    /// All steps have been applied.
    Applied {
        /// Whether they had been applied before this run.
        already: bool,
    },
    /// A conflicting change was made in between.
    Superseded {
        /// The number of steps, counted from the first, that had been applied before.
        steps_done: usize,
        /// A description of the conflicting change.
        cause: String,
    },
    /// An object that the plan removes has changed since, and it is unknown whether this plan or another
    /// change removed it before.
    Unknown {
        /// A description of the state of the object.
        cause: String,
    },
    /// There is no plan with this id.
    NoPlan,
    /// The object with this id is not a valid plan record.
    BadRecord {
        /// The error in the record.
        reason: String,
    },
}

/// The progress of a confirmation that is stopped before its end.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Progress {
    /// No object of the configuration was changed.
    Untouched,
    /// An update got no answer, so it may have been applied.
    Unanswered,
    /// Some steps have been applied, and the others are outstanding.
    Unfinished,
}
