//! Waits for the confirmation of a commit before its success is reported.
//!
//! A replaced primary keeps answering commits until it learns of its replacement. No majority confirms
//! these commits in their term, so reporting success without waiting would acknowledge a write that the
//! new primary lacks, and the caller's write would be lost.
//!
//! Comparing the term and the index is sufficient: a majority that confirms a position in its own term
//! has not voted for a newer term, and every newer primary is elected by a majority that holds the
//! position.

use std::cell::RefCell;
use std::time::Instant;

use skylark_core::log_position::LogPosition;
use tokio::sync::watch;
use tokio::time;

use crate::version::published::GroupLive;

/// The result of waiting for a confirmation.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Confirmation {
    /// A majority holds the commit, so it may be acknowledged.
    Confirmed,
    /// The commit's durability is unknown: no confirmation arrived in time, or a newer term has begun.
    Unknown,
}

/// A group's published confirmed position and this thread's copy of it.
struct LocalPosition {
    published: watch::Receiver<LogPosition>,
    copy: watch::Receiver<LogPosition>,
}

thread_local! {
    /// The groups whose commits are awaited on this thread. The control thread wakes one task per
    /// thread instead of one per commit, since each wake-up across threads costs a system call.
    static LOCAL_POSITIONS: RefCell<Vec<LocalPosition>> = const { RefCell::new(Vec::new()) };
}

/// Returns this thread's copy of a group's confirmed position. The copy is never ahead of the published
/// position, and its channel closes with the published one.
fn local_position(live: &GroupLive) -> watch::Receiver<LogPosition> {
    let published = live.confirmed.subscribe();
    LOCAL_POSITIONS.with_borrow_mut(|local_positions| {
        local_positions.retain(|group| group.copy.has_changed().is_ok());
        if let Some(known) =
            local_positions.iter().find(|group| group.published.same_channel(&published))
        {
            return known.copy.clone();
        }
        let (sender, copy) = watch::channel(*published.borrow());
        tokio::spawn(forward_updates(published.clone(), sender));
        local_positions.push(LocalPosition { published, copy: copy.clone() });
        copy
    })
}

async fn forward_updates(
    mut published: watch::Receiver<LogPosition>,
    copy: watch::Sender<LogPosition>,
) {
    loop {
        let confirmed = *published.borrow_and_update();
        copy.send_if_modified(|copied| {
            let advanced = confirmed > *copied;
            *copied = confirmed;
            advanced
        });
        if published.changed().await.is_err() {
            return;
        }
    }
}

/// Waits until `position` is confirmed in its own term, a newer term is confirmed, or the deadline
/// expires.
pub async fn wait(live: &GroupLive, position: LogPosition, deadline: Instant) -> Confirmation {
    let mut confirmed = local_position(live);
    let decided = confirmed.wait_for(|confirmed| *confirmed >= position);
    match time::timeout_at(deadline.into(), decided).await {
        Ok(Ok(confirmed)) if confirmed.term == position.term => Confirmation::Confirmed,
        _ => Confirmation::Unknown,
    }
}
