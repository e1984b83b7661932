//! Algorithms whose state lives as long as one process. They do no I/O and read no clock: the
//! embedder passes in events and times and carries out the results.

mod accounted;
pub mod acknowledgement;
pub mod connection_budget;
pub mod connection_plan;
pub mod departures;
pub mod detection;
pub mod failover;
pub mod homes;
pub mod isolation;
pub mod jitter;
pub mod member_set;
pub mod membership;
pub mod paused_replicas;
pub mod quota;
pub mod read_age;
pub mod session_floors;
pub mod sharing;
pub mod store_calls;
pub mod takeover;
pub mod takeover_claim;
pub mod timer;
