//! Measures the failover gap, the time in which no primary acknowledges writes, and splits it into phases.
//!
//! - [`scenario`]: the ways in which a group loses its primary.
//! - [`trial`]: one run with a probe writer, background load and the history checker.
//! - [`phases`]: the phases of the gap, derived from the proxies' logged decisions.
//! - [`summary`]: a table row over the runs of a scenario.

pub mod phases;
pub mod scenario;
pub mod summary;
pub mod trial;
