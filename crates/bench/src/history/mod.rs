//! What callers did and saw, and whether that is consistent.

pub mod checker;
pub mod record;
