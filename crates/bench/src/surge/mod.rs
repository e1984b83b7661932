//! A recorded surge in front of one target, in virtual time: how strategies of sharing compare.
//!
//! The very queue of the product (`skylark_core::process::sharing`) stands in front of a target of a
//! few slots. Every strategy meets the same arrivals with the same run times. The figures and what
//! follows from them are in `docs/design/sharing-in-a-surge.md`.

pub mod outcome;
pub mod simulation;
pub mod trace;
