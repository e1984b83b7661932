//! The proxy for protocols of typed statements, in which a message states what its statement does.
//!
//! Unlike the PostgreSQL side, which relays bytes and inspects only message headers, this side decodes each
//! statement. A session is one connection, and targets themselves refuse reads below a required log position.
//! Connection pools, admission queues, retry rules, error kinds and the clock are shared with the PostgreSQL
//! side. [`codec::Codec`] abstracts over protocols; [`store::StateStore`] and [`store::Promoter`] abstract
//! over platforms.
//!
//! Modules are grouped by the lifetime of their state: [`request`], [`connection`], [`version`], [`process`].

pub mod codec;
pub mod connection;
pub mod process;
pub mod request;
pub mod store;
pub mod version;
