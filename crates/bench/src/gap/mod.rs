//! The failover gap: how long no primary accepts writes, and where the time goes.
//!
//! - [`scenario`]: what fails.
//! - [`trial`]: one run with a probe writer, other callers and the checker.
//! - [`phases`]: the parts of the gap, from the proxies' decisions.
//! - [`summary`]: many runs together.

pub mod phases;
pub mod scenario;
pub mod summary;
pub mod trial;
