//! Coordination decisions of skylarklb, free of I/O, clocks and threads.
//!
//! The inputs are events and the current time, the outputs are verdicts and actions. Times are
//! microseconds of one monotonic clock that the embedder reads (`now_us`); clocks of different
//! machines are never compared. Each decision is a plain state with functions over it, so that the
//! daemon, the tests, the model checker and embedding programs run the same code.
//!
//! The modules are grouped by the lifetime of their state: [`request`], [`connection`], [`version`]
//! and [`process`]. Shared data types are in [`ids`], [`log_position`], [`member_status`]
//! and [`store_revision`].

use std::collections;

pub mod connection;
pub mod ids;
pub mod log_position;
pub mod member_status;
pub mod process;
pub mod request;
pub mod store_revision;
pub mod version;

/// A hash map with a fast hasher that does not resist collision attacks. Keys come from the
/// configuration or from internal counters, so callers can't choose them.
pub type FastMap<K, V> = collections::HashMap<K, V, rustc_hash::FxBuildHasher>;

/// A hash set with the hasher of [`FastMap`].
pub type FastSet<K> = collections::HashSet<K, rustc_hash::FxBuildHasher>;
