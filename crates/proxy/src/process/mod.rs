//! What lives as long as the process.

pub mod control_handle;
