//! What proxies say to each other and to operators on the control address.

pub mod api;
pub mod client;
pub mod server;
