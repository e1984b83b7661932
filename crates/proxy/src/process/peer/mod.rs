//! The control protocol that proxies, operators and the load balancer use on the control address.

pub mod api;
pub mod client;
pub mod server;
