//! Versions of the configuration: their contents, their changes, and how they spread between proxies.

pub mod list_digest;
pub mod map_changes;
pub mod objects;
pub mod organisations;
pub mod plan;
pub mod route_changes;
pub mod routes;
pub mod spreading;
pub mod topology;
