//! How a target stands in: its name and place, its sizes and its delays.

use std::net::SocketAddr;

/// The delays between a primary's commit and a replica.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Lag {
    /// From the commit until the replica holds the record, in microseconds.
    pub hold_us: u64,
    /// From then until reads at the replica see it, in microseconds.
    pub apply_us: u64,
}

/// The options of a target.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct TargetOptions {
    /// The target's name.
    pub name: String,
    /// The name of its group, which callers give as their database.
    pub group: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it listens; with port zero the system chooses one.
    pub listen: SocketAddr,
    /// How many statements run at once.
    pub slots: u32,
    /// How many callers' connections it accepts.
    pub connections: u32,
    /// What a new caller's connection costs, in milliseconds.
    pub connect_cost_ms: u64,
    /// The service time of each statement on top of what the engine takes, in microseconds.
    pub statement_cost_us: u64,
    /// The replication's delays at the start.
    pub lag: Lag,
}

impl TargetOptions {
    /// A target on a free loopback port with generous sizes and no delays.
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
