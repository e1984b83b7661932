//! A randomized fault soak test of real proxy processes on loopback.
//!
//! Faults are injected from outside the processes, and the proxy's guarantees are checked from the
//! observations of callers and targets. A seed determines everything except the machine's timing: which
//! faults occur, when and for how long. Faults may overlap. After the last fault has ended, the primary's log
//! shows whether an acknowledged write was lost, a write was applied twice, or a write was applied that had
//! been reported as not applied. The soak signals processes by their ids, and only those that it started.
//!
//! - [`relay`]: TCP relays that delay, reset, hold back or slow down connections
//! - [`process`]: the proxies as child processes
//! - [`faults`]: the random series of faults
//! - [`callers`]: callers that write, read and check the answers
//! - [`organisations`]: organisations with changing keys and limits, and the checks of both
//! - [`promotions`]: the check of each promotion at its effect
//! - [`busy`]: threads that keep processors busy
//! - [`run`]: the run of one seed and its verdict

pub mod busy;
pub mod callers;
pub mod faults;
pub mod organisations;
pub mod process;
pub mod promotions;
pub mod relay;
pub mod run;
