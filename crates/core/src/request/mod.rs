//! What lives as long as one request.

pub mod error_kind;
