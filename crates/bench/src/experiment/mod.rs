//! Experiments: load on an embedded deployment with faults on a timeline, described in a file.
//!
//! - [`mod@file`]: the experiment file.
//! - [`runner`]: runs an experiment.
//! - [`reads`]: the share of reads served by replicas, from the proxies' counters.
//! - [`result`]: the result of a run, stored as JSON lines.
//! - [`report`]: a result as Markdown; [`plot`]: a result as an SVG plot; [`compare`]: two results compared.

pub mod compare;
pub mod file;
pub mod plot;
pub mod reads;
pub mod report;
pub mod result;
pub mod runner;
