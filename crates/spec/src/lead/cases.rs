//! The bounds within which the lead model is explored.

use super::LeadModel;
use super::Safeguard;
use crate::case;
use crate::case::Case;
use crate::explore;

macro_rules! cases {
    ($($without:expr, $requests:literal requests, $restarts:literal restarts;)*) => {
        /// The explored cases: all safeguards on, then each one off.
        pub const CASES: &[Case] = &[$(Case {
            model: "lead",
            without: match $without {
                Some(safeguard) => Some(Safeguard::name(safeguard)),
                None => None,
            },
            bounds: concat!("3 members and a fourth, ", $requests, " questions, ", $restarts, " restarts"),
            run: || {
                explore::explore(&LeadModel::new($requests, $restarts, $without), case::STATE_LIMIT)
            },
        },)*];
    };
}

cases! {
    None, 3 requests, 1 restarts;
    Some(Safeguard::FreshReport), 2 requests, 0 restarts;
    Some(Safeguard::RequestTime), 2 requests, 0 restarts;
    Some(Safeguard::KeptLog), 2 requests, 1 restarts;
    Some(Safeguard::CompleteList), 2 requests, 0 restarts;
    Some(Safeguard::Departed), 2 requests, 0 restarts;
}
