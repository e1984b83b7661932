//! Questions and orders to several replicas of a service beside each other.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use skylark_core::process::takeover::ReplicaView;
use skylark_core::version::routes::TargetRecord;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::Said;

/// The time that a target which left the list has to say that it is back. One that lives answers in
/// some 20 ms, and one that is gone must not hold a takeover up for long.
const BACK_LIMIT: Duration = Duration::from_millis(150);

/// Those of these targets that answer.
pub async fn that_answer<C>(vm: &Arc<str>, targets: &[Arc<TargetRecord>]) -> Vec<Arc<TargetRecord>>
where
    C: Codec,
{
    let query = Query::ImmediateStatus;
    let ask = |target| target_calls::ask_within::<C>(target, vm, &query, BACK_LIMIT);
    let said = future::join_all(targets.iter().map(|target| ask(target))).await;
    let answered = targets.iter().zip(said).filter(|(_, said)| matches!(said, Said::Status(_)));
    answered.map(|(target, _)| Arc::clone(target)).collect()
}

/// Asks replicas how far they are; also tells the highest term that they know of.
pub async fn ask_all<C>(vm: &Arc<str>, replicas: &[Arc<TargetRecord>]) -> (Vec<ReplicaView>, u64)
where
    C: Codec,
{
    let ask = |replica| target_calls::ask::<C>(replica, vm, &Query::Status);
    let said = future::join_all(replicas.iter().map(|replica| ask(replica))).await;
    let mut views = Vec::new();
    let mut term = 0;
    for (replica, said) in replicas.iter().zip(said) {
        let mut seen = ReplicaView { leaving: replica.leaving, ..ReplicaView::default() };
        if let Said::Status(status) = said {
            seen.reachable = true;
            seen.received = status.received;
            seen.paused = status.paused_term > 0;
            term = term.max(status.term).max(status.paused_term);
        }
        views.push(seen);
    }
    (views, term)
}

/// Lets those of the replicas receive again that are paused.
pub async fn resume<C>(log: &slog::Logger, vm: &Arc<str>, replicas: &[Arc<TargetRecord>])
where
    C: Codec,
{
    let (views, term) = ask_all::<C>(vm, replicas).await;
    for (replica, view) in replicas.iter().zip(&views) {
        if view.paused {
            let said = target_calls::ask::<C>(replica, vm, &Query::Resume { term }).await;
            slog::info!(log, "resumed a replica"; "target" => &*replica.id, "said" => ?said);
        }
    }
}

/// Those of the targets that are back which are not listed.
pub fn unlisted(
    back: &[Arc<TargetRecord>],
    listed: &[Arc<TargetRecord>],
) -> Vec<Arc<TargetRecord>> {
    let is_listed = |target: &&Arc<TargetRecord>| listed.iter().any(|known| known.id == target.id);
    back.iter().filter(|target| !is_listed(target)).cloned().collect()
}
