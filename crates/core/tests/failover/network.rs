//! The fake network: messages under way between processes, members and the platform.

use skylark_core::process::failover::Event;
use skylark_core::process::failover::MemberCall;
use skylark_core::process::failover::PlatformAnswer;
use skylark_core::process::failover::PlatformCall;
use skylark_core::version::objects::LeadRecord;

use crate::group::Group;

#[derive(Clone, Debug)]
pub enum Payload {
    ToMember { name: String, member: usize, call: MemberCall },
    ToProcess(Event),
    Update { call: PlatformCall, expected_version: u64, record: LeadRecord },
    Read { call: PlatformCall },
}

#[derive(Clone, Debug)]
pub struct Wire {
    pub process: usize,
    pub run: u64,
    pub sent_us: u64,
    pub payload: Payload,
}

impl Group {
    pub fn send(&mut self, process: usize, payload: Payload) {
        let run = self.processes[process].run;
        self.wires.push(Wire { process, run, sent_us: self.now_us, payload });
    }

    pub fn lose(&mut self, pick: usize) {
        if !self.wires.is_empty() {
            self.wires.swap_remove(pick % self.wires.len());
        }
    }

    pub fn repeat(&mut self, pick: usize) {
        if !self.wires.is_empty() {
            self.wires.push(self.wires[pick % self.wires.len()].clone());
        }
    }

    pub fn deliver(&mut self, pick: usize) {
        if !self.wires.is_empty() {
            let wire = self.wires.remove(pick % self.wires.len());
            self.arrive(wire);
        }
    }

    pub fn arrive(&mut self, wire: Wire) {
        let process = wire.process;
        if let Payload::ToMember { name, member, call } = &wire.payload {
            self.call_member(&wire, name, *member, *call);
            return;
        }
        if self.processes[process].run != wire.run {
            return;
        }
        match wire.payload {
            Payload::ToProcess(event) => {
                let reached = match &event {
                    Event::Report { member, .. } | Event::MemberAnswer { member, .. } => {
                        self.linked(process, *member)
                    }
                    _ => !self.cut[process],
                };
                if reached {
                    self.tell(process, event);
                }
            }
            Payload::Update { call, expected_version, record } => {
                self.update_lead(process, call, expected_version, record);
            }
            Payload::Read { call } => {
                let answer = PlatformAnswer::Read {
                    version: self.record_version,
                    record: self.record.clone(),
                };
                self.answer_platform(process, call, answer);
            }
            Payload::ToMember { .. } => {}
        }
    }

    fn call_member(&mut self, wire: &Wire, name: &str, member: usize, call: MemberCall) {
        if !self.linked(wire.process, member) || self.members[member].down {
            return;
        }
        let led_before = self.members[member].leads(self.members[member].raised_term);
        let before = self.members[member].status();
        self.members[member].call(name, call);
        let status = self.members[member].status();
        if !led_before && self.members[member].leads(status.raised_term) {
            self.note_reign(member);
        }
        if status != before {
            self.notify(member);
        }
        if self.processes[wire.process].run == wire.run {
            let event = Event::MemberAnswer { member, call, status };
            self.send(wire.process, Payload::ToProcess(event));
        }
    }

    fn update_lead(
        &mut self,
        process: usize,
        call: PlatformCall,
        expected_version: u64,
        record: LeadRecord,
    ) {
        if !self.platform_up || self.cut[process] {
            return;
        }
        if expected_version != self.record_version {
            self.answer_platform(process, call, PlatformAnswer::Conflict);
            return;
        }
        self.set_record(record);
        let version = self.record_version;
        self.answer_platform(process, call, PlatformAnswer::Updated { version });
    }

    fn answer_platform(&mut self, process: usize, call: PlatformCall, answer: PlatformAnswer) {
        if self.platform_up && !self.cut[process] {
            self.send(process, Payload::ToProcess(Event::Platform { call, answer }));
        }
    }
}
