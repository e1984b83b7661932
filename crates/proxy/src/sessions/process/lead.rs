//! What the process presumes and has proved about the primary of a service.
//!
//! The presumed primary determines which target is asked; a proof determines whether its answer may be used.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use skylark_core::log_position::LogPosition;
use skylark_core::process::read_age::Sample;
use skylark_core::request::lead_proof::CommitVerdict;
use skylark_core::request::lead_proof::GroupView;
use skylark_core::request::lead_proof::LeadVerdict;
use skylark_core::request::primary_positions::PositionError;
use skylark_core::version::routes::ReadRule;
use skylark_core::version::routes::Route;

use crate::sessions::codec::Codec;
use crate::sessions::process::gateway;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::step_down;
use crate::sessions::process::targets::TargetState;

impl<C> Gateway<C>
where
    C: Codec,
{
    /// Records that a target answered as primary. A replaced primary also answers as primary, so this is
    /// no proof.
    pub fn answered_as_primary(&self, target: &TargetState<C>) {
        let state = self.service(&target.record.service);
        let is_new = state.leader.lock().answered(&target.record.id);
        if is_new {
            self.announce_leader(target, None);
        }
    }

    /// Records a proof that no other target had acknowledged a commit by `moment_us`. The target's log had
    /// reached `position` then.
    pub fn proved_lead(
        &self,
        target: &TargetState<C>,
        moment_us: u64,
        position: Option<LogPosition>,
    ) {
        let state = self.service(&target.record.service);
        let is_new = state.leader.lock().proved(&target.record.id);
        // Without a position it is unknown what reads must see, so they go to the primary.
        if let Some(position) = position {
            state.positions.lock().record(moment_us, position);
            state.sampling_flight.notify();
        }
        if is_new {
            self.announce_leader(target, position);
        }
    }

    /// Records that a replica had to receive a commit which was sent at `sent_us` and acknowledged at `position`, and
    /// that a listed member holds it. This proves that the target is the primary.
    pub fn commit_kept(&self, target: &TargetState<C>, sent_us: u64, position: LogPosition) {
        let state = self.service(&target.record.service);
        state.lead_reports.lock().acknowledged(&target.record.id, sent_us);
        self.proved_lead(target, sent_us, Some(position));
    }

    fn announce_leader(&self, target: &TargetState<C>, position: Option<LogPosition>) {
        slog::info!(self.log, "the primary changed";
            "service" => &*target.record.service, "target" => &*target.record.id,
            "position" => position.map(|position| position.to_string()));
        self.changed.send_modify(|number| *number += 1);
    }

    /// Evaluates what the members of the group reported about a target being the primary at a moment.
    pub fn lead_verdict(&self, target: &TargetState<C>, moment_us: u64) -> LeadVerdict {
        let record = &target.record;
        let state = self.service(&record.service);
        let view = self.view.load();
        let members = view.members(&record.service).iter().map(|member| &*member.record.id);
        let others: Vec<&str> = members.filter(|id| *id != &*record.id).collect();
        // A process that just started does not know members that left before, which may have acknowledged
        // commits with a successor. In that case the successor is listed as the primary.
        let is_listed_primary = || {
            view.listed_primary(&record.service).is_some_and(|listed| listed.record.id == record.id)
        };
        let past_is_known = state.past_is_known() || is_listed_primary();
        let group = GroupView {
            others: &others,
            departed: state.departed(),
            sync_replicas: self.sync_replicas(&record.service),
            is_complete: self.list_is_complete.load(Ordering::Relaxed) && past_is_known,
            floor: state.positions.lock().oldest().unwrap_or_default(),
        };
        state.lead_reports.lock().verdict(&record.id, moment_us, &group)
    }

    /// Returns the members that a driver compares before it replaces `target` while commits wait that were sent at
    /// `sent_us`. A member that was listed later may have joined after the driver read the list.
    pub fn compared_members(
        &self,
        target: &TargetState<C>,
        sent_us: u64,
    ) -> Vec<Arc<TargetState<C>>> {
        let mut members = self.members(&target.record.service);
        members
            .retain(|member| member.record.id != target.record.id && member.listed_us <= sent_us);
        members
    }

    /// Evaluates what the members reported about a commit that was sent to `target` at `sent_us` and
    /// acknowledged at `position`.
    pub fn commit_verdict(
        &self,
        target: &TargetState<C>,
        sent_us: u64,
        position: LogPosition,
    ) -> CommitVerdict {
        let members = self.compared_members(target, sent_us);
        let ids: Vec<&str> = members.iter().map(|member| &*member.record.id).collect();
        let state = self.service(&target.record.service);
        let reports = state.lead_reports.lock();
        reports.commit_verdict(&ids, position)
    }

    /// Number of replicas that must receive a commit of a service before it is acknowledged.
    pub fn sync_replicas(&self, service: &str) -> usize {
        let view = self.view.load();
        gateway::service_limits(view.routes.as_deref(), service).sync_replicas as usize
    }

    /// Handles evidence that a target was replaced: another member knows a later term than the target's. The
    /// target is requested to step down.
    pub fn superseded(&self, target: &TargetState<C>, term: u64) {
        let record = &target.record;
        let state = self.service(&record.service);
        state.leader.lock().superseded(&record.id, self.clock.now_us());
        let Some(step_down_flight) = target.step_down_flight.begin() else { return };
        slog::warn!(self.log, "a replaced primary is still active";
            "service" => &*record.service, "target" => &*record.id, "later_term" => term);
        let (log, vm, record) = (self.log.clone(), Arc::clone(&self.vm), Arc::clone(record));
        tokio::spawn(async move {
            step_down::notify::<C>(&log, &record, &vm, term).await;
            drop(step_down_flight);
        });
    }

    /// Records a position that a home reported. The home was asked at `asked_us`, and its position was
    /// `age_us` old when it answered.
    ///
    /// # Errors
    ///
    /// Those of [`PrimaryPositions::record_from_peer`].
    ///
    /// [`PrimaryPositions::record_from_peer`]:
    /// skylark_core::request::primary_positions::PrimaryPositions::record_from_peer
    pub fn record_position(
        &self,
        service: &Arc<str>,
        asked_us: u64,
        age_us: u64,
        position: LogPosition,
    ) -> Result<(), PositionError> {
        let state = self.service(service);
        state.positions.lock().record_from_peer(asked_us, age_us, position)?;
        state.sampling_flight.notify();
        Ok(())
    }

    /// The newest known position of a service's primary, and when it was sampled.
    pub fn newest_position(&self, service: &Arc<str>) -> Option<Sample> {
        self.service(service).positions.lock().newest()
    }

    /// Returns the position that a read must see whose first byte arrived by `arrived_us`; `None` if no known
    /// position is recent enough.
    pub fn position_for(
        &self,
        route: &Route,
        floor: Option<LogPosition>,
        arrived_us: u64,
    ) -> Option<LogPosition> {
        let max_age_us = match route.reads {
            ReadRule::Primary => return None,
            ReadRule::BoundedStaleness { .. } | ReadRule::ReadYourWrites { .. } => {
                route.reads.max_age_ms() * 1_000
            }
        };
        let state = self.service(&route.service);
        let covering = state.positions.lock().covering(arrived_us.saturating_sub(max_age_us))?;
        Some(floor.map_or(covering, |floor| covering.max(floor)))
    }
}
