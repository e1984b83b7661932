//! Answers to calls of operators, the load balancer and other proxies, and the gauges for metrics.

use std::sync::atomic::Ordering;

use skylark_core::ids::GroupId;
use skylark_core::ids::TargetId;
use skylark_core::version::topology::Topology;
use skylark_objects::ObjectStore;

use crate::process::control::Control;
use crate::process::control::US_PER_MS;
use crate::process::control::group::Group;
use crate::process::member::client::MemberClient;
use crate::process::metrics::ControlGauges;
use crate::process::peer::api;
use crate::process::peer::server::PeerRequest;
use crate::process::peer::server::Refusal;

impl<S, C> Control<S, C>
where
    S: ObjectStore,
    C: MemberClient,
{
    pub(super) fn handle_request(&mut self, request: PeerRequest) {
        match request {
            PeerRequest::Version(version, answer) => {
                self.on_peer_revision(&version);
                let _ = answer.send(Ok(self.own_version()));
            }
            PeerRequest::Snapshot(answer) => {
                let ready = self.configuration.is_ready();
                let snapshot = ready.then(|| self.configuration.snapshot().clone());
                let _ = answer.send(snapshot.ok_or(Refusal::Unavailable));
            }
            PeerRequest::Offer(offer, answer) => {
                self.handle_offer(offer);
                let _ = answer.send(Ok(self.own_version()));
            }
            PeerRequest::Leaders(answer) => {
                let _ = answer.send(Ok(self.leader_hints()));
            }
            PeerRequest::Floor(question, answer) => self.handle_floor_question(question, answer),
            PeerRequest::Writes(notice, answer) => {
                self.handle_writes_notice(&notice);
                let _ = answer.send(Ok(self.own_version()));
            }
            PeerRequest::Status(answer) => {
                let _ = answer.send(Ok(self.status()));
            }
            PeerRequest::Explain(group, answer) => {
                let _ = answer.send(self.explain(&group).ok_or(Refusal::UnknownGroup));
            }
            PeerRequest::Health(answer) => {
                let _ = answer.send(Ok(self.health()));
            }
        }
    }

    pub(super) fn gauges(&self) -> ControlGauges {
        let tracked = || self.groups.values().filter(|group| group.tracking.is_some());
        let stalled = |group: &&Group| group.tracking.as_ref().is_some_and(|it| it.stalled);
        let members = tracked().flat_map(|group| &group.live.members);
        let unreachable = members.filter(|member| !member.reachable.load(Ordering::Relaxed));
        ControlGauges {
            revision: self.configuration.revision(),
            tracked_groups: tracked().count() as u64,
            leaderless_groups: tracked().filter(|group| group.leader().is_none()).count() as u64,
            stalled_groups: tracked().filter(stalled).count() as u64,
            unreachable_members: unreachable.count() as u64,
            platform_answers: u64::from(self.platform_answers),
        }
    }

    fn health(&self) -> api::Health {
        let topology = self.configuration.topology();
        api::Health {
            ready: self.configuration.is_ready(),
            stopping: self.stopping,
            leaving: self.own_vm().is_some_and(|vm| topology.vm(vm).leaving),
        }
    }

    fn explain(&self, name: &str) -> Option<api::ExplainReport> {
        let group = self.groups.get(name)?;
        Some(api::ExplainReport {
            vm: self.settings.vm.clone(),
            group: name.to_owned(),
            decisions: group.decisions.report(self.clock.now_us()),
        })
    }

    fn status(&self) -> api::StatusReport {
        let topology = self.configuration.topology();
        api::StatusReport {
            vm: self.settings.vm.clone(),
            zone: self.settings.zone.clone(),
            revision: self.configuration.revision(),
            ready: self.configuration.is_ready(),
            stopping: self.stopping,
            watching: self.watch_orders.borrow().watching,
            platform_answers: self.platform_answers,
            groups: topology.group_ids().map(|id| self.group_report(topology, id)).collect(),
            problems: topology.problems.iter().map(ToString::to_string).collect(),
            counters: self.counters.snapshot().into_iter().collect(),
        }
    }

    fn group_report(&self, topology: &Topology, id: GroupId) -> api::GroupReport {
        let spec = topology.group(id);
        let group = &self.groups[spec.name.as_str()];
        let tracking = group.tracking.as_ref();
        let leader = group.leader();
        let members = spec.members.iter().enumerate();
        api::GroupReport {
            group: spec.name.clone(),
            tracked: tracking.is_some(),
            leader: leader.map(|(target, _)| target.to_owned()),
            term: leader.map(|(_, term)| term).unwrap_or_default(),
            confirmed: *group.live.confirmed.borrow(),
            moving: tracking.is_some_and(|tracking| tracking.driver.holding()),
            stalled: tracking.is_some_and(|tracking| tracking.stalled),
            members: members
                .map(|(member_index, &target)| {
                    self.member_report(topology, group, member_index, target)
                })
                .collect(),
        }
    }

    fn member_report(
        &self,
        topology: &Topology,
        group: &Group,
        member_index: usize,
        id: TargetId,
    ) -> api::MemberReport {
        let target = topology.target(id);
        let live = &group.live.members[member_index];
        let fresh_us = live.fresh_as_of_us.load(Ordering::Relaxed);
        let age_ms = self.clock.now_us().saturating_sub(fresh_us) / US_PER_MS;
        let latest = group
            .tracking
            .as_ref()
            .and_then(|tracking| tracking.driver.acknowledgement().latest(member_index));
        let homes = self.homes.as_ref().map(|homes| homes.of(id)).unwrap_or_default();
        api::MemberReport {
            target: target.name.clone(),
            zone: topology.zones[target.zone.index()].clone(),
            reachable: live.reachable.load(Ordering::Relaxed),
            leaving: live.leaving.load(Ordering::Relaxed),
            status: latest.map(|(_, status)| status.clone()),
            age_ms: (fresh_us > 0).then_some(age_ms),
            homes: homes.iter().map(|&vm| topology.vm(vm).name.clone()).collect(),
        }
    }
}
