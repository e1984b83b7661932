//! What a process is started with.

use std::net::SocketAddr;

use skylark_core::process::quota::QuotaTolerance;

/// What the process needs to know to start.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct SessionSettings {
    /// The name of this process's VM.
    pub vm: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where other proxies send statements for targets that this VM is home to.
    pub peer_address: SocketAddr,
    /// How long a target that announced its stop may be given work, in milliseconds.
    pub drain_ms: u64,
    /// How long the process has between being told to stop and being killed, in milliseconds.
    pub grace_ms: u64,
    /// By how much operations may exceed an organisation's limit.
    pub quota: QuotaTolerance,
}
