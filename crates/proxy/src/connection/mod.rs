//! Connections to callers, targets and other proxies, with the state that is kept per connection.

pub mod admission;
pub mod caller;
pub mod caller_input;
pub mod callers;
pub mod cancel;
pub mod event_loops;
pub mod frames;
pub mod lease;
pub mod limits;
pub mod pinned;
pub mod pool;
mod pool_state;
pub mod pooled_connection;
pub mod pools;
pub mod prepared;
pub mod relay;
pub mod reply;
pub mod session;
pub mod socket;
pub mod startup;
pub mod target_connection;
