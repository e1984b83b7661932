//! What lives as long as one process.

pub mod homes;
pub mod jitter;
pub mod membership;
pub mod read_age;
pub mod timer;
