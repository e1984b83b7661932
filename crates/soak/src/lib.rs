//! A randomized soak: real proxy processes on loopback, faults from outside them, and the promises
//! checked from what callers and targets see.
//!
//! A seed decides everything but the machine's timing: which faults come, when, and for how long.
//! Faults overlap. After them everything is healed, and the targets' log tells whether an
//! acknowledged write is lost, one is doubled, or one is there that was said not to have run.
//! Processes are ended by their ids, and only those that the soak started.
//!
//! - [`relay`]: connections that are delayed, reset, cut one way or silenced
//! - [`process`]: the proxies as child processes
//! - [`faults`]: the series of faults
//! - [`callers`]: callers that check what they are told
//! - [`organisations`]: keys that are withdrawn, limits that change, and what must hold for them
//! - [`run`]: one seed from start to verdict

pub mod callers;
pub mod faults;
pub mod organisations;
pub mod process;
pub mod relay;
pub mod run;
