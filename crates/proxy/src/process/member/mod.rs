//! Control connections to the members of groups: one for each member that this process tracks.

pub mod client;
pub mod frames;
pub mod task;
pub mod tcp;
