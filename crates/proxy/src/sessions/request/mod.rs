//! State that lives as long as one statement.

pub mod acquire;
pub mod at_primary;
pub mod call;
pub mod confirm;
pub mod execute;
pub mod prove;
pub mod read;
pub mod sample;
pub mod transaction;
