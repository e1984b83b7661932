//! Experiments: a deployment, a load and faults on a timeline, described in a file.
//!
//! - [`mod@file`]: the description.
//! - [`runner`]: runs one.
//! - [`reads`]: the replicas' share from the proxies' counters.
//! - [`result`]: what a run gives, as JSON lines.
//! - [`report`]: the same as Markdown; [`plot`]: as a picture; [`compare`]: two of them side by side.

pub mod compare;
pub mod file;
pub mod plot;
pub mod reads;
pub mod report;
pub mod result;
pub mod runner;
