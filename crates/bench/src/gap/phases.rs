//! Splits a failover gap into phases, using the decisions that the proxies logged.

use serde::Deserialize;
use serde::Serialize;

use crate::embedded::decisions::Decision;

/// The prefix of a logged step before a term is chosen.
const TERMLESS_PREFIX: &str = "change of primary: ";
/// The prefix of a logged step after a term is chosen. The term and a colon follow it.
const STEP_PREFIX: &str = "change of primary to term ";

/// The durations of the consecutive phases of one change of primary, in microseconds.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct Phases {
    /// From the fault until the proxy that completes the change started to drive it.
    pub detect_us: u64,
    /// Until the platform accepted the driver's claim, or the driver continued without the platform.
    pub agree_us: u64,
    /// Until a majority of members had adopted the new term.
    pub fence_us: u64,
    /// Until a majority of members confirmed the first log record of the term.
    pub promote_us: u64,
    /// Until the first write was acknowledged in the new term.
    pub route_us: u64,
}

/// Returns the term and the step of a decision about a change of primary, or `None` for other decisions.
///
/// The term is 0 before one is chosen.
pub fn step_of(decision: &Decision) -> Option<(u64, &str)> {
    if let Some(step) = decision.decision.strip_prefix(TERMLESS_PREFIX) {
        return Some((0, step));
    }
    let rest = decision.decision.strip_prefix(STEP_PREFIX)?;
    let (term, step) = rest.split_once(": ")?;
    Some((term.parse().ok()?, step))
}

/// Splits the time from the fault to the first acknowledged write of the new term into phases.
///
/// Returns `None` if the decisions contain no completed change of primary.
pub fn split(decisions: &[Decision], fault_us: u64, first_ack_us: u64) -> Option<Phases> {
    let opened = decisions
        .iter()
        .filter(|it| it.at_us <= first_ack_us)
        .rfind(|it| step_of(it).is_some_and(|(_, step)| step == "opened"))?;
    let winner: Vec<&Decision> = decisions.iter().filter(|it| it.vm == opened.vm).collect();
    let last_before = |until_us: u64, steps: &[&str]| {
        winner
            .iter()
            .filter(|it| it.at_us <= until_us)
            .rfind(|it| step_of(it).is_some_and(|(_, step)| steps.contains(&step)))
            .map(|it| it.at_us)
    };
    let fenced_us = last_before(opened.at_us, &["fenced"])?;
    let agreed_us =
        last_before(fenced_us, &["claimed", "going on without the platform"]).unwrap_or(fenced_us);
    let started_us = last_before(agreed_us, &["started"])?.max(fault_us);
    Some(Phases {
        detect_us: started_us - fault_us,
        agree_us: agreed_us.saturating_sub(started_us),
        fence_us: fenced_us.saturating_sub(agreed_us.max(started_us)),
        promote_us: opened.at_us - fenced_us,
        route_us: first_ack_us.saturating_sub(opened.at_us),
    })
}
