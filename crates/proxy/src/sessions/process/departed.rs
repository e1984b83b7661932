//! Members that left the list: what a takeover has to know of them.

use std::sync::Arc;

use skylark_core::log_position::LogPosition;
use skylark_core::version::routes::TargetRecord;

use crate::sessions::codec::Codec;
use crate::sessions::process::watch::ClusterState;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::StateStore;

impl ClusterState {
    /// Whether a target of this name is listed. The name of one that started again stands for its new
    /// start, which holds nothing of what the earlier one held and must not answer for it.
    fn lists_name(&self, name: &str) -> bool {
        self.targets.values().any(|listed| &*listed.record.name == name)
    }
}

/// The departed members of a service that a promotion can't do without.
#[derive(Clone, Debug, Default)]
pub struct DepartedMembers {
    /// Those that may be back and answer for themselves.
    pub away: Vec<Arc<TargetRecord>>,
    /// How many started again under their names, so that nobody can tell what they held.
    pub lost: usize,
    /// What a successor has to have received to do without the others.
    pub floor: LogPosition,
}

impl<C, S> Watcher<C, S>
where
    C: Codec,
    S: StateStore,
{
    /// Takes in what the traffic showed of the primaries since replicas left.
    pub fn settle_departures(&self) {
        let now_us = self.gateway.clock.now_us();
        let mut known = self.known.lock();
        for (service, departures) in &mut known.departures {
            // Each service has an entry, and most have nothing to settle once the start is over.
            if departures.is_at_rest() {
                continue;
            }
            let state = self.gateway.service(service);
            let positions = state.positions.lock();
            departures.settle(|left_us| positions.covering(left_us), now_us);
            state.set_departed(departures);
        }
    }

    /// Puts what is known of departures where requests find it.
    pub(super) fn publish_departures(&self, known: &ClusterState) {
        for (service, departures) in &known.departures {
            self.gateway.service(service).set_departed(departures);
        }
    }

    /// The departed members of a service that a promotion can't do without, and what it has to cover
    /// for the others. The primary that is to be replaced is none of them; one that led before it is:
    /// what the two acknowledged together may be on no other replica.
    pub fn departed(&self, service: &str, primary: Option<&Arc<str>>) -> DepartedMembers {
        let known = self.known.lock();
        let Some(departures) = known.departures.get(service) else {
            return DepartedMembers::default();
        };
        let needed = departures.needed().filter(|(id, _)| Some(*id) != primary);
        let (lost, away): (Vec<_>, Vec<_>) =
            needed.map(|(_, record)| Arc::clone(record)).partition(|it| known.lists_name(&it.name));
        DepartedMembers { away, lost: lost.len(), floor: departures.floor() }
    }

    /// The departed members of a service that a promotion can do without unless they are back.
    pub fn dispensable(&self, service: &str, primary: Option<&Arc<str>>) -> Vec<Arc<TargetRecord>> {
        let known = self.known.lock();
        let Some(departures) = known.departures.get(service) else { return Vec::new() };
        let gone = departures
            .dispensable()
            .filter(|(id, record)| Some(*id) != primary && !known.lists_name(&record.name));
        gone.map(|(_, record)| Arc::clone(record)).collect()
    }

    /// Whether enough is known of a service's past to promote anything.
    pub fn may_promote(&self, service: &str) -> bool {
        let now_us = self.gateway.clock.now_us();
        let known = self.known.lock();
        known.departures.get(service).is_some_and(|departures| departures.may_promote(now_us))
    }
}
