//! The bounds within which the acknowledgement model is explored.

use super::AcknowledgementModel;
use super::Bounds;
use super::Safeguard;
use crate::case;
use crate::case::Case;
use crate::explore;

macro_rules! cases {
    ($($without:expr, $members:literal members, $attempts:literal attempts, $terms:literal terms, $writes:literal writes;)*) => {
        /// Every case.
        pub const CASES: &[Case] = &[$(Case {
            model: "acknowledgement",
            without: match $without {
                Some(safeguard) => Some(Safeguard::name(safeguard)),
                None => None,
            },
            bounds: concat!($members, " members, ", $attempts, " attempts, ", $terms, " terms, ", $writes, " writes"),
            run: || {
                let bounds = Bounds { attempts: $attempts, terms: $terms, writes: $writes };
                let model = AcknowledgementModel::<$members> { bounds, without: $without };
                explore::explore(&model, case::STATE_LIMIT)
            },
        },)*];
    };
}

cases! {
    None, 3 members, 2 attempts, 3 terms, 3 writes;
    None, 3 members, 3 attempts, 4 terms, 1 writes;
    None, 5 members, 2 attempts, 3 terms, 1 writes;
    Some(Safeguard::ConfirmationTerm), 3 members, 2 attempts, 3 terms, 1 writes;
    Some(Safeguard::FenceMajority), 3 members, 1 attempts, 2 terms, 1 writes;
    Some(Safeguard::TermFirst), 3 members, 2 attempts, 3 terms, 3 writes;
    Some(Safeguard::RecordTerm), 3 members, 2 attempts, 3 terms, 1 writes;
    Some(Safeguard::OwnTerm), 3 members, 3 attempts, 4 terms, 1 writes;
    Some(Safeguard::OneDriver), 3 members, 2 attempts, 2 terms, 1 writes;
    Some(Safeguard::NewName), 3 members, 2 attempts, 2 terms, 1 writes;
    Some(Safeguard::OneCandidate), 3 members, 1 attempts, 2 terms, 1 writes;
}
