//! The bounds within which the repetition model is explored.

use super::RepetitionModel;
use super::Safeguard;
use crate::case;
use crate::case::Case;
use crate::explore;

macro_rules! cases {
    ($($without:expr, $tries:literal tries;)*) => {
        /// The explored cases: all safeguards on, then each one off.
        pub const CASES: &[Case] = &[$(Case {
            model: "repetition",
            without: match $without {
                Some(safeguard) => Some(Safeguard::name(safeguard)),
                None => None,
            },
            bounds: concat!("a write or a commit, two hops, ", $tries, " tries at each"),
            run: || {
                let model = RepetitionModel { tries: $tries, without: $without };
                explore::explore(&model, case::STATE_LIMIT)
            },
        },)*];
    };
}

cases! {
    None, 3 tries;
    Some(Safeguard::LostAnswer), 2 tries;
    Some(Safeguard::SentStage), 2 tries;
    Some(Safeguard::HomeClaim), 2 tries;
}
