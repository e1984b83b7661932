//! Load and experiments over the stand-ins, and a checker over what the callers saw.
//!
//! - [`load`] offers operations at seeded times that do not wait for earlier answers, from callers
//!   that are stock PostgreSQL clients and that roam between proxies.
//! - [`history`] holds what each caller did and saw, and checks it against what the groups hold in
//!   the end.
//! - [`embedded`] runs a whole deployment in this process; [`gap`] measures how long no primary
//!   accepts writes in it.
//! - [`slopes`] measures how costs grow with the size that they depend on; [`live`] does so at
//!   running proxies.
//! - [`connection_cache`] compares placement strategies for the connections of organisations.
//! - [`admission`] compares arrangements of the VMs that admit statements to an overloaded target.
//! - [`surge`] compares ways of sharing a target's slots on one recorded surge.

pub mod admission;
pub mod commands;
pub mod connection_cache;
pub mod embedded;
pub mod experiment;
pub mod gap;
pub mod history;
pub mod live;
pub mod load;
pub mod overhead;
pub mod slopes;
pub mod surge;
