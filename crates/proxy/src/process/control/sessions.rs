//! Events from the traffic threads, and read floors of sessions that roam between proxies without a token.
//!
//! Writes are reported to the primary's other homes asynchronously (see
//! `skylark_core::process::session_floors`): a home that may lack reports of some positions answers with the
//! position of a barrier. The caller of a write therefore never waits for these reports.

use std::sync::Arc;

use skylark_core::ids::GroupId;
use skylark_core::ids::TargetId;
use skylark_core::ids::VmId;
use skylark_core::log_position::LogPosition;
use skylark_core::process::detection;
use skylark_core::process::membership;
use skylark_objects::ObjectStore;
use tokio::sync::oneshot;

use crate::process::control::Control;
use crate::process::control::floors::FloorRequester;
use crate::process::control_handle::ControlEvent;
use crate::process::control_handle::TargetEvidence;
use crate::process::control_handle::VersionedEvent;
use crate::process::member::client::MemberClient;
use crate::process::member::client::MemberCommand;
use crate::process::peer::api;
use crate::process::peer::api::PeerApiClient;
use crate::process::peer::api::PlainWrites;
use crate::process::peer::server;
use crate::process::peer::server::Refusal;
use crate::process::schedule::Purpose;
use crate::version::published::Published;

/// How long writes are collected before they are sent to other homes.
const SESSION_WRITE_DELAY_US: u64 = 20_000;

/// How long writes are collected while none of them belongs to a session with an identity. The longer
/// delay saves calls, and only prevents sessions with an identity from reading at replicas for that time.
const PLAIN_WRITE_DELAY_US: u64 = 200_000;

/// The maximum number of collected writes of one group. Further writes are not sent to other homes, whose
/// answers then give higher floors than needed.
const MAX_UNSENT_WRITES: usize = 2_000;

impl<S, C> Control<S, C>
where
    S: ObjectStore,
    C: MemberClient,
{
    pub(super) fn handle_traffic_event(&mut self, versioned: VersionedEvent) {
        let VersionedEvent { version, event } = versioned;
        match event {
            ControlEvent::WriteAcknowledged { group, session, position, recorded } => {
                self.write_acknowledged(group_name(&version, group), session, position);
                let _ = recorded.send(());
            }
            ControlEvent::FloorRequested { group, session, answer } => {
                self.handle_floor_request(group_name(&version, group), session, answer);
            }
            ControlEvent::TargetFailed { target, evidence } => {
                self.target_failed(&version, target, evidence);
            }
            ControlEvent::VmSeen { vm, evidence } => {
                let name = version.topology.vm(vm).name.clone();
                self.vm_seen(&name, evidence);
            }
        }
    }

    fn write_acknowledged(
        &mut self,
        name: Arc<str>,
        session: Option<String>,
        position: LogPosition,
    ) {
        let now_us = self.clock.now_us();
        let Some(group) = self.groups.get_mut(&name) else { return };
        if let Some(tracking) = &mut group.tracking {
            tracking.floors.record(session.as_deref(), position);
        }
        if group.unsent_writes.len() + group.unsent_plain.len() >= MAX_UNSENT_WRITES {
            return;
        }
        let purpose = Purpose::SendWrites(name.to_string());
        match session {
            Some(session) => {
                if group.unsent_writes.is_empty() {
                    self.schedule.set(purpose, now_us + SESSION_WRITE_DELAY_US);
                }
                group.unsent_writes.push(api::SessionWrite { session, position });
            }
            None => {
                group.unsent_plain.push(position);
                self.schedule.set_if_absent(purpose, now_us + PLAIN_WRITE_DELAY_US);
            }
        }
    }

    fn handle_floor_request(
        &mut self,
        name: Arc<str>,
        session: String,
        answer: oneshot::Sender<LogPosition>,
    ) {
        let now_us = self.clock.now_us();
        let Some(group) = self.groups.get_mut(&name) else { return };
        match &mut group.tracking {
            Some(tracking) => {
                tracking.floors.look_up(now_us, &session, FloorRequester::Traffic(answer));
                self.apply_group_effects(now_us, &name);
            }
            None => self.request_floor_from_homes(&name, session, answer),
        }
    }

    /// Requests a session's floor from the primary's homes in order of rank. If none answers, the sender is
    /// dropped, and the reader needs a floor that it can prove itself.
    fn request_floor_from_homes(
        &mut self,
        name: &str,
        session: String,
        answer: oneshot::Sender<LogPosition>,
    ) {
        let homes = self.primary_homes(name);
        let clients: Vec<_> = homes.iter().filter_map(|&vm| self.client_of(vm)).collect();
        let question = api::FloorQuestion {
            vm: self.settings.vm.clone(),
            revision: self.configuration.revision(),
            group: name.to_owned(),
            session,
        };
        tokio::spawn(async move {
            for client in clients {
                if let Ok(found) = client.peer_floor(question.clone()).await {
                    let _ = answer.send(found.position);
                    return;
                }
            }
        });
    }

    pub(super) fn handle_floor_question(
        &mut self,
        question: api::FloorQuestion,
        answer: server::Answer<api::FloorAnswer>,
    ) {
        self.compare_revision(&question.vm, question.revision);
        let now_us = self.clock.now_us();
        let revision = self.configuration.revision();
        let Some(group) = self.groups.get_mut(question.group.as_str()) else {
            let _ = answer.send(Err(Refusal::UnknownGroup));
            return;
        };
        let Some(tracking) = &mut group.tracking else {
            let _ = answer.send(Err(Refusal::Unavailable));
            return;
        };
        tracking.floors.set_revision(revision);
        tracking.floors.look_up(now_us, &question.session, FloorRequester::Peer(answer));
        self.apply_group_effects(now_us, &Arc::from(question.group));
    }

    pub(super) fn handle_writes_notice(&mut self, notice: &api::WritesNotice) {
        self.compare_revision(&notice.vm, notice.revision);
        let Some(group) = self.groups.get_mut(notice.group.as_str()) else { return };
        let Some(tracking) = &mut group.tracking else { return };
        for write in &notice.writes {
            tracking.floors.record(Some(&write.session), write.position);
        }
        for PlainWrites { term, indexes } in &notice.plain {
            for &index in indexes {
                tracking.floors.record(None, LogPosition { term: *term, index });
            }
        }
    }

    /// Sends the collected writes of a group to the primary's other homes.
    pub(super) fn send_writes(&mut self, name: &str) {
        for call in self.writes_calls(name) {
            tokio::spawn(call);
        }
    }

    /// Sends the collected writes of all groups, and waits for the answers, before this process ends.
    pub(super) async fn send_all_writes(&mut self) {
        let names: Vec<Arc<str>> = self.groups.keys().cloned().collect();
        for name in names {
            for call in self.writes_calls(&name) {
                call.await;
            }
        }
    }

    fn writes_calls(&mut self, name: &str) -> Vec<impl Future<Output = ()> + Send + use<S, C>> {
        let Some(group) = self.groups.get_mut(name) else { return Vec::new() };
        let writes = std::mem::take(&mut group.unsent_writes);
        let plain = by_term(std::mem::take(&mut group.unsent_plain));
        if writes.is_empty() && plain.is_empty() {
            return Vec::new();
        }
        let notice = api::WritesNotice {
            vm: self.settings.vm.clone(),
            revision: self.configuration.revision(),
            group: name.to_owned(),
            writes,
            plain,
        };
        let own_vm = self.own_vm();
        let mut others = self.primary_homes(name);
        others.retain(|&vm| Some(vm) != own_vm);
        let clients: Vec<_> = others.iter().filter_map(|&vm| self.client_of(vm)).collect();
        let call = |client: jsonrpsee::http_client::HttpClient| {
            let notice = notice.clone();
            async move {
                // A lost notice can only make the other home's floors higher than needed, never too low.
                let _ = client.peer_writes(notice).await;
            }
        };
        clients.into_iter().map(call).collect()
    }

    fn primary_homes(&self, name: &str) -> Vec<VmId> {
        let topology = self.configuration.topology();
        let leader = self.groups.get(name).and_then(|group| group.leader());
        let target = leader.and_then(|(target, _)| topology.target_id(target));
        let homes = self.homes.as_ref();
        target.zip(homes).map(|(target, homes)| homes.of(target).to_vec()).unwrap_or_default()
    }

    /// Handles evidence about a target from a traffic thread, and immediately probes the target.
    fn target_failed(&mut self, version: &Published, id: TargetId, evidence: TargetEvidence) {
        let now_us = self.clock.now_us();
        let target = version.topology.target(id);
        let name = group_name(version, target.group);
        if evidence == TargetEvidence::Leaving
            && self.membership.record_target_evidence(
                &target.name,
                membership::Evidence::Leaving,
                now_us,
            )
        {
            self.refresh_standing(now_us);
        }
        let Some(group) = self.groups.get_mut(&name) else { return };
        let Some(tracking) = &group.tracking else { return };
        let Some(member_index) = tracking.members.iter().position(|it| it.target == target.name)
        else {
            return;
        };
        tracking.members[member_index].handle.send(MemberCommand::Probe);
        if evidence == TargetEvidence::Broken {
            group.primary_evidence(now_us, member_index, detection::Evidence::Broken);
        }
        self.apply_group_effects(now_us, &name);
    }
}

fn group_name(version: &Published, group: GroupId) -> Arc<str> {
    Arc::from(version.topology.group(group).name.as_str())
}

/// Groups positions by term.
fn by_term(mut positions: Vec<LogPosition>) -> Vec<PlainWrites> {
    positions.sort_unstable();
    let runs = positions.chunk_by(|one, other| one.term == other.term);
    let indexes = |run: &[LogPosition]| run.iter().map(|position| position.index).collect();
    runs.map(|run| PlainWrites { term: run[0].term, indexes: indexes(run) }).collect()
}
