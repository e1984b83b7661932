//! State and tasks that live as long as the process.

pub mod clock;
pub mod control;
pub mod control_handle;
pub mod counters;
pub mod daemon;
pub mod decisions;
pub mod log;
pub mod member;
pub mod metrics;
pub mod peer;
pub mod schedule;
pub mod traffic;
