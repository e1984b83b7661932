//! Decisions about single requests: routing, retries, errors and proofs of leadership.

pub mod error_kind;
pub mod lead_proof;
pub mod position_demand;
pub mod primary_positions;
pub mod read_choice;
pub mod retry;
pub mod routing;
pub mod statement;
