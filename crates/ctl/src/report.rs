//! The result of a command.

use std::io;
use std::io::Write;

use serde_json::Value;

use crate::exit::Exit;

/// The result of a command, for people and for machines.
#[derive(Clone, PartialEq, Debug)]
pub struct Report {
    /// How the program ends.
    pub exit: Exit,
    /// For people.
    pub text: String,
    /// For machines.
    pub json: Value,
}

impl Report {
    /// A result without complaints.
    pub(crate) fn success(text: String, json: Value) -> Report {
        Report { exit: Exit::Success, text, json }
    }

    pub(crate) fn write<W>(&self, json: bool, out: &mut W) -> io::Result<()>
    where
        W: Write,
    {
        if json { writeln!(out, "{}", self.json) } else { write!(out, "{}", self.text) }
    }
}
