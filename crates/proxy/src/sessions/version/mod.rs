//! State that lives as long as one version of the configuration and the list of targets.

pub mod principal;
pub mod view;
