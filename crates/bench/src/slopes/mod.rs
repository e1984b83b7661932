//! How the cost of each part grows with the size that it depends on.
//!
//! Each case measures one cost at three sizes or more and fits a line through the medians. The page
//! on capacity multiplies these lines; nothing here simulates a cluster.

pub mod case;
pub mod control;
pub mod fleet;
pub mod line;
pub mod measure;
pub mod no_protocol;
pub mod report;
pub mod sessions;
pub mod sessions_fleet;
pub mod spread;
pub mod versions;
