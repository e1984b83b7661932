//! Small stand-ins of the platform's object API and of target databases.
