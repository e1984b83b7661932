//! Test servers for the users' platform and for targets that speak its protocol of typed statements.
//!
//! They follow the published rules, including the unfavourable cases. A target answers reads from its
//! applied log, refuses statements that its role or position forbids, acknowledges a commit once enough
//! replicas have received it, and limits its connections. A promoted target leads with only the log that
//! it had received. The store can leave calls unanswered, lose answers and discard its history.
//!
//! - [`group`]: the replicated log of one group, and the statements that its members ran
//! - [`database`]: the connections of one target
//! - [`object_store`]: the store's state
//! - [`platform`]: the HTTP API of the store, and promotions
//! - [`promotion_gate`]: promotions that a test holds back
//! - [`deployment`]: the platform and the targets of several groups on loopback
//! - [`ports`]: reservation of free loopback ports

pub mod database;
pub mod deployment;
pub mod group;
pub mod object_store;
pub mod platform;
pub mod ports;
pub mod promotion_gate;
