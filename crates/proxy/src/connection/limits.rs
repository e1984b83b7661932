//! Limits on the resources that callers and targets can use on the traffic threads.

use std::time::Duration;

use skylark_settings::proxy::ProxySettings;

/// All limits of the traffic threads. Each limit that refuses requests has an error kind and a counter.
#[derive(Clone, Debug)]
pub struct TrafficLimits {
    /// The largest message, and the largest batch of messages up to a Sync, from a caller, in bytes.
    pub message_bytes: usize,
    /// The time limit for a caller's start-up, in milliseconds.
    pub startup_ms: u64,
    /// The maximum number of connections in start-up.
    pub half_open: usize,
    /// The maximum number of callers.
    pub connections: usize,
    /// The maximum number of callers with the same user name.
    pub connections_per_user: usize,
    /// The time that a transaction may be idle, in milliseconds.
    pub idle_in_transaction_ms: u64,
    /// The time that a caller may accept no byte of an answer, in milliseconds.
    pub slow_reader_ms: u64,
    /// The time that a caller may pause within a message, in milliseconds.
    pub slow_sender_ms: u64,
    /// The default time limit of a statement, in milliseconds.
    pub deadline_ms: u64,
    /// The time that a commit may wait for its confirmation, in milliseconds.
    pub confirm_ms: u64,
    /// The maximum number of requests that wait for one target.
    pub queue_length: usize,
    /// The time that a request that has not run may wait for a primary during a move or failover, in
    /// milliseconds.
    pub primary_wait_ms: u64,
    /// The time that a request may wait for a primary that covers the session's own writes, in
    /// milliseconds.
    pub floor_wait_ms: u64,
    /// The time that open transactions may continue while the process stops, in milliseconds.
    pub stop_grace_ms: u64,
    /// The maximum number of times that a request is forwarded.
    pub max_hops: u8,
    /// The retry budget of a group, in retries per hundred requests.
    pub retry_budget_percent: u32,
    /// The maximum number of connections to one other proxy per group.
    pub peer_connections: u32,
    /// The time limit for opening a connection to a target or proxy, in milliseconds.
    pub connect_ms: u64,
    /// The time limit for draining an abandoned answer before its connection is closed, in
    /// milliseconds.
    pub drain_ms: u64,
    /// The maximum number of prepared statements per target connection.
    pub prepared_per_connection: usize,
    /// The maximum number of named prepared statements per caller.
    pub prepared_per_caller: usize,
    /// Whether every connection is reset after every transaction, for callers whose SQL functions
    /// change session state in a way that the statement's text does not show.
    pub reset_always: bool,
}

impl Default for TrafficLimits {
    fn default() -> TrafficLimits {
        TrafficLimits::from_settings(&ProxySettings::default())
    }
}

impl TrafficLimits {
    /// Returns the limits in a proxy's settings.
    pub fn from_settings(settings: &ProxySettings) -> TrafficLimits {
        let limits = &settings.limits;
        TrafficLimits {
            message_bytes: limits.max_message_bytes as usize,
            startup_ms: limits.startup_timeout_ms,
            half_open: limits.max_starting as usize,
            connections: limits.max_callers as usize,
            connections_per_user: limits.max_callers_per_user as usize,
            idle_in_transaction_ms: limits.idle_in_transaction_ms,
            slow_reader_ms: limits.slow_reader_ms,
            slow_sender_ms: limits.slow_sender_ms,
            deadline_ms: limits.default_deadline_ms,
            confirm_ms: limits.confirm_timeout_ms,
            queue_length: limits.max_queue_per_target as usize,
            stop_grace_ms: limits.stop_grace_ms,
            max_hops: limits.max_hops as u8,
            retry_budget_percent: limits.retry_budget_percent,
            connect_ms: settings.timing.connect_timeout_ms,
            primary_wait_ms: limits.primary_wait_ms,
            floor_wait_ms: limits.floor_wait_ms,
            peer_connections: limits.peer_connections,
            drain_ms: limits.drain_timeout_ms,
            prepared_per_connection: limits.max_prepared_per_connection as usize,
            prepared_per_caller: limits.max_prepared_per_caller as usize,
            reset_always: limits.reset_always,
        }
    }

    /// Returns the time that a caller may accept no byte of an answer.
    pub fn slow_reader(&self) -> Duration {
        Duration::from_millis(self.slow_reader_ms)
    }

    /// Returns the time that a caller may pause within a message.
    pub fn slow_sender(&self) -> Duration {
        Duration::from_millis(self.slow_sender_ms)
    }
}
