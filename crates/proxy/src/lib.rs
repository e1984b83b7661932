//! The skylarklb proxy daemon around the coordination library.
//!
//! One control thread holds all control state and publishes immutable versions; traffic threads
//! serve callers and targets. [`version::published`] is the border between the two, and
//! [`process::control_handle`] the way back. The layout follows life spans: [`request`],
//! [`connection`], [`version`], [`process`].

pub mod connection;
pub mod process;
pub mod request;
pub mod sessions;
pub mod version;
