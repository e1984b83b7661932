//! The state of the acknowledgement model, packed into few bytes.

use std::fmt;

use skylark_core::log_position::LogPosition;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;

/// The most attempts that the state has room for.
pub const MAX_ATTEMPTS: usize = 3;
/// The most terms, counted from the initial term 1. Records 1 to this number open their term.
pub const MAX_TERMS: u8 = 4;
/// The most writes. Their records follow those that open terms.
pub const MAX_WRITES: usize = 3;

const RECORD_BITS: u32 = 4;
const INDEX_BITS: u32 = 4;

/// A log of up to eight records, each named by a number from 1.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Log(u32);

impl Log {
    /// The number of records.
    pub fn len(self) -> u32 {
        (u32::BITS - self.0.leading_zeros()).div_ceil(RECORD_BITS)
    }

    /// Whether there is no record.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// The record at `index`, counted from 1; zero if there is none.
    pub fn record(self, index: u32) -> u8 {
        match index {
            0 => 0,
            _ => (self.0 >> ((index - 1) * RECORD_BITS) & 0xf) as u8,
        }
    }

    /// This log with one more record.
    pub fn with(self, record: u8) -> Log {
        Log(self.0 | u32::from(record) << (self.len() * RECORD_BITS))
    }

    /// The records that both logs begin with.
    pub fn common_prefix(self, other: Log) -> Log {
        let same_bits = (self.0 ^ other.0).trailing_zeros() / RECORD_BITS * RECORD_BITS;
        match same_bits {
            u32::BITS => self,
            bits => Log(self.0 & ((1 << bits) - 1)),
        }
    }

    /// Whether the record stands anywhere in the log.
    pub fn holds(self, record: u8) -> bool {
        (1..=self.len()).any(|index| self.record(index) == record)
    }
}

/// What a member, and the drivers and proxies about it, know.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Member {
    /// The records it holds.
    pub log: Log,
    /// Its raised term.
    pub raised: u8,
    /// The name it gave its vote of that term: attempt number from 1; zero for none.
    pub raised_by: u8,
    /// 0 primary, 1 replica, 2 fenced.
    role: u8,
    /// The terms in which it was promoted, one bit each.
    pub promoted_terms: u8,
    /// The writes that it confirmed since the member set before the present one was accepted, one bit
    /// each.
    pub confirmed: u8,
    /// Those that it confirmed since the present member set was accepted.
    pub confirmed_in_set: u8,
    /// The attempts that chose it as candidate, one bit each; the order to promote it is sent.
    pub chosen: u8,
    /// The versions of the member set that hold it, one bit each.
    pub sets: u8,
    /// The last position that it answered to each attempt that has not chosen yet; zero for none.
    pub answered: [u8; MAX_ATTEMPTS],
}

impl Member {
    /// A member of the first set, which holds the record that opens term 1.
    pub fn initial(role: Role, sets: u8) -> Member {
        let mut member = Member {
            log: Log::default().with(1),
            raised: 1,
            raised_by: 0,
            role: 0,
            promoted_terms: u8::from(role == Role::Primary) << 1,
            confirmed: 0,
            confirmed_in_set: 0,
            chosen: 0,
            sets,
            answered: [0; MAX_ATTEMPTS],
        };
        member.set_role(role);
        member
    }

    /// A member that a later set adds, with an empty log.
    pub fn added_later(sets: u8) -> Member {
        let initial = Member::initial(Role::Fenced, sets);
        Member { log: Log::default(), raised: 0, ..initial }
    }

    /// Whether a version of the member set holds it.
    pub fn is_in(&self, version: usize) -> bool {
        self.sets >> version & 1 == 1
    }

    /// The part that it plays.
    pub fn role(&self) -> Role {
        match self.role {
            0 => Role::Primary,
            1 => Role::Replica,
            _ => Role::Fenced,
        }
    }

    /// Changes the part that it plays.
    pub fn set_role(&mut self, role: Role) {
        self.role = match role {
            Role::Primary => 0,
            Role::Replica => 1,
            Role::Fenced => 2,
        };
    }
}

/// A write that ran at a primary. Term zero stands for one that did not run yet.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Write {
    /// The term of the primary that ran it.
    pub term: u8,
    /// Its index in that primary's log.
    pub index: u8,
    /// The term in which it was acknowledged; zero before.
    pub acknowledged: u8,
    /// The version of the member set that every process knew when it ran.
    pub known_version: u8,
}

impl Write {
    /// The position that the primary answered.
    pub fn position(self) -> LogPosition {
        LogPosition::new(u64::from(self.term), u64::from(self.index))
    }
}

/// How far the present version of the member set has come.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Phase {
    /// Processes may hold the version before.
    Spreading,
    /// Every process holds this version.
    Known,
    /// A record written since then was confirmed, and the next version may come.
    Settled,
}

/// A state of `N` members.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State<const N: usize> {
    /// The members.
    pub members: [Member; N],
    /// The term of each attempt, zero before it begins.
    pub attempts: [u8; MAX_ATTEMPTS],
    /// The version of the member set with which each attempt began.
    pub attempt_versions: [u8; MAX_ATTEMPTS],
    /// The writes.
    pub writes: [Write; MAX_WRITES],
    /// The newest version of the member set.
    pub version: u8,
    /// How far it has come.
    pub phase: Phase,
}

impl<const N: usize> State<N> {
    /// The term that wrote a record; zero for no record.
    pub fn record_term(&self, record: u8) -> u8 {
        match record.checked_sub(MAX_TERMS + 1) {
            Some(write) => self.writes[usize::from(write)].term,
            None => record,
        }
    }

    /// The position of a log's last record.
    pub fn last(&self, log: Log) -> LogPosition {
        let term = self.record_term(log.record(log.len()));
        LogPosition::new(u64::from(term), u64::from(log.len()))
    }

    /// What a member reports now.
    pub fn report(&self, member: usize) -> MemberStatus {
        let member = &self.members[member];
        let log = self.last(member.log);
        MemberStatus {
            role: member.role(),
            raised_term: skylark_core::log_position::Term(u64::from(member.raised)),
            raised_by: String::new(),
            log,
            applied: log,
            leaving: false,
        }
    }

    /// The member that leads in `term` now, if one does.
    pub fn primary_of(&self, term: u8) -> Option<usize> {
        let leads = |member: &Member| member.raised == term && member.role() == Role::Primary;
        self.members.iter().position(leads)
    }

    /// How many members confirmed a write.
    pub fn confirmations(&self, write: usize) -> usize {
        self.members.iter().filter(|member| member.confirmed >> write & 1 == 1).count()
    }
}

/// The number of the record that a write makes.
pub fn write_record(write: usize) -> u8 {
    MAX_TERMS + 1 + write as u8
}

/// Packs a position into a byte other than zero.
pub fn pack(position: LogPosition) -> u8 {
    0x80 | (position.term.0 << INDEX_BITS | position.index) as u8
}

/// The position that [`pack`] packed.
pub fn unpack(packed: u8) -> LogPosition {
    LogPosition::new(u64::from(packed >> INDEX_BITS & 0x7), u64::from(packed & 0xf))
}

impl<const N: usize> fmt::Display for State<N> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (number, member) in self.members.iter().enumerate() {
            let role = match member.role() {
                Role::Primary => "primary",
                Role::Replica => "replica",
                Role::Fenced => "fenced",
            };
            write!(f, "member{number}: {role} of term {}, log", member.raised)?;
            for index in 1..=member.log.len() {
                let record = member.log.record(index);
                match record.checked_sub(MAX_TERMS + 1) {
                    Some(write) => write!(f, " {}:write{write}", self.record_term(record))?,
                    None => write!(f, " {record}:open")?,
                }
            }
            f.write_str("; ")?;
        }
        if (self.version, self.phase) != (0, Phase::Settled) {
            write!(f, "member set {} {:?}; ", self.version, self.phase)?;
        }
        f.write_str("confirmed by:")?;
        for (number, write) in self.writes.iter().enumerate().filter(|(_, w)| w.term > 0) {
            write!(f, " write{number} at {}: {}", write.position(), self.confirmations(number))?;
            if write.acknowledged > 0 {
                write!(f, " (acknowledged in term {})", write.acknowledged)?;
            }
        }
        Ok(())
    }
}
