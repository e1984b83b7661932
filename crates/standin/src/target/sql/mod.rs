//! PostgreSQL's SQL, as far as a stand-in needs it: tokens, kinds of statements, and the text that
//! the embedded engine takes.

pub mod classify;
pub mod infer;
pub mod lexer;
pub mod translate;
