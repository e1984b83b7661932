//! What lives as long as the process.

pub mod clock;
pub mod control_handle;
pub mod counters;
pub mod member;
pub mod peer;
pub mod schedule;
pub mod traffic;
