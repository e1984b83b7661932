//! Load and experiments over the stand-ins.
