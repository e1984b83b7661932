//! All pools of the process: one per target that this VM is home to, and one per other proxy and group
//! that requests are forwarded to.
//!
//! Pools are looked up by name, since the ids of targets and VMs change between versions.

use std::sync::Arc;

use parking_lot::RwLock;
use skylark_core::FastMap;
use skylark_core::ids::GroupId;
use skylark_core::ids::TargetId;
use skylark_core::ids::VmId;
use skylark_core::process::connection_budget::BudgetPolicy;
use skylark_core::process::homes;
use skylark_core::process::jitter;
use skylark_core::process::sharing::ClassShare;
use skylark_core::process::sharing::queue::QueueLimits;
use skylark_core::version::topology::Service;
use skylark_core::version::topology::Target;

use crate::connection::admission::AdmissionQueue;
use crate::connection::limits::TrafficLimits;
use crate::connection::pool::Pool;
use crate::connection::pool::PoolOptions;
use crate::connection::target_connection::Login;
use crate::connection::target_connection::TargetConnection;
use crate::process::clock::MonotonicClock;
use crate::process::counters::Counters;
use crate::version::published::Published;

/// One statement more than the target has slots is admitted, so that no slot is idle while an answer is
/// in transit.
const RUNNING_BEYOND_SLOTS: u32 = 1;

/// The pools to one VM by group.
type GroupPools = FastMap<String, Arc<Pool<TargetConnection>>>;

/// A target that this VM is home to.
#[derive(Debug)]
pub struct TargetPool {
    /// The connection pool.
    pub pool: Arc<Pool<TargetConnection>>,
    /// The admission queue in front of the pool.
    pub queue: Arc<AdmissionQueue>,
}

/// The pools of one process.
#[derive(Debug)]
pub struct Pools {
    vm: String,
    zone: String,
    limits: TrafficLimits,
    clock: MonotonicClock,
    counters: Arc<Counters>,
    targets: RwLock<FastMap<String, Arc<TargetPool>>>,
    /// Pools to other proxies, by VM and group.
    peers: RwLock<FastMap<String, GroupPools>>,
}

impl Pools {
    /// Creates an empty set of pools.
    pub fn new(
        vm: &str,
        zone: &str,
        limits: &TrafficLimits,
        clock: MonotonicClock,
        counters: &Arc<Counters>,
    ) -> Pools {
        Pools {
            vm: vm.to_owned(),
            zone: zone.to_owned(),
            limits: limits.clone(),
            clock,
            counters: Arc::clone(counters),
            targets: RwLock::default(),
            peers: RwLock::default(),
        }
    }

    /// Returns the pool of a target that this VM is home to, and creates it if needed.
    pub fn target(&self, published: &Published, id: TargetId) -> Arc<TargetPool> {
        let target = published.topology.target(id);
        let is_current = |entry: &&Arc<TargetPool>| entry.pool.address() == target.address;
        if let Some(known) = self.targets.read().get(&target.name).filter(is_current) {
            return Arc::clone(known);
        }
        // The pool is created under the write lock. Of two pools created concurrently, one would be
        // lost from the table together with its connections, and the target would get twice this home's
        // share of connections.
        let mut targets = self.targets.write();
        if let Some(known) = targets.get(&target.name).filter(is_current) {
            return Arc::clone(known);
        }
        let created = self.new_target(published, id);
        if let Some(old) = targets.insert(target.name.clone(), Arc::clone(&created)) {
            old.pool.set_share(0);
            old.pool.maintain();
        }
        created
    }

    /// Returns the pool to another proxy for one group, and creates it if needed.
    pub fn peer(
        &self,
        published: &Published,
        vm: VmId,
        group: GroupId,
    ) -> Arc<Pool<TargetConnection>> {
        let vm = published.topology.vm(vm);
        let group = &published.topology.group(group).name;
        let is_current = |pool: &&Arc<Pool<TargetConnection>>| pool.address() == vm.address;
        let find = |peers: &FastMap<String, GroupPools>| {
            let found = peers.get(&vm.name).and_then(|groups| groups.get(group));
            found.filter(is_current).map(Arc::clone)
        };
        if let Some(known) = find(&self.peers.read()) {
            return known;
        }
        let mut peers = self.peers.write();
        if let Some(known) = find(&peers) {
            return known;
        }
        let login = Login { forwarded_by: Some(self.vm.clone()), ..self.login(group) };
        let pool = self.new_pool(&vm.address, login, &vm.name);
        pool.set_share(self.limits.peer_connections);
        let groups = peers.entry(vm.name.clone()).or_default();
        if let Some(old) = groups.insert(group.clone(), Arc::clone(&pool)) {
            old.set_share(0);
            old.maintain();
        }
        pool
    }

    /// Aligns the pools with a version, and lets each pool open and close connections.
    pub fn maintain(&self, published: &Published) {
        self.close_removed(published);
        for index in 0..published.homes.len() {
            let id = TargetId(index as u32);
            if published.is_home(id) {
                let entry = self.target(published, id);
                self.configure(published, id, &entry);
                entry.pool.maintain();
            }
        }
        for groups in self.peers.read().values() {
            groups.values().for_each(Pool::maintain);
        }
    }

    /// Closes the connections to targets that this VM is no longer home to, and to VMs that were
    /// removed.
    fn close_removed(&self, published: &Published) {
        let topology = &published.topology;
        self.targets.write().retain(|name, entry| {
            let is_home = topology.target_id(name).is_some_and(|id| published.is_home(id));
            if !is_home {
                entry.pool.set_share(0);
                entry.pool.maintain();
            }
            is_home
        });
        self.peers.write().retain(|name, groups| {
            let is_listed = topology.vm_id(name).is_some();
            if !is_listed {
                groups.values().for_each(|pool| pool.set_share(0));
                groups.values().for_each(Pool::maintain);
            }
            is_listed
        });
    }

    fn configure(&self, published: &Published, id: TargetId, entry: &TargetPool) {
        let target = published.topology.target(id);
        let service = published.topology.service_of(target.group);
        let homes = published.homes_of(id);
        let rank = published.own_vm.and_then(|own| homes.iter().position(|home| *home == own));
        let Some(rank) = rank else { return };
        let limits = self.queue_limits(target, homes.len(), rank);
        entry.pool.set_share(limits.connections);
        entry.queue.configure(limits, &class_shares(service));
    }

    fn queue_limits(&self, target: &Target, homes: usize, rank: usize) -> QueueLimits {
        let queued = self.limits.queue_length;
        let queued_per_class = queued / 2 + 1;
        let defaults = QueueLimits::default();
        QueueLimits {
            running: homes::connection_share(target.slots, homes, rank) + RUNNING_BEYOND_SLOTS,
            connections: homes::connection_share(target.connections, homes, rank),
            queued,
            queued_per_class,
            queued_per_caller: (queued_per_class / 8).clamp(1, defaults.queued_per_caller),
            ..defaults
        }
    }

    fn new_target(&self, published: &Published, id: TargetId) -> Arc<TargetPool> {
        let target = published.topology.target(id);
        let group = &published.topology.group(target.group).name;
        let pool = self.new_pool(&target.address, self.login(group), &target.name);
        let classes = class_shares(published.topology.service_of(target.group));
        let queue = AdmissionQueue::new(QueueLimits::default(), &classes, self.clock);
        let entry = TargetPool { pool, queue: Arc::new(queue) };
        self.configure(published, id, &entry);
        Arc::new(entry)
    }

    fn login(&self, group: &str) -> Login {
        Login {
            database: group.to_owned(),
            application_name: format!("{}/{}", self.zone, self.vm),
            forwarded_by: None,
        }
    }

    fn new_pool(&self, address: &str, login: Login, other: &str) -> Arc<Pool<TargetConnection>> {
        let options = PoolOptions {
            address: address.to_owned(),
            login,
            connect_ms: self.limits.connect_ms,
            budget: BudgetPolicy::default(),
            drain_ms: self.limits.drain_ms,
            reset_always: self.limits.reset_always,
            jitter_seed: jitter::seed_of(&self.vm) ^ jitter::seed_of(other),
            clock: self.clock,
        };
        Arc::new(Pool::new(options, Arc::clone(&self.counters)))
    }
}

fn class_shares(service: &Service) -> Vec<ClassShare> {
    let share = |class: &skylark_core::version::objects::ClassSpec| ClassShare {
        weight: class.weight.max(1),
        goal_us: class.goal_ms.max(1) * 1_000,
    };
    service.classes.iter().map(share).collect()
}
