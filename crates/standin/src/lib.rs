//! Small stand-ins of the platform's object API and of target databases.
//!
//! They stand in at the interfaces of `docs/INTERFACES.md`, and are no simulator of a cluster:
//! targets of one process replicate within it, and faults act on connections. `docs/design`
//! tells what is simplified.
//!
//! - [`target`]: a PostgreSQL server over an embedded engine, with terms, a log and replication.
//! - [`platform`]: the object API over HTTP.
//! - [`deployment`]: both for a whole deployment, with faults by name and an endpoint for them.
//! - [`network`]: who listens where, and which faults are on.
//! - [`timer`]: waiting more precisely than the runtime does.

pub mod counter;
pub mod deployment;
pub mod network;
pub mod platform;
pub mod target;
pub mod timer;
pub mod typed;
