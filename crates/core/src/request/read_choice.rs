//! Which member of a group serves a read that any member may serve.
//!
//! A target refuses a read that its log can't serve by itself, so the choice is about time and bytes
//! only: the member that is expected to answer first, with a preference for the own availability
//! zone. Members that lately refused for lagging, or did not answer, come after all others: they
//! are tried only when nothing else is left.

/// What a member in another availability zone costs beyond its answer time. A read that crosses
/// zones costs about 1% of what it earns, so it pays only where the answer would come clearly sooner.
pub const OTHER_ZONE_COST_US: u64 = 15_000;

/// What a read at the primary costs beyond its answer time: the primary's slots are the only ones
/// that can run writes.
pub const PRIMARY_COST_US: u64 = 20_000;

/// What a read costs at a member that is not its organisation's own choice, beyond its answer time: a connection
/// has to be opened there as often as not, which takes a slot, and another organisation's gives way to it.
pub const NOT_PREFERRED_COST_US: u64 = 20_000;

/// One member that may serve the read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ReadCandidate {
    /// Whether it is in the own availability zone.
    pub same_zone: bool,
    /// Whether it leads.
    pub is_primary: bool,
    /// How long its answers usually take, in microseconds.
    pub usual_us: u64,
    /// How many statements this process has under way or waiting there.
    pub outstanding: u32,
    /// Whether reads of the same organisation usually go there.
    pub is_preferred: bool,
    /// Whether it lately refused a read for lagging behind.
    pub is_lagging: bool,
    /// Whether it lately did not answer.
    pub is_failing: bool,
}

impl ReadCandidate {
    /// How long the answer is expected to take, with the costs of the place.
    fn cost_us(&self) -> u64 {
        let zone_us = if self.same_zone { 0 } else { OTHER_ZONE_COST_US };
        let primary_us = if self.is_primary { PRIMARY_COST_US } else { 0 };
        let organisation_us = if self.is_preferred { 0 } else { NOT_PREFERRED_COST_US };
        self.usual_us * u64::from(1 + self.outstanding) + zone_us + primary_us + organisation_us
    }
}

/// The place of the best candidate; none if there is none.
pub fn choose(candidates: &[ReadCandidate]) -> Option<usize> {
    let rank = |index: &usize| {
        let candidate = &candidates[*index];
        (candidate.is_failing, candidate.is_lagging, candidate.cost_us())
    };
    (0..candidates.len()).min_by_key(rank)
}
