//! The state of the acknowledgement model in a compact encoding, which bounds the memory of the search.

use std::fmt;

use skylark_core::log_position::LogPosition;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;

/// Maximum number of attempts that a state can represent.
pub const MAX_ATTEMPTS: usize = 3;
/// Highest term; the initial term is 1. Record numbers 1 to this value stand for the records that open the
/// term of that number.
pub const MAX_TERMS: u8 = 4;
/// Maximum number of writes. Their record numbers follow those of the records that open terms.
pub const MAX_WRITES: usize = 3;

const RECORD_BITS: u32 = 4;
const INDEX_BITS: u32 = 4;

/// A log of up to eight records, each identified by a number from 1.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Log(u32);

impl Log {
    /// Returns the number of records.
    pub fn len(self) -> u32 {
        (u32::BITS - self.0.leading_zeros()).div_ceil(RECORD_BITS)
    }

    /// Whether the log has no records.
    pub fn is_empty(self) -> bool {
        self.0 == 0
    }

    /// Returns the record at `index`, counted from 1, or zero if there is none.
    pub fn record(self, index: u32) -> u8 {
        match index {
            0 => 0,
            _ => (self.0 >> ((index - 1) * RECORD_BITS) & 0xf) as u8,
        }
    }

    /// Returns this log with `record` appended.
    pub fn with(self, record: u8) -> Log {
        Log(self.0 | u32::from(record) << (self.len() * RECORD_BITS))
    }

    /// Returns the longest common prefix of both logs.
    pub fn common_prefix(self, other: Log) -> Log {
        let same_bits = (self.0 ^ other.0).trailing_zeros() / RECORD_BITS * RECORD_BITS;
        match same_bits {
            u32::BITS => self,
            bits => Log(self.0 & ((1 << bits) - 1)),
        }
    }

    /// Whether the log contains the record at any index.
    pub fn holds(self, record: u8) -> bool {
        (1..=self.len()).any(|index| self.record(index) == record)
    }
}

/// State of a member, and what drivers and proxies know about that member.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub struct Member {
    /// Records that the member holds.
    pub log: Log,
    /// Raised term: the highest term that the member has accepted; zero for none.
    pub raised: u8,
    /// Driver that has the member's vote in that term, as a driver name from 1; zero for none.
    pub raised_by: u8,
    /// Encoded [`Role`]: 0 primary, 1 replica, 2 fenced.
    role: u8,
    /// Terms in which the member was promoted, one bit per term.
    pub promoted_terms: u8,
    /// Writes that the member confirmed since the previous member set was accepted, one bit per write. If
    /// [`FreshReports`](super::Safeguard::FreshReports) is off, those of any earlier time.
    pub confirmed: u8,
    /// Writes that the member confirmed since the current member set was accepted, one bit per write.
    pub confirmed_in_set: u8,
    /// Attempts that chose the member as candidate and sent the order to promote it, one bit per attempt.
    pub chosen: u8,
    /// Versions of the member set that contain the member, one bit per version.
    pub sets: u8,
    /// Last position that the member reported to each attempt that has not chosen a candidate, packed; zero
    /// for none.
    pub answered: [u8; MAX_ATTEMPTS],
}

impl Member {
    /// Creates a member of the first set. Its log holds the record that opens term 1.
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

    /// Creates a member that a later set adds. Its log is empty.
    pub fn added_later(sets: u8) -> Member {
        let initial = Member::initial(Role::Fenced, sets);
        Member { log: Log::default(), raised: 0, ..initial }
    }

    /// Whether the given version of the member set contains the member.
    pub fn is_in(&self, version: usize) -> bool {
        self.sets >> version & 1 == 1
    }

    /// Returns the role of the member.
    pub fn role(&self) -> Role {
        match self.role {
            0 => Role::Primary,
            1 => Role::Replica,
            _ => Role::Fenced,
        }
    }

    /// Sets the role of the member.
    pub fn set_role(&mut self, role: Role) {
        self.role = match role {
            Role::Primary => 0,
            Role::Replica => 1,
            Role::Fenced => 2,
        };
    }
}

/// A write that ran on a primary. Its term is zero until it runs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug, Default)]
pub struct Write {
    /// Term of the primary that ran the write.
    pub term: u8,
    /// Index of the write in that primary's log.
    pub index: u8,
    /// Term in which the write was acknowledged; zero until then.
    pub acknowledged: u8,
    /// Version of the member set that every process held when the write ran; zero while a change spreads.
    pub known_version: u8,
}

impl Write {
    /// Returns the log position that the primary assigned.
    pub fn position(self) -> LogPosition {
        LogPosition::new(u64::from(self.term), u64::from(self.index))
    }
}

/// Progress of the change to the newest version of the member set.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Debug)]
pub enum Phase {
    /// Some processes may still hold the previous version.
    Spreading,
    /// Every process holds the newest version.
    Known,
    /// A quorum confirmed a record that was written after every process held the version. The next
    /// version may be accepted.
    Settled,
}

/// A state of `N` members.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct State<const N: usize> {
    /// State of each member.
    pub members: [Member; N],
    /// Term of each attempt; zero before the attempt starts.
    pub attempts: [u8; MAX_ATTEMPTS],
    /// Version of the member set with which each attempt starts.
    pub attempt_versions: [u8; MAX_ATTEMPTS],
    /// Writes, in the order in which they run.
    pub writes: [Write; MAX_WRITES],
    /// Newest version of the member set, counted from zero.
    pub version: u8,
    /// Progress of the change to that version.
    pub phase: Phase,
}

impl<const N: usize> State<N> {
    /// Returns the term in which a record was written; zero for no record.
    pub fn record_term(&self, record: u8) -> u8 {
        match record.checked_sub(MAX_TERMS + 1) {
            Some(write) => self.writes[usize::from(write)].term,
            None => record,
        }
    }

    /// Returns the position of the last record of a log.
    pub fn last(&self, log: Log) -> LogPosition {
        let term = self.record_term(log.record(log.len()));
        LogPosition::new(u64::from(term), u64::from(log.len()))
    }

    /// Returns the status that a member reports in this state.
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

    /// Returns the member that is primary in `term`, if any.
    pub fn primary_of(&self, term: u8) -> Option<usize> {
        let leads = |member: &Member| member.raised == term && member.role() == Role::Primary;
        self.members.iter().position(leads)
    }

    /// Returns the number of members that confirmed a write.
    pub fn confirmations(&self, write: usize) -> usize {
        self.members.iter().filter(|member| member.confirmed >> write & 1 == 1).count()
    }
}

/// Returns the number of the record that a write appends to the log.
pub fn write_record(write: usize) -> u8 {
    MAX_TERMS + 1 + write as u8
}

/// Packs a position into a nonzero byte, because zero stands for no position.
pub fn pack(position: LogPosition) -> u8 {
    0x80 | (position.term.0 << INDEX_BITS | position.index) as u8
}

/// Returns the position that [`pack`] encoded.
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
