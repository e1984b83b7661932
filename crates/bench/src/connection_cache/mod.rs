//! Simulates the hit rates of connection pools keyed by organisation, under different placement strategies.
//!
//! The simulation runs in virtual time and covers one service with a primary and two replicas. Placement,
//! eviction and the opening of connections use the proxy's own algorithms: `connection_plan`, `homes` and
//! `connection_budget`. Arrivals, run times and the targets' execution slots are modelled.
//!
//! The model has no failures, limits, precedence between classes or network delay between VMs.

pub mod pool;
pub mod report;
pub mod simulation;

/// The rule that selects the process that holds an organisation's connections to a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Placement {
    /// The home assigned to the caller's VM, the same one for all organisations.
    ByVm,
    /// The home with the highest rendezvous hash score for the target and organisation.
    ByOrganisation,
}

/// The rule that selects the replica that serves a read.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ReplicaChoice {
    /// A replica drawn uniformly at random.
    Any,
    /// The replica with the highest rendezvous hash score for the organisation.
    Preferred,
}

/// A combination of connection placement and replica selection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Strategy {
    /// The name in tables and plots.
    pub name: &'static str,
    /// Selects the process that holds the connections.
    pub placement: Placement,
    /// Selects the replica that serves a read.
    pub replica: ReplicaChoice,
}

/// The compared strategies. The proxy implements the last one.
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

/// The parameters of a simulation.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Setup {
    /// The number of organisations. Their statement rates follow Zipf's law.
    pub organisations: usize,
    /// The exponent of the Zipf distribution of the organisations' rates.
    pub zipf_exponent: f64,
    /// The number of VMs that the callers are spread over evenly.
    pub vms: usize,
    /// The connection limit of each target.
    pub connections: u32,
    /// The execution slots of each target: jobs that it runs concurrently, including connection setup.
    pub slots: u32,
    /// The mean statement rate of all organisations together, per second.
    pub per_s: f64,
    /// The simulated time span including the warm-up, in microseconds.
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

/// A kind of statement in the simulated workload.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct StatementKind {
    /// The share of all statements, in thousandths.
    pub weight: u32,
    /// Whether the statement has to run on the primary.
    pub at_primary: bool,
    /// The time that the statement occupies a slot, in microseconds.
    pub run_us: u64,
}

/// The workload: short writes, reads, and longer statements of which some write.
pub const STATEMENT_KINDS: [StatementKind; 4] = [
    StatementKind { weight: 135, at_primary: true, run_us: 8_000 },
    StatementKind { weight: 235, at_primary: false, run_us: 40_000 },
    StatementKind { weight: 150, at_primary: true, run_us: 24_000 },
    StatementKind { weight: 480, at_primary: false, run_us: 24_000 },
];

/// The time that opening a connection occupies a slot of the target, in microseconds.
pub const OPEN_US: u64 = 12_000;

/// The longest wait for a connection before a statement is refused, in microseconds.
pub const WAIT_LIMIT_US: u64 = 300_000;
