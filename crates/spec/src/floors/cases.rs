//! The cases of the floors model: its bounds and the safeguard that is off in each.

use super::FloorsBounds;
use super::FloorsModel;
use super::Safeguard;
use crate::case;
use crate::case::Case;
use crate::explore;

macro_rules! cases {
    ($($without:expr, $writes:literal writes (own $own:literal), $changes:literal changes, reports $reports:literal;)*) => {
        /// All cases of the model.
        pub const CASES: &[Case] = &[$(Case {
            model: "floors",
            without: match $without {
                Some(safeguard) => Some(Safeguard::name(safeguard)),
                None => None,
            },
            bounds: concat!("3 members, ", $writes, " writes (the session's: ", stringify!($own), "), ", $changes, " changes of primary, reports outside barriers: ", $reports),
            run: || {
                let bounds = FloorsBounds {
                    writes: $writes,
                    own: $own,
                    changes: $changes,
                    reports: $reports,
                };
                let model = FloorsModel::new(bounds, $without);
                explore::explore(&model, case::STATE_LIMIT)
            },
        },)*];
    };
}

cases! {
    None, 2 writes (own 0b11), 0 changes, reports true;
    None, 1 writes (own 0b1), 1 changes, reports true;
    None, 2 writes (own 0b11), 1 changes, reports false;
    Some(Safeguard::Barrier), 1 writes (own 0b1), 1 changes, reports true;
    Some(Safeguard::BarrierMajority), 1 writes (own 0b1), 1 changes, reports true;
    Some(Safeguard::Beginning), 1 writes (own 0b1), 1 changes, reports true;
    Some(Safeguard::PrimaryFloor), 1 writes (own 0b1), 1 changes, reports true;
    Some(Safeguard::Floor), 1 writes (own 0b1), 1 changes, reports true;
}
