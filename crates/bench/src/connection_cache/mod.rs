//! Hit rates of pools that cache connections by organisation, under different placement strategies.
//!
//! One service with a primary and two replicas is simulated in virtual time. Placement, eviction and opening are
//! the decisions that the proxies ship: `connection_plan`, `homes` and `connection_budget`. Arrivals, run times and the targets' slots are the simulation's.
//!
//! Left out: failures, limits, precedence between classes, and the time that messages between VMs take.

pub mod pool;
pub mod report;
pub mod simulation;

/// Which process holds an organisation's connections to a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Placement {
    /// The home that the caller's VM goes through, for all organisations.
    ByVm,
    /// One home for each target and organisation.
    ByOrganisation,
}

/// Which replica serves a read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReplicaChoice {
    /// Either one.
    Any,
    /// The one that the organisation prefers.
    Preferred,
}

/// A placement strategy.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Strategy {
    /// Its name in tables and plots.
    pub name: &'static str,
    /// Which process holds connections.
    pub placement: Placement,
    /// Which replica serves reads.
    pub replica: ReplicaChoice,
}

/// The strategies that are compared. The proxies use the last one.
pub const STRATEGIES: [Strategy; 3] = [
    Strategy {
        name: "home by VM, any replica",
        placement: Placement::ByVm,
        replica: ReplicaChoice::Any,
    },
    Strategy {
        name: "home by organisation, any replica",
        placement: Placement::ByOrganisation,
        replica: ReplicaChoice::Any,
    },
    Strategy {
        name: "home by organisation, preferred replica",
        placement: Placement::ByOrganisation,
        replica: ReplicaChoice::Preferred,
    },
];

/// What is simulated.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Setup {
    /// How many organisations send statements. Their sizes follow Zipf's law.
    pub organisations: usize,
    /// The exponent of their sizes.
    pub zipf_exponent: f64,
    /// How many VMs the callers are spread over.
    pub vms: usize,
    /// How many connections each target accepts.
    pub connections: u32,
    /// How many statements a target runs at once.
    pub slots: u32,
    /// Statements a second, of all organisations.
    pub per_s: f64,
    /// How long is simulated, in microseconds of virtual time.
    pub span_us: u64,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            organisations: 81,
            zipf_exponent: 0.8,
            vms: 78,
            connections: 62,
            slots: 5,
            per_s: 135.0,
            span_us: 60_000_000,
        }
    }
}

/// A kind of statement.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StatementKind {
    /// Its part of all statements, in thousandths.
    pub weight: u32,
    /// Whether only the primary can run it.
    pub at_primary: bool,
    /// How long it occupies a slot, in microseconds.
    pub run_us: u64,
}

/// The kinds of statements: short writes, reads, and longer work of which a part writes.
pub const STATEMENT_KINDS: [StatementKind; 4] = [
    StatementKind { weight: 135, at_primary: true, run_us: 8_000 },
    StatementKind { weight: 235, at_primary: false, run_us: 40_000 },
    StatementKind { weight: 150, at_primary: true, run_us: 24_000 },
    StatementKind { weight: 480, at_primary: false, run_us: 24_000 },
];

/// How long a slot is occupied by opening a connection, in microseconds.
pub const OPEN_US: u64 = 12_000;

/// After which wait a statement is refused, in microseconds.
pub const WAIT_LIMIT_US: u64 = 300_000;
