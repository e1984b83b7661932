//! The options of a stand-in target: its name and location, its limits and its delays.

use std::net::SocketAddr;

/// The delays between a primary's commit and a replica.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Lag {
    /// The delay from the commit until the replica has received the record, in microseconds.
    pub hold_us: u64,
    /// The delay from then until the replica has applied it, in microseconds.
    pub apply_us: u64,
}

/// The options of a target.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct TargetOptions {
    /// The target's name.
    pub name: String,
    /// The name of its group, which callers specify as their database.
    pub group: String,
    /// Its availability zone.
    pub zone: String,
    /// The address on which it listens; with port zero the system chooses a port.
    pub listen: SocketAddr,
    /// The maximum number of concurrent statements.
    pub slots: u32,
    /// The maximum number of callers' connections.
    pub connections: u32,
    /// The time that accepting a caller's connection takes, in milliseconds.
    pub connect_cost_ms: u64,
    /// The service time of each statement in addition to the engine's, in microseconds.
    pub statement_cost_us: u64,
    /// The initial delays of the replication.
    pub lag: Lag,
}

impl TargetOptions {
    /// Returns the options of a target on a free loopback port, with high limits and no delays.
    pub fn new(name: &str, group: &str, zone: &str) -> TargetOptions {
        TargetOptions {
            name: name.to_owned(),
            group: group.to_owned(),
            zone: zone.to_owned(),
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            slots: 64,
            connections: 1000,
            connect_cost_ms: 0,
            statement_cost_us: 0,
            lag: Lag::default(),
        }
    }
}
