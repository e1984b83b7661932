//! Members that left the list of targets, as far as a takeover depends on them.

use std::sync::Arc;

use skylark_core::log_position::LogPosition;
use skylark_core::version::routes::TargetRecord;

use crate::sessions::codec::Codec;
use crate::sessions::process::watch::ClusterState;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::StateStore;

/// The departed members of a service that a promotion depends on.
#[derive(Clone, Debug, Default)]
pub struct DepartedMembers {
    /// Members that may return and report their log positions.
    pub absent: Vec<Arc<TargetRecord>>,
    /// Number of members that restarted under the same name, so that the positions of their logs are unknown.
    pub lost: usize,
    /// The position that a successor must have received, so that no other departed member is needed.
    pub floor: LogPosition,
}

impl<C, S> Watcher<C, S>
where
    C: Codec,
    S: StateStore,
{
    /// Updates the record of departures with the positions of primaries that were observed since replicas
    /// left.
    pub fn settle_departures(&self) {
        let now_us = self.gateway.clock.now_us();
        let mut known = self.known.lock();
        for (service, departures) in &mut known.departures {
            // Each service has an entry, and after startup most have nothing to update.
            if departures.is_settled() {
                continue;
            }
            let state = self.gateway.service(service);
            let positions = state.positions.lock();
            departures.update_floors(|left_us| positions.covering(left_us), now_us);
            state.set_departed(departures);
        }
    }

    /// Copies the numbers of departed members that may have changed to the services, where requests read them.
    pub(super) fn publish_departures(&self, known: &mut ClusterState) {
        for service in known.departures_changed.drain() {
            if let Some(departures) = known.departures.get(&service) {
                self.gateway.service(&service).set_departed(departures);
            }
        }
    }

    /// Returns the departed members of a service that a promotion depends on, and the position that makes up
    /// for the others. `primary`, which is to be replaced, is excluded. A primary before it is included: what
    /// the two acknowledged together may be on no other replica.
    pub fn departed(&self, service: &str, primary: Option<&Arc<str>>) -> DepartedMembers {
        let known = self.known.lock();
        let Some(departures) = known.departures.get(service) else {
            return DepartedMembers::default();
        };
        // A target that restarted has the same name but has lost its log, so it can't answer for its earlier
        // incarnation.
        let is_listed =
            |record: &Arc<TargetRecord>| known.targets.id_by_name(&record.name).is_some();
        let needed = departures.required().filter(|(id, _)| Some(*id) != primary);
        let (lost, absent): (Vec<_>, Vec<_>) =
            needed.map(|(_, record)| Arc::clone(record)).partition(is_listed);
        DepartedMembers { absent, lost: lost.len(), floor: departures.floor() }
    }

    /// Returns the departed members of a service that a promotion does not depend on unless they are back.
    pub fn dispensable(&self, service: &str, primary: Option<&Arc<str>>) -> Vec<Arc<TargetRecord>> {
        let known = self.known.lock();
        let Some(departures) = known.departures.get(service) else { return Vec::new() };
        let gone = departures
            .dispensable()
            .filter(|(id, _)| Some(*id) != primary)
            .filter(|(_, record)| known.targets.id_by_name(&record.name).is_none());
        gone.map(|(_, record)| Arc::clone(record)).collect()
    }

    /// Returns the last list entry of a member that left.
    pub fn departed_record(&self, service: &str, id: &str) -> Option<Arc<TargetRecord>> {
        let known = self.known.lock();
        known.departures.get(service)?.record(id).cloned()
    }

    /// Whether the history of a service's members is known well enough to promote one.
    pub fn may_promote(&self, service: &str) -> bool {
        let now_us = self.gateway.clock.now_us();
        let known = self.known.lock();
        known.departures.get(service).is_some_and(|departures| departures.may_promote(now_us))
    }
}
