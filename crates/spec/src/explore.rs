//! Exhaustive search of a model's states within its bounds.
//!
//! The search is the breadth-first search of `pathfinding`, with the first state that breaks an
//! invariant as its goal, so the path that it returns is a shortest counterexample.
//!
//! States are compared in a canonical form, which identifies states that differ by a renaming. The
//! trace is found again without renaming: from the present state, the step whose successor has the
//! canonical form of the path's next state. Such a step exists because renaming commutes with steps.

use std::fmt;
use std::hash::Hash;
use std::time::Instant;

use pathfinding::directed::bfs;

/// A transition system with invariants.
pub trait Model {
    /// A state, as compact as the bounds allow.
    type State: Clone + Eq + Hash;
    /// What happens between two states.
    type Step: fmt::Display;

    /// The state in which everything begins.
    fn initial(&self) -> Self::State;

    /// Appends every step that may happen in `state`, with the state that follows.
    fn steps(&self, state: &Self::State, next: &mut Vec<(Self::Step, Self::State)>);

    /// The representative of all states that differ from this one only by a renaming.
    fn canonical(&self, state: &Self::State) -> Self::State {
        state.clone()
    }

    /// The invariant that `state` breaks.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;

    /// What a trace says of a step.
    fn describe_step(&self, step: &Self::Step) -> String {
        step.to_string()
    }

    /// One line that shows the state in a trace.
    fn describe(&self, state: &Self::State) -> String;
}

/// A shortest way from the initial state to a violation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Trace {
    /// The invariant that the last state breaks.
    pub violation: &'static str,
    /// The initial state.
    pub start: String,
    /// Each step, with the state after it.
    pub steps: Vec<(String, String)>,
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "  0. start\n       {}", self.start)?;
        for (number, (step, state)) in self.steps.iter().enumerate() {
            writeln!(f, "{:3}. {step}\n       {state}", number + 1)?;
        }
        write!(f, "violated: {}", self.violation)
    }
}

/// What a search found.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// Every state within the bounds keeps the invariants.
    Holds,
    /// Some state breaks one.
    Violated(Trace),
    /// The limit on states was met before the search ended, so nothing is shown.
    Incomplete,
}

/// The result of a search.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Exploration {
    /// What was found.
    pub verdict: Verdict,
    /// How many different states were expanded.
    pub states: usize,
    /// How long the search took, in milliseconds.
    pub elapsed_ms: u128,
}

impl Exploration {
    /// The counterexample, if there is one.
    pub fn trace(&self) -> Option<&Trace> {
        match &self.verdict {
            Verdict::Violated(trace) => Some(trace),
            Verdict::Holds | Verdict::Incomplete => None,
        }
    }
}

impl fmt::Display for Exploration {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.verdict {
            Verdict::Holds => f.write_str("holds")?,
            Verdict::Violated(trace) => write!(f, "violated in {} steps", trace.steps.len())?,
            Verdict::Incomplete => f.write_str("incomplete: more states than the limit")?,
        }
        write!(f, "; {} states, {} ms", self.states, self.elapsed_ms)
    }
}

/// Visits every state of `model`, up to `limit` states so that memory stays bounded.
pub fn explore<M>(model: &M, limit: usize) -> Exploration
where
    M: Model,
{
    let started = Instant::now();
    let mut states = 0;
    let mut next = Vec::new();
    let path = bfs::bfs(
        &model.canonical(&model.initial()),
        |state| {
            states += 1;
            next.clear();
            if states <= limit {
                model.steps(state, &mut next);
            }
            next.iter().map(|(_, state)| model.canonical(state)).collect::<Vec<_>>()
        },
        |state| model.violation(state).is_some(),
    );
    let verdict = match path {
        Some(path) => Verdict::Violated(trace(model, &path)),
        None if states > limit => Verdict::Incomplete,
        None => Verdict::Holds,
    };
    Exploration { verdict, states, elapsed_ms: started.elapsed().as_millis() }
}

fn trace<M>(model: &M, path: &[M::State]) -> Trace
where
    M: Model,
{
    let mut state = model.initial();
    let start = model.describe(&state);
    let mut steps = Vec::new();
    for expected in &path[1..] {
        let mut next = Vec::new();
        model.steps(&state, &mut next);
        let (step, after) = next
            .into_iter()
            .find(|(_, after)| model.canonical(after) == *expected)
            .expect("renaming commutes with steps");
        steps.push((model.describe_step(&step), model.describe(&after)));
        state = after;
    }
    let violation = model.violation(&state).expect("renaming keeps violations");
    Trace { violation, start, steps }
}
