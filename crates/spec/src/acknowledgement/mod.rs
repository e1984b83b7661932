//! Acknowledgement, fence and promotion.
//!
//! The model has members with logs and raised terms, asynchronous replication, deposed primaries that
//! still accept writes, and attempts of failover drivers to open a new term. A member raises its term
//! when a driver asks it to; it is then fenced, which means that it accepts no writes of an older term.
//!
//! A step that is enabled may happen at any time or never. The explored orders therefore include drivers
//! that pause or crash at any point, isolated members, and lost, delayed or duplicated messages:
//!
//! - A raise, promotion or follow order that was sent may arrive at any later time, repeatedly, or never.
//!   A raise may be accepted while its answer is lost.
//! - A report that confirms a record stays valid however late it arrives. The model delivers each report
//!   to the acknowledging proxy as soon as the member could send it, and counts a write as acknowledged as
//!   soon as a majority confirmed it, because no other order acknowledges more.
//! - An attempt may use any term, including one that another attempt uses. Safety therefore does not
//!   depend on the platform's record of the driver: the platform may be down, lose answers, or name two
//!   drivers.
//! - A driver that restarts is a new attempt under a new name, see [`Safeguard::NewName`].
//! - The member set changes concurrently. Each process holds the newest version or the previous one. A
//!   change passes through three phases, see [`Phase`](state::Phase).
//!
//! The invariants: at most one member is promoted in each term, and a primary holds every write that was
//! acknowledged in its term or an earlier one.
//!
//! All per-member data is in [`Member`](state::Member), so sorting the members identifies all states that
//! differ only by a permutation of members.

mod attempts;
pub mod cases;
pub mod model;
pub mod state;
pub mod step;
pub mod views;

pub use model::AcknowledgementModel;
pub use model::Bounds;

/// A rule of the protocol that a case can switch off, to show that the invariants depend on it.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A confirmation counts only if the member's raised term and last record have the write's term.
    /// Off: any log that reaches the write's index confirms it.
    ConfirmationTerm,
    /// A driver raises the term on a majority before it promotes a member. Off: one member is enough.
    FenceMajority,
    /// Candidates are compared by term, then by index. Off: by index only, so the longest log wins.
    TermFirst,
    /// Candidates are compared by the term of their last record. Off: by the raised term that they had
    /// before.
    RecordTerm,
    /// Only records of the primary's own term are acknowledged. Off: an older record is acknowledged
    /// once a majority of members in the current term holds it.
    OwnTerm,
    /// A member accepts at most one driver per term. Off: it accepts any driver of its raised term.
    OneDriver,
    /// A driver that restarts uses a new name. Off: all attempts share one name.
    NewName,
    /// A driver promotes at most one member per term. Off: it may choose another one if no answer arrives.
    OneCandidate,
    /// Successive member sets differ by one member. Off: two members are added in one change.
    OneMember,
    /// The next member set is accepted only after every process holds the current one. Off: a process may
    /// hold any older one.
    KnownSet,
    /// The next member set is accepted only after a quorum of the current one confirmed a record that was
    /// written when every process held it. Off: it is enough that every process holds it.
    SettledRecord,
    /// An attempt asks the members of one version of the set and counts their votes by that version. Off:
    /// a driver that learns of another version keeps the votes that it already has.
    OneSet,
    /// A process discards its reports when it considers a set settled. Off: earlier reports of a member
    /// count towards quorums of every later set.
    FreshReports,
}

impl Safeguard {
    /// All safeguards.
    pub const ALL: [Safeguard; 13] = [
        Safeguard::ConfirmationTerm,
        Safeguard::FenceMajority,
        Safeguard::TermFirst,
        Safeguard::RecordTerm,
        Safeguard::OwnTerm,
        Safeguard::OneDriver,
        Safeguard::NewName,
        Safeguard::OneCandidate,
        Safeguard::OneMember,
        Safeguard::KnownSet,
        Safeguard::SettledRecord,
        Safeguard::OneSet,
        Safeguard::FreshReports,
    ];

    /// Returns the name of the safeguard on the command line and in reports.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::ConfirmationTerm => "confirmation-term",
            Safeguard::FenceMajority => "fence-majority",
            Safeguard::TermFirst => "term-first",
            Safeguard::RecordTerm => "record-term",
            Safeguard::OwnTerm => "own-term",
            Safeguard::OneDriver => "one-driver",
            Safeguard::NewName => "new-name",
            Safeguard::OneCandidate => "one-candidate",
            Safeguard::OneMember => "one-member",
            Safeguard::KnownSet => "known-set",
            Safeguard::SettledRecord => "settled-record",
            Safeguard::OneSet => "one-set",
            Safeguard::FreshReports => "fresh-reports",
        }
    }
}
