//! Exhaustive search of the reachable states of a model within its bounds.
//!
//! The search is the breadth-first search of `pathfinding`. Its goal is a state that breaks an invariant,
//! so the returned path is a shortest counterexample.
//!
//! States are compared in a canonical form, which is the same for states that differ only by a renaming of
//! symmetric parts, such as members. The trace is rebuilt with the original names: from the current state
//! it takes a step whose successor has the canonical form of the next state on the path. Such a step exists
//! because renaming commutes with steps.

use std::fmt;
use std::hash::Hash;
use std::time::Instant;

use pathfinding::directed::bfs;

/// A transition system with invariants.
pub trait Model {
    /// A state. It is kept in memory for every visited state, so it has to be compact.
    type State: Clone + Eq + Hash;
    /// A transition between two states.
    type Step: fmt::Display;

    /// Returns the initial state.
    fn initial(&self) -> Self::State;

    /// Appends every step that is enabled in `state`, with its successor state.
    fn steps(&self, state: &Self::State, next: &mut Vec<(Self::Step, Self::State)>);

    /// Returns the representative of all states that differ from `state` only by a renaming.
    fn canonical(&self, state: &Self::State) -> Self::State {
        state.clone()
    }

    /// Returns the invariant that `state` breaks, if any.
    fn violation(&self, state: &Self::State) -> Option<&'static str>;

    /// Returns the text of a step in a trace.
    fn describe_step(&self, step: &Self::Step) -> String {
        step.to_string()
    }

    /// Returns the text of a state in a trace, on one line.
    fn describe(&self, state: &Self::State) -> String;
}

/// A shortest path from the initial state to a violation.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Trace {
    /// The invariant that the last state breaks.
    pub violation: &'static str,
    /// Text of the initial state.
    pub start: String,
    /// Text of each step and of the state after it.
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

/// Verdict of a search.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum Verdict {
    /// Every state within the bounds keeps the invariants.
    Holds,
    /// Some state breaks an invariant. The trace is a shortest counterexample.
    Violated(Trace),
    /// The search stopped at the limit on states, so it neither proves nor refutes the invariants.
    Incomplete,
}

/// The result of a search.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Exploration {
    /// Verdict on the invariants.
    pub verdict: Verdict,
    /// Number of distinct states that were visited.
    pub states: usize,
    /// Duration of the search, in milliseconds.
    pub elapsed_ms: u128,
}

impl Exploration {
    /// Returns the counterexample, if there is one.
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

/// Visits the reachable states of `model`, and expands at most `limit` of them to bound memory.
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
