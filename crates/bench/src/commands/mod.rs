//! The subcommands of the binary.

use std::fmt;
use std::io;

use tokio::runtime::Builder;
use tokio::runtime::Runtime;

pub mod connection_cache;
pub mod experiment;
pub mod failover_gap;
pub mod fleet;
pub mod idle_memory;
pub mod overhead;
pub mod quickstart;
pub mod slopes;

/// Why a subcommand ended without its result.
#[derive(Debug)]
pub enum CommandError {
    /// Input or output failed.
    Io(io::Error),
    /// Anything else, in words for the operator.
    Other(String),
}

impl CommandError {
    /// An error from its words.
    pub fn other<E>(error: E) -> CommandError
    where
        E: fmt::Display,
    {
        CommandError::Other(error.to_string())
    }
}

impl From<io::Error> for CommandError {
    fn from(error: io::Error) -> CommandError {
        CommandError::Io(error)
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CommandError::Io(error) => error.fmt(f),
            CommandError::Other(text) => f.write_str(text),
        }
    }
}

/// The runtime of stand-ins and callers; proxies have threads of their own.
fn runtime() -> io::Result<Runtime> {
    Builder::new_multi_thread().enable_all().build()
}
