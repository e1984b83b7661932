//! The bounds within which the driver model is explored.

use super::DriverModel;
use super::Safeguard;
use super::model::DriverBounds;
use crate::case;
use crate::case::Case;
use crate::explore;

macro_rules! cases {
    ($($without:expr, $runs:literal runs, $terms:literal terms, $writes:literal writes;)*) => {
        /// The explored cases: all safeguards on, then each one off.
        pub const CASES: &[Case] = &[$(Case {
            model: "driver",
            without: match $without {
                Some(safeguard) => Some(Safeguard::name(safeguard)),
                None => None,
            },
            bounds: concat!("3 members, ", $runs, " runs of drivers, ", $terms, " terms, ", $writes, " writes"),
            run: || {
                let bounds = DriverBounds {
                    runs: $runs,
                    terms: $terms,
                    writes: $writes,
                };
                explore::explore(&DriverModel::new(bounds, $without), case::STATE_LIMIT)
            },
        },)*];
    };
}

cases! {
    None, 1 runs, 2 terms, 2 writes;
    None, 2 runs, 2 terms, 0 writes;
    Some(Safeguard::NewName), 2 runs, 2 terms, 0 writes;
}
