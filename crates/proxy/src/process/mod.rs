//! What lives as long as the process.

pub mod clock;
pub mod control_handle;
pub mod member;
pub mod peer;
pub mod schedule;
