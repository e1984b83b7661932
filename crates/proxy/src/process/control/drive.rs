//! Passes events to the failover drivers of groups, and executes the actions that they request.

use std::sync::Arc;
use std::time::Duration;

use skylark_core::process::detection;
use skylark_core::process::failover;
use skylark_core::version::objects::LeadRecord;
use skylark_core::version::objects::ObjectKind;
use skylark_core::version::objects::StoredObject;
use skylark_objects::ObjectStore;
use skylark_objects::StoreError;
use tokio::time;

use crate::process::control::Control;
use crate::process::control::group::Group;
use crate::process::control::input::Input;
use crate::process::control::tracking::Report;
use crate::process::decisions::Decision;
use crate::process::member::client::MemberClient;
use crate::process::member::client::MemberCommand;
use crate::process::member::client::MemberError;
use crate::process::member::task::MemberEvent;
use crate::process::member::task::MemberUpdate;
use crate::process::schedule::Purpose;

/// The timeout of a call to the platform to read or update a lead record.
const LEAD_CALL_TIMEOUT: Duration = Duration::from_millis(1000);

impl<S, C> Control<S, C>
where
    S: ObjectStore,
    C: MemberClient,
{
    pub(super) fn handle_member_event(&mut self, event: MemberEvent) {
        let Some(location) = self.members.get(&event.member).cloned() else { return };
        let Some(group) = self.groups.get_mut(&location.group) else { return };
        let now_us = self.clock.now_us();
        match event.update {
            MemberUpdate::Report { status, sent_us, command } => {
                let call = command.and_then(|command| call_of(group, &command));
                group.report(
                    now_us,
                    Report { member_index: location.member, status, sent_us, call },
                );
            }
            MemberUpdate::Refused { command, reason } => {
                slog::debug!(self.log, "a member refused a command";
                    "group" => &group.name, "member" => location.member, "reason" => reason);
                if let Some(call) = call_of(group, &command) {
                    let event = failover::Event::MemberFailed { member: location.member, call };
                    group.drive(now_us, &event);
                }
            }
            MemberUpdate::Lost(error) => {
                group.connection_lost(now_us, location.member, evidence_of(&error))
            }
        }
        self.apply_group_effects(now_us, &location.group);
    }

    /// Applies the effects of a group's latest events: executes the driver's actions, requests the
    /// members' status for a barrier, and arms the failure detector's timer.
    pub(super) fn apply_group_effects(&mut self, now_us: u64, name: &Arc<str>) {
        self.execute_actions(now_us, name);
        let Some(group) = self.groups.get_mut(name) else { return };
        if std::mem::take(&mut group.changed) {
            self.changed = true;
        }
        let Some(tracking) = &mut group.tracking else { return };
        if tracking.floors.take_status_request() {
            for member in &tracking.members {
                member.handle.send(MemberCommand::Status);
            }
        }
        // The due time moves with each report. Instead of being reset each time, the timer runs to its
        // first due time and is armed again then.
        if !tracking.detector_armed
            && let Some(due_us) = tracking.detector_due_us()
        {
            tracking.detector_armed = true;
            self.schedule.set(Purpose::Detector(group.name.clone()), due_us);
        }
    }

    pub(super) fn driver_timer(&mut self, now_us: u64, name: &str) {
        let Some(group) = self.groups.get_mut(name) else { return };
        group.drive(now_us, &failover::Event::Timer);
        self.apply_group_effects(now_us, &Arc::from(name));
    }

    pub(super) fn detector_timer(&mut self, now_us: u64, name: &str, due_us: u64) {
        let Some(group) = self.groups.get_mut(name) else { return };
        group.detector_timer(now_us, due_us);
        self.apply_group_effects(now_us, &Arc::from(name));
    }

    pub(super) fn handle_lead_answer(
        &mut self,
        group_name: &str,
        call: failover::PlatformCall,
        answer: failover::PlatformAnswer,
    ) {
        let now_us = self.clock.now_us();
        let Some(group) = self.groups.get_mut(group_name) else { return };
        group.drive(now_us, &failover::Event::Platform { call, answer });
        self.apply_group_effects(now_us, &Arc::from(group_name));
    }

    fn execute_actions(&mut self, now_us: u64, name: &Arc<str>) {
        // Executing an action can pass an event to the driver, which may request further actions.
        loop {
            let Some(group) = self.groups.get_mut(name) else { return };
            let Some(tracking) = &mut group.tracking else { return };
            if tracking.actions.is_empty() {
                return;
            }
            let actions = std::mem::take(&mut tracking.actions);
            for action in actions {
                self.execute_action(now_us, name, action);
            }
        }
    }

    fn execute_action(&mut self, now_us: u64, name: &Arc<str>, action: failover::Action) {
        match action {
            failover::Action::CallMember { member, call } => self.call_member(name, member, call),
            failover::Action::UpdateLead { call, expected_version, record } => {
                self.update_lead(name, call, expected_version, record);
            }
            failover::Action::ReadLead { call } => self.read_lead(name, call),
            failover::Action::HoldWrites => {
                self.record_decision(now_us, name, Decision::WritesHeld)
            }
            failover::Action::ReleaseWrites => {
                self.record_decision(now_us, name, Decision::WritesReleased)
            }
            failover::Action::Announce { leader } => self.announce(now_us, name, leader),
            failover::Action::SetTimer { at_us } => {
                self.schedule.set(Purpose::Driver(name.to_string()), at_us);
            }
            failover::Action::Trace { step, term } => {
                self.record_decision(now_us, name, Decision::Stepped { step, term });
                if step == failover::Step::Opened {
                    self.announce_leaders();
                }
            }
        }
    }

    /// Logs a decision about a group, adds it to the group's decision log and marks the group as changed.
    pub(super) fn record_decision(&mut self, now_us: u64, name: &Arc<str>, decision: Decision) {
        slog::info!(self.log, "decided";
            "group" => &**name, "decision" => decision.to_string(), "reason" => decision.reason());
        if let Some(group) = self.groups.get_mut(name) {
            group.log_decision(now_us, decision);
            group.changed = true;
        }
    }

    fn announce(&mut self, now_us: u64, name: &Arc<str>, leader: failover::Leader) {
        let Some(group) = self.groups.get_mut(name) else { return };
        group.update_stalled(now_us);
        let Some(tracking) = &group.tracking else { return };
        let target = tracking.members[leader.member].target.clone();
        self.record_decision(now_us, name, Decision::Announced { target, term: leader.term });
        if let Some(id) = self.configuration.topology().group_id(name) {
            self.update_driver_rank(now_us, id);
        }
    }

    fn call_member(&mut self, name: &Arc<str>, member: usize, call: failover::MemberCall) {
        let Some(group) = self.groups.get(name) else { return };
        let Some(tracking) = &group.tracking else { return };
        let driver = || tracking.driver.name().to_owned();
        let command = match call {
            failover::MemberCall::ReadStatus => MemberCommand::Status,
            failover::MemberCall::Raise { term } => {
                MemberCommand::RaiseTerm { term, driver: driver() }
            }
            failover::MemberCall::Promote { term } => {
                MemberCommand::Promote { term, driver: driver() }
            }
            failover::MemberCall::Follow { term, primary } => {
                let address = tracking.members[primary].address.clone();
                MemberCommand::Follow { term, address }
            }
        };
        tracking.members[member].handle.send(command);
    }

    fn update_lead(
        &self,
        name: &Arc<str>,
        call: failover::PlatformCall,
        expected_version: u64,
        record: LeadRecord,
    ) {
        let (store, group) = (self.store.clone(), Arc::clone(name));
        let inputs = self.senders.inputs.clone();
        let body = serde_json::to_value(record).expect("a lead record is serializable");
        tokio::spawn(async move {
            let put = store.put(ObjectKind::Lead, &group, expected_version, body);
            let answer = match time::timeout(LEAD_CALL_TIMEOUT, put).await {
                Ok(Ok(answer)) => failover::PlatformAnswer::Updated { version: answer.version },
                Ok(Err(StoreError::Conflict { .. })) => failover::PlatformAnswer::Conflict,
                Ok(Err(_)) | Err(_) => failover::PlatformAnswer::NoAnswer,
            };
            let _ = inputs.send(Input::Lead { group: group.to_string(), call, answer });
        });
    }

    fn read_lead(&self, name: &Arc<str>, call: failover::PlatformCall) {
        let (store, group) = (self.store.clone(), Arc::clone(name));
        let inputs = self.senders.inputs.clone();
        tokio::spawn(async move {
            let get = store.get(ObjectKind::Lead, &group);
            let answer = match time::timeout(LEAD_CALL_TIMEOUT, get).await {
                Ok(Ok(object)) => read_answer(&object),
                Ok(Err(StoreError::NotFound)) => {
                    failover::PlatformAnswer::Read { version: 0, record: None }
                }
                Ok(Err(_)) | Err(_) => failover::PlatformAnswer::NoAnswer,
            };
            let _ = inputs.send(Input::Lead { group: group.to_string(), call, answer });
        });
    }
}

fn read_answer(object: &StoredObject) -> failover::PlatformAnswer {
    let record = serde_json::from_value(object.body.clone()).ok();
    failover::PlatformAnswer::Read { version: object.version, record }
}

/// Returns the driver's call that a command executed. A periodic probe also answers the driver's own
/// call to read the status.
fn call_of(group: &Group, command: &MemberCommand) -> Option<failover::MemberCall> {
    match command {
        MemberCommand::Probe | MemberCommand::Status => Some(failover::MemberCall::ReadStatus),
        MemberCommand::Listen => None,
        MemberCommand::RaiseTerm { term, .. } => Some(failover::MemberCall::Raise { term: *term }),
        MemberCommand::Promote { term, .. } => Some(failover::MemberCall::Promote { term: *term }),
        MemberCommand::Follow { term, address } => {
            let members = &group.tracking.as_ref()?.members;
            let primary = members.iter().position(|member| member.address == *address)?;
            Some(failover::MemberCall::Follow { term: *term, primary })
        }
    }
}

fn evidence_of(error: &MemberError) -> detection::Evidence {
    match error {
        MemberError::Refused(_) => detection::Evidence::Refused,
        MemberError::Broken(_) | MemberError::Protocol(_) => detection::Evidence::Broken,
        MemberError::TimedOut => detection::Evidence::TimedOut,
    }
}
