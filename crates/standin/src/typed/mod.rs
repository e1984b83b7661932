//! Stand-ins of the users' platform and of targets that speak its protocol of typed statements.
//!
//! They keep the published rules and their unkind sides: a target answers reads by its applied log,
//! refuses what its role or position forbids, acknowledges a commit once a replica received it, and
//! counts connections; a promoted target leads with what it had received and nothing more; the store
//! swallows calls, loses answers and forgets its history.
//!
//! - [`group`]: the replicated log of one group, and what its members did
//! - [`database`]: one target's connections
//! - [`object_store`]: the store's state; [`platform`]: its HTTP side and the promotions
//! - [`deployment`]: all of it together on loopback; [`ports`]: free addresses there

pub mod database;
pub mod deployment;
pub mod group;
pub mod object_store;
pub mod platform;
pub mod ports;
