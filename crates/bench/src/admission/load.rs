//! Seeded requests of the replay.

use rand::SeedableRng;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use rand_distr::LogNormal;
use rand_distr::Uniform;
use rand_distr::weighted::WeightedIndex;

use crate::admission::CLASSES;
use crate::admission::Setup;

/// The spread of run times: the standard deviation of their logarithm.
const RUN_SIGMA: f64 = 0.7;

/// The exponent of the Zipf distribution of the organisations' rates.
const ZIPF_EXPONENT: f64 = 0.8;

const US_PER_MS: f64 = 1e3;
const US_PER_S: f64 = 1e6;

/// A request of a caller.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Request {
    /// When it first arrives at a VM, in microseconds.
    pub arrived_us: u64,
    /// The index of its class in [`CLASSES`].
    pub class: usize,
    /// The index of its organisation, in descending order of the usual rate.
    pub organisation: usize,
    /// The index of the VM that it arrives at.
    pub vm: usize,
    /// The run time at the target, in microseconds.
    pub run_us: u64,
}

/// Draws the requests of a run in order of arrival. Equal seeds give equal requests.
///
/// The factor is relative to what the target's slots can run, before the largest organisation's surge.
///
/// # Panics
///
/// Panics if the factor or the surge isn't positive and finite, or if there are no VMs.
pub fn draw(setup: &Setup, factor: f64, seed: u64) -> Vec<Request> {
    let mut rng = StdRng::seed_from_u64(seed);
    let busy_slots: f64 = CLASSES.iter().map(|class| class.per_s * class.run_ms / 1e3).sum();
    let usual_per_s: f64 = CLASSES.iter().map(|class| class.per_s).sum();
    let mut sizes: Vec<f64> = (0..setup.organisations.max(1))
        .map(|index| ((index + 1) as f64).powf(-ZIPF_EXPONENT))
        .collect();
    let usual_size: f64 = sizes.iter().sum();
    sizes[0] *= setup.surge;
    let surge = sizes.iter().sum::<f64>() / usual_size;
    let per_s = usual_per_s * factor * f64::from(setup.slots) / busy_slots * surge;
    let gaps_s = Exp::new(per_s).expect("the rate is positive");
    let classes = WeightedIndex::new(CLASSES.map(|class| class.per_s)).expect("rates are positive");
    let organisations = WeightedIndex::new(sizes).expect("sizes are positive");
    let vms = Uniform::new(0, setup.vms).expect("there are VMs");
    let runs_us = CLASSES.map(|class| {
        // The mean of a lognormal distribution is exp(mu + sigma^2 / 2).
        let mu = (class.run_ms * US_PER_MS).ln() - RUN_SIGMA * RUN_SIGMA / 2.0;
        LogNormal::new(mu, RUN_SIGMA).expect("the spread is finite")
    });
    let mut requests = Vec::new();
    let mut at_us = 0.0;
    loop {
        at_us += gaps_s.sample(&mut rng) * US_PER_S;
        if at_us >= setup.span_us as f64 {
            return requests;
        }
        let class = classes.sample(&mut rng);
        requests.push(Request {
            arrived_us: at_us as u64,
            class,
            organisation: organisations.sample(&mut rng),
            vm: vms.sample(&mut rng),
            run_us: (runs_us[class].sample(&mut rng) as u64).max(1),
        });
    }
}
