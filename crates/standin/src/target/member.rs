//! A member's terms and log: which commands take, what is held, when it rewinds.
//!
//! Plain state without I/O. [`super::Target`] keeps one behind a lock, together with the databases
//! that it describes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;

use super::record::LoggedStatement;
use super::record::Record;

/// Whom a replica follows.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Followed {
    /// The term that the primary leads in.
    pub term: Term,
    /// Where the primary listens.
    pub address: SocketAddr,
}

/// What a primary has for a replica.
#[derive(Clone, PartialEq, Debug)]
pub enum Supply {
    /// The records after the replica's last one, possibly none.
    Records(Vec<Arc<Record>>),
    /// The two logs differ before the replica's end: it must rewind first.
    Differs,
    /// The member asked does not lead in the term.
    NotLeading,
}

/// The state of a member.
#[derive(Debug)]
pub struct Member {
    role: Role,
    raised_term: Term,
    raised_by: String,
    led_term: Option<Term>,
    following: Option<Followed>,
    log: Vec<Arc<Record>>,
    applied: u64,
    generation: u64,
    leaving: bool,
}

impl Default for Member {
    fn default() -> Member {
        Member {
            role: Role::Fenced,
            raised_term: Term::default(),
            raised_by: String::new(),
            led_term: None,
            following: None,
            log: Vec::new(),
            applied: 0,
            generation: 0,
            leaving: false,
        }
    }
}

impl Member {
    /// The report of this moment.
    pub fn status(&self) -> MemberStatus {
        MemberStatus {
            role: self.role,
            raised_term: self.raised_term,
            raised_by: self.raised_by.clone(),
            log: self.position_at(self.log.len() as u64),
            applied: self.position_at(self.applied),
            leaving: self.leaving,
        }
    }

    /// The term that writes are accepted in now, if they are.
    pub fn writable_term(&self) -> Option<Term> {
        (self.role == Role::Primary).then_some(self.raised_term)
    }

    /// Whom the member follows.
    pub fn following(&self) -> Option<Followed> {
        self.following
    }

    /// How many records the log holds, which is also the last record's index.
    pub fn log_length(&self) -> u64 {
        self.log.len() as u64
    }

    /// The index of the last record that reads see.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Increases by one with each rewind, which invalidates what was derived from the log before.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether the member takes no new work.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// Starts or ends leaving.
    pub fn set_leaving(&mut self, leaving: bool) {
        self.leaving = leaving;
    }

    /// The records after `index`.
    pub fn records_after(&self, index: u64) -> &[Arc<Record>] {
        &self.log[index as usize..]
    }

    /// The records up to and with `index`.
    pub fn records_up_to(&self, index: u64) -> &[Arc<Record>] {
        &self.log[..index as usize]
    }

    /// Takes a driver's vote for `term`, if it is new or the same driver's.
    pub fn raise_term(&mut self, term: Term, driver: &str) {
        if term <= self.raised_term {
            return;
        }
        self.raised_term = term;
        driver.clone_into(&mut self.raised_by);
        self.role = Role::Fenced;
        self.following = None;
    }

    /// Whether a promotion by this driver takes now and changes something.
    pub fn can_promote(&self, term: Term, driver: &str) -> bool {
        self.raised_term == term && self.raised_by == driver && self.role != Role::Primary
    }

    /// Becomes primary of the raised term, whose opening it logs. The caller has applied all
    /// records and has asked [`Member::can_promote`].
    pub fn promote(&mut self, time_us: i64) {
        self.role = Role::Primary;
        self.led_term = Some(self.raised_term);
        self.following = None;
        self.append(time_us, Vec::new());
        self.applied = self.log_length();
    }

    /// Follows the primary of a term, if the term is not below the raised one.
    pub fn follow(&mut self, followed: Followed) {
        let leads_it = self.led_term == Some(followed.term);
        if followed.term < self.raised_term || leads_it {
            return;
        }
        if followed.term > self.raised_term {
            self.raised_term = followed.term;
            self.raised_by.clear();
        }
        self.role = Role::Replica;
        self.led_term = None;
        self.following = Some(followed);
    }

    /// Appends a record of the raised term, at a primary.
    pub fn append(&mut self, time_us: i64, statements: Vec<LoggedStatement>) -> LogPosition {
        let position = LogPosition { term: self.raised_term, index: self.log_length() + 1 };
        let written_at = Instant::now();
        self.log.push(Arc::new(Record { position, written_at, time_us, statements }));
        position
    }

    /// What this member, asked as the primary of `term`, has after a replica's `last` record.
    pub fn supply(&self, term: Term, last: LogPosition) -> Supply {
        if self.led_term != Some(term) {
            return Supply::NotLeading;
        }
        if last.index <= self.log_length() && self.term_at(last.index) == last.term {
            return Supply::Records(self.log[last.index as usize..].to_vec());
        }
        Supply::Differs
    }

    /// The index of the last record that this log shares with one whose records have `terms`.
    ///
    /// One primary a term and dense indexes: records of the same index and term are the same, and
    /// so are all before them.
    pub fn fork(&self, terms: &[Term]) -> u64 {
        let same = |pair: &(&Arc<Record>, &Term)| pair.0.position.term == *pair.1;
        self.log.iter().zip(terms).take_while(same).count() as u64
    }

    /// The terms of all records.
    pub fn terms(&self) -> Vec<Term> {
        self.log.iter().map(|record| record.position.term).collect()
    }

    /// Appends records that follow the log's end, if the replica still follows `followed`. Returns
    /// whether they were appended.
    pub fn receive(&mut self, followed: Followed, records: &[Arc<Record>]) -> bool {
        let expected = self.log_length() + 1;
        let fits = records.first().is_some_and(|first| first.position.index == expected);
        if self.following != Some(followed) || !fits {
            return false;
        }
        self.log.extend_from_slice(records);
        true
    }

    /// Drops all records after `index`.
    pub fn rewind(&mut self, index: u64) {
        self.log.truncate(index as usize);
        self.applied = self.applied.min(index);
        self.generation += 1;
    }

    /// Notes that reads now see all records up to `index`.
    pub fn set_applied(&mut self, index: u64) {
        self.applied = index;
    }

    /// The term of the record at an index; zero for index zero.
    pub fn term_at(&self, index: u64) -> Term {
        self.position_at(index).term
    }

    fn position_at(&self, index: u64) -> LogPosition {
        match index.checked_sub(1) {
            Some(before) => self.log[before as usize].position,
            None => LogPosition::default(),
        }
    }
}
