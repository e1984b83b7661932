//! The subcommands of the binary.

use std::fmt;
use std::io;
use std::str::FromStr;

use clap::ArgMatches;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

pub mod admission;
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

/// Returns the number given for an option, or the usual one.
fn number<T>(matches: &ArgMatches, name: &str, usual: T) -> Result<T, CommandError>
where
    T: FromStr,
{
    matches.get_one::<String>(name).map_or(Ok(usual), |text| parse_number(name, text))
}

fn parse_number<T>(name: &str, text: &str) -> Result<T, CommandError>
where
    T: FromStr,
{
    text.parse().map_err(|_| CommandError::other(format!("--{name} {text}: not a number")))
}
