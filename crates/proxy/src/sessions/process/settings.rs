//! Settings of a proxy process with typed sessions.

use std::net::SocketAddr;

use skylark_core::process::quota::QuotaTolerance;

/// Settings that are read at startup.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SessionSettings {
    /// Name of this process's VM.
    pub vm: String,
    /// Availability zone of this process's VM.
    pub zone: String,
    /// Address that callers connect to.
    pub callers_address: SocketAddr,
    /// Address that other proxies connect to, for statements to targets that this VM is a home of.
    pub peer_address: SocketAddr,
    /// Bandwidth of this VM's link, in Mbit/s; zero if it is unknown.
    pub link_mbps: u32,
    /// How long a target that announced its shutdown may be given work, in milliseconds.
    pub drain_ms: u64,
    /// How long the process has between the signal to stop and being killed, in milliseconds.
    pub grace_ms: u64,
    /// How far operations may exceed an organisation's limit.
    pub quota: QuotaTolerance,
}
