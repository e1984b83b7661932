//! The cases that are explored: a model, its bounds, and the safeguard that is switched off.

use std::fmt;

use crate::acknowledgement;
use crate::answers;
use crate::driver;
use crate::explore::Exploration;
use crate::floors;
use crate::lead;
use crate::plans;
use crate::quota;
use crate::repetition;
use crate::spreading;

/// How many states a case may have, which bounds its memory to a few hundred megabytes.
pub const STATE_LIMIT: usize = 2_600_000;

/// One exploration with fixed bounds.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The model's name.
    pub model: &'static str,
    /// The name of the safeguard that is off. Then a counterexample is expected.
    pub without: Option<&'static str>,
    /// The bounds in words.
    pub bounds: &'static str,
    /// Explores.
    pub run: fn() -> Exploration,
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.without {
            Some(safeguard) => write!(f, "{} without {safeguard}: {}", self.model, self.bounds),
            None => write!(f, "{}: {}", self.model, self.bounds),
        }
    }
}

/// Every case of every model.
pub fn all() -> Vec<Case> {
    [
        acknowledgement::cases::CASES,
        driver::cases::CASES,
        floors::cases::CASES,
        lead::cases::CASES,
        plans::cases::CASES,
        spreading::cases::CASES,
        repetition::cases::CASES,
        answers::cases::CASES,
        quota::cases::CASES,
    ]
    .concat()
}
