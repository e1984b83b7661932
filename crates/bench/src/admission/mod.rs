//! Replays the load of an overloaded primary against different arrangements of the VMs that admit its statements.
//!
//! The replay runs in virtual time. The queues, their limits, the selection of homes, the pauses and the default
//! retry times are the proxy's own. The target, the callers and the network delays are modelled: the target runs
//! statements in order of arrival, and a caller that is refused retries after the time that it was told.
//!
//! Not modelled: an entry VM's own queue in front of its connections to a home, the opening of connections,
//! transactions of several statements, and reads at replicas.

pub mod load;
pub mod outcome;
pub mod report;
pub mod simulation;

/// Which VMs admit statements to the target, and what they know about them.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Arrangement {
    /// Each home admits. Forwarded statements all have the same class and objective.
    FourHomes,
    /// Each home admits. Forwarded statements carry their class and the time for which they may wait.
    FourHomesByClass,
    /// The first home admits the statements of all VMs.
    OneAdmits,
    /// The first home admits the statements of all VMs and is lost at half time.
    OneAdmitsAndIsLost,
}

impl Arrangement {
    /// All arrangements.
    pub const ALL: [Arrangement; 4] = [
        Arrangement::FourHomes,
        Arrangement::FourHomesByClass,
        Arrangement::OneAdmits,
        Arrangement::OneAdmitsAndIsLost,
    ];

    /// Returns the name in tables and plots.
    pub fn name(self) -> &'static str {
        match self {
            Arrangement::FourHomes => "a: four homes, one class",
            Arrangement::FourHomesByClass => "b: four homes by class",
            Arrangement::OneAdmits => "c: one admits",
            Arrangement::OneAdmitsAndIsLost => "d: one admits, is lost",
        }
    }

    /// Returns whether one VM admits the statements of all VMs.
    pub fn shares_admission(self) -> bool {
        matches!(self, Arrangement::OneAdmits | Arrangement::OneAdmitsAndIsLost)
    }
}

/// The load of a class of requests.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct ClassLoad {
    /// The arrival rate in the observed overload, per second. Load factors scale the rates of all classes.
    pub per_s: f64,
    /// The mean run time at the target, in milliseconds.
    pub run_ms: f64,
    /// The latency objective, in microseconds.
    pub objective_us: u64,
    /// The time after which the caller gives up, in microseconds.
    pub limit_us: u64,
}

/// The classes, the most urgent one first, as observed at one primary of deployment A while its replicas lagged.
pub const CLASSES: [ClassLoad; 3] = [
    ClassLoad { per_s: 18.0, run_ms: 4.5, objective_us: 100_000, limit_us: 1_200_000 },
    ClassLoad { per_s: 32.0, run_ms: 22.0, objective_us: 800_000, limit_us: 4_000_000 },
    ClassLoad { per_s: 85.0, run_ms: 14.0, objective_us: 200_000, limit_us: 1_200_000 },
];

/// The load factors of a default run, relative to what the target's slots can run.
pub const LOAD_FACTORS: [f64; 4] = [0.5, 0.9, 1.2, 1.7];

/// The parameters of a run. The defaults are deployment A.
#[derive(Clone, Copy, PartialEq, Debug)]
pub struct Setup {
    /// The number of VMs, all of which receive requests and are candidates for homes.
    pub vms: usize,
    /// The number of organisations; zero if callers are not identified.
    pub organisations: usize,
    /// The factor by which the largest organisation exceeds its usual load.
    pub surge: f64,
    /// The number of statements that the target runs concurrently.
    pub slots: u32,
    /// The maximum length of the target's own queue, beyond which it rejects statements.
    pub target_queue: usize,
    /// The number of connections that the target accepts from all VMs together.
    pub connections: u32,
    /// The time span in which requests arrive, including the warm-up, in microseconds.
    pub span_us: u64,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            vms: 67,
            organisations: 76,
            surge: 1.0,
            slots: 4,
            target_queue: 32,
            connections: 56,
            span_us: 20_000_000,
        }
    }
}

impl Setup {
    /// Returns the time at which the admitting VM is lost in [`Arrangement::OneAdmitsAndIsLost`].
    pub fn lost_us(&self) -> u64 {
        self.span_us / 2
    }
}

/// The time from the loss of the admitting VM until the other VMs use the next home, in microseconds: the
/// timeout for opening a connection.
pub const TAKE_OVER_US: u64 = 600_000;
