//! What is wrong in a settings file.

use std::fmt;

use serde::Serialize;

/// A place in the text, counted from 1.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize)]
pub struct SourcePosition {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

/// One mistake.
#[derive(Clone, PartialEq, Eq, Debug, Serialize)]
pub struct Mistake {
    /// The path of the key, as `groups[1].members[0].zone`; empty for the whole file.
    pub path: String,
    /// Where it stands in the text, if known.
    #[serde(rename = "place")]
    pub position: Option<SourcePosition>,
    /// What is wrong, with the value found.
    pub problem: String,
    /// What is accepted there; empty where the problem says it.
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

/// Every mistake of a file, in the order of the text within each stage of the check.
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
