//! Mistakes in a settings file.

use std::fmt;

use serde::Serialize;

/// A position in the text of the file. Lines and columns start at 1.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
pub struct SourcePosition {
    /// The line number.
    pub line: usize,
    /// The column number, in characters.
    pub column: usize,
}

/// One mistake in a settings file.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Mistake {
    /// The path of the key, such as `groups[1].members[0].zone`; empty for the whole file.
    pub path: String,
    /// The position in the text, if known.
    #[serde(rename = "place")]
    pub position: Option<SourcePosition>,
    /// A description of the mistake that includes the value found.
    pub problem: String,
    /// The accepted values; empty if `problem` already states them.
    pub accepted: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(position) = self.position {
            write!(f, "{}:{}: ", position.line, position.column)?;
        }
        if !self.path.is_empty() {
            write!(f, "{}: ", self.path)?;
        }
        f.write_str(&self.problem)?;
        if !self.accepted.is_empty() {
            write!(f, "; accepted: {}", self.accepted)?;
        }
        Ok(())
    }
}

/// All mistakes of a file. Mistakes of single keys come first, then those of rules between keys.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize)]
pub struct Mistakes(pub Vec<Mistake>);

impl fmt::Display for Mistakes {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, mistake) in self.0.iter().enumerate() {
            if index > 0 {
                f.write_str("\n")?;
            }
            fmt::Display::fmt(mistake, f)?;
        }
        Ok(())
    }
}
