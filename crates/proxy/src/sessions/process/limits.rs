//! Limits and intervals of typed sessions.

use std::time::Duration;

use skylark_core::process::connection_budget::BudgetPolicy;
use skylark_core::process::connection_plan;

/// Maximum size of a caller's message, in bytes. The protocol allows no larger ones.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Timeout for the first message of a connection. Callers give up after 2 s without an answer.
pub const STARTUP_LIMIT: Duration = Duration::from_millis(2_000);

/// Timeout for receiving the rest of a message that a caller began.
pub const SLOW_SENDER_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Maximum time that a write to a caller or proxy may make no progress because the peer does not read.
pub const SLOW_READER_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Timeout for opening a connection to a target, in milliseconds. The connection waits in the target's queue,
/// and a silent target has to be noticed.
pub const CONNECT_MS: u64 = 600;

/// Timeout for draining an abandoned answer before its connection is closed, in milliseconds.
pub const DRAIN_MS: u64 = 500;

/// Interval of the maintenance of connection pools.
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// How often the paths to all targets are checked, idle ones included, in microseconds.
pub const ALL_PATHS_US: u64 = 1_000_000;

/// For how long a report that the availability zone is partitioned holds, in microseconds. While the store is
/// unavailable as well, subscribers change from one watcher to the next, and must not become ready in
/// between.
pub const ZONE_CUT_HOLDS_US: u64 = 2_500_000;

/// Maximum number of connections of one process to a target's home, if the process is no home of that target
/// itself. They cost the target nothing.
pub const PEER_CONNECTIONS: u32 = 8;

/// The same while the home admits for all VMs: more than the statements of lower classes that usually wait there,
/// which would otherwise keep an urgent one from being forwarded.
pub const ADMISSION_PEER_CONNECTIONS: u32 = 24;

/// Timeout for the TCP handshake with the home that admits for all VMs, in milliseconds. The peer's kernel answers
/// even if the VM is overloaded, and the next attempt to send the first packet would follow only after a second.
/// All statements for the target wait for this connection, so that a partition has to be noticed soon.
pub const ADMISSION_TCP_CONNECT_MS: u64 = 200;

/// For how long a home that does not reach a target is passed over while another home may reach it, in
/// microseconds.
pub const DEAD_END_EJECTION_US: u64 = 2_000_000;

/// Maximum number of VMs that each watch the store themselves. No VM then depends on another one for new
/// versions.
pub const MAX_DIRECT_WATCHERS: usize = 16;

/// For how long an unreachable home is ejected even if no other one can be reached, in microseconds.
pub const LEAST_HOME_EJECTION_US: u64 = 2_000_000;

/// For how long an unreachable home is ejected while another one can be reached, in microseconds. Each new
/// attempt makes callers wait until a connection fails.
pub const HOME_EJECTION_US: u64 = 30_000_000;

/// For how long a VM acts as a fallback for a target's homes, in microseconds: longer than the homes'
/// ejection, whose end would make it a fallback again immediately.
pub const FALLBACK_US: u64 = 4 * LEAST_HOME_EJECTION_US;

/// Maximum queue length per target. Longer queues only add requests that miss their latency objective.
pub const QUEUED_PER_TARGET: usize = 128;

/// Maximum queue length per target and organisation while other organisations wait as well. An organisation
/// that sends far more than usual would fill the whole queue otherwise.
pub const QUEUED_PER_ORGANISATION: usize = 32;

/// Number of statements that one process sends beyond a target's slots, so that a slot is not idle while an
/// answer is in transit.
pub const RUNNING_BEYOND_SLOTS: u32 = 1;

/// Number of statements that the home that admits for all VMs sends to a target, for each slot. Between `BEGIN` and
/// the first statement of a transaction, and while a connection is opened, a statement counts as running although
/// the target does not run it.
pub const ADMITTED_PER_SLOT: u32 = 2;

/// The part of a request's latency objective, as one part in this many, within which it has to be sent to a
/// target. After that a refusal with "not run" serves the caller better than a late answer.
pub const OFFER_DIVISOR: u64 = 2;

/// Minimum time that a request waits before it is refused, in microseconds: enough to open a connection.
pub const LEAST_OFFER_US: u64 = 60_000;

/// How long before the end of its drain time a leaving target gets no new work, in microseconds, so that work
/// sent before arrives in time.
pub const LEAVING_MARGIN_US: u64 = 1_500_000;

/// Delay before a primary that refused or was busy is asked again, in microseconds.
pub const PRIMARY_PAUSE_US: u64 = 10_000;

/// The part of the latency objective, as one part in this many, after which an unanswered read is sent to
/// another member as well. If a member stays silent, the answer or its connection was lost.
pub const READ_HEDGE_DIVISOR: u64 = 2;

/// Minimum time before an unanswered read is sent to another member, in microseconds.
pub const LEAST_READ_HEDGE_US: u64 = 120_000;

/// For how long a member that refused a read because it lags is ejected, in microseconds.
pub const LAGGING_MEMBER_EJECTION_US: u64 = 100_000;

/// For how long a member that did not answer is ejected, in microseconds.
pub const FAILED_MEMBER_EJECTION_US: u64 = 500_000;

/// Timeout of a status request, in microseconds. Status requests occupy no slot.
pub const STATUS_TIMEOUT_US: u64 = 60_000;

/// For how long after a round of status requests without any answer requests are refused without a new round,
/// in microseconds. Callers of a partitioned zone would each wait for the timeout otherwise.
pub const UNPROVED_BACKOFF_US: u64 = 250_000;

/// Maximum number of times that a read is sent to the primary. Reads have no effect, so a lost answer costs
/// only time.
pub const MAX_PRIMARY_READS: u32 = 2;

/// Maximum number of members that a read is sent to, including the primary at the end.
pub const MAX_READ_TRIES: usize = 4;

/// Policy for connections to targets. They are few and expensive to open, so each is kept for a while after
/// its last use, and none is opened ahead of need.
pub const CONNECTION_POLICY: BudgetPolicy = BudgetPolicy {
    spare: 0,
    demand_window_us: 2_500_000,
    backoff_us: 40_000,
    max_backoff_us: 400_000,
    // All processes that start at the same time, or that find a new primary, open connections to the same
    // target. More than a few at a time would exceed its limit, and each attempt occupies a slot.
    attempts_per_second: 15,
    burst: 1,
    pool_cap_us: 300_000,
};

/// Policy for connections that serve one organisation each. A statement of an organisation without a
/// connection waits until one is open, so several are opened at a time, and idle ones stay until others need
/// their place.
pub const ORGANISATIONS_POLICY: BudgetPolicy =
    BudgetPolicy { attempts_per_second: 60, burst: 6, ..CONNECTION_POLICY };

/// Policy for connections to other proxies that serve one organisation each, with one pool for each home of
/// each target. They cost targets nothing, and opening one delays a statement by two round trips.
pub const ORGANISATIONS_PEER_POLICY: BudgetPolicy =
    BudgetPolicy { demand_window_us: 30_000_000, burst: 4, ..CONNECTION_POLICY };

/// Policies for the same connections while one home admits for all VMs: it opens the connections that
/// [`connection_plan::HOMES`] homes would open otherwise, and each VM uses one path instead of one for each home.
pub const ADMISSION_POLICY: BudgetPolicy = for_all_homes(CONNECTION_POLICY);

/// See [`ADMISSION_POLICY`].
pub const ADMISSION_PEER_POLICY: BudgetPolicy = for_all_homes(ORGANISATIONS_PEER_POLICY);

const fn for_all_homes(policy: BudgetPolicy) -> BudgetPolicy {
    let homes = connection_plan::HOMES as u32;
    BudgetPolicy {
        attempts_per_second: policy.attempts_per_second * homes,
        burst: policy.burst * homes,
        ..policy
    }
}

/// How long the balancer may keep sending new callers after the process stopped being ready: two of its probe
/// intervals.
pub const BALANCER_REACTION_TIME: Duration = Duration::from_millis(2_300);
