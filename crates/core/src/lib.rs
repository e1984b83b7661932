//! Coordination decisions of skylarklb, free of I/O, clocks and threads.
//!
//! Events and the time go in, verdicts and actions come out. Times are microseconds of one
//! monotonic clock that the embedder reads (`now_us`); nothing here compares clocks of two
//! machines. Each decision is a plain state with functions over it, so that the same code is
//! called by the daemon, by tests, by the model checker, and by anyone who embeds it.
//!
//! The modules follow life spans: [`request`], [`connection`], [`version`], [`process`]. The data
//! that all of them share is in [`ids`], [`log_position`] and [`member_status`].

use std::collections;

pub mod connection;
pub mod ids;
pub mod log_position;
pub mod member_status;
pub mod process;
pub mod request;
pub mod version;

/// The hash map of this project: keys come from the configuration or from counters of our own, so a
/// fast hasher without protection against chosen keys is enough.
pub type FastMap<K, V> = collections::HashMap<K, V, rustc_hash::FxBuildHasher>;

/// The hash set that goes with [`FastMap`].
pub type FastSet<K> = collections::HashSet<K, rustc_hash::FxBuildHasher>;
