//! The lease of a pooled connection, and its return to the pool.

use std::sync::Arc;
use std::time::Duration;

use crate::connection::admission::AdmissionPermit;
use crate::connection::pool::Pool;
use crate::connection::pooled_connection::PooledConnection;

/// A connection taken from a pool. Dropping the lease closes the connection.
#[derive(Debug)]
pub struct Lease<L>
where
    L: PooledConnection,
{
    connection: Option<L>,
    pool: Arc<Pool<L>>,
    permit: Option<AdmissionPermit>,
}

impl<L> Lease<L>
where
    L: PooledConnection,
{
    pub(super) fn new(
        connection: L,
        pool: &Arc<Pool<L>>,
        permit: Option<AdmissionPermit>,
    ) -> Lease<L> {
        Lease { connection: Some(connection), pool: Arc::clone(pool), permit }
    }

    /// Returns the connection.
    pub fn connection(&mut self) -> &mut L {
        self.connection.as_mut().expect("a lease holds a connection until it is consumed")
    }

    /// Returns the address of the other end.
    pub fn address(&self) -> &str {
        self.pool.address()
    }

    /// Reports that the statement ended and its transaction keeps the connection.
    pub fn statement_ended(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.statement_ended();
        }
    }

    /// Reports that the next statement of the transaction runs.
    pub fn statement_started(&mut self) {
        if let Some(permit) = &mut self.permit {
            permit.statement_started();
        }
    }

    /// Returns the connection to its pool. A connection that is not idle, or whose session may have
    /// changed, is reset before it goes to another caller.
    pub fn return_to_pool(mut self) {
        let Some(connection) = self.connection.take() else { return };
        let is_idle = connection.is_idle();
        if is_idle && !connection.needs_reset() && !self.pool.options.reset_always {
            self.pool.return_idle(connection);
            return;
        }
        let pool = Arc::clone(&self.pool);
        let permit = self.permit.take();
        tokio::spawn(async move {
            pool.recover(connection, !is_idle).await;
            // The permit is held during the recovery, since the target is still busy with it.
            drop(permit);
        });
    }

    /// Terminates a working connection. Its slot is released once the other end has closed too: until
    /// then the target counts the connection and would refuse a new one.
    pub fn close(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        let timeout = Duration::from_millis(self.pool.options.drain_ms);
        let pool = Arc::clone(&self.pool);
        let permit = self.permit.take();
        tokio::spawn(async move {
            // Dropping the connection closes the socket if the other end did not close in time.
            let _ = connection.terminate(timeout).await;
            drop(connection);
            pool.connection_closed();
            drop(permit);
        });
    }
}

impl<L> Drop for Lease<L>
where
    L: PooledConnection,
{
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.connection_closed();
        }
    }
}
