//! Writes the rows of a running statement straight into the output.

use bytes::BufMut;
use bytes::BytesMut;
use postgres_protocol::message::backend::DATA_ROW_TAG;
use rusqlite::types::Value;

use crate::target::database;
use crate::target::database::Database;
use crate::target::error::TargetError;

use super::backend;
use super::types;
use super::types::Column;
use super::types::Type;

/// How rows are written.
#[derive(Debug)]
pub struct RowWriter<'a> {
    /// The types of the columns, where they were described before.
    described: Option<&'a [Column]>,
    formats: &'a [u16],
    types: Vec<Type>,
}

/// What a statement did at the engine.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Ran {
    /// How many rows it returned.
    pub rows: u64,
    /// How many rows it changed itself.
    pub changed: u64,
    /// Whether it changed rows, also through triggers.
    pub wrote: bool,
}

impl<'a> RowWriter<'a> {
    /// Rows with their description before them, in text format.
    pub fn for_simple_query() -> RowWriter<'static> {
        RowWriter { described: None, formats: &[], types: Vec::new() }
    }

    /// Rows whose description the caller has or doesn't want.
    pub fn for_portal(columns: &'a [Column], formats: &'a [u16]) -> RowWriter<'a> {
        let types = columns.iter().map(|column| column.type_).collect();
        RowWriter { described: Some(columns), formats, types }
    }

    /// Runs a statement on a database. On an error the output is as it was before.
    ///
    /// # Errors
    ///
    /// What the engine has against it; and [`TargetError::Unsupported`] when it would write where
    /// only reads are expected.
    pub fn run(
        &mut self,
        database: &Database,
        sql: &str,
        parameters: &[Value],
        only_read: bool,
        output: &mut BytesMut,
    ) -> Result<Ran, TargetError> {
        let start = output.len();
        let ran = self.run_open(database, sql, parameters, only_read, output);
        if ran.is_err() {
            output.truncate(start);
        }
        ran
    }

    fn run_open(
        &mut self,
        database: &Database,
        sql: &str,
        parameters: &[Value],
        only_read: bool,
        output: &mut BytesMut,
    ) -> Result<Ran, TargetError> {
        let changes_before = database.total_changes();
        let mut statement = database.prepare(sql)?;
        if only_read && !statement.readonly() {
            return Err(TargetError::Unsupported("this statement that writes".to_owned()));
        }
        database::bind(&mut statement, parameters)?;
        let columns = match self.described {
            Some(_) => Vec::new(),
            None => described_columns(&statement),
        };
        let width = statement.column_count();
        let mut count = 0;
        let mut rows = statement.raw_query();
        loop {
            let row = rows.next()?;
            if count == 0 && width > 0 && self.described.is_none() {
                self.describe(&columns, row, output);
            }
            let Some(row) = row else { break };
            self.write_row(row, width, output)?;
            count += 1;
        }
        drop(rows);
        let wrote = database.total_changes() != changes_before;
        Ok(Ran { rows: count, changed: database.changes(), wrote })
    }

    /// Describes columns of simple queries. Those without a declared type get the type of the first
    /// row's value.
    fn describe(
        &mut self,
        columns: &[(String, Option<Type>)],
        first: Option<&rusqlite::Row<'_>>,
        output: &mut BytesMut,
    ) {
        let type_of = |place: usize, declared: Option<Type>| {
            let value = first.and_then(|row| row.get_ref(place).ok());
            declared.or_else(|| value.map(Type::of_value)).unwrap_or(Type::Text)
        };
        let columns: Vec<Column> = columns
            .iter()
            .enumerate()
            .map(|(place, (name, declared))| Column {
                name: name.clone(),
                type_: type_of(place, *declared),
            })
            .collect();
        self.types = columns.iter().map(|column| column.type_).collect();
        backend::row_description(output, &columns, |_| false);
    }

    fn write_row(
        &self,
        row: &rusqlite::Row<'_>,
        width: usize,
        output: &mut BytesMut,
    ) -> Result<(), TargetError> {
        let mut result = Ok(());
        backend::message(output, DATA_ROW_TAG, |body| {
            body.put_u16(width as u16);
            for place in 0..width {
                let type_ = self.types.get(place).copied().unwrap_or(Type::Text);
                let binary = types::is_binary(self.formats, place);
                let written = row
                    .get_ref(place)
                    .map_err(TargetError::from)
                    .and_then(|value| types::encode(body, value, type_, binary));
                if written.is_err() {
                    result = written;
                    return;
                }
            }
        });
        result
    }
}

/// The names of a statement's columns, and the types of those that are plain columns of a table.
pub fn described_columns(statement: &rusqlite::Statement<'_>) -> Vec<(String, Option<Type>)> {
    let columns = statement.columns();
    let declared =
        |column: &rusqlite::Column<'_>| column.decl_type().and_then(Type::from_declaration);
    columns.map(|column| (column.name().to_owned(), declared(&column))).collect()
}
