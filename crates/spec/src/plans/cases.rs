//! The bounds within which the plans model is explored.

use super::PlansModel;
use super::Safeguard;
use crate::case;
use crate::case::Case;
use crate::explore;

macro_rules! cases {
    ($($without:expr, again $again:literal;)*) => {
        /// Every case.
        pub const CASES: &[Case] = &[$(Case {
            model: "plans",
            without: match $without {
                Some(safeguard) => Some(Safeguard::name(safeguard)),
                None => None,
            },
            bounds: concat!("2 operators, 2 late updates, confirmations started again: ", $again),
            run: || {
                explore::explore(&PlansModel::new($again, $without), case::STATE_LIMIT)
            },
        },)*];
    };
}

cases! {
    None, again false;
    None, again true;
    Some(Safeguard::BaseVersion), again false;
    Some(Safeguard::ReadBack), again false;
    Some(Safeguard::PlanId), again false;
    Some(Safeguard::Note), again false;
}
