//! The version of the configuration in force, and how changes make the next one.

use std::sync::Arc;

use skylark_core::process::jitter;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::objects::VmRecord;
use skylark_core::version::spreading::OfferVerdict;
use skylark_core::version::spreading::Source;
use skylark_core::version::spreading::Spreading;
use skylark_core::version::topology::Topology;
use skylark_core::version::topology::Vm;

/// What became of a version that was offered.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ApplyOutcome {
    /// It is in force.
    Version,
    /// Its objects were in force already; its list of VMs is taken.
    VmList,
    /// It says nothing new, or is older than what is in force.
    Unchanged,
    /// The changes start from a later revision than the one in force: a whole snapshot is needed.
    NeedsSnapshot,
}

/// Changes that lead from one revision to a later one.
#[derive(Clone, PartialEq, Debug)]
pub struct Changes {
    /// The revision that they start from; zero for a whole snapshot.
    pub base_revision: u64,
    /// The revision that they lead to.
    pub revision: u64,
    /// The changed objects in their latest version; deleted ones are marked.
    pub objects: Vec<StoredObject>,
    /// The list of VMs, where it comes along.
    pub vms: Option<Vec<VmRecord>>,
}

/// The configuration in force.
#[derive(Debug, Default)]
pub struct Configuration {
    spreading: Spreading,
    snapshot: Snapshot,
    topology: Arc<Topology>,
    vms_digest: u64,
}

impl Configuration {
    /// How versions spread, for decisions about peers.
    pub fn spreading(&mut self) -> &mut Spreading {
        &mut self.spreading
    }

    /// The revision in force; zero before the first.
    pub fn revision(&self) -> u64 {
        self.spreading.revision()
    }

    /// Whether a version is in force.
    pub fn is_ready(&self) -> bool {
        self.spreading.is_ready()
    }

    /// The objects and VMs in force.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The resolved version in force.
    pub fn topology(&self) -> &Arc<Topology> {
        &self.topology
    }

    /// A digest of the list of VMs, which has no revision to compare.
    pub fn vms_digest(&self) -> u64 {
        self.vms_digest
    }

    /// Takes a whole snapshot if it is newer.
    pub fn apply_snapshot(&mut self, snapshot: Snapshot, source: Source) -> ApplyOutcome {
        match self.spreading.judge_offer(snapshot.revision, source) {
            OfferVerdict::Take => {
                self.snapshot = snapshot;
                self.resolve();
                ApplyOutcome::Version
            }
            OfferVerdict::TakeVmsOnly => self.replace_vms(snapshot.vms),
            OfferVerdict::IgnoreOlder => ApplyOutcome::Unchanged,
        }
    }

    /// Takes changes if they lead on from the version in force.
    pub fn apply_changes(&mut self, changes: Changes, source: Source) -> ApplyOutcome {
        let Changes { base_revision, revision, objects, vms } = changes;
        let applicable = base_revision == 0 || self.is_ready() && base_revision <= self.revision();
        if !applicable {
            return ApplyOutcome::NeedsSnapshot;
        }
        match self.spreading.judge_offer(revision, source) {
            OfferVerdict::Take => {
                if base_revision == 0 {
                    self.snapshot.objects.clear();
                }
                self.merge(revision, objects);
                self.snapshot.vms = vms.unwrap_or_else(|| std::mem::take(&mut self.snapshot.vms));
                self.resolve();
                ApplyOutcome::Version
            }
            OfferVerdict::TakeVmsOnly => {
                vms.map_or(ApplyOutcome::Unchanged, |vms| self.replace_vms(vms))
            }
            // The objects are older; the list carries no revision, and a watcher's is fresh.
            OfferVerdict::IgnoreOlder if source != Source::Peer => {
                vms.map_or(ApplyOutcome::Unchanged, |vms| self.replace_vms(vms))
            }
            OfferVerdict::IgnoreOlder => ApplyOutcome::Unchanged,
        }
    }

    /// Takes a list of VMs, which carries no revision.
    pub fn replace_vms(&mut self, vms: Vec<VmRecord>) -> ApplyOutcome {
        if vms == self.snapshot.vms {
            return ApplyOutcome::Unchanged;
        }
        self.snapshot.vms = vms;
        self.resolve();
        ApplyOutcome::VmList
    }

    fn merge(&mut self, revision: u64, objects: Vec<StoredObject>) {
        self.snapshot.revision = revision;
        for object in objects {
            let same =
                |known: &StoredObject| known.kind == object.kind && known.name == object.name;
            match self.snapshot.objects.iter().position(same) {
                Some(index) if object.deleted => {
                    self.snapshot.objects.swap_remove(index);
                }
                Some(index) => self.snapshot.objects[index] = object,
                None if object.deleted => {}
                None => self.snapshot.objects.push(object),
            }
        }
    }

    fn resolve(&mut self) {
        self.topology = Arc::new(Topology::build(&self.snapshot));
        let vms = self.topology.vms.iter();
        let vm_hash = |vm: &Vm| jitter::seed_of(&format!("{vm:?}"));
        self.vms_digest = vms.map(vm_hash).fold(0, u64::wrapping_add);
    }
}
