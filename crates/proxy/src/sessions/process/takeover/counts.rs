//! The counters of takeovers and promotion calls.

use crate::process::counters::Event;
use crate::sessions::process::takeover::drive::Outcome;
use crate::sessions::process::takeover_trigger::TakeoverTrigger;
use crate::sessions::store::PromoteError;

/// What a promotion call is for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub(super) enum CallPurpose {
    /// Another target is to become the primary.
    Promotion,
    /// Earlier calls are fenced off. The call names the target that already leads.
    Fencing,
}

/// Returns the event of a takeover that begins.
pub(super) fn begun(trigger: TakeoverTrigger) -> Event {
    match trigger {
        TakeoverTrigger::Leaving => Event::TakeoversBegunLeaving,
        TakeoverTrigger::Silent => Event::TakeoversBegunSilent,
        TakeoverTrigger::CommitsStuck => Event::TakeoversBegunCommitsStuck,
        TakeoverTrigger::Unled => Event::TakeoversBegunUnled,
    }
}

/// Returns the event of a takeover that ends.
pub(super) fn ended(outcome: Outcome) -> Event {
    match outcome {
        Outcome::Promoted => Event::TakeoversPromoted,
        Outcome::NotNeeded => Event::TakeoversNotNeeded,
        Outcome::GaveUp => Event::TakeoversGaveUp,
        Outcome::ClaimLost => Event::TakeoversClaimLost,
    }
}

/// Returns the event of a promotion call with this result.
pub(super) fn called(purpose: CallPurpose, result: &Result<(), PromoteError>) -> Event {
    use CallPurpose::Fencing;
    use CallPurpose::Promotion;
    match (purpose, result) {
        (Promotion, Ok(())) => Event::PromotionsAccepted,
        (Promotion, Err(PromoteError::Refused)) => Event::PromotionsRefused,
        (Promotion, Err(PromoteError::NoAnswer(_))) => Event::PromotionsUnanswered,
        (Promotion, Err(PromoteError::Overloaded)) => Event::PromotionsOverloaded,
        (Promotion, Err(PromoteError::NotSent)) => Event::PromotionsNotSent,
        (Fencing, Ok(())) => Event::FencingsAccepted,
        (Fencing, Err(PromoteError::Refused)) => Event::FencingsRefused,
        (Fencing, Err(PromoteError::NoAnswer(_))) => Event::FencingsUnanswered,
        (Fencing, Err(PromoteError::Overloaded)) => Event::FencingsOverloaded,
        (Fencing, Err(PromoteError::NotSent)) => Event::FencingsNotSent,
    }
}
