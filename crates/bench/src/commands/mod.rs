//! The subcommands of the binary.

pub mod slopes;
