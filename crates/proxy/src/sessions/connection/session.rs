//! The state of a caller's session, kept between statements.

use std::sync::Arc;

use skylark_core::FastMap;
use skylark_core::log_position::LogPosition;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::request::statement::Prepared;
use skylark_core::request::statement::PreparedShape;
use skylark_core::request::statement::TransactionStatus;
use skylark_core::version::organisations::KeyDigest;
use skylark_core::version::routes::Route;

use crate::connection::lease::Lease;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::process::targets::TargetState;
use crate::sessions::version::principal::Principal;

/// The maximum number of values, and of prepared statements, of one session. Sessions usually have a few;
/// without a limit one session could use up all memory of a small VM.
const MAX_ENTRIES: usize = 256;

/// An open transaction.
#[derive(Debug)]
pub struct Transaction<C>
where
    C: Codec,
{
    /// The route at the start of the transaction. A changed route applies from the next transaction on.
    pub route: Arc<Route>,
    /// The identity under which the transaction runs.
    pub principal: Principal,
    /// Whether the transaction has already been charged to its organisation's quota.
    pub is_charged: bool,
    /// Whether the caller declared the transaction read-only.
    pub read_only: bool,
    /// An upper bound of the arrival time of the transaction's first byte, in microseconds.
    pub began_us: u64,
    /// Whether the transaction has written data.
    pub wrote: bool,
    /// The connection that the transaction is bound to; `None` before its first statement, so that a caller
    /// that is idle after `BEGIN` holds no connection.
    pub pinned: Option<PinnedConnection<C>>,
}

/// The connection to which an open transaction is bound.
#[derive(Debug)]
pub struct PinnedConnection<C>
where
    C: Codec,
{
    /// The pooled connection, which is reserved until the transaction ends.
    pub lease: Lease<StatementLink<C>>,
    /// The target of the connection.
    pub target: Arc<TargetState<C>>,
    /// Whether the target is known to have everything that the transaction's reads must see.
    pub may_read: bool,
}

/// The transaction state of a session.
#[derive(Debug, Default)]
pub enum SessionState<C>
where
    C: Codec,
{
    /// No transaction is open.
    #[default]
    Idle,
    /// A transaction is open.
    Open(Box<Transaction<C>>),
    /// The transaction failed and was rolled back; the caller has not ended it yet. The error is the one for
    /// the next statement.
    Failed(ErrorKind),
}

/// A caller's session.
#[derive(Debug)]
pub struct Session<C>
where
    C: Codec,
{
    /// The database that the caller connected to.
    pub database: Arc<str>,
    /// The digest of the caller's key.
    pub key: KeyDigest,
    /// The session's number, unique within the process.
    pub number: u64,
    /// The position of the session's last acknowledged commit, and the service that it was made to.
    pub floor: Option<(Arc<str>, LogPosition)>,
    /// The session values set by the caller, by name, in the order in which they were first set.
    pub values: Vec<(Box<str>, Box<str>)>,
    /// The prepared statements by name.
    pub prepared: FastMap<Box<str>, Prepared>,
    /// The transaction state.
    pub state: SessionState<C>,
}

impl<C> Session<C>
where
    C: Codec,
{
    /// Creates a session of a database.
    pub fn new(database: &str, key: KeyDigest, number: u64) -> Session<C> {
        Session {
            database: database.into(),
            key,
            number,
            floor: None,
            values: Vec::new(),
            prepared: FastMap::default(),
            state: SessionState::Idle,
        }
    }

    /// Returns the transaction status to report to the caller.
    pub fn status(&self) -> TransactionStatus {
        match self.state {
            SessionState::Idle => TransactionStatus::Idle,
            SessionState::Open(_) => TransactionStatus::Open,
            SessionState::Failed(_) => TransactionStatus::Failed,
        }
    }

    /// Sets a session value.
    ///
    /// # Errors
    ///
    /// `Unsupported` if the session has too many values.
    pub fn set(&mut self, name: &str, value: &str) -> Result<(), ErrorKind> {
        if let Some(known) = self.values.iter_mut().find(|known| &*known.0 == name) {
            known.1 = value.into();
            return Ok(());
        }
        if self.values.len() >= MAX_ENTRIES {
            return Err(ErrorKind::Unsupported);
        }
        self.values.push((name.into(), value.into()));
        Ok(())
    }

    /// Stores a prepared statement.
    ///
    /// # Errors
    ///
    /// `Unsupported` if the session has too many prepared statements.
    pub fn prepare(&mut self, name: &str, shape: PreparedShape<'_>) -> Result<(), ErrorKind> {
        if self.prepared.len() >= MAX_ENTRIES && !self.prepared.contains_key(name) {
            return Err(ErrorKind::Unsupported);
        }
        let prepared = Prepared { effect: shape.effect, shape: shape.shape.into() };
        self.prepared.insert(name.into(), prepared);
        Ok(())
    }

    /// Records an acknowledged commit to a service, so that later reads of the session see it.
    pub fn raise_floor(&mut self, service: &Arc<str>, position: LogPosition) {
        self.floor = match self.floor.take() {
            Some((known, floor)) if known == *service => Some((known, floor.max(position))),
            _ => Some((Arc::clone(service), position)),
        };
    }

    /// Returns the position that the session's reads of a service must see; `None` if it made no commit to the
    /// service.
    pub fn floor_of(&self, service: &str) -> Option<LogPosition> {
        self.floor.as_ref().filter(|(known, _)| &**known == service).map(|(_, floor)| *floor)
    }
}
