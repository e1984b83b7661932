//! Settings of `skylark-proxy`.

use std::net::SocketAddr;

use crate::Settings;
use crate::cross_key::CrossKeyChecker;
use crate::schema::Key;
use crate::schema::Schema;
use crate::section::section;

const ZERO_MS: u64 = 0;
const HOUR_MS: u64 = 3_600_000;
const MINUTE_MS: u64 = 60_000;
const GIB: u64 = 1 << 30;
const MIB: u64 = 1 << 20;

/// Returns the schema of a duration in milliseconds, from 1 to `max`.
const fn positive_duration_ms(max: u64) -> Schema {
    Schema::Integer { min: 1, max }
}

section! {
    /// Settings of one proxy process.
    ProxySettings {
        /// The name of the VM that the proxy runs on, as in the platform's list of VMs.
        vm: String, required, Schema::Name;
        /// The availability zone of the VM.
        zone: String, required, Schema::Name;
        /// The address that accepts connections of callers and requests forwarded by other proxies.
        listen_address: SocketAddr, required, Schema::Address { allow_port_zero: true };
        /// The control address for other proxies, operators and the balancer's health checks.
        control_address: SocketAddr, required, Schema::Address { allow_port_zero: true };
        /// The address of the platform's object API.
        platform_address: SocketAddr, required, Schema::Address { allow_port_zero: false };
        /// Control addresses of other proxies, which are asked for the configuration if the platform does
        /// not answer at startup.
        peers: Vec<SocketAddr>, default(Vec::new()),
            Schema::List { item: &Schema::Address { allow_port_zero: false }, min_len: 0 };
        /// The number of threads that serve traffic, in addition to the control thread.
        traffic_threads: u32, default(2), Schema::Integer { min: 1, max: 256 };
        /// The number of proxies in a target's zone that share the target's connections.
        homes_per_target: u32, default(2), Schema::Integer { min: 1, max: 8 };
        /// The least severe level that is logged.
        log_level: LogLevel, default(LogLevel::Info), Schema::Choice(LogLevel::NAMES);
        /// Limits on the resources that callers can use.
        limits: Limits, default(Limits::default()), Schema::Section(Limits::KEYS);
        /// Intervals and timeouts of the control thread.
        timing: Timing, default(Timing::default()), Schema::Section(Timing::KEYS);
        /// The export of metrics.
        metrics: Metrics, default(Metrics::default()), Schema::Section(Metrics::KEYS);
    }
}

section! {
    /// Limits on the resources that callers can use.
    Limits {
        /// The maximum number of caller connections.
        max_callers: u32, default(20_000), Schema::Integer { min: 1, max: 1_000_000 };
        /// The maximum number of caller connections per user name.
        max_callers_per_user: u32, default(10_000), Schema::Integer { min: 1, max: 1_000_000 };
        /// The maximum number of caller connections whose start-up is not complete.
        max_starting: u32, default(1_000), Schema::Integer { min: 1, max: 1_000_000 };
        /// The maximum size of a message from a caller, and of a batch of messages up to a Sync.
        max_message_bytes: u64, default(16 * MIB), Schema::Integer { min: 1024, max: GIB };
        /// The time limit for a caller's start-up.
        startup_timeout_ms: u64, default(5_000), positive_duration_ms(MINUTE_MS);
        /// The maximum time that a caller may leave a transaction idle.
        idle_in_transaction_ms: u64, default(30_000), positive_duration_ms(HOUR_MS);
        /// The maximum time that a caller may read no byte of a pending response.
        slow_reader_ms: u64, default(10_000), positive_duration_ms(HOUR_MS);
        /// The maximum time that a caller may pause within a message.
        slow_sender_ms: u64, default(10_000), positive_duration_ms(HOUR_MS);
        /// The default time limit of a statement.
        default_deadline_ms: u64, default(5_000), positive_duration_ms(HOUR_MS);
        /// The maximum number of requests that wait for a connection to one target.
        max_queue_per_target: u32, default(1_000), Schema::Integer { min: 1, max: 1_000_000 };
        /// The maximum time that a commit waits for confirmation by a majority.
        confirm_timeout_ms: u64, default(2_000), positive_duration_ms(MINUTE_MS);
        /// The maximum time that a request waits for a primary that has its session's own writes.
        floor_wait_ms: u64, default(250), Schema::Integer { min: ZERO_MS, max: MINUTE_MS };
        /// The maximum time that a request that has not run waits for a primary during a move or failover.
        primary_wait_ms: u64, default(250), Schema::Integer { min: ZERO_MS, max: MINUTE_MS };
        /// The maximum number of times that a request is forwarded between proxies.
        max_hops: u32, default(2), Schema::Integer { min: 1, max: 8 };
        /// The retry budget of a group, in retries per hundred requests.
        retry_budget_percent: u32, default(10), Schema::Integer { min: 0, max: 100 };
        /// The maximum number of connections to one other proxy per group.
        peer_connections: u32, default(256), Schema::Integer { min: 1, max: 100_000 };
        /// The time limit for draining an abandoned response before its connection is closed.
        drain_timeout_ms: u64, default(1_000), positive_duration_ms(MINUTE_MS);
        /// The maximum number of prepared statements per connection to a target.
        max_prepared_per_connection: u32, default(256), Schema::Integer { min: 1, max: 100_000 };
        /// The maximum number of named prepared statements per caller.
        max_prepared_per_caller: u32, default(1_024), Schema::Integer { min: 1, max: 100_000 };
        /// Whether connections are reset after every transaction, for callers whose SQL functions
        /// change session state in a way that the statement's text does not show.
        reset_always: bool, default(false), Schema::Flag;
        /// The time between the health check response that announces a stop to the balancer and the
        /// first rejection of a new caller.
        stop_notice_ms: u64, default(1_000), Schema::Integer { min: ZERO_MS, max: MINUTE_MS };
        /// The time that a stopping proxy allows requests and transactions in flight to finish.
        stop_grace_ms: u64, default(30_000), positive_duration_ms(HOUR_MS);
    }
}

section! {
    /// Intervals and timeouts of the control thread.
    Timing {
        /// The interval between probes of a member.
        probe_interval_ms: u64, default(100), positive_duration_ms(MINUTE_MS);
        /// The time limit of a probe.
        probe_timeout_ms: u64, default(200), positive_duration_ms(MINUTE_MS);
        /// The time without a probe response after which a primary is suspected to have failed.
        suspect_after_ms: u64, default(300), positive_duration_ms(MINUTE_MS);
        /// The time limit for opening a connection to a target or another proxy.
        connect_timeout_ms: u64, default(1_000), positive_duration_ms(MINUTE_MS);
        /// The maximum time that the platform holds a watch while nothing changes.
        watch_wait_ms: u64, default(10_000), positive_duration_ms(MINUTE_MS);
        /// The delay before a call that the platform did not answer is retried.
        platform_retry_ms: u64, default(500), positive_duration_ms(MINUTE_MS);
        /// The interval between reads of the platform's list of VMs.
        vm_list_interval_ms: u64, default(2_000), positive_duration_ms(MINUTE_MS);
        /// The interval between exchanges of configuration versions with peers.
        peer_interval_ms: u64, default(1_000), positive_duration_ms(MINUTE_MS);
        /// The time limit of a call to another proxy.
        peer_timeout_ms: u64, default(500), positive_duration_ms(MINUTE_MS);
    }
}

section! {
    /// The export of metrics.
    Metrics {
        /// The UDP address of the statsd server. Without it, counters are only shown by `skylarkctl status`.
        statsd_address: Option<SocketAddr>, optional, Schema::Address { allow_port_zero: false };
        /// The first component of each metric's name.
        prefix: String, default("skylark".to_owned()), Schema::Name;
        /// The interval between reports to the statsd server.
        interval_ms: u64, default(1_000), positive_duration_ms(HOUR_MS);
    }
}

/// The severity of a log message, most severe first.
#[derive(Clone, Copy, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// An invariant is violated.
    Critical,
    /// An operation failed.
    Error,
    /// An unusual condition that the proxy handles.
    Warning,
    /// Changes of state.
    Info,
    /// Decisions with their reasons.
    Debug,
    /// All details.
    Trace,
}

impl LogLevel {
    /// The names of the levels in a settings file.
    pub const NAMES: &'static [&'static str] =
        &["critical", "error", "warning", "info", "debug", "trace"];
}

impl Settings for ProxySettings {
    const KEYS: &'static [Key] = ProxySettings::KEYS;

    fn check_cross_key_rules(&self, checker: &mut CrossKeyChecker) {
        if self.timing.suspect_after_ms < self.timing.probe_interval_ms {
            // Otherwise a primary would be suspected between two probes although both succeed.
            checker.report(
                "timing.suspect_after_ms".to_owned(),
                format!("{} is below timing.probe_interval_ms", self.timing.suspect_after_ms),
                format!("at least {}", self.timing.probe_interval_ms),
            );
        }
        let same_address = self.listen_address == self.control_address;
        if same_address && self.listen_address.port() != 0 {
            checker.report(
                "control_address".to_owned(),
                format!("{} is the listen_address too", self.control_address),
                "an address of its own".to_owned(),
            );
        }
    }
}
