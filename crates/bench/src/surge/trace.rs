//! Seeded generation of the request arrivals of four classes, with a surge in the middle.

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use skylark_core::process::sharing::ClassShare;

/// Microseconds in a second.
const US_PER_S: f64 = 1_000_000.0;

/// The number of callers that the requests of a class are spread over uniformly.
const CALLERS: u64 = 200;

/// The id of the caller that sends half of the lookups during the surge of [`Scenario::OneCaller`].
pub const HEAVY_CALLER: u64 = 1_000_000;

/// The load of a request class.
#[derive(Clone, Copy, Debug)]
pub struct ClassLoad {
    /// The name in the results.
    pub name: &'static str,
    /// The response time goal, in microseconds.
    pub goal_us: u64,
    /// The deadline of each request, in microseconds after its arrival.
    pub deadline_us: u64,
    /// The mean arrival rate outside the surge, in requests per second.
    pub rate: f64,
    /// The number of statements in a request.
    pub statements: u32,
    /// The mean run time of a statement, in microseconds.
    pub run_us: f64,
}

/// The request classes. Outside the surge, they use three tenths of the capacity of the target's two slots.
pub const CLASSES: [ClassLoad; 4] = [
    ClassLoad {
        name: "reservation",
        goal_us: 50_000,
        deadline_us: 2_000_000,
        rate: 20.0,
        statements: 3,
        run_us: 2_000.0,
    },
    ClassLoad {
        name: "return",
        goal_us: 100_000,
        deadline_us: 2_000_000,
        rate: 20.0,
        statements: 1,
        run_us: 5_000.0,
    },
    ClassLoad {
        name: "lookup",
        goal_us: 200_000,
        deadline_us: 1_000_000,
        rate: 60.0,
        statements: 1,
        run_us: 5_000.0,
    },
    ClassLoad {
        name: "report",
        goal_us: 1_000_000,
        deadline_us: 5_000_000,
        rate: 4.0,
        statements: 1,
        run_us: 20_000.0,
    },
];

/// The weights of the classes in a run, in the order of [`CLASSES`].
pub type Weights = [u32; CLASSES.len()];

/// Returns the queue's settings of the classes with the given weights.
pub fn shares(weights: Weights) -> Vec<ClassShare> {
    let share = |(class, weight): (&ClassLoad, u32)| ClassShare { weight, goal_us: class.goal_us };
    CLASSES.iter().zip(weights).map(share).collect()
}

/// The index of the lookups in [`CLASSES`].
pub const LOOKUP: usize = 2;

/// The classes and callers that the surge affects.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Scenario {
    /// Lookups arrive at ten times their rate.
    Lookups,
    /// All classes arrive at ten times their rates.
    Everything,
    /// Lookups arrive at ten times their rate, half of them from one caller.
    OneCaller,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Scenario; 3] = [Scenario::Lookups, Scenario::Everything, Scenario::OneCaller];

    /// Returns the name in the results.
    pub fn name(self) -> &'static str {
        match self {
            Scenario::Lookups => "lookups",
            Scenario::Everything => "everything",
            Scenario::OneCaller => "one_caller",
        }
    }

    fn factor(self, class: usize) -> f64 {
        match self {
            Scenario::Everything => 10.0,
            _ if class == LOOKUP => 10.0,
            _ => 1.0,
        }
    }
}

/// A phase of the run. A request belongs to the phase of its arrival.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Phase {
    /// Before the surge.
    Before,
    /// During the surge.
    Surge,
    /// After the surge.
    After,
}

impl Phase {
    /// All phases in order of time.
    pub const ALL: [Phase; 3] = [Phase::Before, Phase::Surge, Phase::After];

    /// Returns the name in the results.
    pub fn name(self) -> &'static str {
        match self {
            Phase::Before => "before",
            Phase::Surge => "surge",
            Phase::After => "after",
        }
    }
}

/// The start of the surge, in microseconds since the start of the run.
pub const SURGE_START_US: u64 = 60_000_000;

/// The end of the surge, in microseconds since the start of the run.
pub const SURGE_END_US: u64 = 120_000_000;

/// The time from which no request arrives, in microseconds since the start of the run.
pub const END_US: u64 = 150_000_000;

/// The arrival of one request.
#[derive(Clone, PartialEq, Debug)]
pub struct Arrival {
    /// The arrival time at the home, in microseconds since the start of the run.
    pub at_us: u64,
    /// The index of the request's class in [`CLASSES`].
    pub class: usize,
    /// The id of the caller.
    pub caller: u64,
    /// The run time of each statement, in microseconds.
    pub runs_us: Vec<u64>,
}

impl Arrival {
    /// Returns the phase in which the request arrives.
    pub fn phase(&self) -> Phase {
        match self.at_us {
            SURGE_START_US..SURGE_END_US => Phase::Surge,
            ..SURGE_START_US => Phase::Before,
            _ => Phase::After,
        }
    }
}

/// Generates the arrivals of a scenario in order of time. Equal seeds give equal arrivals.
pub fn generate(scenario: Scenario, seed: u64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for class in 0..CLASSES.len() {
        let mut rng = StdRng::seed_from_u64(seed * CLASSES.len() as u64 + class as u64);
        generate_class(scenario, class, &mut rng, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

fn generate_class(scenario: Scenario, class: usize, rng: &mut StdRng, arrivals: &mut Vec<Arrival>) {
    let load = &CLASSES[class];
    let mut at_us = 0.0;
    loop {
        let in_surge = (SURGE_START_US..SURGE_END_US).contains(&(at_us as u64));
        let factor = if in_surge { scenario.factor(class) } else { 1.0 };
        at_us += exponential(rng, US_PER_S / (load.rate * factor));
        if at_us as u64 >= END_US {
            return;
        }
        let caller = caller(scenario, class, in_surge, rng);
        let runs_us = (0..load.statements).map(|_| run_us(rng, load.run_us)).collect();
        arrivals.push(Arrival { at_us: at_us as u64, class, caller, runs_us });
    }
}

fn caller(scenario: Scenario, class: usize, in_surge: bool, rng: &mut StdRng) -> u64 {
    let heavy = scenario == Scenario::OneCaller && class == LOOKUP && in_surge;
    if heavy && rng.random_bool(0.5) {
        return HEAVY_CALLER;
    }
    class as u64 * CALLERS + rng.random_range(0..CALLERS)
}

/// Draws a run time: half of the mean plus an exponentially distributed time with the other half as its mean.
fn run_us(rng: &mut StdRng, mean_us: f64) -> u64 {
    (mean_us / 2.0 + exponential(rng, mean_us / 2.0)) as u64
}

fn exponential(rng: &mut StdRng, mean: f64) -> f64 {
    let uniform: f64 = rng.random();
    -(1.0 - uniform).ln() * mean
}
