//! Test servers that stand in for the platform's object API and for target databases.
//!
//! They implement the interfaces of `docs/INTERFACES.md` but do not simulate a cluster: all targets
//! of a process replicate within that process, and faults act on connections. `docs/design` lists
//! the simplifications.
//!
//! - [`target`]: a PostgreSQL server over an embedded engine, with terms, a log and replication.
//! - [`platform`]: the object API over HTTP.
//! - [`deployment`]: the platform and all targets of a deployment, with named faults and an HTTP
//!   endpoint to inject them.
//! - [`network`]: the targets' addresses and the active network faults.
//! - [`timer`]: sleeps that are more precise than the runtime's.
//! - [`typed`]: the platform and targets of the protocol of typed statements.

pub mod counter;
pub mod deployment;
pub mod network;
pub mod platform;
pub mod target;
pub mod timer;
pub mod typed;
