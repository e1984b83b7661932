//! The extended protocol: prepared statements and portals.

use crate::target::error::TargetError;

use super::frontend::Message;
use super::session::Block;
use super::session::Session;
use super::wire::Wire;
use super::wire::WireError;

/// What a session has prepared.
#[derive(Debug, Default)]
pub struct Extended {}

impl Extended {
    /// Forgets a prepared statement, or all.
    ///
    /// # Errors
    ///
    /// When there is none of this name.
    pub fn deallocate(&mut self, name: Option<&str>) -> Result<(), TargetError> {
        match name {
            Some(name) => Err(TargetError::UnknownStatement(name.to_owned())),
            None => Ok(()),
        }
    }
}

impl Session {
    pub(super) async fn extended_message(
        &mut self,
        wire: &mut Wire<'_>,
        _message: Message,
    ) -> Result<(), WireError> {
        self.fail(wire, &TargetError::Unsupported("the extended protocol".to_owned()));
        Ok(())
    }

    /// Ends a batch.
    pub(super) async fn sync(&mut self, wire: &mut Wire<'_>) {
        if self.block == Block::Implicit
            && let Err(error) = self.commit(wire)
        {
            self.fail(wire, &error);
        }
    }
}
