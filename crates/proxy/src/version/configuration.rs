//! The configuration in force, and the application of snapshots, incremental changes and VM lists to it.
//!
//! The revision of the objects never decreases. The list of VMs carries no revision, so it can be
//! replaced while the revision stays the same.

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

/// The result of applying an offered version.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ApplyOutcome {
    /// The offered version is now in force.
    Version,
    /// The objects were already in force; only the list of VMs was replaced.
    VmList,
    /// The offer changed nothing, or is older than the version in force.
    Unchanged,
    /// The changes are based on a later revision than the one in force, so a full snapshot is needed.
    NeedsSnapshot,
}

/// The changes between one revision and a later one.
#[derive(Clone, PartialEq, Debug)]
pub struct Changes {
    /// The revision that the changes are based on; zero for a full snapshot.
    pub base_revision: u64,
    /// The revision after the changes are applied.
    pub revision: u64,
    /// The latest version of each changed object; deleted objects are marked as such.
    pub objects: Vec<StoredObject>,
    /// The complete list of VMs; `None` if the sender did not include it.
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
    /// The state of configuration exchange with peers, which decides on offers and pulls.
    pub fn spreading(&mut self) -> &mut Spreading {
        &mut self.spreading
    }

    /// The revision in force; zero before the first version.
    pub fn revision(&self) -> u64 {
        self.spreading.revision()
    }

    /// Whether a version is in force.
    pub fn is_ready(&self) -> bool {
        self.spreading.is_ready()
    }

    /// The objects and the list of VMs in force, as received.
    pub fn snapshot(&self) -> &Snapshot {
        &self.snapshot
    }

    /// The topology resolved from the snapshot in force.
    pub fn topology(&self) -> &Arc<Topology> {
        &self.topology
    }

    /// A digest of the list of VMs, by which peers compare their lists; the list has no revision.
    pub fn vms_digest(&self) -> u64 {
        self.vms_digest
    }

    /// Applies a full snapshot if it is newer than the version in force.
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

    /// Applies changes if they are newer than the version in force and not based on a later one.
    /// Changes based on an earlier revision are applicable too, since they hold complete objects.
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
            // The objects are older, but the list of VMs has no revision and a watcher's list is recent.
            OfferVerdict::IgnoreOlder if source != Source::Peer => {
                vms.map_or(ApplyOutcome::Unchanged, |vms| self.replace_vms(vms))
            }
            OfferVerdict::IgnoreOlder => ApplyOutcome::Unchanged,
        }
    }

    /// Replaces the list of VMs, leaving the revision unchanged.
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
