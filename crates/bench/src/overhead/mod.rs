//! What the proxy adds: the same clients through it and straight on the stand-in, in turns.
//!
//! - [`closed_loop`]: clients that send the next request when the last is answered.
//! - [`deployment`]: a deployment whose targets are too fast to hide the proxy.
//! - [`rounds`]: the turns and their ratios.
//! - [`idle`]: memory of a proxy for callers that do nothing.

pub mod closed_loop;
pub mod deployment;
pub mod idle;
pub mod rounds;
