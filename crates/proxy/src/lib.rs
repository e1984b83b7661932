//! The skylarklb proxy daemon, built on the coordination library `skylark_core`.
//!
//! One control thread owns all control state and publishes immutable versions of it; traffic threads
//! read the latest version and serve callers and targets. [`version::published`] defines what the
//! control thread publishes, and [`process::control_handle`] carries events from the traffic threads
//! back to it. Modules are grouped by the lifetime of their state: [`request`], [`connection`],
//! [`version`], [`process`].

pub mod connection;
pub mod process;
pub mod request;
pub mod sessions;
pub mod version;
