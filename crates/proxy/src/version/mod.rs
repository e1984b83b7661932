//! State that lives as long as one version of the configuration.

pub mod configuration;
pub mod published;
