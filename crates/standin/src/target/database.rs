//! A copy of a target's data in the embedded engine.
//!
//! A private in-memory database with cached statements. Functions of PostgreSQL that stock clients
//! use and the engine lacks are added; the ones whose result differs at each call (time, random
//! numbers) take it from the [`Moment`] of the statement, so that a replica computes the same.

use std::sync::Arc;
use std::sync::atomic::AtomicI64;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rusqlite::CachedStatement;
use rusqlite::Connection;
use rusqlite::backup;
use rusqlite::functions;
use rusqlite::functions::FunctionFlags;
use rusqlite::types::Value;

use super::connection::types::Type;
use super::record::Record;
use super::sql::infer::Catalogue;

/// The number of prepared statements that each copy caches.
const CACHED_STATEMENTS: usize = 512;

/// The number of pages of one step of a copy between databases: all of them.
const ALL_PAGES: i32 = -1;

/// The inputs of a statement besides the data.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Moment {
    /// The transaction's time, in microseconds since the Unix epoch.
    pub time_us: i64,
    /// The seed of random numbers.
    pub seed: u64,
}

#[derive(Debug, Default)]
struct World {
    time_us: AtomicI64,
    random: AtomicU64,
    work_us: AtomicU64,
}

/// One copy of the data.
#[derive(Debug)]
pub struct Database {
    connection: Connection,
    world: Arc<World>,
}

impl Database {
    /// Creates an empty database.
    ///
    /// # Panics
    ///
    /// If the engine can't open an in-memory database.
    pub fn new() -> Database {
        let connection = Connection::open_in_memory().expect("an in-memory database opens");
        connection.set_prepared_statement_cache_capacity(CACHED_STATEMENTS);
        let world = Arc::new(World::default());
        add_functions(&connection, &world).expect("the functions' names are valid");
        Database { connection, world }
    }

    /// Sets the time and the random seed that the next statement sees.
    pub fn set_moment(&self, moment: Moment) {
        self.world.time_us.store(moment.time_us, Ordering::Relaxed);
        self.world.random.store(moment.seed, Ordering::Relaxed);
    }

    /// Returns the service time that statements requested since the last call.
    pub fn take_work(&self) -> Duration {
        Duration::from_micros(self.world.work_us.swap(0, Ordering::Relaxed))
    }

    /// Prepares a statement.
    ///
    /// # Errors
    ///
    /// The error of the engine.
    pub fn prepare(&self, sql: &str) -> Result<CachedStatement<'_>, rusqlite::Error> {
        self.connection.prepare_cached(sql)
    }

    /// Runs a statement that controls the session or the transaction.
    ///
    /// # Errors
    ///
    /// The error of the engine.
    pub fn control(&self, sql: &str) -> Result<(), rusqlite::Error> {
        self.prepare(sql)?.raw_execute().map(drop)
    }

    /// Returns the number of rows that were changed since the database was opened.
    pub fn total_changes(&self) -> u64 {
        self.connection.total_changes()
    }

    /// Returns the number of rows that the last statement changed directly.
    pub fn changes(&self) -> u64 {
        self.connection.changes()
    }

    /// Runs a record's statements.
    ///
    /// # Panics
    ///
    /// If a statement fails. It succeeded at the primary, so the two copies differ.
    pub fn apply(&self, record: &Record) {
        if record.statements.is_empty() {
            return;
        }
        let applied = self.run_record(record);
        applied.expect("a record that ran at the primary runs at every copy");
        self.take_work();
    }

    fn declared_type<P>(&self, sql: &str, parameters: P) -> Option<Type>
    where
        P: rusqlite::Params,
    {
        let mut statement = self.prepare(sql).ok()?;
        let declared: String = statement.query_row(parameters, |row| row.get(0)).ok()?;
        Type::from_declaration(&declared)
    }

    fn run_record(&self, record: &Record) -> Result<(), rusqlite::Error> {
        self.control("BEGIN IMMEDIATE")?;
        for logged in &record.statements {
            self.set_moment(Moment { time_us: record.time_us, seed: logged.seed });
            let mut statement = self.prepare(&logged.sql)?;
            bind(&mut statement, &logged.parameters)?;
            let mut rows = statement.raw_query();
            while rows.next()?.is_some() {}
        }
        self.control("COMMIT")
    }

    /// Replaces the data with a copy of another database's.
    ///
    /// # Panics
    ///
    /// If the engine can't copy between two in-memory databases.
    pub fn copy_from(&mut self, source: &Database) {
        self.connection.flush_prepared_statement_cache();
        let copy = backup::Backup::new(&source.connection, &mut self.connection);
        let done = copy.and_then(|copy| copy.step(ALL_PAGES));
        let done = done.expect("a database without open statements can be copied");
        assert_eq!(done, backup::StepResult::Done, "one step copies all pages");
    }
}

impl Catalogue for Database {
    fn column(&self, table: &str, column: &str) -> Option<Type> {
        const SQL: &str = "SELECT type FROM pragma_table_info(?1) WHERE name = ?2 COLLATE NOCASE";
        self.declared_type(SQL, (table, column))
    }

    fn column_at(&self, table: &str, place: usize) -> Option<Type> {
        const SQL: &str = "SELECT type FROM pragma_table_info(?1) WHERE cid = ?2";
        self.declared_type(SQL, (table, place as i64))
    }
}

impl Default for Database {
    fn default() -> Database {
        Database::new()
    }
}

/// Binds parameters in order, without those that the statement does not use.
///
/// # Errors
///
/// The error of the engine.
pub fn bind(
    statement: &mut rusqlite::Statement<'_>,
    parameters: &[Value],
) -> Result<(), rusqlite::Error> {
    let used = statement.parameter_count();
    for (place, value) in parameters.iter().take(used).enumerate() {
        statement.raw_bind_parameter(place + 1, value)?;
    }
    Ok(())
}

fn add_functions(connection: &Connection, world: &Arc<World>) -> Result<(), rusqlite::Error> {
    let flags = FunctionFlags::SQLITE_UTF8;
    for (name, us_per_unit) in [("standin_work_ms", 1e3), ("pg_sleep", 1e6)] {
        let world = Arc::clone(world);
        connection.create_scalar_function(name, 1, flags, move |context| {
            let amount = number(context)?;
            let work_us = (amount.max(0.0) * us_per_unit) as u64;
            world.work_us.fetch_add(work_us, Ordering::Relaxed);
            Ok(amount)
        })?;
    }
    for name in ["now", "current_timestamp", "clock_timestamp", "transaction_timestamp"] {
        let world = Arc::clone(world);
        connection.create_scalar_function(name, 0, flags, move |_| {
            Ok(timestamp(world.time_us.load(Ordering::Relaxed)))
        })?;
    }
    let random = Arc::clone(world);
    connection.create_scalar_function("random", 0, flags, move |_| {
        let bits = next_random(&random.random) >> 11;
        Ok(bits as f64 / (1_u64 << 53) as f64)
    })?;
    for (name, text) in [
        ("version", super::VERSION_TEXT),
        ("current_schema", "public"),
        ("current_database", "standin"),
    ] {
        connection.create_scalar_function(name, 0, flags, move |_| Ok(text))?;
    }
    Ok(())
}

fn number(context: &functions::Context<'_>) -> Result<f64, rusqlite::Error> {
    match context.get::<Value>(0)? {
        Value::Integer(value) => Ok(value as f64),
        Value::Real(value) => Ok(value),
        Value::Text(text) => Ok(text.parse().unwrap_or_default()),
        Value::Null | Value::Blob(_) => Ok(0.0),
    }
}

/// Returns the next number of the SplitMix64 sequence.
fn next_random(state: &AtomicU64) -> u64 {
    const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
    let state = state.fetch_add(STEP, Ordering::Relaxed).wrapping_add(STEP);
    let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Formats a time as PostgreSQL does a `timestamptz` in UTC. The date is computed from the number of
/// days by H. Hinnant's algorithm "days to civil".
fn timestamp(time_us: i64) -> String {
    const US_PER_DAY: i64 = 86_400_000_000;
    let days = time_us.div_euclid(US_PER_DAY) + 719_468;
    let in_day_us = time_us.rem_euclid(US_PER_DAY);
    let era = days.div_euclid(146_097);
    let day_of_era = days.rem_euclid(146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = year_of_era + era * 400 + i64::from(month <= 2);
    let seconds = in_day_us / 1_000_000;
    format!(
        "{year:04}-{month:02}-{day:02} {:02}:{:02}:{:02}.{:06}+00",
        seconds / 3600,
        seconds / 60 % 60,
        seconds % 60,
        in_day_us % 1_000_000
    )
}
