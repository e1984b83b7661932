//! What lives as long as one process.

pub mod connection_budget;
pub mod homes;
pub mod jitter;
pub mod membership;
pub mod read_age;
pub mod sharing;
pub mod timer;
