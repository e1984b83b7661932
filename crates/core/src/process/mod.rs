//! What lives as long as one process.
