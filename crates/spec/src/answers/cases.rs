//! The bounds within which the answers model is explored.

use super::AnswersModel;
use super::Safeguard;
use crate::case;
use crate::case::Case;
use crate::explore;

macro_rules! cases {
    ($($without:expr, $callers:literal callers;)*) => {
        /// The explored cases: all safeguards on, then each one off.
        pub const CASES: &[Case] = &[$(Case {
            model: "answers",
            without: match $without {
                Some(safeguard) => Some(Safeguard::name(safeguard)),
                None => None,
            },
            bounds: concat!($callers, " callers, 2 connections"),
            run: || {
                let model = AnswersModel { callers: $callers, without: $without };
                explore::explore(&model, case::STATE_LIMIT)
            },
        },)*];
    };
}

cases! {
    None, 4 callers;
    Some(Safeguard::Drain), 2 callers;
    Some(Safeguard::CloseAfterCancel), 2 callers;
}
