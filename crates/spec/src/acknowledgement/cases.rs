//! The cases of the acknowledgement model: its bounds and the safeguard that is off in each.

use super::AcknowledgementModel;
use super::Bounds;
use super::Safeguard;
use crate::case;
use crate::case::Case;
use crate::explore;

macro_rules! cases {
    ($($without:expr, $members:literal members, $attempts:literal attempts, $terms:literal terms, $writes:literal writes, sets $sets:expr;)*) => {
        /// All cases of the model.
        pub const CASES: &[Case] = &[$(Case {
            model: "acknowledgement",
            without: match $without {
                Some(safeguard) => Some(Safeguard::name(safeguard)),
                None => None,
            },
            bounds: concat!($members, " members, ", $attempts, " attempts, ", $terms, " terms, ", $writes, " writes, sets ", stringify!($sets)),
            run: || {
                let bounds = Bounds { attempts: $attempts, terms: $terms, writes: $writes, sets: &$sets, lost_answers: true };
                let model = AcknowledgementModel::<$members>::new(bounds, $without);
                explore::explore(&model, case::STATE_LIMIT)
            },
        },)*];
    };
}

cases! {
    None, 3 members, 2 attempts, 3 terms, 3 writes, sets [0b111];
    None, 3 members, 3 attempts, 4 terms, 1 writes, sets [0b111];
    None, 5 members, 2 attempts, 3 terms, 1 writes, sets [0b11111];
    Some(Safeguard::ConfirmationTerm), 3 members, 2 attempts, 3 terms, 1 writes, sets [0b111];
    Some(Safeguard::FenceMajority), 3 members, 1 attempts, 2 terms, 1 writes, sets [0b111];
    Some(Safeguard::TermFirst), 3 members, 2 attempts, 3 terms, 3 writes, sets [0b111];
    Some(Safeguard::RecordTerm), 3 members, 2 attempts, 3 terms, 1 writes, sets [0b111];
    Some(Safeguard::OwnTerm), 3 members, 3 attempts, 4 terms, 1 writes, sets [0b111];
    Some(Safeguard::OneDriver), 3 members, 2 attempts, 2 terms, 1 writes, sets [0b111];
    Some(Safeguard::NewName), 3 members, 2 attempts, 2 terms, 1 writes, sets [0b111];
    Some(Safeguard::OneCandidate), 3 members, 1 attempts, 2 terms, 1 writes, sets [0b111];
    None, 3 members, 2 attempts, 3 terms, 2 writes, sets [0b1, 0b11, 0b111];
    None, 3 members, 2 attempts, 3 terms, 2 writes, sets [0b111, 0b11];
    None, 3 members, 1 attempts, 2 terms, 3 writes, sets [0b111, 0b11, 0b1];
    None, 3 members, 1 attempts, 2 terms, 3 writes, sets [0b11, 0b111, 0b110];
    Some(Safeguard::OneMember), 3 members, 1 attempts, 2 terms, 1 writes, sets [0b1, 0b111];
    Some(Safeguard::KnownSet), 3 members, 1 attempts, 2 terms, 3 writes, sets [0b1, 0b11, 0b111];
    Some(Safeguard::SettledRecord), 3 members, 1 attempts, 2 terms, 2 writes, sets [0b1, 0b11, 0b111];
    Some(Safeguard::OneSet), 3 members, 2 attempts, 2 terms, 2 writes, sets [0b1, 0b11, 0b111];
    Some(Safeguard::FreshReports), 3 members, 1 attempts, 2 terms, 2 writes, sets [0b111, 0b11, 0b1];
}
