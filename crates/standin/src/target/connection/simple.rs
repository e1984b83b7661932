//! Simple queries: one text with any number of statements.

use postgres_protocol::message::backend::EMPTY_QUERY_RESPONSE_TAG;

use crate::target::error::TargetError;
use crate::target::sql::lexer;
use crate::target::statement::Statement;

use super::backend;
use super::rows::RowWriter;
use super::session::Block;
use super::session::Session;
use super::wire::Wire;
use super::wire::WireError;

impl Session {
    /// Runs a text's statements, as one transaction unless it contains transaction control.
    pub(super) async fn simple_query(
        &mut self,
        wire: &mut Wire<'_>,
        sql: &str,
    ) -> Result<(), WireError> {
        let statements = lexer::statements(sql);
        let Some(last) = statements.len().checked_sub(1) else {
            backend::bare(&mut wire.output, EMPTY_QUERY_RESPONSE_TAG);
            return Ok(());
        };
        for (place, source) in statements.into_iter().enumerate() {
            let statement = Statement::read(source);
            if let Err(error) = self.simple_statement(wire, &statement, place == last).await {
                self.fail(wire, &error);
                break;
            }
            wire.flush_if_large().await?;
        }
        Ok(())
    }

    async fn simple_statement(
        &mut self,
        wire: &mut Wire<'_>,
        statement: &Statement,
        is_last: bool,
    ) -> Result<(), TargetError> {
        if self.block == Block::None && !is_last {
            self.refuse_new_work()?;
            self.block = Block::Implicit;
        }
        let mut rows = RowWriter::for_simple_query();
        let tag = self.run(wire, statement, &[], &mut rows).await?;
        if is_last && self.block == Block::Implicit {
            self.commit(wire)?;
        }
        backend::command_complete(&mut wire.output, &tag);
        Ok(())
    }
}
