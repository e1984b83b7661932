//! The interface between a pool and its connections, independent of the protocol.

use std::fmt::Debug;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use crate::connection::target_connection::OpenError;

/// A connection to a target, or to another proxy, that a pool can keep.
pub trait PooledConnection: Debug + Sized + Send + 'static {
    /// The start-up parameters of a connection.
    type Login: Clone + Debug + Send + Sync + 'static;

    /// Connects and completes the start-up within `timeout`, as `user` if the other end distinguishes
    /// users.
    fn open(
        address: &str,
        login: &Self::Login,
        user: Option<&Arc<str>>,
        timeout: Duration,
    ) -> impl Future<Output = Result<Self, OpenError>> + Send;

    /// Returns whether the connection may run statements of `user`. `None` stands for any user.
    fn serves(&self, user: Option<&Arc<str>>) -> bool;

    /// Returns whether the stream is registered with this thread's event loop.
    fn is_on_current_thread(&self) -> bool;

    /// Registers the stream with this thread's event loop.
    fn move_to_current_thread(self) -> io::Result<Self>;

    /// Returns whether an idle connection can be used: it is still open, and no unsolicited input
    /// arrived.
    fn is_healthy(&mut self) -> bool;

    /// Returns whether the connection is between requests, outside of a transaction, with no unread
    /// input.
    fn is_idle(&self) -> bool;

    /// Returns whether its session state may differ from what the next caller expects.
    fn needs_reset(&self) -> bool;

    /// Drains an abandoned answer and resets the session, so that the connection is idle and fit for
    /// other callers.
    fn recover(&mut self, timeout: Duration) -> impl Future<Output = io::Result<()>> + Send;

    /// Terminates the connection and waits until the other end has closed it.
    fn terminate(&mut self, timeout: Duration) -> impl Future<Output = io::Result<()>> + Send;
}
