//! Confirmation of acknowledged commits by members that a driver compares before it replaces the primary.
//!
//! A primary acknowledges a commit as soon as any replica has received it, including one that is not listed
//! yet, or no longer. A driver can't compare such a replica, so a commit that only it received is lost if the
//! primary is replaced. A success is returned to the caller once a listed member reports that it holds the commit.
//!
//! One round of status queries serves all commits that wait.

use std::cmp::Reverse;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use skylark_core::log_position::LogPosition;
use skylark_core::request::lead_proof::CommitVerdict;
use tokio::time;

use crate::process::counters::Event;
use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::limits;
use crate::sessions::process::targets::TargetState;
use crate::sessions::request::prove;

/// The pause after a round of queries that did not show the commit.
const RETRY_PAUSE: Duration = Duration::from_millis(15);

/// Maximum time for the confirmation of a commit that a home forwarded, in microseconds. Nobody waits for it.
const FORWARDED_LIMIT_US: u64 = 2 * limits::STATUS_TIMEOUT_US;

/// An acknowledged commit.
#[derive(Debug)]
pub struct Acknowledged<C>
where
    C: Codec,
{
    /// The target that acknowledged the commit.
    pub target: Arc<TargetState<C>>,
    /// When the commit was sent, in microseconds.
    pub sent_us: u64,
    /// The end of the target's log when it acknowledged.
    pub position: LogPosition,
}

impl<C> Acknowledged<C>
where
    C: Codec,
{
    /// Describes an acknowledged commit. Returns `None` if no replica had to receive it, or if the target did not
    /// report its position.
    pub fn by_replica(
        gateway: &Gateway<C>,
        target: &Arc<TargetState<C>>,
        sent_us: u64,
        position: Option<LogPosition>,
    ) -> Option<Acknowledged<C>> {
        let position = position.filter(|_| gateway.sync_replicas(&target.record.service) > 0)?;
        Some(Acknowledged { target: Arc::clone(target), sent_us, position })
    }
}

/// A failure to show that a member which a driver compares holds a commit. The commit may last or not.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Unconfirmed;

/// Waits until a listed member reports that it holds the commit. Fails at `until_us`, or once a member reports a
/// later term.
pub async fn commit<C>(
    gateway: &Gateway<C>,
    commit: &Acknowledged<C>,
    until_us: u64,
) -> Result<(), Unconfirmed>
where
    C: Codec,
{
    let verdict = await_verdict(gateway, commit, until_us).await;
    let event = match verdict {
        CommitVerdict::Kept => Event::CommitsConfirmed,
        CommitVerdict::Superseded => Event::CommitsSuperseded,
        CommitVerdict::Unknown => Event::CommitsUnconfirmed,
    };
    gateway.counters.event(event);
    if verdict != CommitVerdict::Kept {
        log_unconfirmed(gateway, commit, verdict);
        return Err(Unconfirmed);
    }
    Ok(())
}

/// Begins to confirm a commit that a home forwarded, unless it is confirming another one. The proxy that the
/// caller is connected to decides about the commit; to the home it is evidence of the target's lead.
pub fn begin_for_forwarded<C>(gateway: &Arc<Gateway<C>>, commit: Acknowledged<C>)
where
    C: Codec,
{
    let state = gateway.service(&commit.target.record.service);
    let Some(flight) = state.forwarded_flight.begin() else { return };
    let gateway = Arc::clone(gateway);
    tokio::spawn(async move {
        let until_us = gateway.clock.now_us() + FORWARDED_LIMIT_US;
        await_verdict(&gateway, &commit, until_us).await;
        drop(flight);
    });
}

/// Queries members until the verdict on a commit is final, or until `until_us`. A commit that is kept proves the
/// target's lead.
async fn await_verdict<C>(
    gateway: &Gateway<C>,
    commit: &Acknowledged<C>,
    until_us: u64,
) -> CommitVerdict
where
    C: Codec,
{
    let state = gateway.service(&commit.target.record.service);
    loop {
        let asked = state.confirmation_flight.ended();
        let verdict = verdict(gateway, commit);
        let now_us = gateway.clock.now_us();
        if verdict == CommitVerdict::Kept {
            gateway.commit_kept(&commit.target, commit.sent_us, commit.position);
            log_confirming_members(gateway, commit);
        }
        if verdict != CommitVerdict::Unknown || now_us >= until_us {
            return verdict;
        }
        let left = Duration::from_micros(until_us - now_us);
        match state.confirmation_flight.begin() {
            Some(_asking) => {
                if ask_members(gateway, commit, until_us).await == CommitVerdict::Unknown {
                    time::sleep(RETRY_PAUSE.min(left)).await;
                }
            }
            None => {
                // After a timeout as after the end of a round, the verdict is evaluated again.
                let _ = time::timeout(left, asked).await;
            }
        }
    }
}

fn verdict<C>(gateway: &Gateway<C>, commit: &Acknowledged<C>) -> CommitVerdict
where
    C: Codec,
{
    gateway.commit_verdict(&commit.target, commit.sent_us, commit.position)
}

/// Queries the members that may hold the commit: first the one that had received most, and the others if it
/// lacks the commit or is slow. Returns the verdict.
async fn ask_members<C>(
    gateway: &Gateway<C>,
    commit: &Acknowledged<C>,
    until_us: u64,
) -> CommitVerdict
where
    C: Codec,
{
    let state = gateway.service(&commit.target.record.service);
    let mut members = gateway.compared_members(&commit.target, commit.sent_us);
    let now_us = gateway.clock.now_us();
    members.sort_by_cached_key(|member| {
        let received = state.lead_reports.lock().received(&member.record.id);
        (member.is_ejected(now_us), Reverse(received), member.record.zone != gateway.zone)
    });
    let mut members = members.into_iter();
    let ask = async |member| prove::fetch_status(gateway, &member, until_us).await;
    let mut asked: FuturesUnordered<_> = members.by_ref().take(1).map(ask).collect();
    while !asked.is_empty() {
        // Without an answer in time the member is slow or can't be queried.
        let _ = time::timeout(prove::HEDGE_DELAY, asked.next()).await;
        let verdict = verdict(gateway, commit);
        if verdict != CommitVerdict::Unknown {
            return verdict;
        }
        asked.extend(members.by_ref().map(ask));
    }
    CommitVerdict::Unknown
}

/// Logs the members that hold a commit, each only for its first commit in a term.
fn log_confirming_members<C>(gateway: &Gateway<C>, commit: &Acknowledged<C>)
where
    C: Codec,
{
    let (record, position) = (&commit.target.record, commit.position);
    let state = gateway.service(&record.service);
    for member in gateway.compared_members(&commit.target, commit.sent_us) {
        let id = &member.record.id;
        let received = {
            let reports = state.lead_reports.lock();
            if reports.holders(&[&**id], position).next().is_none() {
                continue;
            }
            reports.received(id)
        };
        if state.confirming_members.lock().record(id, position.term.0) {
            slog::info!(gateway.log, "a member confirms commits of a term";
                "service" => &*record.service, "target" => &**id, "primary" => &*record.id,
                "term" => position.term.0, "position" => position.to_string(),
                "received" => received.to_string());
        }
    }
}

fn log_unconfirmed<C>(gateway: &Gateway<C>, commit: &Acknowledged<C>, verdict: CommitVerdict)
where
    C: Codec,
{
    let now_us = gateway.clock.now_us();
    let Some(left_out) = gateway.log_budget.take("unconfirmed", now_us) else { return };
    let record = &commit.target.record;
    let compared = gateway.compared_members(&commit.target, commit.sent_us).len();
    slog::warn!(gateway.log, "no listed member is known to hold an acknowledged commit";
        "service" => &*record.service, "target" => &*record.id,
        "position" => commit.position.to_string(), "members" => compared,
        "verdict" => ?verdict, "waited_us" => now_us.saturating_sub(commit.sent_us),
        "left_out" => left_out);
}
