//! The simulated network: messages in transit between processes, members and the platform.

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
pub struct Message {
    pub process: usize,
    pub run: u64,
    pub sent_us: u64,
    pub payload: Payload,
}

impl Group {
    pub fn send(&mut self, process: usize, payload: Payload) {
        let run = self.processes[process].run;
        self.messages.push(Message { process, run, sent_us: self.now_us, payload });
    }

    pub fn lose(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            self.messages.swap_remove(pick % self.messages.len());
        }
    }

    pub fn repeat(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            self.messages.push(self.messages[pick % self.messages.len()].clone());
        }
    }

    pub fn deliver(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let message = self.messages.remove(pick % self.messages.len());
            self.arrive(message);
        }
    }

    pub fn arrive(&mut self, message: Message) {
        let process = message.process;
        if let Payload::ToMember { name, member, call } = &message.payload {
            self.call_member(&message, name, *member, *call);
            return;
        }
        if self.processes[process].run != message.run {
            return;
        }
        match message.payload {
            Payload::ToProcess(event) => {
                let reached = match &event {
                    Event::Report { member, .. } | Event::MemberAnswer { member, .. } => {
                        self.linked(process, *member)
                    }
                    _ => !self.cut[process],
                };
                if reached {
                    self.pass_event(process, event);
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

    fn call_member(&mut self, message: &Message, name: &str, member: usize, call: MemberCall) {
        if !self.linked(message.process, member) || self.members[member].down {
            return;
        }
        let led_before = self.members[member].leads(self.members[member].raised_term);
        let before = self.members[member].status();
        self.members[member].call(name, call);
        let status = self.members[member].status();
        if !led_before && self.members[member].leads(status.raised_term) {
            self.record_leadership(member);
        }
        if status != before {
            self.notify(member);
        }
        if self.processes[message.process].run == message.run {
            let event = Event::MemberAnswer { member, call, status };
            self.send(message.process, Payload::ToProcess(event));
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
