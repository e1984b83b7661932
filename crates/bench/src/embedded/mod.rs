//! A whole deployment in one process: the stand-ins and a proxy for each entry VM.
//!
//! - [`decisions`] keeps the proxies' decisions with the time of the run's clock.
//! - [`deployment`] starts everything, kills and restarts proxies.
//! - [`operator`] orders a change of primary as a confirmed plan does.

pub mod decisions;
pub mod deployment;
pub mod operator;
