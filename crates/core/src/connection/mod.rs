//! What lives as long as one connection.

pub mod floor;
