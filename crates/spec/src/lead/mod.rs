//! A read at a primary that may have been replaced, and the members' reports that prove that it still leads.
//!
//! The old primary continues in its term. A successor is promoted in a later term and acknowledges a commit
//! once a replica holds it. Members restart with an empty log, members leave, and a fourth member joins. The
//! proxy that serves the read requests reports from members at any time, and a report may take any time to
//! arrive. The core's [`LeadReports`](skylark_core::request::lead_proof::LeadReports) decides whether the
//! reports prove that the old primary still leads.
//!
//! Invariant: no served read misses a commit that was acknowledged before the read arrived.

pub mod cases;
pub mod model;

pub use model::LeadModel;

/// The parts of the proof that can be switched off.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Safeguard {
    /// A report counts only if it was requested after the read arrived. Off: any report counts.
    FreshReport,
    /// A report is dated by the time of its request. Off: by the time of its arrival.
    RequestTime,
    /// The report of a member whose log is shorter than what was acknowledged long ago does not count.
    /// Off: it counts.
    KeptLog,
    /// While a running member may be missing from the list, the reports of all listed members are required.
    /// Off: the list is assumed to be complete.
    CompleteList,
    /// Each member that left raises the number of required reports by one. Off: departed members are ignored.
    Departed,
}

impl Safeguard {
    /// Returns the safeguard's name on the command line.
    pub const fn name(self) -> &'static str {
        match self {
            Safeguard::FreshReport => "fresh-word",
            Safeguard::RequestTime => "asked-time",
            Safeguard::KeptLog => "kept-log",
            Safeguard::CompleteList => "complete-list",
            Safeguard::Departed => "departed",
        }
    }
}
