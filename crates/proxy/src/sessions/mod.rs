//! Callers that speak a protocol of typed statements.
//!
//! The PostgreSQL side passes bytes on and looks at message headers only; here each statement says
//! what it does, a session is one connection, and targets refuse reads below a position by
//! themselves. Pools, queues, retry rules, the list of answers and the clock are those of the
//! PostgreSQL side. What differs between protocols stands behind [`codec::Codec`], what differs
//! between platforms behind [`store::StateStore`] and [`store::Promoter`].
//!
//! The layout follows life spans: [`request`], [`connection`], [`version`], [`process`].

pub mod codec;
pub mod connection;
pub mod process;
pub mod request;
pub mod store;
pub mod version;
