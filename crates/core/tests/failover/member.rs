//! A simulated member: a log of terms with the control commands of `docs/INTERFACES.md`.

use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::process::failover::MemberCall;

#[derive(Clone, Debug)]
pub struct FakeMember {
    pub role: Role,
    pub raised_term: Term,
    raised_by: String,
    /// The term of each record.
    pub log: Vec<Term>,
    pub follows: Option<(Term, usize)>,
    pub down: bool,
}

impl FakeMember {
    pub fn new() -> FakeMember {
        FakeMember {
            role: Role::Fenced,
            raised_term: Term(0),
            raised_by: String::new(),
            log: Vec::new(),
            follows: None,
            down: false,
        }
    }

    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            role: self.role,
            raised_term: self.raised_term,
            raised_by: self.raised_by.clone(),
            log: self.end(),
            applied: self.end(),
            leaving: false,
        }
    }

    pub fn end(&self) -> LogPosition {
        let term = self.log.last().copied().unwrap_or_default();
        LogPosition { term, index: self.log.len() as u64 }
    }

    pub fn leads(&self, term: Term) -> bool {
        self.role == Role::Primary && self.raised_term == term
    }

    pub fn write(&mut self) -> Option<LogPosition> {
        if self.role != Role::Primary || self.down {
            return None;
        }
        self.log.push(self.raised_term);
        Some(self.end())
    }

    pub fn call(&mut self, name: &str, call: MemberCall) {
        match call {
            MemberCall::ReadStatus => {}
            MemberCall::Raise { term } => self.raise(term, name),
            MemberCall::Promote { term } => self.promote(term, name),
            MemberCall::Follow { term, primary } => self.follow(term, primary),
        }
    }

    pub fn raise(&mut self, term: Term, name: &str) {
        if term > self.raised_term {
            self.raised_term = term;
            self.raised_by = name.to_owned();
            self.role = Role::Fenced;
            self.follows = None;
        }
    }

    fn promote(&mut self, term: Term, name: &str) {
        let voted = self.raised_term == term && self.raised_by == name;
        if voted && self.role != Role::Primary {
            self.role = Role::Primary;
            self.follows = None;
            self.log.push(term);
        }
    }

    fn follow(&mut self, term: Term, primary: usize) {
        if term < self.raised_term || self.leads(term) {
            return;
        }
        if term > self.raised_term {
            self.raised_by = String::new();
        }
        self.raised_term = term;
        self.role = Role::Replica;
        self.follows = Some((term, primary));
    }

    /// Rewinds to the last common record and copies up to two more. Returns whether anything
    /// changed.
    pub fn take_from(&mut self, source: &[Term]) -> bool {
        let common = self.log.iter().zip(source).take_while(|(own, other)| own == other).count();
        if common == self.log.len() && common == source.len() {
            return false;
        }
        self.log.truncate(common);
        let until = source.len().min(common + 2);
        self.log.extend_from_slice(&source[common..until]);
        true
    }
}
