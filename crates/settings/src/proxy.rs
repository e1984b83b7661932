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

/// A duration that may not be zero.
const fn positive_duration_ms(max: u64) -> Schema {
    Schema::Integer { min: 1, max }
}

section! {
    /// Settings of one proxy.
    ProxySettings {
        /// The name of the VM that the proxy runs on, as in the platform's list of VMs.
        vm: String, required, Schema::Name;
        /// The availability zone of the VM.
        zone: String, required, Schema::Name;
        /// Where callers and the statements of other proxies arrive.
        listen_address: SocketAddr, required, Schema::Address { allow_port_zero: true };
        /// Where other proxies, operators and the balancer's health checks arrive.
        control_address: SocketAddr, required, Schema::Address { allow_port_zero: true };
        /// The platform's object API.
        platform_address: SocketAddr, required, Schema::Address { allow_port_zero: false };
        /// Control addresses of other proxies, asked for the configuration where the platform does
        /// not answer at the start.
        peers: Vec<SocketAddr>, default(Vec::new()),
            Schema::List { item: &Schema::Address { allow_port_zero: false }, min_len: 0 };
        /// The number of threads that serve traffic, besides the control thread.
        traffic_threads: u32, default(2), Schema::Integer { min: 1, max: 256 };
        /// How many proxies of a target's zone divide its connections among them.
        homes_per_target: u32, default(2), Schema::Integer { min: 1, max: 8 };
        /// The least severe level of messages in the log.
        log_level: LogLevel, default(LogLevel::Info), Schema::Choice(LogLevel::NAMES);
        /// Bounds on what callers can use up.
        limits: Limits, default(Limits::default()), Schema::Section(Limits::KEYS);
        /// Intervals and timeouts of the control thread.
        timing: Timing, default(Timing::default()), Schema::Section(Timing::KEYS);
        /// Where counters are sent.
        metrics: Metrics, default(Metrics::default()), Schema::Section(Metrics::KEYS);
    }
}

section! {
    /// Bounds on what callers can use up.
    Limits {
        /// Connections of callers that the proxy accepts in all.
        max_callers: u32, default(20_000), Schema::Integer { min: 1, max: 1_000_000 };
        /// Connections that one user of callers may hold.
        max_callers_per_user: u32, default(10_000), Schema::Integer { min: 1, max: 1_000_000 };
        /// Connections whose start-up is not finished.
        max_starting: u32, default(1_000), Schema::Integer { min: 1, max: 1_000_000 };
        /// The largest message of a caller.
        max_message_bytes: u64, default(16 * MIB), Schema::Integer { min: 1024, max: GIB };
        /// The time in which a caller has to finish its start-up.
        startup_timeout_ms: u64, default(5_000), positive_duration_ms(MINUTE_MS);
        /// The time that a caller may leave a transaction open and idle.
        idle_in_transaction_ms: u64, default(30_000), positive_duration_ms(HOUR_MS);
        /// The time that a caller may take without reading any of an answer that waits for it.
        slow_reader_ms: u64, default(10_000), positive_duration_ms(HOUR_MS);
        /// The time that a caller may take to finish a message that it began.
        slow_sender_ms: u64, default(10_000), positive_duration_ms(HOUR_MS);
        /// The time limit of a statement whose caller states none.
        default_deadline_ms: u64, default(5_000), positive_duration_ms(HOUR_MS);
        /// Requests that may wait for connections of one target.
        max_queue_per_target: u32, default(1_000), Schema::Integer { min: 1, max: 1_000_000 };
        /// The time that a commit may wait for the confirmation of a majority.
        confirm_timeout_ms: u64, default(2_000), positive_duration_ms(MINUTE_MS);
        /// The time that a request may wait for a primary that holds its session's own writes.
        floor_wait_ms: u64, default(250), Schema::Integer { min: ZERO_MS, max: MINUTE_MS };
        /// The time that a request that did not run may wait for a primary that moves or changes.
        primary_wait_ms: u64, default(250), Schema::Integer { min: ZERO_MS, max: MINUTE_MS };
        /// How often a request may be passed on between proxies.
        max_hops: u32, default(2), Schema::Integer { min: 1, max: 8 };
        /// Retries that a group may spend for every hundred requests.
        retry_budget_percent: u32, default(10), Schema::Integer { min: 0, max: 100 };
        /// Connections to one other proxy for one group.
        peer_connections: u32, default(256), Schema::Integer { min: 1, max: 100_000 };
        /// The time that an abandoned answer has to end before its connection is closed.
        drain_timeout_ms: u64, default(1_000), positive_duration_ms(MINUTE_MS);
        /// Prepared statements that one connection to a target remembers.
        max_prepared_per_connection: u32, default(256), Schema::Integer { min: 1, max: 100_000 };
        /// Prepared statements that one caller may hold.
        max_prepared_per_caller: u32, default(1_024), Schema::Integer { min: 1, max: 100_000 };
        /// Whether connections are reset after every transaction, for callers whose functions
        /// change session state where the statement's text does not show it.
        reset_always: bool, default(false), Schema::Flag;
        /// The time between the health answer that tells the balancer of a stop and the first
        /// refusal of a new caller.
        stop_notice_ms: u64, default(1_000), Schema::Integer { min: ZERO_MS, max: MINUTE_MS };
        /// The time that a stopping proxy gives to requests and transactions in flight.
        stop_grace_ms: u64, default(30_000), positive_duration_ms(HOUR_MS);
    }
}

section! {
    /// Intervals and timeouts of the control thread.
    Timing {
        /// The time between two probes of a member.
        probe_interval_ms: u64, default(100), positive_duration_ms(MINUTE_MS);
        /// The time after which a probe counts as failed.
        probe_timeout_ms: u64, default(200), positive_duration_ms(MINUTE_MS);
        /// The time without an answer after which a primary counts as gone.
        suspect_after_ms: u64, default(300), positive_duration_ms(MINUTE_MS);
        /// The time limit of a connection to a target or to another proxy.
        connect_timeout_ms: u64, default(1_000), positive_duration_ms(MINUTE_MS);
        /// How long the platform holds a watch without changes.
        watch_wait_ms: u64, default(10_000), positive_duration_ms(MINUTE_MS);
        /// The pause after a call that the platform did not answer.
        platform_retry_ms: u64, default(500), positive_duration_ms(MINUTE_MS);
        /// The time between two readings of the platform's list of VMs.
        vm_list_interval_ms: u64, default(2_000), positive_duration_ms(MINUTE_MS);
        /// The time between two exchanges of versions with a peer.
        peer_interval_ms: u64, default(1_000), positive_duration_ms(MINUTE_MS);
        /// The time limit of a call to another proxy.
        peer_timeout_ms: u64, default(500), positive_duration_ms(MINUTE_MS);
    }
}

section! {
    /// Where counters are sent.
    Metrics {
        /// The statsd server, by UDP; without it counters are only shown by `skylarkctl status`.
        statsd_address: Option<SocketAddr>, optional, Schema::Address { allow_port_zero: false };
        /// The first part of each metric's name.
        prefix: String, default("skylark".to_owned()), Schema::Name;
        /// The time between two sendings.
        interval_ms: u64, default(1_000), positive_duration_ms(HOUR_MS);
    }
}

/// A level of messages in the log.
#[derive(Clone, Copy, PartialEq, Eq, Debug, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Something that must not happen happened.
    Critical,
    /// Something failed.
    Error,
    /// Something is out of the ordinary.
    Warning,
    /// Changes of state.
    Info,
    /// Decisions with their reasons.
    Debug,
    /// Everything.
    Trace,
}

impl LogLevel {
    /// The levels' names in a settings file.
    pub const NAMES: &'static [&'static str] =
        &["critical", "error", "warning", "info", "debug", "trace"];
}

impl Settings for ProxySettings {
    const KEYS: &'static [Key] = ProxySettings::KEYS;

    fn check_cross_key_rules(&self, checker: &mut CrossKeyChecker) {
        if self.timing.suspect_after_ms < self.timing.probe_interval_ms {
            // A primary would be suspected between two probes although both were answered.
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
