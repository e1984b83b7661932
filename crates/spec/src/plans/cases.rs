//! The cases of the plans model: its bounds and the safeguard that is off in each.

use super::PlansModel;
use super::Safeguard;
use crate::case;
use crate::case::Case;
use crate::explore;

macro_rules! cases {
    ($($without:expr, allow_restart $allow_restart:literal;)*) => {
        /// All cases of the model.
        pub const CASES: &[Case] = &[$(Case {
            model: "plans",
            without: match $without {
                Some(safeguard) => Some(Safeguard::name(safeguard)),
                None => None,
            },
            bounds: concat!("2 operators, 2 late updates, confirmations started again: ", $allow_restart),
            run: || {
                explore::explore(&PlansModel::new($allow_restart, $without), case::STATE_LIMIT)
            },
        },)*];
    };
}

cases! {
    None, allow_restart false;
    None, allow_restart true;
    Some(Safeguard::BaseVersion), allow_restart false;
    Some(Safeguard::ReadBack), allow_restart false;
    Some(Safeguard::PlanId), allow_restart false;
    Some(Safeguard::Note), allow_restart false;
}
