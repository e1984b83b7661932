//! Small specification of the core protocol, explored exhaustively.
//!
//! Each model is a transition system: a compact state, the steps that may come next, and the
//! invariants that every reachable state keeps. [`explore`] visits every state within the model's
//! bounds by breadth-first search, so a violation comes with a shortest trace.
//!
//! Each safeguard of the protocol has a switch. With all of them on the invariants hold; with any
//! one off the search must find a counterexample, which shows that the model can see the failure
//! that the safeguard is there for. Where a transition takes a decision that `skylark-core` takes,
//! it calls the function of `skylark-core`.
//!
//! - [`acknowledgement`]: who may acknowledge a write, the fence, and the choice of a new primary.
//! - [`driver`]: the failover driver of the core among the same members.
//! - [`floors`]: what a session that roams gets to read after its own writes.
//! - [`plans`]: operators who race each other over a platform that loses answers.
//! - [`repetition`]: what is sent again, and what a caller is told about it.
//! - [`spreading`]: accepted settings on their way to every process.
//! - [`quota`]: one limit divided among allocators that exchange nothing.
//! - [`answers`]: when a connection may serve the next caller.

pub mod acknowledgement;
pub mod answers;
pub mod case;
pub mod driver;
pub mod explore;
pub mod floors;
pub mod intern;
pub mod lead;
pub mod plans;
pub mod quota;
pub mod repetition;
pub mod spreading;
