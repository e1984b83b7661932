//! State that lives as long as one connection.

pub mod caller;
pub mod link;
pub mod messages;
pub mod peer;
pub mod reply;
pub mod session;
