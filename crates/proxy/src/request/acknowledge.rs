//! Waiting until a commit is confirmed, before its success may be seen.
//!
//! A primary that was replaced goes on answering commits as long as it doesn't know. Its commits are
//! confirmed by no majority in their term, so a success passed on without waiting would acknowledge
//! a write that the new primary doesn't have. The caller would see its write vanish. Comparing the
//! term as well as the index is enough: a majority that confirms a position in its own term has not
//! promised itself to a newer one, and every newer primary comes out of a majority that holds it.

use std::time::Instant;

use skylark_core::log_position::LogPosition;
use tokio::time;

use crate::version::published::GroupLive;

/// Whether a commit may be acknowledged.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// A majority holds it.
    Confirmed,
    /// It can't be said whether it lasts: no confirmation came in time, or a newer term has begun.
    Unknown,
}

/// Waits until `position` is confirmed in its own term, a newer term is confirmed, or the deadline
/// comes.
pub async fn wait(live: &GroupLive, position: LogPosition, deadline: Instant) -> Verdict {
    let mut confirmed = live.confirmed.subscribe();
    let decided = confirmed.wait_for(|confirmed| *confirmed >= position);
    match time::timeout_at(deadline.into(), decided).await {
        Ok(Ok(confirmed)) if confirmed.term == position.term => Verdict::Confirmed,
        _ => Verdict::Unknown,
    }
}
