//! Why a command has no result.

use std::fmt;
use std::io;
use std::io::Write;

use serde_json::json;
use skylark_core::version::plan::error::PlanError;
use skylark_objects::StoreError;
use skylark_settings::mistake::Mistakes;

use crate::exit::Exit;

/// Why a command has no result.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Failure {
    /// An option that the command needs is missing.
    MissingOption {
        /// The option.
        option: &'static str,
        /// What it is for.
        purpose: &'static str,
    },
    /// A file can't be read.
    UnreadableFile {
        /// The file.
        file: String,
        /// Why.
        reason: String,
    },
    /// A settings file has mistakes.
    Mistakes {
        /// The file.
        file: String,
        /// The mistakes.
        mistakes: Mistakes,
    },
    /// The intent gives no plan.
    NoPlan(PlanError),
    /// There is no plan with this id.
    UnknownPlan {
        /// The id.
        id: String,
    },
    /// There is no group with this name.
    UnknownGroup {
        /// The group.
        group: String,
        /// The proxy that was asked.
        proxy: String,
    },
    /// No line of the logs names this request.
    UnknownRequest {
        /// The id.
        id: String,
    },
    /// Another change came between plan and confirmation.
    Superseded {
        /// The plan.
        id: String,
        /// How many of its steps are in force.
        steps_done: usize,
        /// How many it has.
        steps: usize,
        /// What came between.
        cause: String,
    },
    /// The platform does not answer, and nothing has changed.
    PlatformDown {
        /// What happened to the last call.
        reason: String,
    },
    /// The platform refused a call or gave an answer that can't be read.
    PlatformRefused {
        /// What it said.
        reason: String,
    },
    /// A proxy does not answer.
    ProxyDown {
        /// Its control address.
        proxy: String,
        /// What happened to the call.
        reason: String,
    },
    /// A proxy gave an answer that can't be used.
    BadProxyAnswer {
        /// Its control address.
        proxy: String,
        /// What it said.
        reason: String,
    },
    /// Whether a change took effect can't be known.
    OutcomeUnknown {
        /// The plan.
        id: String,
        /// Why.
        cause: String,
    },
    /// Some steps are in force and the others wait.
    Unfinished {
        /// The plan.
        id: String,
        /// How many of its steps are in force.
        steps_done: usize,
        /// How many it has.
        steps: usize,
        /// What the next one waits for.
        waits_for: String,
    },
}

impl Failure {
    /// A call to the platform that was not answered as it should; nothing has changed.
    pub fn from_store_error(error: StoreError) -> Failure {
        match error {
            StoreError::NoAnswer(reason) => Failure::PlatformDown { reason },
            error => Failure::PlatformRefused { reason: error.to_string() },
        }
    }

    /// The exit code that goes with it.
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

    /// Writes it for people, or as one JSON document.
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
