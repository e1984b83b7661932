//! What lives as long as one request.

pub mod error_kind;
pub mod retry;
pub mod routing;
