//! Publication of immutable versions of the control state to the traffic threads.

use std::sync::Arc;

use skylark_core::ids::GroupId;
use skylark_core::version::topology::Topology;
use skylark_objects::ObjectStore;

use crate::process::control::Control;
use crate::process::control::group::Group;
use crate::process::member::client::MemberClient;
use crate::version::published::GroupView;
use crate::version::published::Leader;
use crate::version::published::Published;

impl<S, C> Control<S, C>
where
    S: ObjectStore,
    C: MemberClient,
{
    /// Publishes a new version if anything has changed since the last one.
    pub(super) fn publish_changes(&mut self) {
        if !std::mem::take(&mut self.changed) {
            return;
        }
        let topology = Arc::clone(self.configuration.topology());
        let groups = topology.group_ids().map(|id| self.view(&topology, id)).collect();
        let homes = self.homes.as_ref().map(|homes| homes.all().to_vec()).unwrap_or_default();
        let ready = self.configuration.is_ready();
        let (own_vm, stopping) = (self.own_vm(), self.refusing_callers);
        let version = Published { topology, own_vm, groups, homes, ready, stopping };
        self.published.store(Arc::new(version));
    }

    fn view(&self, topology: &Topology, id: GroupId) -> GroupView {
        let group = &self.groups[topology.group(id).name.as_str()];
        let tracking = group.tracking.as_ref();
        GroupView {
            leader: leader(topology, group),
            moving: tracking.is_some_and(|tracking| tracking.driver.holding()),
            stalled: tracking.is_some_and(|tracking| tracking.stalled),
            tracked: tracking.is_some(),
            live: Arc::clone(&group.live),
        }
    }
}

fn leader(topology: &Topology, group: &Group) -> Option<Leader> {
    let (target, term) = group.leader()?;
    let target = topology.target_id(target)?;
    Some(Leader { term, target })
}
