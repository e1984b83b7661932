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
//! - The member set changes while all this goes on. Processes hold the newest version or the one
//!   before; a change is in force in three phases, see [`Phase`](state::Phase).
//!
//! Every member-related fact stands in the [`Member`](state::Member), so sorting the members
//! identifies all states that differ by a renaming of members.

mod attempts;
pub mod cases;
pub mod model;
pub mod state;
pub mod step;
pub mod views;

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
    /// Successive member sets differ by one member. Off: two members are added at once.
    OneMember,
    /// The next member set is accepted after every process knows the present one. Off: a process may
    /// hold any older one.
    KnownSet,
    /// The next member set is accepted only after a quorum of the present one confirmed a record that
    /// was written when every process knew it. Off: it is enough that every process knows it.
    SettledRecord,
    /// An attempt asks the members of one version of the set and counts them by that version. Off: a
    /// driver that learns of another version goes on with the votes that it has.
    OneSet,
    /// A process forgets the reports it has when it takes a set as settled. Off: a member's report
    /// from before counts by the quorums of any later set.
    FreshReports,
}

impl Safeguard {
    /// Every switch.
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
            Safeguard::OneMember => "one-member",
            Safeguard::KnownSet => "known-set",
            Safeguard::SettledRecord => "settled-record",
            Safeguard::OneSet => "one-set",
            Safeguard::FreshReports => "fresh-reports",
        }
    }
}
