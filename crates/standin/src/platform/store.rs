//! The platform's store: versioned objects, and a list of VMs that lags behind its changes.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::objects::VmRecord;
use skylark_objects::WatchResponse;
use tokio::sync::watch;

/// A version conflict: the object doesn't have the expected version.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Conflict {
    /// The object's actual version; zero if it doesn't exist.
    pub actual: u64,
}

#[derive(Debug, Default)]
struct Content {
    revision: u64,
    objects: BTreeMap<(&'static str, String), StoredObject>,
    vm_lists: Vec<(Instant, Vec<VmRecord>)>,
    vm_lag: Duration,
}

/// The objects and the list of VMs, under one revision counter for the objects.
#[derive(Debug, Default)]
pub struct Store {
    content: Mutex<Content>,
    revision: watch::Sender<u64>,
}

impl Store {
    /// Returns an object, or none if it doesn't exist or was deleted.
    pub fn get(&self, kind: ObjectKind, name: &str) -> Option<StoredObject> {
        let content = self.content.lock();
        let object = content.objects.get(&(kind.name(), name.to_owned()))?;
        (!object.deleted).then(|| object.clone())
    }

    /// Creates or replaces an object if it has the expected version, zero for a new one. Returns the
    /// new version.
    ///
    /// # Errors
    ///
    /// Fails if the object has another version.
    pub fn put(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
        body: serde_json::Value,
    ) -> Result<u64, Conflict> {
        self.change(kind, name, expected_version, body, false)
    }

    /// Deletes an object if it has the expected version. Returns the version of the deletion.
    ///
    /// # Errors
    ///
    /// Fails if the object has another version or doesn't exist.
    pub fn delete(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
    ) -> Result<u64, Conflict> {
        if expected_version == 0 {
            let actual = self.get(kind, name).map_or(0, |object| object.version);
            return Err(Conflict { actual });
        }
        self.change(kind, name, expected_version, serde_json::Value::Null, true)
    }

    fn change(
        &self,
        kind: ObjectKind,
        name: &str,
        expected_version: u64,
        body: serde_json::Value,
        deleted: bool,
    ) -> Result<u64, Conflict> {
        let mut content = self.content.lock();
        let key = (kind.name(), name.to_owned());
        let present = content.objects.get(&key).filter(|object| !object.deleted);
        let actual = present.map_or(0, |object| object.version);
        if actual != expected_version {
            return Err(Conflict { actual });
        }
        content.revision += 1;
        let version = content.revision;
        let name = name.to_owned();
        content.objects.insert(key, StoredObject { kind, name, version, deleted, body });
        self.revision.send_replace(version);
        Ok(version)
    }

    /// Returns all objects and the visible list of VMs.
    pub fn snapshot(&self) -> Snapshot {
        let content = self.content.lock();
        let present = content.objects.values().filter(|object| !object.deleted);
        Snapshot {
            revision: content.revision,
            objects: present.cloned().collect(),
            vms: content.visible_vms(),
        }
    }

    /// Returns the objects that were changed or deleted after a revision.
    pub fn changes_after(&self, revision: u64) -> WatchResponse {
        let content = self.content.lock();
        let changed = content.objects.values().filter(|object| object.version > revision);
        WatchResponse { revision: content.revision, objects: changed.cloned().collect() }
    }

    /// Subscribes to the store's revision.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Returns the visible list of VMs, which is older than the current one by up to the lag.
    pub fn vms(&self) -> Vec<VmRecord> {
        self.content.lock().visible_vms()
    }

    /// Sets the delay after which a change of the VMs becomes visible.
    pub fn set_vm_lag(&self, lag: Duration) {
        let mut content = self.content.lock();
        // A list that is visible already must not be replaced by an older one when the lag grows.
        content.drop_superseded_lists();
        content.vm_lag = lag;
    }

    /// Sets the list of VMs. The first list is visible immediately, later ones after the lag.
    pub fn set_vms(&self, vms: Vec<VmRecord>) {
        let mut content = self.content.lock();
        content.drop_superseded_lists();
        content.vm_lists.push((Instant::now(), vms));
    }

    /// Adds or replaces the entry of one VM in the newest list.
    pub fn set_vm(&self, record: VmRecord) {
        let newest = self.content.lock().vm_lists.last().map(|(_, vms)| vms.clone());
        let mut vms = newest.unwrap_or_default();
        vms.retain(|known| known.vm != record.vm);
        vms.push(record);
        self.set_vms(vms);
    }
}

impl Content {
    /// Returns the index of the visible list: the newest that is older than the lag, else the oldest.
    fn visible_list(&self) -> Option<usize> {
        let is_past_lag = |(since, _): &(Instant, Vec<VmRecord>)| since.elapsed() >= self.vm_lag;
        let newest = self.vm_lists.iter().rposition(is_past_lag);
        newest.or_else(|| (!self.vm_lists.is_empty()).then_some(0))
    }

    /// Removes the lists older than the visible one.
    fn drop_superseded_lists(&mut self) {
        let visible = self.visible_list();
        self.vm_lists.drain(..visible.unwrap_or_default());
    }

    fn visible_vms(&self) -> Vec<VmRecord> {
        self.visible_list().map(|index| self.vm_lists[index].1.clone()).unwrap_or_default()
    }
}
