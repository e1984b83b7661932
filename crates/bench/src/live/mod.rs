//! Slopes of running proxies: many in this process, over the stand-ins.
//!
//! - [`site`] starts proxies and targets in a number that a case chooses.
//! - [`relay`] counts the bytes that pass between proxies and members or other proxies.
//! - [`threads`] reads the processor time of threads by their names.
//! - [`cases`] are what is measured; [`report`] runs them.

pub mod cases;
pub mod relay;
pub mod report;
pub mod site;
pub mod threads;
