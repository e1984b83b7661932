//! Decides which VMs and targets receive work, from the platform's list and this process's own
//! observations.
//!
//! The list keeps naming a VM for a while after the VM died or started to leave. Without local
//! evidence, requests would be forwarded to it until the list catches up. So local evidence takes
//! effect immediately: one "leaving" answer excludes a VM or target, and a few connection failures
//! do, since a single one may be a lost packet. Evidence expires, so that a VM or target that came
//! back is tried again without a notification; a healthy answer clears it earlier. A VM that is not
//! in the list is never used: evidence can only exclude.

use crate::FastMap;
use crate::version::topology::Target;
use crate::version::topology::Topology;
use crate::version::topology::Vm;

/// An observation of a VM or a target by this process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Evidence {
    /// It answered and accepts work.
    Healthy,
    /// It answered that it is leaving, stopping or drained.
    Leaving,
    /// It refused or reset a connection: no process listens there.
    Refused,
    /// It did not answer in time.
    Unreachable,
}

/// Whether a VM or a target receives work, or the reason why not.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum Usability {
    /// It receives work.
    Usable,
    /// It is leaving according to the list, or an operator drains it.
    ListedLeaving,
    /// It answered that it is leaving.
    ReportedLeaving,
    /// It failed too often to be used.
    Unreachable,
    /// The list doesn't name it.
    Unknown,
}

impl Usability {
    /// Returns whether new work may be sent to it.
    pub fn is_usable(self) -> bool {
        self == Usability::Usable
    }
}

/// The amount of evidence that is needed, and how long it counts.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct MembershipPolicy {
    /// How long a "leaving" answer counts, in microseconds. This must be longer than the platform's
    /// list lags.
    pub leaving_expiry_us: u64,
    /// How long failures count, in microseconds: long enough that they don't expire between two
    /// attempts to reach a dead VM, short enough that a VM that came back is soon used again.
    pub failure_expiry_us: u64,
    /// The number of failure points that exclude a VM or target.
    pub failure_limit: u32,
    /// The failure points of a refused connection.
    pub refused_points: u32,
    /// The failure points of a missing answer.
    pub unreachable_points: u32,
}

impl Default for MembershipPolicy {
    fn default() -> MembershipPolicy {
        MembershipPolicy {
            leaving_expiry_us: 120_000_000,
            failure_expiry_us: 10_000_000,
            failure_limit: 4,
            refused_points: 2,
            unreachable_points: 1,
        }
    }
}

/// The unexpired evidence about one VM or target.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
struct Record {
    leaving_until_us: u64,
    failure_points: u32,
    failures_until_us: u64,
}

impl Record {
    fn is_leaving(&self, now_us: u64) -> bool {
        now_us < self.leaving_until_us
    }

    fn is_unreachable(&self, policy: &MembershipPolicy, now_us: u64) -> bool {
        now_us < self.failures_until_us && self.failure_points >= policy.failure_limit
    }

    fn expires_us(&self) -> u64 {
        self.leaving_until_us.max(self.failures_until_us)
    }

    fn take(&mut self, policy: &MembershipPolicy, evidence: Evidence, now_us: u64) {
        match evidence {
            Evidence::Healthy => *self = Record::default(),
            Evidence::Leaving => self.leaving_until_us = now_us + policy.leaving_expiry_us,
            Evidence::Refused => self.add_failure(policy, policy.refused_points, now_us),
            Evidence::Unreachable => self.add_failure(policy, policy.unreachable_points, now_us),
        }
    }

    fn add_failure(&mut self, policy: &MembershipPolicy, points: u32, now_us: u64) {
        if now_us >= self.failures_until_us {
            self.failure_points = 0;
        }
        self.failure_points = self.failure_points.saturating_add(points);
        self.failures_until_us = now_us + policy.failure_expiry_us;
    }
}

/// The evidence of this process. It is keyed by name because indexes change from version to
/// version.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    policy: MembershipPolicy,
    vms: FastMap<String, Record>,
    targets: FastMap<String, Record>,
}

impl Membership {
    /// Creates a state without evidence.
    pub fn new(policy: MembershipPolicy) -> Membership {
        Membership { policy, ..Membership::default() }
    }

    /// Records evidence about a VM. Returns whether its usability may have changed.
    pub fn record_vm_evidence(&mut self, vm: &str, evidence: Evidence, now_us: u64) -> bool {
        let policy = self.policy;
        apply_evidence(&mut self.vms, &policy, vm, evidence, now_us)
    }

    /// Records evidence about a target. Returns whether its usability may have changed.
    pub fn record_target_evidence(
        &mut self,
        target: &str,
        evidence: Evidence,
        now_us: u64,
    ) -> bool {
        let policy = self.policy;
        apply_evidence(&mut self.targets, &policy, target, evidence, now_us)
    }

    /// Returns the usability of a listed VM.
    pub fn vm_usability(&self, vm: &Vm, now_us: u64) -> Usability {
        self.usability(self.vms.get(&vm.name), vm.leaving, now_us)
    }

    /// Returns the usability of a VM by name; [`Usability::Unknown`] if the version doesn't list it.
    pub fn vm_usability_by_name(&self, topology: &Topology, vm: &str, now_us: u64) -> Usability {
        match topology.vm_id(vm) {
            Some(id) => self.vm_usability(topology.vm(id), now_us),
            None => Usability::Unknown,
        }
    }

    /// Returns the usability of a target.
    pub fn target_usability(&self, target: &Target, now_us: u64) -> Usability {
        self.usability(self.targets.get(&target.name), target.drain, now_us)
    }

    /// Fills `usable` with one entry for each VM of the version, the input of `process/homes.rs`.
    pub fn usable_vms(&self, topology: &Topology, now_us: u64, usable: &mut Vec<bool>) {
        usable.clear();
        usable.extend(topology.vms.iter().map(|vm| self.vm_usability(vm, now_us).is_usable()));
    }

    /// Drops expired evidence and returns when the next evidence expires. The usability can change at
    /// that time without any event.
    pub fn expire(&mut self, now_us: u64) -> Option<u64> {
        self.vms.retain(|_, record| record.expires_us() > now_us);
        self.targets.retain(|_, record| record.expires_us() > now_us);
        let records = self.vms.values().chain(self.targets.values());
        let times = records.flat_map(|record| [record.leaving_until_us, record.failures_until_us]);
        times.filter(|time| *time > now_us).min()
    }

    /// Returns the number of VMs and targets with evidence.
    pub fn len(&self) -> usize {
        self.vms.len() + self.targets.len()
    }

    /// Returns whether there is no evidence.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        for (name, record) in self.vms.iter().chain(self.targets.iter()) {
            if *record == Record::default() {
                problems.push(format!("`{name}` has an empty record"));
            }
            if record.failure_points > 0 && record.failures_until_us == 0 {
                problems.push(format!("the failures of `{name}` have no expiry"));
            }
        }
        problems
    }

    fn usability(&self, record: Option<&Record>, listed_leaving: bool, now_us: u64) -> Usability {
        if listed_leaving {
            return Usability::ListedLeaving;
        }
        match record {
            Some(record) if record.is_leaving(now_us) => Usability::ReportedLeaving,
            Some(record) if record.is_unreachable(&self.policy, now_us) => Usability::Unreachable,
            _ => Usability::Usable,
        }
    }
}

fn apply_evidence(
    records: &mut FastMap<String, Record>,
    policy: &MembershipPolicy,
    name: &str,
    evidence: Evidence,
    now_us: u64,
) -> bool {
    if evidence == Evidence::Healthy {
        return records.remove(name).is_some();
    }
    // The name is copied only for the first evidence: failures of a dead VM are reported
    // repeatedly.
    if let Some(record) = records.get_mut(name) {
        let before = (record.is_leaving(now_us), record.is_unreachable(policy, now_us));
        record.take(policy, evidence, now_us);
        return before != (record.is_leaving(now_us), record.is_unreachable(policy, now_us));
    }
    let mut record = Record::default();
    record.take(policy, evidence, now_us);
    let changed = record.is_leaving(now_us) || record.is_unreachable(policy, now_us);
    records.insert(name.to_owned(), record);
    changed
}
