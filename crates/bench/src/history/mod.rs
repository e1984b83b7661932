//! Records of callers' operations and a consistency checker for them.

pub mod checker;
pub mod record;
