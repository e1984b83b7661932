//! The exit codes of the program.

macro_rules! exits {
    ($($(#[doc = $doc:literal])+ $exit:ident = $code:literal, $name:literal;)+) => {
        /// The result of the program, which determines its exit code.
        #[derive(Clone, Copy, PartialEq, Eq, Debug)]
        pub enum Exit {
            $($(#[doc = $doc])+ $exit,)+
        }

        impl Exit {
            /// All exits, in the order of their codes.
            pub const ALL: &'static [Exit] = &[$(Exit::$exit,)+];

            /// Returns the exit code.
            pub fn code(self) -> u8 {
                match self {
                    $(Exit::$exit => $code,)+
                }
            }

            /// Returns the name that JSON output uses.
            pub fn name(self) -> &'static str {
                match self {
                    $(Exit::$exit => $name,)+
                }
            }

            /// Returns the description, which is the variant's doc comment. The operators' documentation
            /// has to contain it unchanged.
            pub fn meaning(self) -> String {
                let lines: &[&str] = match self {
                    $(Exit::$exit => &[$($doc),+],)+
                };
                let lines: Vec<&str> = lines.iter().map(|line| line.trim()).collect();
                lines.join(" ")
            }
        }
    };
}

exits! {
    /// Done.
    Success = 0, "success";
    /// The result could not be written, or the program could not start.
    Output = 1, "output";
    /// The command line is wrong, or a file named on it can't be read.
    Usage = 2, "usage";
    /// Nothing has the name or id that was given.
    UnknownObject = 3, "unknown_object";
    /// A value is not accepted, or a settings file has mistakes.
    BadValue = 4, "bad_value";
    /// The state is already as intended; there is nothing to plan.
    NoChange = 5, "no_change";
    /// The intent is refused: it would take away what the group or the callers need, or the
    /// state does not allow it now.
    Refused = 6, "refused";
    /// Another change came between plan and confirmation. The message says which steps, if any,
    /// had taken effect; the others will not.
    Superseded = 7, "superseded";
    /// The platform does not answer. This command has changed nothing.
    PlatformDown = 8, "platform_down";
    /// A proxy does not answer.
    ProxyDown = 9, "proxy_down";
    /// A change was sent and its answer was lost, or the object was replaced since: it can't be
    /// known now whether the change took effect. Confirming the same id again finds out where
    /// that can be found out, and is safe.
    OutcomeUnknown = 10, "outcome_unknown";
    /// Some steps are in force and the others wait. Confirming the same id again goes on.
    Unfinished = 11, "unfinished";
    /// The platform or a proxy gave an answer that makes no sense, or refused the call.
    BadAnswer = 12, "bad_answer";
}
