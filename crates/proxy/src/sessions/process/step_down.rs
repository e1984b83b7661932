//! Requests that a replaced primary steps down.
//!
//! A primary that was partitioned during the promotion of its successor stays primary until it reaches that
//! one. Callers that reach only the old primary are refused, since it can't prove its role. The driver of the
//! takeover often can't reach it either, so every process that finds it replaced repeats the request until it
//! answers.

use std::sync::Arc;
use std::time::Duration;

use skylark_core::version::routes::TargetRecord;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::CallReply;

/// Maximum number of attempts. The next request that finds the target replaced starts over.
const MAX_TRIES: u32 = 5;

/// Delay between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// How long a target may take to confirm that it stepped down, if another VM asks it on behalf of this one.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(200);

/// Tells a target that another one is primary under `term`.
pub async fn notify<C>(log: &slog::Logger, record: &TargetRecord, vm: &Arc<str>, term: u64)
where
    C: Codec,
{
    for _ in 0..MAX_TRIES {
        match target_calls::ask::<C>(record, vm, &Query::StepDown { term }).await {
            CallReply::Status(status) => {
                slog::warn!(log, "told a replaced primary to step down";
                    "target" => &*record.id, "term" => term, "leads" => status.is_primary);
                return;
            }
            CallReply::Refused(_) | CallReply::Unanswered | CallReply::Nothing => {
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    slog::info!(log, "a replaced primary does not answer";
        "target" => &*record.id, "term" => term);
}
