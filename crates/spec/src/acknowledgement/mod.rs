//! Acknowledgement, fence and promotion.
//!
//! What is explored: members with logs and raised terms, asynchronous replication, primaries that
//! go on accepting writes because they believe they lead, and attempts of drivers to open a new
//! term. Any step may come at any time or never, so that a driver that pauses or dies at any point,
//! an isolated member, and a lost, late or repeated message are all among the explored orders:
//!
//! - A raise, promotion or follow order that was sent once may arrive at any later time, again and
//!   again, or never. A raise may take while its answer is lost.
//! - A report that confirms a record counts for ever, however late it arrives. The model hands each
//!   report to the acknowledging proxy as soon as the member could send it, and counts a write as
//!   acknowledged as soon as a majority confirmed it: no other order could acknowledge more.
//! - An attempt takes any term, also one that another attempt took. So nothing rests on the
//!   platform's record: it may be down, lose answers, or name two drivers.
//! - A driver that starts again is another attempt under a new name, see [`Safeguard::NewName`].
//!
//! Every member-related fact stands in the [`Member`](state::Member), so sorting the members
//! identifies all states that differ by a renaming of members.

pub mod cases;
pub mod model;
pub mod state;
pub mod step;

pub use model::AcknowledgementModel;
pub use model::Bounds;

/// The parts of the protocol that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A confirmation counts only if the member's raised term and last record are of the write's
    /// term. Off: a log that is long enough confirms.
    ConfirmationTerm,
    /// A driver raises the term on a majority before it promotes. Off: one member is enough.
    FenceMajority,
    /// Candidates are compared by term first, then by index. Off: the longest log wins.
    TermFirst,
    /// The term that is compared is that of the last record. Off: it is the term that the member had
    /// raised before.
    RecordTerm,
    /// Only records of the primary's own term are acknowledged. Off: an older record is acknowledged
    /// once a majority of the present term holds it.
    OwnTerm,
    /// A member takes one driver a term. Off: any driver of the same term is welcome.
    OneDriver,
    /// A driver that starts again takes a new name. Off: all attempts carry one name.
    NewName,
    /// A driver promotes one member a term. Off: it may turn to another one when no answer comes.
    OneCandidate,
}

impl Safeguard {
    /// Every switch.
    pub const ALL: [Safeguard; 8] = [
        Safeguard::ConfirmationTerm,
        Safeguard::FenceMajority,
        Safeguard::TermFirst,
        Safeguard::RecordTerm,
        Safeguard::OwnTerm,
        Safeguard::OneDriver,
        Safeguard::NewName,
        Safeguard::OneCandidate,
    ];

    /// The switch's name on the command line.
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
        }
    }
}
