//! What lives as long as one version of configuration and targets.

pub mod principal;
pub mod view;
