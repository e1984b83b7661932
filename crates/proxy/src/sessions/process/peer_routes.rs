//! Which VMs hold connections to which targets, and the path of this process to each target.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::process::connection_plan;
use skylark_core::process::connection_plan::AdmissionScope;
use skylark_core::process::connection_plan::ConnectionPlan;
use skylark_core::process::connection_plan::Demand;
use skylark_core::process::homes;
use skylark_core::process::homes::VmRanking;
use skylark_core::process::jitter;

use crate::sessions::codec::Codec;
use crate::sessions::process::limits;
use crate::sessions::process::target_path::PathInputs;
use crate::sessions::process::targets::AdmissionRole;
use crate::sessions::process::targets::TargetState;
use crate::sessions::store::VmAddress;

/// The VMs with their roles, and which of them were unreachable lately.
#[derive(Debug, Default)]
pub struct PeerRoutes {
    own: Arc<str>,
    vms: Vec<VmAddress>,
    /// The VMs, and after them this one if it is not listed, prepared for ranking.
    ranking: VmRanking,
    /// Index of this VM in `ranking`.
    own_index: usize,
    /// Indexes of the VMs of each availability zone.
    by_zone: FastMap<Arc<str>, Vec<usize>>,
    /// Whether all VMs queue forwarded statements by class.
    all_admit_by_class: bool,
    /// The other availability zones that have VMs.
    other_zones: Vec<Arc<str>>,
    /// The VMs of this VM's zone that watch the store for the others.
    watchers: Vec<VmAddress>,
    /// The VMs that watch the store for other zones.
    far_watchers: Vec<VmAddress>,
    /// The VMs that this one may subscribe to while the store refuses it: the watchers of all zones, or all
    /// VMs if each watches the store itself.
    helpers: Vec<VmAddress>,
    /// Cache of the homes of the targets in use. Ranking those of all targets would take processor time that
    /// grows with the product of targets and VMs.
    homes: Mutex<FastMap<Arc<str>, Arc<Homes>>>,
    /// When each VM last was unreachable.
    failed_us: Mutex<FastMap<Arc<str>, u64>>,
    /// Whether a VM became unreachable, so that the paths through it have to change.
    has_new_failures: AtomicBool,
    /// Until when this VM connects to targets directly although it is no home of theirs.
    fallback_until_us: Mutex<FastMap<Arc<str>, u64>>,
}

/// The VMs that may connect to a target directly.
#[derive(Debug)]
struct Homes {
    /// The homes, followed by the fallbacks.
    vms: Vec<VmAddress>,
    /// Number of homes.
    home_count: usize,
    /// Number of fallbacks that this was computed for.
    fallbacks: usize,
    /// The role of this VM.
    role: HomeRole,
    /// Number of VMs that rank before this one.
    rank: usize,
}

/// The role of a VM for a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum HomeRole {
    /// It connects to the target directly.
    Home,
    /// It may connect directly if the homes are unreachable.
    Fallback,
    /// It reaches the target through the homes.
    Neither,
}

impl PeerRoutes {
    /// Computes the roles of the VMs as seen by VM `own` in zone `zone`.
    pub fn new(own: &Arc<str>, zone: &str, vms: Vec<VmAddress>) -> PeerRoutes {
        let has_many = vms.len() > limits::MAX_DIRECT_WATCHERS;
        let zones: BTreeSet<&Arc<str>> = vms.iter().map(|vm| &vm.zone).collect();
        let other_zones =
            zones.iter().map(|it| Arc::clone(it)).filter(|it| **it != *zone).collect();
        // While processes of earlier versions run, all of them have to choose the same watchers.
        let knows_links = vms.iter().all(|vm| vm.link_mbps > 0);
        let watchers_of = |zone: &str| {
            let near: Vec<&VmAddress> =
                vms.iter().filter(|vm| has_many && &*vm.zone == zone).collect();
            top_watchers(zone, &near, knows_links)
        };
        let all_watchers: Vec<VmAddress> =
            zones.into_iter().flat_map(|zone| watchers_of(zone)).collect();
        let (watchers, far_watchers) =
            all_watchers.iter().cloned().partition(|vm| &*vm.zone == zone);
        let mut helpers = if has_many { all_watchers } else { vms.clone() };
        helpers.retain(|vm| vm.name != *own);
        let own_index = vms.iter().position(|vm| vm.name == *own).unwrap_or(vms.len());
        let unlisted = (own_index == vms.len()).then_some(&**own);
        let ranking = VmRanking::new(vms.iter().map(|vm| &*vm.name).chain(unlisted));
        let mut by_zone: FastMap<Arc<str>, Vec<usize>> = FastMap::default();
        for (index, vm) in vms.iter().enumerate() {
            by_zone.entry(Arc::clone(&vm.zone)).or_default().push(index);
        }
        let own = Arc::clone(own);
        let all_admit_by_class = !vms.is_empty() && vms.iter().all(|vm| vm.admits_by_class);
        PeerRoutes {
            own,
            vms,
            ranking,
            own_index,
            by_zone,
            all_admit_by_class,
            other_zones,
            watchers,
            far_watchers,
            helpers,
            ..PeerRoutes::default()
        }
    }

    /// The other availability zones that have VMs.
    pub fn other_zones(&self) -> &[Arc<str>] {
        &self.other_zones
    }

    /// The VMs of an availability zone.
    pub fn vms_of(&self, zone: &str) -> Vec<VmAddress> {
        self.vms.iter().filter(|vm| &*vm.zone == zone).cloned().collect()
    }

    /// The VMs that watch the store for other zones.
    pub fn far_watchers(&self) -> &[VmAddress] {
        &self.far_watchers
    }

    /// Whether this VM watches the store itself, either as a watcher or because the fleet is small.
    pub fn has_direct_access(&self) -> bool {
        self.is_watcher() || self.vms.len() <= limits::MAX_DIRECT_WATCHERS
    }

    /// The VMs that this one may subscribe to while the store refuses it.
    pub fn helpers(&self) -> &[VmAddress] {
        &self.helpers
    }

    /// The VMs that watch the store for this one; empty if it is a watcher itself, or if there are so few VMs
    /// that each watches the store itself.
    pub fn watchers(&self) -> &[VmAddress] {
        match self.is_watcher() {
            true => &[],
            false => &self.watchers,
        }
    }

    /// Whether this VM watches the store for others.
    pub fn is_watcher(&self) -> bool {
        self.watchers.iter().any(|vm| vm.name == self.own)
    }

    /// Removes a target that is no longer listed.
    pub fn forget(&self, target_id: &str) {
        self.homes.lock().remove(target_id);
    }

    /// Returns whether a VM became unreachable since the last call.
    pub fn take_new_failures(&self) -> bool {
        self.has_new_failures.swap(false, Ordering::Relaxed)
    }

    /// The number of known VMs.
    pub fn vm_count(&self) -> usize {
        self.vms.len()
    }

    /// Whether the list of VMs is known.
    pub fn is_known(&self) -> bool {
        !self.vms.is_empty()
    }

    /// Whether all VMs queue forwarded statements by class. A VM of an earlier version closes a connection on
    /// which it receives a class.
    pub fn all_admit_by_class(&self) -> bool {
        self.all_admit_by_class
    }

    /// Sets the path to a target and the number of its connections.
    pub fn update_path<C>(&self, target: &TargetState<C>, inputs: PathInputs, now_us: u64)
    where
        C: Codec,
    {
        let PathInputs { demand, is_primary, admission } = inputs;
        target.set_has_organisations(demand.organisations > 0);
        target.set_admission(admission);
        match connection_plan::plan(demand) {
            ConnectionPlan::Direct { primary, replica } => {
                target.set_admission_role(None);
                target.set_via(None);
                target.divide_users(&[]);
                let share = if is_primary { primary } else { replica };
                target.configure(share);
            }
            ConnectionPlan::Homes { share, fallbacks } => {
                let homes = self.homes_of(target, fallbacks);
                self.eject_failing(target, now_us);
                let is_shared = admission == AdmissionScope::PerTarget;
                let home = match is_shared {
                    true => self.admitting_home(target, &homes, now_us),
                    false => self.home_for(&homes, now_us),
                };
                let connects = match homes.role {
                    HomeRole::Home if is_shared => {
                        let is_asked = self.is_fallback(target, now_us);
                        home.is_none() || (is_asked && !target.is_dead_end(None, now_us))
                    }
                    HomeRole::Home => true,
                    HomeRole::Fallback => home.is_none() || self.is_fallback(target, now_us),
                    HomeRole::Neither => {
                        self.is_fallback(target, now_us)
                            || (home.is_none()
                                && self.connects_as_last_resort(target, &homes, now_us))
                    }
                };
                // If no home is reachable, the failing path is as good as any other.
                if connects {
                    target.set_via(None);
                } else if home.is_some() || target.via().is_none() {
                    target.set_via(home.or(homes.vms.first()));
                }
                target.set_admission_role(match homes.role {
                    _ if !is_shared => None,
                    _ if connects => Some(AdmissionRole::Admits),
                    HomeRole::Home => Some(AdmissionRole::Standby),
                    HomeRole::Fallback | HomeRole::Neither => Some(AdmissionRole::Forwards),
                });
                match is_shared {
                    true => target.divide_users(&[]),
                    false => self.divide_users(target, &homes, demand, now_us),
                }
                target.configure(match homes.role {
                    _ if !connects && is_shared => limits::ADMISSION_PEER_CONNECTIONS,
                    _ if !connects => limits::PEER_CONNECTIONS,
                    HomeRole::Home if is_shared && home.is_some() => {
                        connection_plan::standby_share(demand.max_connections)
                    }
                    HomeRole::Home if is_shared => {
                        connection_plan::admitting_share(demand.max_connections)
                    }
                    HomeRole::Home => share,
                    HomeRole::Fallback | HomeRole::Neither => 1,
                });
            }
        }
    }

    /// Divides organisations among the reachable homes. Homes divide their own callers' statements as well. A
    /// fallback connects directly because it reaches no home, so it sends all statements itself.
    fn divide_users<C>(&self, target: &TargetState<C>, homes: &Homes, demand: Demand, now_us: u64)
    where
        C: Codec,
    {
        let is_fallback = homes.role != HomeRole::Home && target.via().is_none();
        if demand.organisations == 0 || is_fallback {
            target.divide_users(&[]);
            return;
        }
        let failed_us = self.failed_us.lock();
        let reachable_for = |span_us: u64| -> Vec<Option<&VmAddress>> {
            let reachable = homes.vms[..homes.home_count]
                .iter()
                .filter(|vm| not_failed_within(span_us, &failed_us, vm, now_us));
            reachable.map(|vm| (vm.name != self.own).then_some(vm)).collect()
        };
        let mut reachable = reachable_for(limits::HOME_EJECTION_US);
        if reachable.is_empty() {
            reachable = reachable_for(limits::LEAST_HOME_EJECTION_US);
        }
        target.divide_users(&reachable);
    }

    /// Whether this VM has had no working path to a target for so long that it has to connect directly. It
    /// then connects directly for [`limits::FALLBACK_US`].
    fn connects_as_last_resort<C>(
        &self,
        target: &TargetState<C>,
        homes: &Homes,
        now_us: u64,
    ) -> bool
    where
        C: Codec,
    {
        let Some(since_us) = target.health().path_failed_since_us else { return false };
        let without_path_us = now_us.saturating_sub(since_us);
        let fallback_count = connection_plan::fallback_count(homes.fallbacks, without_path_us);
        if homes.rank >= fallback_count {
            return false;
        }
        self.set_fallback(target, now_us);
        true
    }

    fn set_fallback<C>(&self, target: &TargetState<C>, now_us: u64)
    where
        C: Codec,
    {
        let until_us = now_us + limits::FALLBACK_US;
        self.fallback_until_us.lock().insert(Arc::clone(&target.record.id), until_us);
    }

    /// Makes this VM a temporary fallback for the homes of a target, if it has that role. Returns whether it
    /// has.
    pub fn become_fallback<C>(&self, target: &TargetState<C>, demand: Demand, now_us: u64) -> bool
    where
        C: Codec,
    {
        let plan = connection_plan::plan(demand);
        let ConnectionPlan::Homes { fallbacks, .. } = plan else { return false };
        match self.homes_of(target, fallbacks).role {
            HomeRole::Fallback => (),
            // The other VM can't reach the home that admits for all VMs.
            HomeRole::Home if target.shares_admission() => (),
            HomeRole::Home | HomeRole::Neither => return false,
        }
        self.set_fallback(target, now_us);
        true
    }

    fn is_fallback<C>(&self, target: &TargetState<C>, now_us: u64) -> bool
    where
        C: Codec,
    {
        let mut fallback_until_us = self.fallback_until_us.lock();
        fallback_until_us.retain(|_, until_us| now_us < *until_us);
        fallback_until_us.contains_key(&target.record.id)
    }

    /// Returns the VMs that may connect to a target directly: homes in the target's zone, or in all zones if
    /// it has no VM there, and fallbacks in the other zones.
    fn homes_of<C>(&self, target: &TargetState<C>, fallbacks: usize) -> Arc<Homes>
    where
        C: Codec,
    {
        let id = &target.record.id;
        let mut known = self.homes.lock();
        if let Some(homes) = known.get(id).filter(|homes| homes.fallbacks == fallbacks) {
            return Arc::clone(homes);
        }
        let homes = Arc::new(self.rank_homes(id, &target.record.zone, fallbacks));
        known.insert(Arc::clone(id), Arc::clone(&homes));
        homes
    }

    /// Whether this VM connects to a target directly under this plan while all VMs are reachable.
    pub fn is_home(&self, target_id: &str, zone: &str, plan: ConnectionPlan) -> bool {
        if let ConnectionPlan::Direct { .. } = plan {
            return true;
        }
        let own_zone = self.vms.get(self.own_index).map(|vm| &*vm.zone);
        let is_candidate =
            own_zone.is_some_and(|own_zone| own_zone == zone || !self.by_zone.contains_key(zone));
        is_candidate && {
            let (candidates, count) = (self.home_candidates(zone), connection_plan::HOMES);
            self.ranking.is_in_top(target_id, candidates, count, self.own_index)
        }
    }

    /// Returns the indexes of the VMs among which the homes of a zone's targets are: those of the zone, or all
    /// if it has none.
    fn home_candidates(&self, zone: &str) -> impl Iterator<Item = usize> {
        let near = self.by_zone.get(zone);
        let all = if near.is_none() { 0..self.vms.len() } else { 0..0 };
        near.into_iter().flatten().copied().chain(all)
    }

    /// Returns up to `limit` other VMs that connect to a target directly under this plan.
    pub fn vms_connected_to<C>(
        &self,
        target: &TargetState<C>,
        demand: Demand,
        limit: usize,
    ) -> Vec<VmAddress>
    where
        C: Codec,
    {
        let vms = match connection_plan::plan(demand) {
            ConnectionPlan::Direct { .. } => self.vms.clone(),
            ConnectionPlan::Homes { fallbacks, .. } => self.homes_of(target, fallbacks).vms.clone(),
        };
        vms.into_iter().filter(|vm| vm.name != self.own).take(limit).collect()
    }

    fn rank_homes(&self, target_id: &str, zone: &str, fallbacks: usize) -> Homes {
        let candidates = self.home_candidates(zone);
        let mut indexes = self.ranking.top(target_id, candidates, connection_plan::HOMES);
        let home_count = indexes.len();
        if self.by_zone.contains_key(zone) {
            let far = (0..self.vms.len()).filter(|vm| &*self.vms[*vm].zone != zone);
            indexes.extend(self.ranking.top(target_id, far, fallbacks));
        }
        let role = match indexes.iter().position(|index| *index == self.own_index) {
            None => HomeRole::Neither,
            Some(rank) if rank < home_count => HomeRole::Home,
            Some(_) => HomeRole::Fallback,
        };
        let rank = self.ranking.rank_of(target_id, self.own_index);
        let vms = indexes.into_iter().map(|index| self.vms[index].clone()).collect();
        Homes { vms, home_count, fallbacks, role, rank }
    }

    fn eject_failing<C>(&self, target: &TargetState<C>, now_us: u64)
    where
        C: Codec,
    {
        let mut failed_us = self.failed_us.lock();
        target.for_each_path(|path| {
            if let Some(via) = &path.via
                && path.pool.is_failing()
                && failed_us.insert(Arc::clone(via), now_us).is_none()
            {
                self.has_new_failures.store(true, Ordering::Relaxed);
            }
        });
        failed_us.retain(|_, failed_us| now_us < *failed_us + limits::HOME_EJECTION_US);
    }

    /// Returns the VM that admits the statements for a target: the first home that is reachable and reaches
    /// the target, or a fallback if no home does; `None` if it is this VM.
    fn admitting_home<'a, C>(
        &self,
        target: &TargetState<C>,
        homes: &'a Homes,
        now_us: u64,
    ) -> Option<&'a VmAddress>
    where
        C: Codec,
    {
        let failed_us = self.failed_us.lock();
        let is_own = |home: &VmAddress| home.name == self.own;
        let is_reachable = |home: &VmAddress, span_us: u64| {
            is_own(home) || not_failed_within(span_us, &failed_us, home, now_us)
        };
        let reaching = |home: &&VmAddress| {
            let via = (!is_own(home)).then_some(&home.name);
            !target.is_dead_end(via, now_us)
        };
        let (first, fallbacks) = homes.vms.split_at(homes.home_count);
        let usable = |home: &&VmAddress| is_reachable(home, limits::LEAST_HOME_EJECTION_US);
        let stable = |home: &&VmAddress| is_reachable(home, limits::HOME_EJECTION_US);
        let admitting = first.iter().filter(reaching).find(stable);
        let admitting = admitting
            .or_else(|| first.iter().chain(fallbacks).filter(reaching).find(usable))
            // If no path reaches the target, it has likely failed itself.
            .or_else(|| first.iter().find(stable))
            .or_else(|| first.iter().chain(fallbacks).find(usable));
        admitting.filter(|home| !is_own(home))
    }

    /// Returns the VM that this process sends statements through. Processes start with different homes. A
    /// home that was unreachable lately is replaced by the next one, and by a fallback if no home is
    /// reachable.
    fn home_for<'a>(&self, homes: &'a Homes, now_us: u64) -> Option<&'a VmAddress> {
        let failed_us = self.failed_us.lock();
        let (first, fallbacks) = homes.vms.split_at(homes.home_count);
        let offset = jitter::seed_of(&self.own) as usize % first.len().max(1);
        let rotated = || first.iter().cycle().skip(offset).take(first.len());
        let may_be_reached = |home: &&VmAddress| {
            home.name != self.own
                && not_failed_within(limits::LEAST_HOME_EJECTION_US, &failed_us, home, now_us)
        };
        let is_stable = |home: &&VmAddress| {
            not_failed_within(limits::HOME_EJECTION_US, &failed_us, home, now_us)
        };
        let preferred = rotated().filter(may_be_reached).find(is_stable);
        preferred.or_else(|| rotated().chain(fallbacks).find(may_be_reached))
    }
}

/// Whether a VM had no failure within the last `span_us`.
fn not_failed_within(
    span_us: u64,
    failed_us: &FastMap<Arc<str>, u64>,
    vm: &VmAddress,
    now_us: u64,
) -> bool {
    failed_us.get(&vm.name).is_none_or(|failed_us| now_us >= failed_us + span_us)
}

/// Returns the watchers of a zone among its VMs: those with the fastest links, if these are known, and of
/// equal ones those that rank highest. Each watcher sends the whole state to half of the VMs of its zone when
/// all of them start, which takes a slow link seconds.
fn top_watchers(zone: &str, vms: &[&VmAddress], knows_links: bool) -> Vec<VmAddress> {
    let names: Vec<&str> = vms.iter().map(|vm| &*vm.name).collect();
    let mut indexes = homes::rank_names(zone, &names, vms.len());
    if knows_links {
        indexes.sort_by_key(|index| Reverse(vms[*index].link_mbps));
    }
    indexes.truncate(homes::WATCHERS_PER_ZONE);
    indexes.into_iter().map(|index| vms[index].clone()).collect()
}
