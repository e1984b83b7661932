//! Determines which VMs are home to a target, that is, connect to it.
//!
//! A target with 16 connections can't be dialled by hundreds of proxies. Each target has a few
//! homes among the VMs of its own zone, ranked by rendezvous hashing (Thaler and Ravishankar,
//! "Using name-based mappings to increase hit rates"): every proxy computes the same score for each
//! pair of target and VM from their names alone, and the VMs with the highest scores are the homes.
//! The loss of a VM moves only the targets that it was home to. Proxies exchange no messages about
//! homes; two whose lists of VMs differ for a while disagree only about the targets that the
//! difference affects.
//!
//! If a zone has no usable VM, the VMs of the other zones become homes of its targets.

use xxhash_rust::xxh3;

use crate::ids::TargetId;
use crate::ids::VmId;
use crate::ids::ZoneId;
use crate::version::topology::Topology;

/// The default number of homes per target.
pub const DEFAULT_HOMES: usize = 2;

/// The number of VMs of a zone that watch the platform on behalf of the others.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Seeds of the hashes. They are part of the protocol: proxies with different seeds compute
/// different homes.
const VM_SEED: u64 = 0x5b1d_03c7_9e42_a6f1;
const TARGET_SEED: u64 = 0x2c94_7ae5_613b_d08f;
const USER_SEED: u64 = 0x81f6_22d9_0c4b_e735;
const PAIR_SEED: u64 = 0xd30f_86b2_47c9_51e4;

/// Returns the share of a target's connections that the home of this rank may open.
///
/// The shares of all ranks add up to exactly `connections`. If there are fewer connections than
/// homes, the highest-numbered ranks get none; a rank at or beyond `homes` gets none.
pub fn connection_share(connections: u32, homes: usize, rank: usize) -> u32 {
    if rank >= homes {
        return 0;
    }
    let homes = homes as u32;
    let remainder = u32::from((rank as u32) < connections % homes);
    connections / homes + remainder
}

/// An entry of a ranking: the score, with the hash of the VM's name and its index as tie-breakers.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct Ranked {
    score: u64,
    vm_hash: u64,
    vm: VmId,
}

/// The attributes of a VM that the ranking uses.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    hash: u64,
    zone: ZoneId,
    usable: bool,
}

/// The attributes of a target that the ranking uses.
#[derive(Clone, Copy, Debug)]
struct TargetKey {
    hash: u64,
    zone: ZoneId,
}

/// The homes of every target in one version of the configuration.
#[derive(Clone, Debug)]
pub struct Homes {
    homes_per_target: usize,
    vms: Vec<Candidate>,
    targets: Vec<TargetKey>,
    zone_hashes: Vec<u64>,
    vms_by_zone: Vec<Vec<VmId>>,
    targets_by_zone: Vec<Vec<TargetId>>,
    homes: Vec<Vec<VmId>>,
}

impl Homes {
    /// Ranks the VMs of a version for every target. `usable` gives for each VM, indexed by
    /// [`VmId`], whether it may receive work; see `process/membership.rs`.
    pub fn build(topology: &Topology, usable: &[bool], homes_per_target: usize) -> Homes {
        let zones = topology.zones.len();
        let mut homes = Homes {
            homes_per_target,
            vms: Vec::with_capacity(topology.vms.len()),
            targets: Vec::with_capacity(topology.targets.len()),
            zone_hashes: topology.zones.iter().map(|zone| hash_name(zone, TARGET_SEED)).collect(),
            vms_by_zone: vec![Vec::new(); zones],
            targets_by_zone: vec![Vec::new(); zones],
            homes: vec![Vec::new(); topology.targets.len()],
        };
        for (index, vm) in topology.vms.iter().enumerate() {
            let hash = hash_name(&vm.name, VM_SEED);
            homes.vms.push(Candidate { hash, zone: vm.zone, usable: usable[index] });
            homes.vms_by_zone[vm.zone.index()].push(VmId(index as u32));
        }
        for (index, target) in topology.targets.iter().enumerate() {
            let hash = hash_name(&target.name, TARGET_SEED);
            homes.targets.push(TargetKey { hash, zone: target.zone });
            homes.targets_by_zone[target.zone.index()].push(TargetId(index as u32));
        }
        for target in 0..homes.targets.len() {
            homes.rank_target(TargetId(target as u32));
        }
        homes
    }

    /// Returns the homes of a target in order of rank.
    pub fn of(&self, target: TargetId) -> &[VmId] {
        &self.homes[target.index()]
    }

    /// Returns the homes of all targets, indexed by [`TargetId`].
    pub fn all(&self) -> &[Vec<VmId>] {
        &self.homes
    }

    /// Returns the rank of a VM among the homes of a target, or `None` if it is not a home.
    pub fn rank_of(&self, target: TargetId, vm: VmId) -> Option<usize> {
        self.of(target).iter().position(|home| *home == vm)
    }

    /// Sets whether a VM may receive work, and recomputes only the affected targets.
    ///
    /// Returns the targets whose homes changed.
    pub fn set_usable(&mut self, vm: VmId, usable: bool) -> Vec<TargetId> {
        let candidate = &mut self.vms[vm.index()];
        if candidate.usable == usable {
            return Vec::new();
        }
        candidate.usable = usable;
        let zone = candidate.zone;
        // When the last usable VM of a zone is lost or the first one returns, the zone's targets
        // move to or from the other zones. The homes of a zone without usable VMs depend on the VMs
        // of all other zones.
        let mut changed = Vec::new();
        for index in 0..self.targets.len() {
            let target = TargetId(index as u32);
            let key = self.targets[index];
            if (key.zone == zone || !self.zone_has_usable(key.zone))
                && self.update_target(target, vm, usable)
            {
                changed.push(target);
            }
        }
        changed
    }

    /// Returns the VMs of a zone that watch the platform on behalf of the others, in order of rank.
    pub fn watchers(&self, zone: ZoneId) -> Vec<VmId> {
        let vms = self.vms_by_zone[zone.index()].iter().copied();
        self.best(self.zone_hashes[zone.index()], vms, WATCHERS_PER_ZONE)
    }

    /// Returns every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        for (index, homes) in self.homes.iter().enumerate() {
            let key = self.targets[index];
            let expected = self.ranking(key.hash, key.zone, self.homes_per_target);
            if *homes != expected {
                problems.push(format!("target{index} has homes {homes:?}, not {expected:?}"));
            }
            if let Some(vm) = homes.iter().find(|vm| !self.vms[vm.index()].usable) {
                problems.push(format!("target{index} has the unusable home {vm}"));
            }
        }
        problems
    }

    fn zone_has_usable(&self, zone: ZoneId) -> bool {
        self.vms_by_zone[zone.index()].iter().any(|vm| self.vms[vm.index()].usable)
    }

    fn update_target(&mut self, target: TargetId, vm: VmId, usable: bool) -> bool {
        let key = self.targets[target.index()];
        let homes = &self.homes[target.index()];
        let is_affected = if usable { self.would_be_home(target, vm) } else { homes.contains(&vm) };
        if !is_affected {
            return false;
        }
        self.homes[target.index()] = self.ranking(key.hash, key.zone, self.homes_per_target);
        true
    }

    fn would_be_home(&self, target: TargetId, vm: VmId) -> bool {
        let homes = &self.homes[target.index()];
        let key = self.targets[target.index()];
        let Some(lowest) = homes.last() else { return true };
        let from_elsewhere = self.vms[lowest.index()].zone != key.zone;
        let own_zone = self.vms[vm.index()].zone == key.zone;
        if homes.len() < self.homes_per_target || (own_zone && from_elsewhere) {
            return true;
        }
        self.ranked(key.hash, vm) > self.ranked(key.hash, *lowest)
    }

    fn rank_target(&mut self, target: TargetId) {
        let key = self.targets[target.index()];
        self.homes[target.index()] = self.ranking(key.hash, key.zone, self.homes_per_target);
    }

    fn ranked(&self, key: u64, vm: VmId) -> Ranked {
        let vm_hash = self.vms[vm.index()].hash;
        Ranked { score: score(key, vm_hash), vm_hash, vm }
    }

    fn ranking(&self, key: u64, zone: ZoneId, count: usize) -> Vec<VmId> {
        let own_zone = self.vms_by_zone[zone.index()].iter().copied();
        let homes = self.best(key, own_zone, count);
        if !homes.is_empty() {
            return homes;
        }
        self.best(key, (0..self.vms.len() as u32).map(VmId), count)
    }

    fn best<V>(&self, key: u64, vms: V, count: usize) -> Vec<VmId>
    where
        V: Iterator<Item = VmId>,
    {
        let usable = vms.filter(|vm| self.vms[vm.index()].usable);
        let best = highest(usable.map(|vm| self.ranked(key, vm)), count);
        best.into_iter().map(|ranked| ranked.vm).collect()
    }
}

/// A list of VMs, prepared for ranking it for many targets. It ranks as [`Homes`] does, for uses
/// without a topology.
///
/// With a thousand VMs before three thousand targets, hashing each VM's name for each target took
/// 0.3 s of processor time at each change of the list, which is seconds on a small VM.
#[derive(Clone, Debug, Default)]
pub struct VmRanking {
    /// The hash of each VM's name.
    hashes: Vec<u64>,
}

impl VmRanking {
    /// Prepares a list of VMs, which are referred to by their indexes.
    pub fn new<'a, N>(names: N) -> VmRanking
    where
        N: IntoIterator<Item = &'a str>,
    {
        VmRanking { hashes: names.into_iter().map(|name| hash_name(name, VM_SEED)).collect() }
    }

    /// Returns the VMs among `candidates` that rank highest for a target, best first, at most
    /// `count`.
    pub fn top<I>(&self, target: &str, candidates: I, count: usize) -> Vec<usize>
    where
        I: IntoIterator<Item = usize>,
    {
        let key = hash_name(target, TARGET_SEED);
        let ranked = candidates.into_iter().map(|vm| (self.score(key, vm), vm));
        highest(ranked, count).into_iter().map(|(_, vm)| vm).collect()
    }

    /// Returns whether a VM is among the `count` of `candidates` that rank highest for a target.
    pub fn is_in_top<I>(&self, target: &str, candidates: I, count: usize, vm: usize) -> bool
    where
        I: IntoIterator<Item = usize>,
    {
        let key = hash_name(target, TARGET_SEED);
        let own = self.score(key, vm);
        let higher = candidates.into_iter().filter(|other| self.score(key, *other) > own);
        higher.take(count).count() < count
    }

    /// Returns how many of all VMs rank higher for a target than `vm`.
    pub fn rank_of(&self, target: &str, vm: usize) -> usize {
        let key = hash_name(target, TARGET_SEED);
        let own = self.score(key, vm);
        (0..self.hashes.len()).filter(|other| self.score(key, *other) > own).count()
    }

    /// Returns the ranking key of a VM; the highest key ranks first.
    fn score(&self, key: u64, vm: usize) -> (u64, u64) {
        let vm_hash = self.hashes[vm];
        (score(key, vm_hash), vm_hash)
    }
}

/// Returns the indexes in `vms` of the VMs that rank highest for a target, best first.
pub fn rank_names(target: &str, vms: &[&str], count: usize) -> Vec<usize> {
    VmRanking::new(vms.iter().copied()).top(target, 0..vms.len(), count)
}

/// Returns the score of a home of a target for the connections of one user; the highest score wins.
/// All VMs compute the same scores, so a user's connections to a target are in one process.
pub fn user_score(target: &str, user: &str, vm: &str) -> u64 {
    let key = hash_name(target, TARGET_SEED) ^ hash_name(user, USER_SEED);
    score(key, hash_name(vm, VM_SEED))
}

/// Returns the highest items in descending order, at most `count`.
fn highest<T, I>(items: I, count: usize) -> Vec<T>
where
    T: Ord,
    I: Iterator<Item = T>,
{
    let mut best: Vec<T> = Vec::with_capacity(count + 1);
    for item in items {
        let rank = best.partition_point(|better| *better > item);
        if rank < count {
            best.insert(rank, item);
            best.truncate(count);
        }
    }
    best
}

fn hash_name(name: &str, seed: u64) -> u64 {
    xxh3::xxh3_64_with_seed(name.as_bytes(), seed)
}

fn score(key: u64, vm_hash: u64) -> u64 {
    let mut pair = [0; 16];
    pair[..8].copy_from_slice(&key.to_le_bytes());
    pair[8..].copy_from_slice(&vm_hash.to_le_bytes());
    xxh3::xxh3_64_with_seed(&pair, PAIR_SEED)
}
