//! State that belongs to one connection of a caller.

pub mod floor;
