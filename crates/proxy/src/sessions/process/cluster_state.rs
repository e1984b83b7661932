//! Merges what the store's watches and the feed deliver into one view and publishes it.
//!
//! Invariant: versions of the configuration only increase, and a list of targets that is older than the known
//! one has no effect.

use std::sync::Arc;

use skylark_core::FastSet;
use skylark_core::process::departures::Departures;
use skylark_core::store_revision::StoreRevision;
use skylark_core::version::route_changes::RouteChanges;
use skylark_core::version::routes::RouteTable;
use skylark_core::version::routes::TargetRecord;

use crate::sessions::codec::Codec;
use crate::sessions::process::feed::listing::TargetList;
use crate::sessions::process::feed::listing::VmList;
use crate::sessions::process::watch::ClusterState;
use crate::sessions::process::watch::Watcher;
use crate::sessions::store::ListedTarget;
use crate::sessions::store::StateStore;
use crate::sessions::store::TargetChange;
use crate::sessions::version::view::Member;
use crate::sessions::version::view::View;

impl ClusterState {
    /// Returns the id of the listed target with this name.
    fn id_by_name(&self, name: &str) -> Option<Arc<str>> {
        self.targets.id_by_name(name).cloned()
    }

    /// Adds a listed target.
    fn insert_member(&mut self, member: &Member, now_us: u64) {
        let id = &member.record.id;
        self.expired.remove(id);
        if self.targets.insert(member) {
            self.departures_of(&member.record.service, now_us).member_returned(id);
        }
    }

    /// Returns the record of the members that left a service.
    fn departures_of(
        &mut self,
        service: &Arc<str>,
        now_us: u64,
    ) -> &mut Departures<Arc<TargetRecord>> {
        self.departures_changed.insert(Arc::clone(service));
        let departures = self.departures.entry(Arc::clone(service));
        departures.or_insert_with(|| Departures::started_at(now_us))
    }
}

impl<C, S> Watcher<C, S>
where
    C: Codec,
    S: StateStore,
{
    /// The version of the known configuration; zero if there is none.
    pub fn version(&self) -> u64 {
        self.known.lock().routes.as_ref().map_or(0, |routes| routes.version)
    }

    /// Applies a configuration, unless it is older than the known one.
    pub fn apply_routes(&self, routes: Arc<RouteTable>) {
        self.install_routes(&mut self.known.lock(), routes);
    }

    /// Applies changes to the configuration. Returns false if their base version is not the known one, in
    /// which case the caller needs the whole configuration. Changes that are already known count as applied.
    pub fn apply_route_changes(&self, changes: &RouteChanges) -> bool {
        let mut known = self.known.lock();
        let Some(present) = &known.routes else { return false };
        if present.version >= changes.version {
            return true;
        }
        let Some(next) = changes.applied_to(present) else { return false };
        self.install_routes(&mut known, Arc::new(next));
        true
    }

    fn install_routes(&self, known: &mut ClusterState, routes: Arc<RouteTable>) {
        // A stale answer must not undo a newer configuration.
        if known.routes.as_ref().is_some_and(|present| present.version >= routes.version) {
            return;
        }
        slog::info!(self.gateway.log, "configuration in force";
            "version" => routes.version, "routes" => routes.routes.len());
        known.routes = Some(routes);
        self.publish(known);
    }

    pub(super) fn apply_target_list(&self, revision: StoreRevision, listed: Vec<ListedTarget>) {
        self.gateway.store_generation.observe(revision);
        let mut known = self.known.lock();
        // A slow answer of an earlier generation must not undo a newer list.
        if revision.generation() < known.targets_revision.generation() {
            return;
        }
        let member = |target: ListedTarget| {
            let before = known.targets.get(&target.record.id);
            member_of(target, before)
        };
        let members: Vec<Member> = listed.into_iter().map(member).collect();
        self.replace_targets(&mut known, revision, &members);
    }

    /// Applies a complete list of targets from another process, unless it is older than the known one.
    pub fn apply_target_snapshot(&self, list: &TargetList) {
        self.gateway.store_generation.observe(list.revision);
        let mut known = self.known.lock();
        if list.revision >= known.targets_revision {
            self.replace_targets(&mut known, list.revision, &list.entries);
        }
    }

    fn replace_targets(
        &self,
        known: &mut ClusterState,
        revision: StoreRevision,
        members: &[Member],
    ) {
        known.targets_revision = revision;
        let now_us = self.gateway.clock.now_us();
        for member in members {
            known.insert_member(member, now_us);
        }
        if known.targets.len() > members.len() {
            let listed: FastSet<&str> = members.iter().map(|member| &*member.record.id).collect();
            let is_unlisted = |member: &&Member| !listed.contains(&*member.record.id);
            let unlisted: Vec<Member> = known.targets.all().filter(is_unlisted).cloned().collect();
            for member in unlisted {
                self.handle_replaced_or_unlisted(known, &member);
            }
        }
        self.publish(known);
    }

    /// Handles a known target that is missing from a complete list.
    fn handle_replaced_or_unlisted(&self, known: &mut ClusterState, member: &Member) {
        let id = &member.record.id;
        let is_replaced = known.id_by_name(&member.record.name).is_some_and(|other| other != *id);
        if is_replaced {
            known.targets.remove(id);
            self.record_departure(known, member);
        } else {
            self.handle_unlisted(known, member);
        }
    }

    pub(super) fn apply_target_changes(&self, revision: StoreRevision, changes: Vec<TargetChange>) {
        let mut known = self.known.lock();
        known.targets_revision = revision;
        if changes.is_empty() {
            return;
        }
        let now_us = self.gateway.clock.now_us();
        for change in changes {
            match change {
                TargetChange::Listed(target) => {
                    let earlier = known.id_by_name(&target.record.name);
                    if let Some(id) = earlier.filter(|earlier| *earlier != target.record.id)
                        && let Some(member) = known.targets.remove(&id)
                    {
                        // The target restarted under its name, and the log of its earlier incarnation is
                        // lost.
                        self.record_departure(&mut known, &member);
                    }
                    let before = known.targets.get(&target.record.id);
                    let member = member_of(target, before);
                    if before != Some(&member) {
                        self.log_member(&member);
                    }
                    known.insert_member(&member, now_us);
                }
                TargetChange::Removed(name) => {
                    let id = known.id_by_name(&name);
                    if let Some(member) = id.and_then(|id| known.targets.get(&id).cloned()) {
                        self.handle_unlisted(&mut known, &member);
                    }
                }
            }
        }
        self.publish(&mut known);
    }

    /// Removes the targets whose entries expired while the store was unavailable and that did not register
    /// again.
    pub fn drop_expired(&self) {
        if !self.list_is_settled() {
            return;
        }
        let mut known = self.known.lock();
        let expired = std::mem::take(&mut known.expired);
        let gone: Vec<Member> = expired.iter().filter_map(|id| known.targets.remove(id)).collect();
        if gone.is_empty() {
            return;
        }
        for member in gone {
            self.record_departure(&mut known, &member);
        }
        self.publish(&mut known);
    }

    /// Handles a target that is no longer listed. If its entry may have expired only because the store was
    /// unavailable, the target is kept until the list is settled: running targets register again within 2 s,
    /// and without them all requests of their services would be refused until then.
    fn handle_unlisted(&self, known: &mut ClusterState, member: &Member) {
        let id = &member.record.id;
        let may_return = !member.record.leaving && !self.is_settled(known);
        if !may_return {
            known.targets.remove(id);
            self.record_departure(known, member);
        } else if known.expired.insert(Arc::clone(id)) {
            slog::info!(self.gateway.log, "target entry expired; kept until the list is settled";
                "target" => &**id);
        }
    }

    fn record_departure(&self, known: &mut ClusterState, member: &Member) {
        slog::info!(self.gateway.log, "target no longer listed";
            "target" => &*member.record.id,
            "service" => &*member.record.service,
            "leaving" => member.record.leaving);
        let now_us = self.gateway.clock.now_us();
        let departures = known.departures_of(&member.record.service, now_us);
        departures.member_left(&member.record.id, Arc::clone(&member.record), now_us);
    }

    fn log_member(&self, member: &Member) {
        slog::info!(self.gateway.log, "target listed";
            "target" => &*member.record.id,
            "service" => &*member.record.service,
            "zone" => &*member.record.zone,
            "primary" => member.is_primary(),
            "leaving" => member.record.leaving,
            "role_since" => member.role_since.number(),
            "generation" => member.role_since.generation());
    }

    fn publish(&self, known: &mut ClusterState) {
        known.number += 1;
        self.publish_departures(known);
        let services = known.targets.services().clone();
        let view = View { number: known.number, routes: known.routes.clone(), services };
        self.gateway.publish(view);
        self.update_feed(known);
    }

    /// Copies the known state to the feed's outbox. This costs processor time, so it is skipped while nobody
    /// subscribes.
    fn update_feed(&self, known: &ClusterState) {
        let outbox = &self.gateway.outbox;
        if !self.gateway.is_watcher() && outbox.feed_state.receiver_count() == 0 {
            return;
        }
        let members = known.targets.all().cloned().collect();
        let targets = TargetList::new(known.targets_revision, members);
        outbox.update(known.number, known.routes.as_ref(), targets);
    }

    /// Brings the feed up to date: subscribers that connect after a period without subscribers must
    /// receive the state whose publication was skipped in that period.
    pub fn refresh_feed(&self) {
        let known = self.known.lock();
        let is_current = self.gateway.outbox.feed_state.borrow().number == known.number;
        if !is_current && !known.targets.is_empty() {
            self.update_feed(&known);
        }
        let (store_status, is_settled) =
            (self.store_status_for_peers(&known), self.is_settled(&known));
        let zone_is_cut = self.gateway.zone_is_cut();
        self.gateway.outbox.feed_state.send_if_modified(|feed_state| {
            let changes = feed_state.store_status != store_status
                || feed_state.is_settled != is_settled
                || feed_state.zone_is_cut != zone_is_cut;
            feed_state.store_status = store_status;
            feed_state.zone_is_cut = zone_is_cut;
            feed_state.is_settled = is_settled;
            changes
        });
    }

    /// The known targets, as a list to subscribe with.
    pub fn target_list(&self) -> TargetList {
        let known = self.known.lock();
        TargetList::new(known.targets_revision, known.targets.all().cloned().collect())
    }

    /// The known VMs.
    pub fn vm_list(&self) -> Arc<VmList> {
        Arc::clone(&self.gateway.outbox.feed_state.borrow().vms)
    }

    /// Applies a list of VMs from the store or from another process, unless it is older than the known one.
    pub fn apply_vms(&self, list: Arc<VmList>) {
        self.gateway.store_generation.observe(list.revision);
        let mut known = self.known.lock();
        if list.revision < known.vms_revision {
            return;
        }
        known.vms_revision = list.revision;
        drop(known);
        let is_new = self.gateway.outbox.feed_state.send_if_modified(|feed_state| {
            let changes = feed_state.vms.entries != list.entries;
            feed_state.vms = Arc::clone(&list);
            changes
        });
        if is_new || !self.gateway.knows_vms() {
            slog::info!(self.gateway.log, "list of VMs";
                "vms" => list.entries.len(), "revision" => list.revision.number(),
                "generation" => list.revision.generation());
            self.gateway.set_vms(&list.entries);
        }
    }
}

/// Builds the member for a listed target. It keeps the time since when it has its role if the role did not
/// change.
fn member_of(target: ListedTarget, before: Option<&Member>) -> Member {
    let kept = before.filter(|before| before.record.role == target.record.role);
    let role_since = kept.map_or(target.revision, |before| before.role_since);
    Member { record: target.record, role_since }
}
