//! Small specification of the core protocol, explored exhaustively.
