//! What the list of VMs determines for this process: which VMs watch the store, the paths to targets, and
//! whether the own availability zone is partitioned.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use skylark_core::process::connection_plan;
use skylark_core::process::connection_plan::Demand;
use skylark_core::process::store_calls::StoreAccess;
use skylark_core::version::organisations::Organisations;

use crate::process::counters::Event;
use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::gateway::service_limits;
use crate::sessions::process::limits;
use crate::sessions::process::peer_routes::PeerRoutes;
use crate::sessions::process::target_path::PathInputs;
use crate::sessions::process::targets::AdmissionRole;
use crate::sessions::process::targets::TargetState;
use crate::sessions::store::VmAddress;
use crate::sessions::version::view::View;

/// This VM's part in the admission to a target.
#[derive(Debug)]
struct AdmissionState {
    role: Option<AdmissionRole>,
    /// The VM that statements are sent through; `None` if they are sent to the target.
    via: Option<Arc<str>>,
}

impl AdmissionState {
    fn of<C>(target: &TargetState<C>) -> AdmissionState
    where
        C: Codec,
    {
        AdmissionState { role: target.admission_role(), via: target.via() }
    }
}

impl<C> Gateway<C>
where
    C: Codec,
{
    /// Updates the paths to the active targets for the current primaries, and lets their pools open and close
    /// connections.
    ///
    /// Paths are set anew only if their inputs changed, and at a fixed interval, since ejections expire without
    /// an event.
    pub fn maintain_pools(&self) {
        let (peer_routes, now_us) = (self.peer_routes.load(), self.clock.now_us());
        if self.roles_outdated.swap(false, Ordering::Relaxed) {
            self.activate_connected();
        }
        let paths_checked_us = self.paths_checked_us.load(Ordering::Relaxed);
        let checks_all = paths_checked_us == 0
            || now_us >= paths_checked_us + limits::ALL_PATHS_US
            || peer_routes.take_new_failures();
        if checks_all {
            self.paths_checked_us.store(now_us.max(1), Ordering::Relaxed);
            self.paths_outdated_us.store(now_us, Ordering::Relaxed);
        }
        let view = self.view.load();
        for target in self.active_targets.all() {
            self.counters.event(Event::PathsChecked);
            let inputs = self.path_inputs(&view, &peer_routes, &target);
            let is_unchanged = target.paths_unchanged(inputs) && !checks_all;
            if !is_unchanged && !target.refuses_work(now_us) {
                self.set_path(&peer_routes, &target, inputs, now_us);
            }
            target.maintain();
        }
        let targets = self.targets.load();
        let unused_since_us = now_us.saturating_sub(limits::ALL_PATHS_US);
        self.active_targets.remove_idle(unused_since_us, |id| targets.get(id).is_some());
    }

    /// Records a use of a target and sets its path if that may be outdated. Paths of targets that nobody uses
    /// are not maintained.
    pub fn prepare_path(&self, target: &Arc<TargetState<C>>) {
        let now_us = self.clock.now_us();
        self.active_targets.record_use(target, now_us);
        let outdated_us = self.paths_outdated_us.load(Ordering::Relaxed);
        if target.is_routed_after(outdated_us.max(now_us.saturating_sub(limits::ALL_PATHS_US))) {
            return;
        }
        let (view, peer_routes) = (self.view.load(), self.peer_routes.load());
        let inputs = self.path_inputs(&view, &peer_routes, target);
        self.set_path(&peer_routes, target, inputs, now_us);
    }

    fn path_inputs(
        &self,
        view: &View,
        peer_routes: &PeerRoutes,
        target: &TargetState<C>,
    ) -> PathInputs {
        let service = &target.record.service;
        let demand = demand(view, service, peer_routes);
        let has_precedences = self.service(service).has_precedences.load(Ordering::Relaxed);
        let admission = connection_plan::admission_scope(
            demand,
            has_precedences,
            peer_routes.all_admit_by_class(),
        );
        PathInputs { demand, is_primary: self.is_primary(target), admission }
    }

    fn set_path(
        &self,
        peer_routes: &PeerRoutes,
        target: &TargetState<C>,
        inputs: PathInputs,
        now_us: u64,
    ) {
        self.counters.event(Event::PathsReplaced);
        let (before, after) = target.route(now_us, || {
            let before = AdmissionState::of(target);
            peer_routes.update_path(target, inputs, now_us);
            (before, AdmissionState::of(target))
        });
        if before.role != after.role {
            self.log_admission_role(target, &before, &after, peer_routes.vm_count());
        }
    }

    /// Logs that this VM began or stopped to admit for a target or to be a standby. VMs that only forward log
    /// nothing: in a large fleet each of them does so for most targets.
    fn log_admission_role(
        &self,
        target: &TargetState<C>,
        before: &AdmissionState,
        after: &AdmissionState,
        vms: usize,
    ) {
        if !AdmissionRole::is_home(before.role) && !AdmissionRole::is_home(after.role) {
            return;
        }
        let Some(left_out) = self.log_budget.take("admission_role", self.clock.now_us()) else {
            return;
        };
        slog::info!(self.log, "admission role changed";
            "target" => &*target.record.id,
            "service" => &*target.record.service,
            "role_before" => AdmissionRole::name(before.role),
            "role" => AdmissionRole::name(after.role),
            "via_before" => before.via.as_deref().unwrap_or_default(),
            "via" => after.via.as_deref().unwrap_or_default(),
            "vms" => vms,
            "left_out" => left_out);
    }

    /// Makes the targets active that this process connects to directly.
    fn activate_connected(&self) {
        let (view, peer_routes) = (self.view.load(), self.peer_routes.load());
        for target in self.targets.load().all().filter(|target| !target.activity.is_active()) {
            self.activate_if_connected(&view, &peer_routes, target);
        }
    }

    /// Makes a target active if this process connects to it directly.
    pub(super) fn activate_if_connected(
        &self,
        view: &View,
        peer_routes: &PeerRoutes,
        target: &Arc<TargetState<C>>,
    ) {
        let (record, now_us) = (&target.record, self.clock.now_us());
        let inputs = self.path_inputs(view, peer_routes, target);
        let plan = connection_plan::plan(inputs.demand);
        if peer_routes.is_home(&record.id, &record.zone, plan) {
            self.active_targets.record_use(target, now_us);
            self.set_path(peer_routes, target, inputs, now_us);
        }
    }

    /// Whether this process connects to a target directly. It may become a fallback for the target's homes,
    /// if another VM can't reach those.
    pub fn connects_directly(&self, target: &Arc<TargetState<C>>) -> bool {
        self.prepare_path(target);
        if target.is_direct() {
            return true;
        }
        let (view, peer_routes, now_us) =
            (self.view.load(), self.peer_routes.load(), self.clock.now_us());
        let inputs = self.path_inputs(&view, &peer_routes, target);
        if !peer_routes.become_fallback(target, inputs.demand, now_us) {
            return false;
        }
        self.set_path(&peer_routes, target, inputs, now_us);
        true
    }

    /// Applies the list of VMs.
    pub fn set_vms(&self, vms: &[VmAddress]) {
        let peer_routes = PeerRoutes::new(&self.vm, &self.zone, vms.to_vec());
        self.quotas.set_vms(vms);
        self.store_access.set_fleet(vms.len(), peer_routes.has_direct_access());
        self.peer_routes.store(Arc::new(peer_routes));
        self.set_paths_outdated();
        self.roles_outdated.store(true, Ordering::Relaxed);
    }

    /// Records that what the paths depend on has changed.
    pub(super) fn set_paths_outdated(&self) {
        self.paths_checked_us.store(0, Ordering::Relaxed);
        self.paths_outdated_us.store(self.clock.now_us(), Ordering::Relaxed);
    }

    /// The number of known VMs.
    pub fn vm_count(&self) -> usize {
        self.peer_routes.load().vm_count()
    }

    /// Whether the list of VMs is known.
    pub fn knows_vms(&self) -> bool {
        self.peer_routes.load().is_known()
    }

    /// The VMs that this process subscribes to; empty if it watches the store itself.
    pub fn watchers(&self) -> Vec<VmAddress> {
        self.peer_routes.load().watchers().to_vec()
    }

    /// The VMs that watch the store for other zones.
    pub fn far_watchers(&self) -> Vec<VmAddress> {
        self.peer_routes.load().far_watchers().to_vec()
    }

    /// Whether this process gets the store's state from another VM, which the store answers.
    pub fn has_feed(&self) -> bool {
        self.store_access.access() == StoreAccess::ViaPeer
    }

    /// The VMs that this one may subscribe to while the store refuses it.
    pub fn helpers(&self) -> Vec<VmAddress> {
        self.peer_routes.load().helpers().to_vec()
    }

    /// Whether this process publishes the feed to subscribers.
    pub fn serves_feed(&self) -> bool {
        self.peer_routes.load().has_direct_access()
    }

    /// Whether this process watches the store for other VMs.
    pub fn is_watcher(&self) -> bool {
        self.peer_routes.load().is_watcher()
    }

    /// Whether this process monitors the primary of a service. Only processes with direct connections to a
    /// member do, so that not all VMs probe a failing primary.
    pub fn monitors_primary(&self, service: &str) -> bool {
        self.targets.load().members(service).iter().any(|member| member.is_direct())
    }

    /// Returns up to `limit` other VMs that connect to a target directly; none if it is not listed.
    pub fn vms_connected_to(&self, target_id: &str, limit: usize) -> Vec<VmAddress> {
        let Some(target) = self.target(target_id) else { return Vec::new() };
        let peer_routes = self.peer_routes.load();
        let demand = demand(&self.view.load(), &target.record.service, &peer_routes);
        peer_routes.vms_connected_to(&target, demand, limit)
    }

    /// The other availability zones that have VMs.
    pub fn other_zones(&self) -> Vec<Arc<str>> {
        self.peer_routes.load().other_zones().to_vec()
    }

    /// The VMs of an availability zone.
    pub fn vms_of(&self, zone: &str) -> Vec<VmAddress> {
        self.peer_routes.load().vms_of(zone)
    }

    /// Whether this process's availability zone is partitioned from the others.
    pub fn zone_is_cut(&self) -> bool {
        self.clock.now_us() < self.zone_cut_until_us.load(Ordering::Relaxed)
    }

    /// Sets whether this process's availability zone is partitioned, which holds for
    /// [`limits::ZONE_CUT_HOLDS_US`]. Returns whether that is a change.
    pub fn set_zone_is_cut(&self, is_cut: bool) -> bool {
        let was_cut = self.zone_is_cut();
        let until_us = if is_cut { self.clock.now_us() + limits::ZONE_CUT_HOLDS_US } else { 0 };
        self.zone_cut_until_us.store(until_us, Ordering::Relaxed);
        was_cut != is_cut
    }
}

/// Returns what determines how the connections to a service's targets are divided.
fn demand(view: &View, service: &str, peer_routes: &PeerRoutes) -> Demand {
    Demand {
        max_connections: service_limits(view.routes.as_deref(), service).max_connections,
        vms: peer_routes.vm_count(),
        organisations: view.organisations().map_or(0, Organisations::len),
    }
}
