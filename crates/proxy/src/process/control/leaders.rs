//! The primaries of groups whose members this process does not track.
//!
//! Lead records name the primaries and reach every proxy with the configuration. While the platform is
//! down no record can be written. Proxies therefore compare digests of the terms that they know at
//! each exchange of versions, and request each other's primaries if the digests differ. The process that
//! drives a change of primary starts the dissemination by an exchange with every VM.

use skylark_core::ids::VmId;
use skylark_core::process::jitter;
use skylark_objects::ObjectStore;

use crate::process::control::Control;
use crate::process::control::group::Group;
use crate::process::control::input::Input;
use crate::process::member::client::MemberClient;
use crate::process::peer::api;
use crate::process::peer::api::PeerApiClient;

impl<S, C> Control<S, C>
where
    S: ObjectStore,
    C: MemberClient,
{
    /// Returns a digest of the terms of all groups, independent of their order.
    pub(super) fn leaders_digest(&self) -> u64 {
        let group_hash = |group: &Group| {
            let (_, term) = group.leader()?;
            Some(jitter::seed_of(&group.name).wrapping_mul(term.0))
        };
        self.groups.values().filter_map(group_hash).fold(0, u64::wrapping_add)
    }

    /// Returns the primaries known to this process.
    pub(super) fn leader_hints(&self) -> Vec<api::LeaderHint> {
        let hint = |group: &Group| {
            let (target, term) = group.leader()?;
            let (group, target) = (group.name.clone(), target.to_owned());
            Some(api::LeaderHint { group, target, term })
        };
        self.groups.values().filter_map(hint).collect()
    }

    /// Requests a peer's primaries if its digest differs from this process's.
    pub(super) fn compare_leaders_digest(&mut self, vm: &str, leaders_digest: u64) {
        if leaders_digest == self.leaders_digest() {
            return;
        }
        let Some(client) = self.client_by_name(vm) else { return };
        let inputs = self.senders.inputs.clone();
        tokio::spawn(async move {
            if let Ok(hints) = client.peer_leaders().await {
                let _ = inputs.send(Input::Leaders(hints));
            }
        });
    }

    /// Records the primaries that a peer knows.
    pub(super) fn handle_leader_hints(&mut self, hints: &[api::LeaderHint]) {
        for hint in hints {
            if let Some(group) = self.groups.get_mut(hint.group.as_str()) {
                group.hint_leader(&hint.target, hint.term);
                self.changed |= std::mem::take(&mut group.changed);
            }
        }
    }

    /// Exchanges versions with every VM so that they learn of a new primary, unless the platform answers, in
    /// which case the lead record reaches them.
    pub(super) fn announce_leaders(&mut self) {
        if self.platform_answers {
            return;
        }
        let own_vm = self.own_vm();
        for vm in (0..self.configuration.topology().vms.len() as u32).map(VmId) {
            if Some(vm) != own_vm {
                self.exchange_with(vm);
            }
        }
    }
}
