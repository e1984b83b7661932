//! Compares sharing strategies of the target queue under a load surge, in virtual time.
//!
//! The proxy's own queue (`skylark_core::process::sharing`) schedules requests for one modelled target
//! with a few execution slots. Every strategy gets the same arrivals with the same run times. The results
//! and the conclusions are in `docs/design/sharing-in-a-surge.md`.

pub mod outcome;
pub mod simulation;
pub mod trace;
