//! Dissemination of the configuration: applying versions, offering them to other proxies, and pulling from
//! proxies with a higher revision.

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
use skylark_objects::WatchResponse;

use crate::process::control::Control;
use crate::process::control::input::Input;
use crate::process::control::platform::WatchOrder;
use crate::process::member::client::MemberClient;
use crate::process::peer::api;
use crate::process::peer::api::PeerApiClient;
use crate::process::peer::client;
use crate::version::configuration::ApplyOutcome;
use crate::version::configuration::Changes;

/// One in this many exchanges within the zone goes to one of its watchers, whose list of VMs is recent.
const WATCHER_EXCHANGE_PERIOD: u64 = 4;

impl<S, C> Control<S, C>
where
    S: ObjectStore,
    C: MemberClient,
{
    pub(super) fn handle_input(&mut self, input: Input) {
        match input {
            Input::Snapshot { snapshot, source } => {
                self.platform_answers |= source == Source::Platform;
                let outcome = self.configuration.apply_snapshot(snapshot, source);
                self.after_apply(outcome);
            }
            Input::PullFailed => self.configuration.spreading().pull_failed(),
            Input::Watched { after_revision, result } => {
                self.handle_watch_result(after_revision, result)
            }
            Input::VmList(result) => self.handle_vm_list(result),
            Input::Lead { group, call, answer } => self.handle_lead_answer(&group, call, answer),
            Input::PeerAnswered(version) => self.on_peer_revision(&version),
            Input::Leaders(hints) => self.handle_leader_hints(&hints),
            Input::PeerFailed { vm, evidence } => self.vm_seen(&vm, evidence),
        }
    }

    /// Updates the watch task's order: whether to watch, and from which revision.
    pub(super) fn update_watch_order(&mut self) {
        let order =
            WatchOrder { watching: self.should_watch(), revision: self.configuration.revision() };
        self.watch_orders.send_if_modified(|known| {
            let differs = *known != order;
            *known = order;
            differs
        });
    }

    /// Records evidence about a VM, and updates homes if it changes which VMs are usable.
    pub(super) fn vm_seen(&mut self, vm: &str, evidence: membership::Evidence) {
        let now_us = self.clock.now_us();
        if vm != self.settings.vm && self.membership.record_vm_evidence(vm, evidence, now_us) {
            self.refresh_standing(now_us);
        }
    }

    /// Returns this process's version, as sent to peers in exchanges.
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

    /// Handles a peer's version: records that the peer is alive, and pulls whatever it has newer.
    pub(super) fn on_peer_revision(&mut self, version: &api::PeerVersion) {
        let evidence = match version.stopping {
            true => membership::Evidence::Leaving,
            false => membership::Evidence::Healthy,
        };
        self.vm_seen(&version.vm, evidence);
        self.compare_revision(&version.vm, version.revision);
        self.compare_leaders_digest(&version.vm, version.leaders_digest);
        self.compare_vms_digest(version);
    }

    /// Pulls the list of VMs if a peer reads it from the platform and this process does not, or from any
    /// peer while this process has no list.
    fn compare_vms_digest(&mut self, version: &api::PeerVersion) {
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

    /// Pulls from a peer with a higher revision. A peer with a lower revision learns this process's
    /// revision from the same exchange, and pulls itself.
    pub(super) fn compare_revision(&mut self, vm: &str, revision: u64) {
        let now_us = self.clock.now_us();
        if self.configuration.spreading().on_peer_revision(revision, now_us) == PeerAction::Pull {
            self.pull_from(vm, Source::Peer);
        }
    }

    /// Applies an offer. If its changes are based on a later revision than the one in force here, a snapshot
    /// is pulled from the sender instead.
    pub(super) fn handle_offer(&mut self, offer: api::Offer) {
        let api::Offer { vm, base_revision, revision, objects, vms } = offer;
        let changes = Changes { base_revision, revision, objects, vms };
        let outcome = self.configuration.apply_changes(changes, Source::Watcher);
        if outcome == ApplyOutcome::NeedsSnapshot {
            self.compare_revision(&vm, revision);
        }
        self.after_apply(outcome);
    }

    /// Exchanges versions with a random proxy of this availability zone and with one of another zone. The
    /// first makes up for lost offers of watchers; the second carries versions into a zone whose
    /// watchers can't reach the platform.
    pub(super) fn exchange_versions(&mut self) {
        let Some(own_vm) = self.own_vm() else {
            self.exchange_with_settings_peer();
            return;
        };
        self.exchanges += 1;
        let own_zone = self.configuration.topology().vm(own_vm).zone;
        let watchers = match &self.homes {
            Some(homes) if self.exchanges.is_multiple_of(WATCHER_EXCHANGE_PERIOD) => {
                homes.watchers(own_zone)
            }
            Some(_) | None => Vec::new(),
        };
        let use_watcher = !watchers.is_empty();
        let near = self.random_vm(|vm, zone| {
            zone == own_zone && vm != own_vm && (!use_watcher || watchers.contains(&vm))
        });
        let far = self.random_vm(|_, zone| zone != own_zone);
        for vm in [near, far].into_iter().flatten() {
            self.exchange_with(vm);
        }
    }

    /// Exchanges versions with a random peer of the settings, because a process that is not in its list of
    /// VMs yet does not know its zone.
    fn exchange_with_settings_peer(&mut self) {
        let Some(peer) = self.settings.peers.choose(&mut rand::rng()) else { return };
        let Some(client) = self.peers.get(&peer.to_string()) else { return };
        let (own, inputs) = (self.own_version(), self.senders.inputs.clone());
        tokio::spawn(async move {
            if let Ok(version) = client.peer_version(own).await {
                let _ = inputs.send(Input::PeerAnswered(version));
            }
        });
    }

    /// Immediately announces to the proxies of this availability zone that this one is stopping.
    pub(super) fn announce_stopping(&mut self) {
        for vm in self.zone_peers() {
            self.exchange_with(vm);
        }
    }

    /// Returns a client of the control address of the VM with this name.
    pub(super) fn client_by_name(&mut self, vm: &str) -> Option<HttpClient> {
        let address = self.address_by_name(vm)?;
        self.peers.get(&address)
    }

    /// Returns the control address of the VM with this name. If the VM is not in the list of VMs, returns the
    /// address of a random peer of the settings, which serves as well.
    fn address_by_name(&self, vm: &str) -> Option<String> {
        let topology = self.configuration.topology();
        match topology.vm_id(vm) {
            Some(vm) => Some(topology.vm(vm).control_address.clone()),
            None => self.settings.peers.choose(&mut rand::rng()).map(ToString::to_string),
        }
    }

    /// Returns a client of a VM's control address.
    pub(super) fn client_of(&mut self, vm: VmId) -> Option<HttpClient> {
        let topology = self.configuration.topology();
        self.peers.get(&topology.vm(vm).control_address)
    }

    fn should_watch(&self) -> bool {
        let Some(homes) = &self.homes else { return false };
        let Some(own_vm) = self.own_vm() else {
            // The list of VMs lags and does not include this VM yet. Until it does, no watcher offers new
            // versions to this VM, so it watches the platform itself.
            return self.configuration.is_ready();
        };
        homes.watchers(self.configuration.topology().vm(own_vm).zone).contains(&own_vm)
    }

    fn after_apply(&mut self, outcome: ApplyOutcome) {
        match outcome {
            ApplyOutcome::Version | ApplyOutcome::VmList => {
                let now_us = self.clock.now_us();
                self.reconcile(now_us);
                slog::info!(self.log, "configuration in force";
                    "revision" => self.configuration.revision(),
                    "vms" => self.configuration.topology().vms.len());
            }
            ApplyOutcome::Unchanged | ApplyOutcome::NeedsSnapshot => {}
        }
    }

    fn handle_watch_result(
        &mut self,
        after_revision: u64,
        result: Result<WatchResponse, StoreError>,
    ) {
        self.record_platform_result(&result);
        let Ok(WatchResponse { revision, objects }) = result else { return };
        if objects.is_empty() {
            return;
        }
        let changes = Changes {
            base_revision: after_revision,
            revision,
            objects: objects.clone(),
            vms: None,
        };
        let outcome = self.configuration.apply_changes(changes, Source::Platform);
        self.after_apply(outcome);
        if self.watch_orders.borrow().watching {
            // Offer the changes even if another watcher offered them first: this process may reach
            // proxies that the other watcher can't.
            self.offer(after_revision, revision, objects, None);
        }
    }

    fn handle_vm_list(&mut self, result: Result<Vec<VmRecord>, StoreError>) {
        self.record_platform_result(&result);
        let Ok(vms) = result else { return };
        let outcome = self.configuration.replace_vms(vms.clone());
        if outcome == ApplyOutcome::VmList {
            let revision = self.configuration.revision();
            self.after_apply(outcome);
            self.offer(revision, revision, Vec::new(), Some(vms));
        }
    }

    fn record_platform_result<T>(&mut self, result: &Result<T, StoreError>) {
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
                let _ = inputs.send(exchange_result(name, answer));
            });
        }
    }

    pub(super) fn exchange_with(&mut self, vm: VmId) {
        let Some(client) = self.client_of(vm) else { return };
        let name = self.configuration.topology().vm(vm).name.clone();
        let (own, inputs) = (self.own_version(), self.senders.inputs.clone());
        tokio::spawn(async move {
            let answer = client.peer_version(own).await;
            let _ = inputs.send(exchange_result(name, answer));
        });
    }

    /// Pulls a snapshot from a peer after it has answered a call with a short timeout. A call with the long
    /// timeout of snapshots to a failed peer would delay a pull from another one.
    fn pull_from(&mut self, vm: &str, source: Source) {
        let address = self.address_by_name(vm);
        let short_client = address.as_ref().and_then(|address| self.peers.get(address));
        let snapshot_client =
            address.as_ref().and_then(|address| client::open_for_snapshots(address));
        let (Some(short_client), Some(snapshot_client)) = (short_client, snapshot_client) else {
            self.configuration.spreading().pull_failed();
            return;
        };
        let (own, inputs) = (self.own_version(), self.senders.inputs.clone());
        tokio::spawn(async move {
            let pulled = match short_client.peer_version(own).await {
                Ok(_) => snapshot_client.peer_snapshot().await,
                Err(error) => Err(error),
            };
            let _ = inputs.send(match pulled {
                Ok(snapshot) => Input::Snapshot { snapshot, source },
                Err(_) => Input::PullFailed,
            });
        });
    }

    /// Returns the other VMs of this availability zone.
    fn zone_peers(&self) -> Vec<VmId> {
        let Some(own_vm) = self.own_vm() else { return Vec::new() };
        let topology = self.configuration.topology();
        let own_zone = topology.vm(own_vm).zone;
        (0..topology.vms.len() as u32)
            .map(VmId)
            .filter(|&vm| vm != own_vm && topology.vm(vm).zone == own_zone)
            .collect()
    }

    fn random_vm<F>(&self, matches: F) -> Option<VmId>
    where
        F: Fn(VmId, ZoneId) -> bool,
    {
        let topology = self.configuration.topology();
        let candidates: Vec<VmId> = (0..topology.vms.len() as u32)
            .map(VmId)
            .filter(|&vm| matches(vm, topology.vm(vm).zone))
            .collect();
        candidates.choose(&mut rand::rng()).copied()
    }
}

fn exchange_result(
    vm: String,
    answer: Result<api::PeerVersion, jsonrpsee::core::client::Error>,
) -> Input {
    match answer {
        Ok(version) => Input::PeerAnswered(version),
        Err(error) => Input::PeerFailed { vm, evidence: client::evidence(&error) },
    }
}
