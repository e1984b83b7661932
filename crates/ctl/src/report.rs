//! The result of a command.

use std::io;
use std::io::Write;

use serde_json::Value;

use crate::exit::Exit;

/// The result of a command, as a text and as JSON.
#[derive(Clone, PartialEq, Debug)]
pub struct Report {
    /// The exit of the program. It is not a success if only a part of the proxies answered.
    pub exit: Exit,
    /// The text output, with all line ends.
    pub text: String,
    /// The document that `--json` writes instead of the text.
    pub json: Value,
}

impl Report {
    /// Returns the result of a command that succeeded.
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
