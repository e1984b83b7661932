//! What one caller's connection carries from statement to statement.

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

/// How many values or prepared statements one session may have. The users' sessions have a few; a
/// session without a bound could take all memory of a small VM.
const MAX_ENTRIES: usize = 256;

/// An open transaction.
#[derive(Debug)]
pub struct Transaction<C>
where
    C: Codec,
{
    /// The route that it began with: a change of the route applies from the next transaction on.
    pub route: Arc<Route>,
    /// For whom it runs.
    pub principal: Principal,
    /// Whether it counts towards its organisation's limit already.
    pub is_charged: bool,
    /// Whether the caller said that it will only read.
    pub read_only: bool,
    /// When its first byte had arrived at the latest.
    pub began_us: u64,
    /// Whether it ran a write.
    pub wrote: bool,
    /// Where it runs; none before its first statement. A caller that rests after its `BEGIN` holds
    /// no connection.
    pub pinned: Option<PinnedConnection<C>>,
}

/// The connection of an open transaction.
#[derive(Debug)]
pub struct PinnedConnection<C>
where
    C: Codec,
{
    /// The connection.
    pub lease: Lease<StatementLink<C>>,
    /// Its target.
    pub target: Arc<TargetState<C>>,
    /// Whether the target is known to have what the transaction's reads must see.
    pub may_read: bool,
}

/// Whether a session is inside a transaction.
#[derive(Debug, Default)]
pub enum SessionState<C>
where
    C: Codec,
{
    /// Outside.
    #[default]
    Idle,
    /// Inside.
    Open(Box<Transaction<C>>),
    /// Inside one that failed and was rolled back already; the caller has yet to end it.
    Failed(ErrorKind),
}

/// One caller's session.
#[derive(Debug)]
pub struct Session<C>
where
    C: Codec,
{
    /// The database that the caller connected to.
    pub database: Arc<str>,
    /// The caller's key.
    pub key: KeyDigest,
    /// Distinguishes this session from the process's others.
    pub number: u64,
    /// The last commit that it was told of, and the service that it belongs to.
    pub floor: Option<(Arc<str>, LogPosition)>,
    /// The values that it was told are set.
    pub values: Vec<(Box<str>, Box<str>)>,
    /// Its prepared statements by name.
    pub prepared: FastMap<Box<str>, Prepared>,
    /// Whether it is inside a transaction.
    pub state: SessionState<C>,
}

impl<C> Session<C>
where
    C: Codec,
{
    /// A new session of a database.
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

    /// What the caller is told of its transaction.
    pub fn status(&self) -> TransactionStatus {
        match self.state {
            SessionState::Idle => TransactionStatus::Idle,
            SessionState::Open(_) => TransactionStatus::Open,
            SessionState::Failed(_) => TransactionStatus::Failed,
        }
    }

    /// Remembers a value.
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

    /// Remembers a prepared statement.
    pub fn prepare(&mut self, name: &str, shape: PreparedShape<'_>) -> Result<(), ErrorKind> {
        if self.prepared.len() >= MAX_ENTRIES && !self.prepared.contains_key(name) {
            return Err(ErrorKind::Unsupported);
        }
        let prepared = Prepared { effect: shape.effect, shape: shape.shape.into() };
        self.prepared.insert(name.into(), prepared);
        Ok(())
    }

    /// The session was told that a commit of this service ended at `position`.
    pub fn raise_floor(&mut self, service: &Arc<str>, position: LogPosition) {
        self.floor = match self.floor.take() {
            Some((known, floor)) if known == *service => Some((known, floor.max(position))),
            _ => Some((Arc::clone(service), position)),
        };
    }

    /// The position that the session's reads of a service must see.
    pub fn floor_of(&self, service: &str) -> Option<LogPosition> {
        self.floor.as_ref().filter(|(known, _)| &**known == service).map(|(_, floor)| *floor)
    }
}
