//! Counts, response times and wait prediction errors of a run, by class and phase.

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::surge::simulation::Setup;
use crate::surge::trace::Arrival;
use crate::surge::trace::CLASSES;
use crate::surge::trace::ClassLoad;
use crate::surge::trace::HEAVY_CALLER;
use crate::surge::trace::Phase;
use crate::surge::trace::Weights;

/// Microseconds in a millisecond.
const US_PER_MS: f64 = 1_000.0;

/// The highest value of the histograms, in microseconds. Longer times are recorded as this value.
const MAX_RECORDED_US: u64 = 600_000_000;

/// The counts of one class in one phase.
#[derive(Clone, Debug)]
pub struct ClassOutcome {
    /// Requests that arrived.
    pub offered: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were served within the response time goal of the class.
    pub within_goal: u64,
    /// Requests that were served after their deadline.
    pub late: u64,
    /// Requests refused because the predicted wait exceeded their deadline.
    pub refused_deadline: u64,
    /// Requests refused because a limit of the queue was reached.
    pub refused_full: u64,
    /// Requests whose deadline passed while they were queued.
    pub timed_out: u64,
    /// Requests of [`HEAVY_CALLER`] that arrived.
    pub heavy_offered: u64,
    /// Requests of [`HEAVY_CALLER`] that were served.
    pub heavy_served: u64,
    responses_us: Histogram<u64>,
    prediction_errors_us: Histogram<u64>,
}

impl ClassOutcome {
    fn new() -> ClassOutcome {
        let histogram = || {
            let bounded = Histogram::new_with_bounds(1, MAX_RECORDED_US, 3);
            bounded.expect("the bounds and three significant digits are valid")
        };
        ClassOutcome {
            offered: 0,
            served: 0,
            within_goal: 0,
            late: 0,
            refused_deadline: 0,
            refused_full: 0,
            timed_out: 0,
            heavy_offered: 0,
            heavy_served: 0,
            responses_us: histogram(),
            prediction_errors_us: histogram(),
        }
    }

    /// Counts a request that arrives.
    pub fn record_offered(&mut self, arrival: &Arrival) {
        self.offered += 1;
        self.heavy_offered += u64::from(arrival.caller == HEAVY_CALLER);
    }

    /// Counts a request that was served.
    pub fn record_served(&mut self, load: &ClassLoad, arrival: &Arrival, response_us: u64) {
        self.served += 1;
        self.heavy_served += u64::from(arrival.caller == HEAVY_CALLER);
        self.within_goal += u64::from(response_us <= load.goal_us);
        self.late += u64::from(response_us > load.deadline_us);
        self.responses_us.saturating_record(response_us);
    }

    /// Records the absolute difference between the predicted and the actual wait.
    pub fn record_prediction(&mut self, predicted_us: u64, waited_us: u64) {
        self.prediction_errors_us.saturating_record(predicted_us.abs_diff(waited_us));
    }

    fn response_ms(&self, quantile: f64) -> f64 {
        self.responses_us.value_at_quantile(quantile) as f64 / US_PER_MS
    }
}

/// The counts of all classes and phases of a run.
#[derive(Clone, Debug)]
pub struct RunOutcome {
    classes: Vec<Vec<ClassOutcome>>,
}

impl Default for RunOutcome {
    fn default() -> RunOutcome {
        let phases = vec![ClassOutcome::new(); Phase::ALL.len()];
        RunOutcome { classes: vec![phases; CLASSES.len()] }
    }
}

impl RunOutcome {
    /// Returns the counts of one class in one phase, for updates.
    pub fn of(&mut self, class: usize, phase: Phase) -> &mut ClassOutcome {
        &mut self.classes[class][phase as usize]
    }

    /// Returns one result line per class and phase.
    pub fn lines(&self, run: &RunId<'_>) -> Vec<Line> {
        let mut lines = Vec::new();
        for (class, phases) in self.classes.iter().enumerate() {
            let idle_p99_ms = phases[Phase::Before as usize].response_ms(0.99);
            for phase in Phase::ALL {
                let outcome = &phases[phase as usize];
                lines.push(Line::new(run, CLASSES[class].name, phase, outcome, idle_p99_ms));
            }
        }
        lines
    }
}

/// The parameters that identify a run in its result lines.
#[derive(Clone, Copy, Debug)]
pub struct RunId<'a> {
    /// The name of the scenario.
    pub scenario: &'a str,
    /// The name of the sharing strategy.
    pub strategy: &'a str,
    /// The limits of the queue and the class weights.
    pub setup: Setup,
    /// The seed of the arrivals.
    pub seed: u64,
}

/// A result line: the figures of one class in one phase of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Line {
    scenario: String,
    strategy: String,
    running: u32,
    weights: Weights,
    standing_ms: u64,
    seed: u64,
    class: &'static str,
    phase: &'static str,
    offered: u64,
    served: u64,
    within_goal: u64,
    late: u64,
    refused_deadline: u64,
    refused_full: u64,
    timed_out: u64,
    heavy_offered: u64,
    heavy_served: u64,
    p50_ms: f64,
    p99_ms: f64,
    max_ms: f64,
    p99_to_idle: f64,
    prediction_error_p50_ms: f64,
    prediction_error_p99_ms: f64,
}

impl Line {
    fn new(
        run: &RunId<'_>,
        class: &'static str,
        phase: Phase,
        outcome: &ClassOutcome,
        idle_p99_ms: f64,
    ) -> Line {
        let error_ms =
            |quantile| outcome.prediction_errors_us.value_at_quantile(quantile) as f64 / US_PER_MS;
        Line {
            scenario: run.scenario.to_owned(),
            strategy: run.strategy.to_owned(),
            running: run.setup.limits.running,
            weights: run.setup.weights,
            standing_ms: run.setup.limits.standing_us / 1_000,
            seed: run.seed,
            class,
            phase: phase.name(),
            offered: outcome.offered,
            served: outcome.served,
            within_goal: outcome.within_goal,
            late: outcome.late,
            refused_deadline: outcome.refused_deadline,
            refused_full: outcome.refused_full,
            timed_out: outcome.timed_out,
            heavy_offered: outcome.heavy_offered,
            heavy_served: outcome.heavy_served,
            p50_ms: outcome.response_ms(0.5),
            p99_ms: outcome.response_ms(0.99),
            max_ms: outcome.response_ms(1.0),
            p99_to_idle: outcome.response_ms(0.99) / idle_p99_ms,
            prediction_error_p50_ms: error_ms(0.5),
            prediction_error_p99_ms: error_ms(0.99),
        }
    }
}
