//! Offers operations over stock PostgreSQL clients and keeps what they saw.

pub mod arrivals;
pub mod caller;
pub mod clock;
pub mod mix;
pub mod run;
pub mod series;
pub mod session;
