//! The processing of one request, from parsing to its answer.

pub mod acknowledge;
pub mod answer;
pub mod batch;
pub mod caller_request;
pub mod context;
pub mod exchange;
pub mod execute;
pub mod forward;
pub mod parameters;
pub mod refusal;
pub mod route;
pub mod statement;
