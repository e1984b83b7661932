//! What a pool asks of a connection, whichever protocol it speaks.

use std::fmt::Debug;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use crate::connection::target_connection::OpenError;

/// A connection to a target, or to another proxy, that a pool can keep.
pub trait PooledConnection: Debug + Sized + Send + 'static {
    /// How connections introduce themselves.
    type Login: Clone + Debug + Send + Sync + 'static;

    /// Connects and passes the start-up within `timeout`, as `user` where the other end distinguishes users.
    fn open(
        address: &str,
        login: &Self::Login,
        user: Option<&Arc<str>>,
        timeout: Duration,
    ) -> impl Future<Output = Result<Self, OpenError>> + Send;

    /// Whether the connection may run statements of `user`; of none means whosever it is.
    fn serves(&self, user: Option<&Arc<str>>) -> bool;

    /// Whether this thread's event loop watches the stream.
    fn is_on_current_thread(&self) -> bool;

    /// Has the stream watched by this thread's event loop.
    fn move_to_current_thread(self) -> io::Result<Self>;

    /// Whether an idle connection can be used: still open, and nothing came unasked.
    fn is_healthy(&mut self) -> bool;

    /// Whether the connection is between requests, outside a transaction, with nothing unread.
    fn is_idle(&self) -> bool;

    /// Whether its session may differ from what the next caller expects.
    fn needs_reset(&self) -> bool;

    /// Brings a connection whose answer was abandoned back to idle with a session fit for others.
    fn recover(&mut self, timeout: Duration) -> impl Future<Output = io::Result<()>> + Send;

    /// Says goodbye and waits until the other end has closed.
    fn terminate(&mut self, timeout: Duration) -> impl Future<Output = io::Result<()>> + Send;
}
