//! Taking versions of the configuration, and passing them on to other proxies.

use jsonrpsee::http_client::HttpClient;
use rand::seq::IndexedRandom;
use skylark_core::ids::VmId;
use skylark_core::ids::ZoneId;
use skylark_core::process::membership;
use skylark_core::version::objects::VmRecord;
use skylark_core::version::spreading::PeerAction;
use skylark_core::version::spreading::Source;
use skylark_objects::ObjectStore;
use skylark_objects::StoreError;
use skylark_objects::WatchAnswer;

use crate::process::control::Control;
use crate::process::control::input::Input;
use crate::process::control::platform::WatchOrder;
use crate::process::member::client::MemberClient;
use crate::process::peer::api;
use crate::process::peer::api::PeerApiClient;
use crate::process::peer::client;
use crate::version::configuration::Changes;
use crate::version::configuration::Taken;

/// Every so many exchanges within the zone go to one of its watchers, whose list of VMs is fresh.
const WATCHER_EVERY: u64 = 4;

impl<S, C> Control<S, C>
where
    S: ObjectStore,
    C: MemberClient,
{
    pub(super) fn take_input(&mut self, input: Input) {
        match input {
            Input::Snapshot { snapshot, source } => {
                self.platform_answers |= source == Source::Platform;
                let taken = self.configuration.take_snapshot(snapshot, source);
                self.after_taking(taken);
            }
            Input::PullFailed => self.configuration.spreading().pull_failed(),
            Input::Watched { after_revision, result } => self.watched(after_revision, result),
            Input::VmList(result) => self.vm_list_read(result),
            Input::Lead { group, call, answer } => self.lead_answered(&group, call, answer),
            Input::PeerAnswered(version) => self.on_peer_revision(&version),
            Input::Leaders(hints) => self.take_leader_hints(&hints),
            Input::PeerFailed { vm, evidence } => self.vm_seen(&vm, evidence),
        }
    }

    /// Tells the watch task whether to watch, and from where.
    pub(super) fn order_watch(&mut self) {
        let order =
            WatchOrder { watching: self.watches(), revision: self.configuration.revision() };
        self.watch_orders.send_if_modified(|known| {
            let differs = *known != order;
            *known = order;
            differs
        });
    }

    /// Takes evidence about a VM.
    pub(super) fn vm_seen(&mut self, vm: &str, evidence: membership::Evidence) {
        let now_us = self.clock.now_us();
        if vm != self.settings.vm && self.membership.record_vm_evidence(vm, evidence, now_us) {
            self.refresh_standing(now_us);
        }
    }

    /// This process's version, as every message to a peer carries it.
    pub(super) fn own_version(&self) -> api::PeerVersion {
        api::PeerVersion {
            revision: self.configuration.revision(),
            vm: self.settings.vm.clone(),
            stopping: self.stopping,
            leaders_digest: self.leaders_digest(),
            vms_digest: self.configuration.vms_digest(),
            vms_fresh: self.vms_fresh(),
        }
    }

    /// Takes a peer's version from any of its messages.
    pub(super) fn on_peer_revision(&mut self, version: &api::PeerVersion) {
        let evidence = match version.stopping {
            true => membership::Evidence::Leaving,
            false => membership::Evidence::Healthy,
        };
        self.vm_seen(&version.vm, evidence);
        self.revision_seen(&version.vm, version.revision);
        self.leaders_digest_seen(&version.vm, version.leaders_digest);
        self.vms_seen(version);
    }

    /// Takes over a list of VMs from a peer that reads it from the platform, where this process
    /// does not; and from any peer while this process has none.
    fn vms_seen(&mut self, version: &api::PeerVersion) {
        let own_empty = self.configuration.topology().vms.is_empty();
        let better = version.vms_fresh && !self.vms_fresh() || own_empty;
        let same_revision = version.revision == self.configuration.revision();
        if better && same_revision && version.vms_digest != self.configuration.vms_digest() {
            self.pull_from(&version.vm, Source::Watcher);
        }
    }

    fn vms_fresh(&self) -> bool {
        self.platform_answers && self.watch_orders.borrow().watching
    }

    /// Pulls from a peer that showed a higher revision. A lower one learns ours from the same
    /// exchange and pulls by itself.
    pub(super) fn revision_seen(&mut self, vm: &str, revision: u64) {
        let now_us = self.clock.now_us();
        if self.configuration.spreading().on_peer_revision(revision, now_us) == PeerAction::Pull {
            self.pull_from(vm, Source::Peer);
        }
    }

    /// Takes an offer; the changes may start from a later revision than ours.
    pub(super) fn take_offer(&mut self, offer: api::Offer) {
        let api::Offer { vm, base_revision, revision, objects, vms } = offer;
        let changes = Changes { base_revision, revision, objects, vms };
        let taken = self.configuration.take_changes(changes, Source::Watcher);
        if taken == Taken::NeedsSnapshot {
            self.revision_seen(&vm, revision);
        }
        self.after_taking(taken);
    }

    /// Exchanges versions with a proxy of this zone and with one of another. The first finds what
    /// the watchers' offers missed; the second reaches a zone that the platform can't be reached
    /// from.
    pub(super) fn exchange_versions(&mut self) {
        let Some(own_vm) = self.own_vm() else {
            self.exchange_with_named_peer();
            return;
        };
        self.exchanges += 1;
        let own_zone = self.configuration.topology().vm(own_vm).zone;
        let watchers = match &self.homes {
            Some(homes) if self.exchanges.is_multiple_of(WATCHER_EVERY) => homes.watchers(own_zone),
            Some(_) | None => Vec::new(),
        };
        let asks_watcher = !watchers.is_empty();
        let near = self.some_vm(|vm, zone| {
            zone == own_zone && vm != own_vm && (!asks_watcher || watchers.contains(&vm))
        });
        let far = self.some_vm(|_, zone| zone != own_zone);
        for vm in [near, far].into_iter().flatten() {
            self.exchange_with(vm);
        }
    }

    /// A process that no list of VMs names yet knows only the peers of its settings.
    fn exchange_with_named_peer(&mut self) {
        let Some(peer) = self.settings.peers.choose(&mut rand::rng()) else { return };
        let Some(client) = self.peers.get(&peer.to_string()) else { return };
        let (own, inputs) = (self.own_version(), self.senders.inputs.clone());
        tokio::spawn(async move {
            if let Ok(version) = client.peer_version(own).await {
                let _ = inputs.send(Input::PeerAnswered(version));
            }
        });
    }

    /// Tells the proxies of this zone at once that this one is stopping.
    pub(super) fn tell_stopping(&mut self) {
        for vm in self.zone_peers() {
            self.exchange_with(vm);
        }
    }

    /// The client of a VM's control address by the VM's name.
    pub(super) fn client_by_name(&mut self, vm: &str) -> Option<HttpClient> {
        let address = self.address_by_name(vm)?;
        self.peers.get(&address)
    }

    /// A VM's control address by the VM's name. While the list of VMs is not known, any peer of the settings
    /// serves as well.
    fn address_by_name(&self, vm: &str) -> Option<String> {
        let topology = self.configuration.topology();
        match topology.vm_id(vm) {
            Some(vm) => Some(topology.vm(vm).control_address.clone()),
            None => self.settings.peers.choose(&mut rand::rng()).map(ToString::to_string),
        }
    }

    /// The client of a VM's control address.
    pub(super) fn client_of(&mut self, vm: VmId) -> Option<HttpClient> {
        let topology = self.configuration.topology();
        self.peers.get(&topology.vm(vm).control_address)
    }

    fn watches(&self) -> bool {
        let Some(homes) = &self.homes else { return false };
        let Some(own_vm) = self.own_vm() else {
            // The lagging list does not name this VM yet, so no other one counts on it; until it
            // does, nobody would offer new versions to it either.
            return self.configuration.is_ready();
        };
        homes.watchers(self.configuration.topology().vm(own_vm).zone).contains(&own_vm)
    }

    fn after_taking(&mut self, taken: Taken) {
        match taken {
            Taken::Version | Taken::VmList => {
                let now_us = self.clock.now_us();
                self.align(now_us);
                slog::info!(self.log, "configuration in force";
                    "revision" => self.configuration.revision(),
                    "vms" => self.configuration.topology().vms.len());
            }
            Taken::Nothing | Taken::NeedsSnapshot => {}
        }
    }

    fn watched(&mut self, after_revision: u64, result: Result<WatchAnswer, StoreError>) {
        self.note_platform(&result);
        let Ok(WatchAnswer { revision, objects }) = result else { return };
        if objects.is_empty() {
            return;
        }
        let changes = Changes {
            base_revision: after_revision,
            revision,
            objects: objects.clone(),
            vms: None,
        };
        let taken = self.configuration.take_changes(changes, Source::Platform);
        self.after_taking(taken);
        if self.watch_orders.borrow().watching {
            // Also when another watcher's offer was faster: what that one could not reach, this
            // one may.
            self.offer(after_revision, revision, objects, None);
        }
    }

    fn vm_list_read(&mut self, result: Result<Vec<VmRecord>, StoreError>) {
        self.note_platform(&result);
        let Ok(vms) = result else { return };
        let taken = self.configuration.replace_vms(vms.clone());
        if taken == Taken::VmList {
            let revision = self.configuration.revision();
            self.after_taking(taken);
            self.offer(revision, revision, Vec::new(), Some(vms));
        }
    }

    fn note_platform<T>(&mut self, result: &Result<T, StoreError>) {
        let answers = result.is_ok();
        if answers != self.platform_answers {
            self.platform_answers = answers;
            match result {
                Ok(_) => slog::info!(self.log, "the platform answers"),
                Err(error) => {
                    slog::warn!(self.log, "the platform does not answer";
                        "reason" => error.to_string());
                }
            }
        }
    }

    fn offer(
        &mut self,
        base_revision: u64,
        revision: u64,
        objects: Vec<skylark_core::version::objects::StoredObject>,
        vms: Option<Vec<VmRecord>>,
    ) {
        let vm = self.settings.vm.clone();
        let offer = api::Offer { vm, base_revision, revision, objects, vms };
        for vm in self.zone_peers() {
            let Some(client) = self.client_of(vm) else { continue };
            let name = self.configuration.topology().vm(vm).name.clone();
            let (offer, inputs) = (offer.clone(), self.senders.inputs.clone());
            tokio::spawn(async move {
                let answer = client.peer_offer(offer).await;
                let _ = inputs.send(answered(name, answer));
            });
        }
    }

    pub(super) fn exchange_with(&mut self, vm: VmId) {
        let Some(client) = self.client_of(vm) else { return };
        let name = self.configuration.topology().vm(vm).name.clone();
        let (own, inputs) = (self.own_version(), self.senders.inputs.clone());
        tokio::spawn(async move {
            let answer = client.peer_version(own).await;
            let _ = inputs.send(answered(name, answer));
        });
    }

    /// Has a snapshot sent by a peer that answers a short question: a long call to one that died would
    /// keep this process from asking another.
    fn pull_from(&mut self, vm: &str, source: Source) {
        let address = self.address_by_name(vm);
        let short = address.as_ref().and_then(|address| self.peers.get(address));
        let long = address.as_ref().and_then(|address| client::open_for_snapshots(address));
        let (Some(short), Some(long)) = (short, long) else {
            self.configuration.spreading().pull_failed();
            return;
        };
        let (own, inputs) = (self.own_version(), self.senders.inputs.clone());
        tokio::spawn(async move {
            let pulled = match short.peer_version(own).await {
                Ok(_) => long.peer_snapshot().await,
                Err(error) => Err(error),
            };
            let _ = inputs.send(match pulled {
                Ok(snapshot) => Input::Snapshot { snapshot, source },
                Err(_) => Input::PullFailed,
            });
        });
    }

    /// The other VMs of this zone.
    fn zone_peers(&self) -> Vec<VmId> {
        let Some(own_vm) = self.own_vm() else { return Vec::new() };
        let topology = self.configuration.topology();
        let own_zone = topology.vm(own_vm).zone;
        (0..topology.vms.len() as u32)
            .map(VmId)
            .filter(|&vm| vm != own_vm && topology.vm(vm).zone == own_zone)
            .collect()
    }

    fn some_vm<F>(&self, fits: F) -> Option<VmId>
    where
        F: Fn(VmId, ZoneId) -> bool,
    {
        let topology = self.configuration.topology();
        let fitting: Vec<VmId> = (0..topology.vms.len() as u32)
            .map(VmId)
            .filter(|&vm| fits(vm, topology.vm(vm).zone))
            .collect();
        fitting.choose(&mut rand::rng()).copied()
    }
}

fn answered(vm: String, answer: Result<api::PeerVersion, jsonrpsee::core::client::Error>) -> Input {
    match answer {
        Ok(version) => Input::PeerAnswered(version),
        Err(error) => Input::PeerFailed { vm, evidence: client::evidence(&error) },
    }
}
