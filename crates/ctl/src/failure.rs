//! The failures of commands, their exit codes and their messages.

use std::fmt;
use std::io;
use std::io::Write;

use serde_json::json;
use skylark_core::version::plan::error::PlanError;
use skylark_objects::StoreError;
use skylark_settings::mistake::Mistakes;

use crate::exit::Exit;

/// The reason why a command has no result. Its [`Display`](fmt::Display) is the message for operators.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Failure {
    /// An option that the command needs is missing.
    MissingOption {
        /// The option, as it is written on the command line.
        option: &'static str,
        /// The purpose of the option, as a part of the message.
        purpose: &'static str,
    },
    /// A file can't be read.
    UnreadableFile {
        /// The file's path.
        file: String,
        /// The I/O error.
        reason: String,
    },
    /// A settings file has mistakes.
    Mistakes {
        /// The file's path.
        file: String,
        /// All mistakes of the file.
        mistakes: Mistakes,
    },
    /// The planner returned no plan for the intent.
    NoPlan(PlanError),
    /// There is no plan with this id.
    UnknownPlan {
        /// The id that was given.
        id: String,
    },
    /// The proxy has no group with this name.
    UnknownGroup {
        /// The name that was given.
        group: String,
        /// The proxy's control address.
        proxy: String,
    },
    /// No line of the logs contains this request's id.
    UnknownRequest {
        /// The id that was given.
        id: String,
    },
    /// A conflicting change was made between planning and confirmation.
    Superseded {
        /// The plan's id.
        id: String,
        /// The number of steps that had been applied before the conflict.
        steps_done: usize,
        /// The number of the plan's steps.
        steps: usize,
        /// A description of the conflicting change.
        cause: String,
    },
    /// The platform does not answer, and the command has changed nothing.
    PlatformDown {
        /// The error of the last call.
        reason: String,
    },
    /// The platform refused a call, or its answer can't be used.
    PlatformRefused {
        /// The reason for the refusal, or the defect of the answer.
        reason: String,
    },
    /// A proxy does not answer.
    ProxyDown {
        /// The proxy's control address.
        proxy: String,
        /// The error of the call.
        reason: String,
    },
    /// A proxy refused a call, or its answer can't be parsed.
    BadProxyAnswer {
        /// The proxy's control address.
        proxy: String,
        /// The proxy's error message or the parse error.
        reason: String,
    },
    /// The tool can't determine whether a change took effect.
    OutcomeUnknown {
        /// The plan's id.
        id: String,
        /// The reason.
        cause: String,
    },
    /// Some steps have been applied, and the confirmation ended before the others.
    Unfinished {
        /// The plan's id.
        id: String,
        /// The number of steps that have been applied.
        steps_done: usize,
        /// The number of the plan's steps.
        steps: usize,
        /// The next step if it was still waiting at the time limit; otherwise the error that ended the
        /// confirmation.
        waits_for: String,
    },
}

impl Failure {
    /// Converts the error of a call to the platform. The command must not have changed anything.
    pub fn from_store_error(error: StoreError) -> Failure {
        match error {
            StoreError::NoAnswer(reason) => Failure::PlatformDown { reason },
            error => Failure::PlatformRefused { reason: error.to_string() },
        }
    }

    /// Returns the exit of a command that failed in this way.
    pub fn exit(&self) -> Exit {
        match self {
            Failure::MissingOption { .. } | Failure::UnreadableFile { .. } => Exit::Usage,
            Failure::Mistakes { .. } => Exit::BadValue,
            Failure::NoPlan(error) => exit_for_plan_error(error),
            Failure::UnknownPlan { .. }
            | Failure::UnknownGroup { .. }
            | Failure::UnknownRequest { .. } => Exit::UnknownObject,
            Failure::Superseded { .. } => Exit::Superseded,
            Failure::PlatformDown { .. } => Exit::PlatformDown,
            Failure::PlatformRefused { .. } | Failure::BadProxyAnswer { .. } => Exit::BadAnswer,
            Failure::ProxyDown { .. } => Exit::ProxyDown,
            Failure::OutcomeUnknown { .. } => Exit::OutcomeUnknown,
            Failure::Unfinished { .. } => Exit::Unfinished,
        }
    }

    /// Writes the failure as a text, or as one JSON document if `json` is set.
    pub fn write<W>(&self, json: bool, out: &mut W) -> io::Result<()>
    where
        W: Write,
    {
        if !json {
            return writeln!(out, "skylarkctl: {self}");
        }
        let exit = self.exit();
        let mut error =
            json!({ "error": exit.name(), "exit_code": exit.code(), "message": self.to_string() });
        match self {
            Failure::Mistakes { mistakes, .. } => error["mistakes"] = json!(mistakes),
            Failure::NoPlan(reason) => error["reason"] = json!(reason),
            _ => {}
        }
        writeln!(out, "{error}")
    }
}

fn exit_for_plan_error(error: &PlanError) -> Exit {
    match error {
        PlanError::Unknown { .. } => Exit::UnknownObject,
        PlanError::BadValue { .. } => Exit::BadValue,
        PlanError::NoChange { .. } => Exit::NoChange,
        PlanError::WouldLoseMajority { .. }
        | PlanError::WouldLeaveNoVm
        | PlanError::PrimaryUnknown { .. }
        | PlanError::MoveUnderway { .. }
        | PlanError::NoOtherMember { .. } => Exit::Refused,
        PlanError::BadObject { .. } => Exit::BadAnswer,
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::MissingOption { option, purpose } => {
                write!(f, "{option} is needed: {purpose}")
            }
            Failure::UnreadableFile { file, reason } => write!(f, "{file}: {reason}"),
            Failure::Mistakes { file, mistakes } => {
                write!(f, "{file} has {} mistakes\n{mistakes}", mistakes.0.len())
            }
            Failure::NoPlan(error) => fmt::Display::fmt(error, f),
            Failure::UnknownPlan { id } => write!(f, "there is no plan `{id}`"),
            Failure::UnknownGroup { group, proxy } => {
                write!(f, "there is no group `{group}` at the proxy {proxy}")
            }
            Failure::UnknownRequest { id } => {
                write!(
                    f,
                    "no line names the request `{id}`: it succeeded, was one of those left out, \
                     or never came"
                )
            }
            Failure::Superseded { id, steps_done, steps, cause } => {
                write!(f, "plan {id} is superseded: {cause}; ")?;
                match steps_done {
                    0 => f.write_str("nothing of it was changed"),
                    1 => write!(f, "step 1 of {steps} had taken effect, the rest was not done"),
                    done => write!(
                        f,
                        "steps 1 to {done} of {steps} had taken effect, the rest was not done"
                    ),
                }?;
                f.write_str("; plan again")
            }
            Failure::PlatformDown { reason } => {
                write!(
                    f,
                    "the platform does not answer, and this command changed nothing: {reason}"
                )
            }
            Failure::PlatformRefused { reason } => {
                write!(f, "the platform's answer can't be used: {reason}")
            }
            Failure::ProxyDown { proxy, reason } => {
                write!(f, "the proxy {proxy} does not answer: {reason}")
            }
            Failure::BadProxyAnswer { proxy, reason } => {
                write!(f, "the proxy {proxy} can't answer this: {reason}")
            }
            Failure::OutcomeUnknown { id, cause } => write!(
                f,
                "whether plan {id} took effect can't be known now: {cause}; \
                 confirm the same id again, which is safe"
            ),
            Failure::Unfinished { id, steps_done, steps, waits_for } => write!(
                f,
                "plan {id}: {steps_done} of {steps} steps are in force; waiting for: {waits_for}; \
                 confirm the same id again to go on"
            ),
        }
    }
}
