//! Queries and commands that are sent to several replicas of a service concurrently.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future;
use skylark_core::process::takeover::ReplicaView;
use skylark_core::version::routes::TargetRecord;

use crate::sessions::codec::Codec;
use crate::sessions::codec::Query;
use crate::sessions::codec::TargetStatus;
use crate::sessions::process::target_calls;
use crate::sessions::process::target_calls::CallReply;

/// How long a target that left the list has to report that it is running again. A running one answers within
/// some 20 ms, and a lost one must not delay a takeover for long.
const RETURN_TIMEOUT: Duration = Duration::from_millis(150);

/// Returns the targets that report their status.
pub async fn filter_responding<C>(
    vm: &Arc<str>,
    targets: &[Arc<TargetRecord>],
) -> Vec<Arc<TargetRecord>>
where
    C: Codec,
{
    let query = Query::ImmediateStatus;
    let ask = |target| target_calls::ask_with_timeout::<C>(target, vm, &query, RETURN_TIMEOUT);
    let reply = future::join_all(targets.iter().map(|target| ask(target))).await;
    let answered =
        targets.iter().zip(reply).filter(|(_, reply)| matches!(reply, CallReply::Status(_)));
    answered.map(|(target, _)| Arc::clone(target)).collect()
}

/// What several replicas reported.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// The state of each replica, in the order in which they were given.
    pub views: Vec<ReplicaView>,
    /// The status of each replica that answered, in the same order.
    pub statuses: Vec<Option<TargetStatus>>,
    /// The highest term that any of them leads or follows.
    pub newest_term: u64,
    /// The highest term that any of them knows or was paused under.
    pub term: u64,
    /// The index of the member that leads the highest term, if any of them leads it.
    pub leader: Option<usize>,
    /// The members that lead an earlier term.
    pub superseded: Vec<usize>,
}

/// Queries the status of replicas.
pub async fn ask_all<C>(vm: &Arc<str>, replicas: &[Arc<TargetRecord>]) -> Reports
where
    C: Codec,
{
    let ask = |replica| target_calls::ask::<C>(replica, vm, &Query::Status);
    let reply = future::join_all(replicas.iter().map(|replica| ask(replica))).await;
    let mut reports = Reports::default();
    let mut leading = Vec::new();
    for (replica, reply) in replicas.iter().zip(reply) {
        let mut seen = ReplicaView { leaving: replica.leaving, ..ReplicaView::default() };
        if let CallReply::Status(status) = reply {
            seen.reachable = true;
            seen.received = status.received;
            seen.paused = status.paused_term > 0;
            seen.leads = status.is_primary;
            reports.newest_term = reports.newest_term.max(status.term);
            reports.term = reports.term.max(status.term).max(status.paused_term);
            if status.is_primary {
                leading.push((reports.views.len(), status.term));
            }
        }
        let status = match reply {
            CallReply::Status(status) => Some(status),
            CallReply::Refused(_) | CallReply::Unanswered | CallReply::Nothing => None,
        };
        reports.statuses.push(status);
        reports.views.push(seen);
    }
    for (index, term) in leading {
        match term >= reports.newest_term {
            true => reports.leader = Some(index),
            false => reports.superseded.push(index),
        }
    }
    reports
}

/// Resumes replication on those of the replicas that are paused.
pub async fn resume<C>(log: &slog::Logger, vm: &Arc<str>, replicas: &[Arc<TargetRecord>])
where
    C: Codec,
{
    let Reports { views, term, .. } = ask_all::<C>(vm, replicas).await;
    for (replica, view) in replicas.iter().zip(&views) {
        if view.paused {
            let reply = target_calls::ask::<C>(replica, vm, &Query::Resume { term }).await;
            slog::info!(log, "resumed a replica";
                "service" => &*replica.service, "target" => &*replica.id, "term" => term,
                "said" => ?reply);
        }
    }
}

/// Returns the targets in `returned` that are not in `listed`.
pub fn unlisted(
    returned: &[Arc<TargetRecord>],
    listed: &[Arc<TargetRecord>],
) -> Vec<Arc<TargetRecord>> {
    let is_listed = |target: &&Arc<TargetRecord>| listed.iter().any(|known| known.id == target.id);
    returned.iter().filter(|target| !is_listed(target)).cloned().collect()
}
