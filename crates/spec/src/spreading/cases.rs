//! The bounds within which the spreading model is explored.

use super::Safeguard;
use super::SpreadingModel;
use crate::case;
use crate::case::Case;
use crate::explore;

macro_rules! cases {
    ($($without:expr, $revisions:literal revisions;)*) => {
        /// The explored cases: all safeguards on, then each one off.
        pub const CASES: &[Case] = &[$(Case {
            model: "spreading",
            without: match $without {
                Some(safeguard) => Some(Safeguard::name(safeguard)),
                None => None,
            },
            bounds: concat!("3 processes, 2 objects, ", $revisions, " revisions"),
            run: || {
                let model = SpreadingModel { revisions: $revisions, without: $without };
                explore::explore(&model, case::STATE_LIMIT)
            },
        },)*];
    };
}

cases! {
    None, 4 revisions;
    Some(Safeguard::HighestWins), 2 revisions;
    Some(Safeguard::ContiguousChanges), 3 revisions;
    Some(Safeguard::SeveralPeers), 2 revisions;
}
