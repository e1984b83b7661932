//! The bounds within which the quota model is explored.

use super::QuotaModel;
use super::Safeguard;
use crate::case;
use crate::case::Case;
use crate::explore;

macro_rules! cases {
    ($($without:expr;)*) => {
        /// The explored cases: all safeguards on, then each one off.
        pub const CASES: &[Case] = &[$(Case {
            model: "quota",
            without: match $without {
                Some(safeguard) => Some(Safeguard::name(safeguard)),
                None => None,
            },
            bounds: "2 allocators and one that takes a place, 9 s, windows of 2 s, 4 faults",
            run: || explore::explore(&QuotaModel { without: $without }, case::STATE_LIMIT),
        },)*];
    };
}

cases! {
    None;
    Some(Safeguard::Divide);
    Some(Safeguard::StartPart);
    Some(Safeguard::TakeOverPause);
    Some(Safeguard::NoSavedGrants);
}
