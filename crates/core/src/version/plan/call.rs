//! The calls that a confirmation makes to the platform, and how it ends.

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
    /// What to do with it.
    pub verb: Verb,
}

/// What a call does.
#[derive(Clone, PartialEq, Debug)]
pub enum Verb {
    /// Reads the object.
    Get,
    /// Changes the object if it has this version.
    Put {
        /// The version that it must have; zero where it must not exist.
        expected_version: u64,
        /// The new body.
        body: Value,
    },
    /// Removes the object if it has this version.
    Delete {
        /// The version that it must have.
        expected_version: u64,
    },
}

/// The platform's answer to a call.
#[derive(Clone, PartialEq, Debug)]
pub enum Answer {
    /// The object, to a read.
    Found(StoredObject),
    /// There is no such object, to a read.
    Missing,
    /// The update took.
    Took {
        /// The object's new version.
        version: u64,
    },
    /// The object had another version, and the update did not take.
    Conflict,
    /// No answer. An update may have taken effect.
    Lost,
}

/// What to do next.
#[derive(Clone, PartialEq, Debug)]
pub enum Next {
    /// Make this call and pass its answer on.
    Call(Call),
    /// Ask again after a pause: a call was not answered, or a step waits for others.
    Pause,
    /// The end.
    End(End),
}

/// How a confirmation ended.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum End {
    /// Every step has taken effect.
    Applied {
        /// Whether that was so before.
        already: bool,
    },
    /// Another change came between.
    Superseded {
        /// How many steps had taken effect before, counted from the first.
        steps_done: usize,
        /// What came between, in words.
        cause: String,
    },
    /// The object is changed, and whether the plan or another change removed it before can't be
    /// known.
    Unknown {
        /// What is not known, in words.
        cause: String,
    },
    /// There is no plan with this id.
    NoPlan,
    /// What is stored under the id is no plan record.
    BadRecord {
        /// What is wrong.
        reason: String,
    },
}

/// Where a confirmation stood when its caller stopped it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Progress {
    /// No object of the configuration was touched.
    Untouched,
    /// An update got no answer: it may have taken effect.
    Unanswered,
    /// Some steps have taken effect, and the rest waits.
    Unfinished,
}
