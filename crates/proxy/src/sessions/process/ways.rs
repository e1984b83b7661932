//! Which VMs hold connections to which targets, and the way that this process takes to each.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::process::connection_plan;
use skylark_core::process::connection_plan::ConnectionPlan;
use skylark_core::process::homes;
use skylark_core::process::jitter;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::limits;
use crate::sessions::process::targets::TargetState;
use crate::sessions::store::StateStore;
use crate::sessions::store::VmAddress;

/// The pauses between the first lists of VMs: all of them start at about the same time.
const FIRST_PAUSES: [Duration; 4] = [
    Duration::from_millis(500),
    Duration::from_millis(1_000),
    Duration::from_millis(2_000),
    Duration::from_millis(3_000),
];

/// The pause between later lists. VMs come and go by hand; one that is gone is passed over without.
const LIST_PAUSE: Duration = Duration::from_millis(5_000);

/// The pause after a list that was not had.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// The VMs, and what was seen of them.
#[derive(Debug, Default)]
pub struct Ways {
    own: Arc<str>,
    vms: Vec<VmAddress>,
    /// Until when VMs are passed over that could not be reached.
    passed_over_us: Mutex<FastMap<Arc<str>, u64>>,
}

impl Ways {
    /// The ways of VM `own` among these.
    pub fn new(own: &Arc<str>, vms: Vec<VmAddress>) -> Ways {
        Ways { own: Arc::clone(own), vms, passed_over_us: Mutex::default() }
    }

    /// The VMs of an availability zone that watch the store for the others; none if this VM is one of
    /// them, or if there are so few VMs that each watches by itself.
    pub fn watchers(&self, zone: &str) -> Vec<VmAddress> {
        if !self.has_many() {
            return Vec::new();
        }
        let near: Vec<&VmAddress> = self.vms.iter().filter(|vm| &*vm.zone == zone).collect();
        let names: Vec<&str> = near.iter().map(|vm| &*vm.name).collect();
        let places = homes::rank_names(zone, &names, homes::WATCHERS_PER_ZONE);
        let watchers = places.into_iter().map(|place| near[place].clone());
        let watchers: Vec<VmAddress> = watchers.collect();
        match watchers.iter().any(|vm| vm.name == self.own) {
            true => Vec::new(),
            false => watchers,
        }
    }

    /// Whether there are so many VMs that some watch the store for the others.
    pub fn has_many(&self) -> bool {
        self.vms.len() > limits::WATCH_ALONE
    }

    /// Whether the VMs are known.
    pub fn is_known(&self) -> bool {
        !self.vms.is_empty()
    }

    /// Sets the way to a target, and how many connections it has.
    pub fn lead<C>(
        &self,
        target: &TargetState<C>,
        max_connections: u32,
        is_primary: bool,
        now_us: u64,
    ) where
        C: Codec,
    {
        match connection_plan::plan(max_connections, self.vms.len()) {
            ConnectionPlan::Direct { primary, replica } => {
                target.go_via(None);
                target.configure(if is_primary { primary } else { replica });
            }
            ConnectionPlan::Homes { share } => {
                let homes = self.homes_of(target);
                let is_home = homes.iter().any(|home| home.name == self.own);
                match self.home_for(target, &homes, now_us).filter(|_| !is_home) {
                    Some(home) => {
                        target.go_via(Some(home));
                        target.configure(limits::PEER_CONNECTIONS);
                    }
                    None => {
                        target.go_via(None);
                        target.configure(if is_home { share } else { 1 });
                    }
                }
            }
        }
    }

    /// The homes of a target: VMs of its availability zone, or of all if there are none there.
    fn homes_of<C>(&self, target: &TargetState<C>) -> Vec<&VmAddress>
    where
        C: Codec,
    {
        let near = self.vms.iter().filter(|vm| vm.zone == target.record.zone);
        let mut fit: Vec<&VmAddress> = near.collect();
        if fit.is_empty() {
            fit = self.vms.iter().collect();
        }
        let names: Vec<&str> = fit.iter().map(|vm| &*vm.name).collect();
        let places = homes::rank_names(&target.record.id, &names, connection_plan::HOMES);
        places.into_iter().map(|place| fit[place]).collect()
    }

    /// The home that this process sends its statements through: another one for each process, and
    /// the next one while that can't be reached.
    fn home_for<'a, C>(
        &self,
        target: &TargetState<C>,
        homes: &[&'a VmAddress],
        now_us: u64,
    ) -> Option<&'a VmAddress>
    where
        C: Codec,
    {
        let mut passed_over_us = self.passed_over_us.lock();
        if let Some(via) = target.via()
            && target.pool().is_failing()
        {
            passed_over_us.insert(via, now_us + limits::HOME_PASSED_OVER_US);
        }
        passed_over_us.retain(|_, until_us| now_us < *until_us);
        let first = jitter::seed_of(&self.own) as usize % homes.len().max(1);
        let order = homes.iter().cycle().skip(first).take(homes.len());
        order.copied().find(|home| !passed_over_us.contains_key(&home.name))
    }
}

/// Writes down where this VM is, and follows the list of all for ever.
pub async fn follow_vms<C, S>(gateway: Arc<Gateway<C>>, own: VmAddress, store: S)
where
    C: Codec,
    S: StateStore,
{
    while let Err(error) = store.register_vm(&own).await {
        slog::info!(gateway.log, "the VM's address was not written"; "reason" => error.to_string());
        time::sleep(RETRY_PAUSE).await;
    }
    let mut pauses = FIRST_PAUSES.into_iter();
    let mut known = Vec::new();
    loop {
        match store.vms().await {
            Ok(mut vms) => {
                vms.sort_by(|a, b| a.name.cmp(&b.name));
                // A late list may lack this VM's own entry.
                if !vms.iter().any(|vm| vm.name == own.name) {
                    vms.push(own.clone());
                }
                if vms != known {
                    slog::info!(gateway.log, "list of VMs"; "vms" => vms.len());
                    known.clone_from(&vms);
                    gateway.set_vms(vms);
                }
                time::sleep(pauses.next().unwrap_or(LIST_PAUSE)).await;
            }
            Err(error) => {
                slog::info!(gateway.log, "no list of VMs"; "reason" => error.to_string());
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}
