//! Writes the rows of a running statement straight into the output.

use bytes::BufMut;
use bytes::BytesMut;
use postgres_protocol::message::backend::DATA_ROW_TAG;
use rusqlite::types::Value;

use crate::target::database;
use crate::target::database::Database;
use crate::target::error::TargetError;
use crate::target::sql::infer::Inference;
use crate::target::statement::Statement;

use super::backend;
use super::types;
use super::types::Column;
use super::types::Type;

/// How rows are written.
#[derive(Debug)]
pub struct RowWriter<'a> {
    describes: bool,
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
        RowWriter { describes: true, formats: &[], types: Vec::new() }
    }

    /// Rows whose description the caller has or doesn't want.
    pub fn for_portal(columns: &[Column], formats: &'a [u16]) -> RowWriter<'a> {
        let types = columns.iter().map(|column| column.type_).collect();
        RowWriter { describes: false, formats, types }
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
        statement: &Statement,
        parameters: &[Value],
        only_read: bool,
        output: &mut BytesMut,
    ) -> Result<Ran, TargetError> {
        let start = output.len();
        let ran = self.run_open(database, statement, parameters, only_read, output);
        if ran.is_err() {
            output.truncate(start);
        }
        ran
    }

    fn run_open(
        &mut self,
        database: &Database,
        text: &Statement,
        parameters: &[Value],
        only_read: bool,
        output: &mut BytesMut,
    ) -> Result<Ran, TargetError> {
        let changes_before = database.total_changes();
        let source = &*text.source;
        let mut statement = database.prepare(&text.sql)?;
        if only_read && !statement.readonly() {
            return Err(TargetError::Unsupported("this statement that writes".to_owned()));
        }
        database::bind(&mut statement, parameters)?;
        let width = statement.column_count();
        if self.describes && width > 0 {
            let inferred = |width| Inference::new(source, database).results(&[], width);
            self.describe(&columns(&statement, inferred), output);
        }
        let mut count = 0;
        let mut rows = statement.raw_query();
        while let Some(row) = rows.next()? {
            self.write_row(row, width, output)?;
            count += 1;
        }
        drop(rows);
        let wrote = database.total_changes() != changes_before;
        Ok(Ran { rows: count, changed: database.changes(), wrote })
    }

    /// Writes a result of one row with one text.
    pub fn write_text(&mut self, name: &str, value: &str, output: &mut BytesMut) {
        if self.describes {
            self.describe(&[Column { name: name.to_owned(), type_: Type::Text }], output);
        }
        backend::text_row(output, value);
    }

    fn describe(&mut self, columns: &[Column], output: &mut BytesMut) {
        self.types = columns.iter().map(|column| column.type_).collect();
        backend::row_description(output, columns, |_| false);
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

/// The columns of a statement's result. `inferred` gives the types of those that are no plain
/// columns of a table.
pub fn columns<F>(statement: &rusqlite::Statement<'_>, inferred: F) -> Vec<Column>
where
    F: FnOnce(usize) -> Vec<Option<Type>>,
{
    let declared: Vec<(String, Option<Type>)> = statement
        .columns()
        .map(|column| {
            let type_ = column.decl_type().and_then(Type::from_declaration);
            (column.name().to_owned(), type_)
        })
        .collect();
    let known = declared.iter().all(|(_, type_)| type_.is_some());
    let width = declared.len();
    let inferred = if known { vec![None; width] } else { inferred(width) };
    let column = |((name, declared), inferred): ((String, Option<Type>), Option<Type>)| Column {
        name,
        type_: declared.or(inferred).unwrap_or(Type::Text),
    };
    declared.into_iter().zip(inferred).map(column).collect()
}
