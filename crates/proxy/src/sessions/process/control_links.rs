//! Connections to primaries that are kept for the calls of a takeover.
//!
//! While commits are stuck, the statements that wait for them take all connections that a primary accepts. A
//! connection that is opened before that stays usable, so that the primary can still be requested to step down.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::version::routes::TargetRecord;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::CallReply;

/// How long an unused connection is kept.
const KEEP: Duration = Duration::from_secs(2);

/// Minimum time between two connections to a target that are opened ahead of need.
const REOPEN_INTERVAL: Duration = Duration::from_secs(1);

/// The kept connections, at most one for each target.
#[derive(Debug)]
pub struct ControlLinks<C> {
    kept: Mutex<FastMap<Arc<str>, KeptLink<C>>>,
    /// When a connection to each target was last opened ahead of need.
    opened: Mutex<FastMap<Arc<str>, Instant>>,
}

#[derive(Debug)]
struct KeptLink<C> {
    link: StatementLink<C>,
    used: Instant,
}

impl<C> Default for ControlLinks<C> {
    fn default() -> ControlLinks<C> {
        ControlLinks { kept: Mutex::default(), opened: Mutex::default() }
    }
}

impl<C> ControlLinks<C>
where
    C: Codec,
{
    /// Opens a connection to a target and keeps it, unless there is one.
    pub async fn open(&self, record: &TargetRecord, vm: &Arc<str>) {
        if let Some(kept) = self.kept.lock().get_mut(&record.id) {
            kept.used = Instant::now();
            return;
        }
        if !self.may_open(&record.id) {
            return;
        }
        // Without the connection the call is tried on a new one.
        let opened = target_calls::open::<C>(record, vm, target_calls::CALL_TIMEOUT).await;
        if let Ok(link) = opened {
            self.keep(record, link);
        }
    }

    /// Sends one call to a target on the kept connection, or else on a new one. The answer has to arrive within
    /// `limit`.
    pub async fn ask(
        &self,
        record: &TargetRecord,
        vm: &Arc<str>,
        query: &Query<'_>,
        limit: Duration,
    ) -> CallReply {
        let until = Instant::now() + limit;
        let kept = self.kept.lock().remove(&record.id);
        let mut link = match kept {
            Some(kept) => kept.link,
            None => match target_calls::open::<C>(record, vm, limit).await {
                Ok(link) => link,
                Err(reply) => return reply,
            },
        };
        let reply = target_calls::ask_on(&mut link, query, until).await;
        if reply.shows_life() {
            self.keep(record, link);
        }
        reply
    }

    /// Closes the connections that were not used lately.
    pub fn close_unused(&self) {
        self.opened.lock().retain(|_, opened| opened.elapsed() < REOPEN_INTERVAL);
        self.kept.lock().retain(|_, kept| kept.used.elapsed() < KEEP);
    }

    /// Whether no connection to a target was opened ahead of need lately; one is opened now.
    fn may_open(&self, id: &Arc<str>) -> bool {
        let mut opened = self.opened.lock();
        let is_due = opened.get(id).is_none_or(|opened| opened.elapsed() >= REOPEN_INTERVAL);
        if is_due {
            opened.insert(Arc::clone(id), Instant::now());
        }
        is_due
    }

    fn keep(&self, record: &TargetRecord, link: StatementLink<C>) {
        let kept = KeptLink { link, used: Instant::now() };
        self.kept.lock().insert(Arc::clone(&record.id), kept);
    }
}
