//! Selects the member of a group that serves a read which any member may serve.
//!
//! A target itself refuses a read that its log can't serve, so the choice only weighs latency and
//! traffic between zones: it takes the member that is expected to answer first, with a preference for
//! the proxy's own availability zone. Members that recently refused a read because they lag, or that
//! did not answer, rank after all others and are used only as a last resort.

/// The penalty for a member in another availability zone, in microseconds. A read across zones costs
/// about 1% of its revenue, so it is worthwhile only if the answer arrives clearly earlier.
pub const OTHER_ZONE_COST_US: u64 = 15_000;

/// The penalty for a read at the primary, in microseconds: only the primary's slots can run writes.
pub const PRIMARY_COST_US: u64 = 20_000;

/// The penalty for a member that is not the preferred one of the read's organisation, in microseconds. About
/// every second read there has to open a connection, which takes a slot and evicts a connection of another
/// organisation.
pub const NOT_PREFERRED_COST_US: u64 = 20_000;

/// A member that may serve the read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReadCandidate {
    /// Whether it is in the proxy's own availability zone.
    pub same_zone: bool,
    /// Whether it is the primary.
    pub is_primary: bool,
    /// The average latency of its answers, in microseconds.
    pub average_answer_us: u64,
    /// The number of statements of this process that are queued for it or running at it.
    pub outstanding: u32,
    /// Whether it is the preferred member for reads of the same organisation.
    pub is_preferred: bool,
    /// Whether it recently refused a read because it lags.
    pub is_lagging: bool,
    /// Whether it recently failed to answer.
    pub is_failing: bool,
}

impl ReadCandidate {
    /// Returns the expected latency plus the penalties of the member, in microseconds.
    fn cost_us(&self) -> u64 {
        let zone_us = if self.same_zone { 0 } else { OTHER_ZONE_COST_US };
        let primary_us = if self.is_primary { PRIMARY_COST_US } else { 0 };
        let organisation_us = if self.is_preferred { 0 } else { NOT_PREFERRED_COST_US };
        self.average_answer_us * u64::from(1 + self.outstanding)
            + zone_us
            + primary_us
            + organisation_us
    }
}

/// Returns the index of the best candidate, or `None` if there are no candidates.
pub fn choose(candidates: &[ReadCandidate]) -> Option<usize> {
    let rank = |index: &usize| {
        let candidate = &candidates[*index];
        (candidate.is_failing, candidate.is_lagging, candidate.cost_us())
    };
    (0..candidates.len()).min_by_key(rank)
}
