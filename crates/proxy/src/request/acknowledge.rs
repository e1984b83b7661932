//! Waiting until a commit is confirmed, before its success may be seen.
//!
//! A primary that was replaced goes on answering commits as long as it doesn't know. Its commits are
//! confirmed by no majority in their term, so a success passed on without waiting would acknowledge
//! a write that the new primary doesn't have. The caller would see its write vanish. Comparing the
//! term as well as the index is enough: a majority that confirms a position in its own term has not
//! promised itself to a newer one, and every newer primary comes out of a majority that holds it.

use std::cell::RefCell;
use std::time::Instant;

use skylark_core::log_position::LogPosition;
use tokio::sync::watch;
use tokio::time;

use crate::version::published::GroupLive;

/// Whether a commit may be acknowledged.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Confirmation {
    /// A majority holds it.
    Confirmed,
    /// It can't be said whether it lasts: no confirmation came in time, or a newer term has begun.
    Unknown,
}

/// A group's confirmed position, and this thread's copy of it.
struct LocalPosition {
    published: watch::Receiver<LogPosition>,
    copy: watch::Receiver<LogPosition>,
}

thread_local! {
    /// The groups that commits of this thread wait for. The control thread wakes one task of each
    /// thread, not one for each commit: each wake-up of another thread is a system call of its own.
    static LOCAL_POSITIONS: RefCell<Vec<LocalPosition>> = const { RefCell::new(Vec::new()) };
}

/// This thread's copy of a group's confirmed position. It is never ahead of what is published, and
/// ends with it.
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
/// comes.
pub async fn wait(live: &GroupLive, position: LogPosition, deadline: Instant) -> Confirmation {
    let mut confirmed = local_position(live);
    let decided = confirmed.wait_for(|confirmed| *confirmed >= position);
    match time::timeout_at(deadline.into(), decided).await {
        Ok(Ok(confirmed)) if confirmed.term == position.term => Confirmation::Confirmed,
        _ => Confirmation::Unknown,
    }
}
