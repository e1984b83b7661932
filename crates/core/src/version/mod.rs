//! What lives as long as one version of the configuration.

pub mod map_changes;
pub mod objects;
pub mod organisations;
pub mod plan;
pub mod route_changes;
pub mod routes;
pub mod spreading;
pub mod topology;
