//! What the process believes and knows of the lead of a service.
//!
//! Belief decides who is asked; a proof decides what an answer is worth.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use skylark_core::log_position::LogPosition;
use skylark_core::process::read_age::Sample;
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
    /// A target answered as primary, which one that was replaced does as well.
    pub fn answered_as_primary(&self, target: &TargetState<C>) {
        let state = self.service(&target.record.service);
        let is_news = state.leader.lock().answered(&target.record.id);
        if is_news {
            self.announce_leader(target);
        }
    }

    /// It is proved that by `moment_us` nobody but this target had acknowledged anything. Its log had
    /// reached `position` then.
    pub fn proved_lead(
        &self,
        target: &TargetState<C>,
        moment_us: u64,
        position: Option<LogPosition>,
    ) {
        let state = self.service(&target.record.service);
        let is_news = state.leader.lock().proved(&target.record.id);
        // Without a position nothing is known of what reads have to see: they go to the primary.
        if let Some(position) = position {
            state.positions.lock().saw(moment_us, position);
            state.sampling_flight.notify();
        }
        if is_news {
            self.announce_leader(target);
        }
    }

    /// A commit that was sent at `sent_us` was acknowledged at `position`. Where a replica has to receive it
    /// first, that proves the lead; elsewhere a target that was replaced acknowledges as well.
    pub fn acknowledged(
        &self,
        target: &TargetState<C>,
        sent_us: u64,
        position: Option<LogPosition>,
    ) {
        let service = &target.record.service;
        if self.sync_replicas(service) > 0 {
            self.service(service).lead_reports.lock().acknowledged(&target.record.id, sent_us);
            self.proved_lead(target, sent_us, position);
        }
    }

    fn announce_leader(&self, target: &TargetState<C>) {
        slog::info!(self.log, "another target leads";
            "service" => &*target.record.service, "target" => &*target.record.id);
        self.changed.send_modify(|number| *number += 1);
    }

    /// What the words of its group say of a target's lead at a moment.
    pub fn lead_verdict(&self, target: &TargetState<C>, moment_us: u64) -> LeadVerdict {
        let record = &target.record;
        let state = self.service(&record.service);
        let view = self.view.load();
        let members = view.members(&record.service).iter().map(|member| &*member.record.id);
        let others: Vec<&str> = members.filter(|id| *id != &*record.id).collect();
        // A process that just started knows of no member that left before, which may have acknowledged with
        // a successor. That one is listed as the primary then.
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

    /// How many replicas of a service receive a commit before it is acknowledged.
    pub fn sync_replicas(&self, service: &str) -> usize {
        let view = self.view.load();
        gateway::service_limits(view.routes.as_deref(), service).sync_replicas as usize
    }

    /// Another member knows of a later term than the one that this target leads.
    pub fn superseded(&self, target: &TargetState<C>, term: u64) {
        let record = &target.record;
        let state = self.service(&record.service);
        state.leader.lock().superseded(&record.id, self.clock.now_us());
        let Some(step_down_flight) = target.step_down_flight.begin() else { return };
        slog::warn!(self.log, "a target goes on that no longer leads";
            "service" => &*record.service, "target" => &*record.id, "later_term" => term);
        let (log, vm, record) = (self.log.clone(), Arc::clone(&self.vm), Arc::clone(record));
        tokio::spawn(async move {
            step_down::notify::<C>(&log, &record, &vm, term).await;
            drop(step_down_flight);
        });
    }

    /// A home that was asked at `asked_us` told a position of `age_us` before its answer.
    ///
    /// # Errors
    ///
    /// Those of [`PrimaryPositions::told`].
    ///
    /// [`PrimaryPositions::told`]: skylark_core::request::primary_positions::PrimaryPositions::told
    pub fn record_position(
        &self,
        service: &Arc<str>,
        asked_us: u64,
        age_us: u64,
        position: LogPosition,
    ) -> Result<(), PositionError> {
        let state = self.service(service);
        state.positions.lock().told(asked_us, age_us, position)?;
        state.sampling_flight.notify();
        Ok(())
    }

    /// The newest known position of a service's primary, and when it was taken.
    pub fn newest_position(&self, service: &Arc<str>) -> Option<Sample> {
        self.service(service).positions.lock().newest()
    }

    /// The position that a read must see, if its first byte arrived by `arrived_us`; none if no
    /// position is known that is young enough.
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
