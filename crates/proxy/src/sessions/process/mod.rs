//! What lives as long as the process.

pub mod claims;
pub mod control;
pub mod daemon;
pub mod departed;
pub mod feed;
pub mod gateway;
pub mod isolation;
pub mod known;
pub mod latencies;
pub mod lead;
pub mod leader;
pub mod limits;
pub mod log_budget;
pub mod metrics_text;
pub mod need;
pub mod replicas;
pub mod sampler;
pub mod services;
pub mod single_flight;
pub mod step_down;
pub mod stop;
pub mod takeover;
pub mod target_calls;
pub mod targets;
pub mod watch;
pub mod ways;
