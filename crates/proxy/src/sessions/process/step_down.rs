//! Telling a primary that was replaced to step down.
//!
//! A primary that was cut off when another was promoted goes on until it reaches that one, and callers
//! that reach only the old one are refused for want of a proof. Whoever sees that it was replaced tells
//! it, until it answers: the driver of the takeover often can't reach it.

use std::sync::Arc;
use std::time::Duration;

use skylark_core::version::routes::TargetRecord;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::CallReply;

/// How often it is told without an answer before the next request that meets it has to see to it.
const MAX_TRIES: u32 = 5;

/// The pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Tells a target that another leads under `term`.
pub async fn notify<C>(log: &slog::Logger, record: &TargetRecord, vm: &Arc<str>, term: u64)
where
    C: Codec,
{
    for _ in 0..MAX_TRIES {
        match target_calls::ask::<C>(record, vm, &Query::StepDown { term }).await {
            CallReply::Status(status) => {
                slog::warn!(log, "told a target that it no longer leads";
                    "target" => &*record.id, "term" => term, "leads" => status.is_primary);
                return;
            }
            CallReply::Refused | CallReply::Nothing => time::sleep(RETRY_PAUSE).await,
        }
    }
    slog::info!(log, "a target that no longer leads does not answer";
        "target" => &*record.id, "term" => term);
}
