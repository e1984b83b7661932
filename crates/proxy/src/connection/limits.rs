//! Bounds on what callers and targets can ask of the traffic threads.

use std::time::Duration;

use skylark_settings::proxy::ProxySettings;

/// Every bound of the traffic threads. Each one that refuses has an error kind and a counter.
#[derive(Clone, Debug)]
pub struct TrafficLimits {
    /// The largest message, and the largest batch of messages up to a Sync, from a caller.
    pub message_bytes: usize,
    /// The time that a connection has for its start-up.
    pub startup_ms: u64,
    /// How many connections may be in their start-up at once.
    pub half_open: usize,
    /// How many callers the process serves at once.
    pub connections: usize,
    /// How many of these may have the same user name.
    pub connections_per_user: usize,
    /// How long a caller may leave a transaction open and idle.
    pub idle_in_transaction_ms: u64,
    /// How long a caller may take no byte of an answer.
    pub slow_reader_ms: u64,
    /// How long a caller may send nothing more of a message that it began.
    pub slow_sender_ms: u64,
    /// The time limit of a statement unless the caller sets one.
    pub deadline_ms: u64,
    /// How long a commit may wait for its confirmation.
    pub confirm_ms: u64,
    /// How many requests may wait for one target.
    pub queue_length: usize,
    /// How long a request that did not run may wait for a primary that moves or changes.
    pub primary_wait_ms: u64,
    /// How long a request may wait for a primary that covers the session's own writes.
    pub floor_wait_ms: u64,
    /// How long open transactions may go on once the process is stopping.
    pub stop_grace_ms: u64,
    /// How often a request may be forwarded.
    pub max_hops: u8,
    /// Retries that a group may spend for every hundred requests.
    pub retry_budget_percent: u32,
    /// How many connections to one other proxy are open at once, for one group.
    pub peer_connections: u32,
    /// The time that a new connection to a target or proxy may take.
    pub connect_ms: u64,
    /// The time that an abandoned answer has to end before its connection is closed.
    pub drain_ms: u64,
    /// How many prepared statements one connection to a target remembers.
    pub prepared_per_connection: usize,
    /// How many prepared statements one caller may hold.
    pub prepared_per_caller: usize,
    /// Whether every connection is reset after every transaction, for callers whose SQL functions
    /// change session state where the statement's text does not show it.
    pub reset_always: bool,
}

impl Default for TrafficLimits {
    fn default() -> TrafficLimits {
        TrafficLimits::from_settings(&ProxySettings::default())
    }
}

impl TrafficLimits {
    /// The bounds in a proxy's settings.
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

    /// The bound on a caller that does not read.
    pub fn slow_reader(&self) -> Duration {
        Duration::from_millis(self.slow_reader_ms)
    }

    /// The bound on a caller that does not send.
    pub fn slow_sender(&self) -> Duration {
        Duration::from_millis(self.slow_sender_ms)
    }
}
