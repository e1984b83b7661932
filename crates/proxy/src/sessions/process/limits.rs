//! The bounds and intervals of typed sessions.

use std::time::Duration;

use skylark_core::process::connection_budget::BudgetPolicy;

/// The largest message of a caller, in bytes. The protocol allows no larger ones.
pub const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// The time that a connection has for its first message. Callers give up after 2 s without an answer.
pub const STARTUP_LIMIT: Duration = Duration::from_millis(2_000);

/// How long a caller may send nothing more of a message that it began.
pub const SLOW_SENDER: Duration = Duration::from_millis(5_000);

/// How long a caller may take no byte of an answer.
pub const SLOW_READER: Duration = Duration::from_millis(5_000);

/// Timeout for opening a connection to a target, in milliseconds. It waits behind the target's queue, and a silent
/// target must be noticed.
pub const CONNECT_MS: u64 = 600;

/// Timeout for draining an abandoned answer before its connection is closed, in milliseconds.
pub const DRAIN_MS: u64 = 500;

/// How often pools are looked after.
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// How often the paths to all targets are checked, idle ones included, in microseconds.
pub const ALL_PATHS_US: u64 = 1_000_000;

/// For how long a notice that the availability zone is partitioned holds, in microseconds. While the store is away as
/// well, subscribers change from one watcher to the next, and must not become ready in between.
pub const ZONE_CUT_HOLDS_US: u64 = 2_500_000;

/// How many connections one process has to a home of a target that it is no home of. They cost the
/// target nothing.
pub const PEER_CONNECTIONS: u32 = 8;

/// Largest number of VMs that each watch the store themselves. No VM then depends on another one for versions.
pub const MAX_DIRECT_WATCHERS: usize = 16;

/// For how long an unreachable home is ejected even if no other one can be reached, in microseconds.
pub const LEAST_HOME_EJECTION_US: u64 = 2_000_000;

/// For how long an unreachable home is ejected while another one can be reached, in microseconds. Each new try makes
/// callers wait until a connection fails.
pub const HOME_EJECTION_US: u64 = 30_000_000;

/// For how long a VM acts as a fallback for a target's homes, in microseconds: longer than the homes' ejection, which
/// would bring it back at once.
pub const FALLBACK_US: u64 = 4 * LEAST_HOME_EJECTION_US;

/// Maximum queue length per target. Longer queues only add requests that miss their latency objective.
pub const QUEUED_PER_TARGET: usize = 128;

/// Maximum queue length per target and organisation while others wait as well. An organisation that sends far more
/// than usual would fill the whole queue otherwise.
pub const QUEUED_PER_ORGANISATION: usize = 32;

/// Statements beyond a target's slots that one process lets run, so that a slot is not idle while
/// an answer travels.
pub const RUNNING_BEYOND_SLOTS: u32 = 1;

/// The part of a request's objective, as one part in this many, within which it has to be offered to
/// a target. After it a refusal with "not run" serves the caller better than a late answer.
pub const OFFER_DIVISOR: u64 = 2;

/// Minimum time that a request waits before it is refused, in microseconds: enough to open a connection.
pub const LEAST_OFFER_US: u64 = 60_000;

/// A target that is leaving is given no new work this long before its time to leave is up, in
/// microseconds: what was sent to it has to arrive in time.
pub const LEAVING_MARGIN_US: u64 = 1_500_000;

/// How long to wait before a primary that refused or was busy is asked again, in microseconds.
pub const PRIMARY_PAUSE_US: u64 = 10_000;

/// The part of the latency objective, as one part in this many, after which an unanswered read is sent to another
/// member as well. A member that stays silent has lost the answer or its connection.
pub const READ_HEDGE_DIVISOR: u64 = 2;

/// Minimum time before an unanswered read is sent to another member, in microseconds.
pub const LEAST_READ_HEDGE_US: u64 = 120_000;

/// For how long a member that refused a read because it lags is ejected, in microseconds.
pub const LAGGING_MEMBER_EJECTION_US: u64 = 100_000;

/// For how long a member that did not answer is ejected, in microseconds.
pub const FAILED_MEMBER_EJECTION_US: u64 = 500_000;

/// Timeout of a status request, in microseconds. Status requests occupy no slot.
pub const STATUS_TIMEOUT_US: u64 = 60_000;

/// For how long after status requests that no member answered requests are refused without new ones, in
/// microseconds. Callers of a partitioned zone would each wait for the timeout otherwise.
pub const UNPROVED_BACKOFF_US: u64 = 250_000;

/// How often a read is sent to the primary at most. It has no effect, so an answer that was lost
/// costs the caller time only.
pub const MAX_PRIMARY_READS: u32 = 2;

/// How many members one read is offered to at most, the primary at the end included.
pub const MAX_READ_TRIES: usize = 4;

/// Connections are few and opening one is expensive, so one is kept for a while after its last use, and none is opened
/// ahead of need.
pub const CONNECTION_POLICY: BudgetPolicy = BudgetPolicy {
    spare: 0,
    need_window_us: 2_500_000,
    backoff_us: 40_000,
    max_backoff_us: 400_000,
    // All processes that start at once, or that find a new primary, open connections at the same
    // target: more than a few at a time would pass its limit, and each try occupies a slot.
    tries_per_second: 15,
    burst: 1,
    overshoot_us: 300_000,
};

/// The same where connections serve one organisation each. A statement of an organisation without one waits for
/// its connection to be opened, so several are opened at a time; idle ones stay until others need their room.
pub const ORGANISATIONS_POLICY: BudgetPolicy =
    BudgetPolicy { tries_per_second: 60, burst: 6, ..CONNECTION_POLICY };

/// The same for connections to other proxies, of which there is one pool for each home of each target. They cost
/// targets nothing, and opening one delays a statement by two round trips.
pub const ORGANISATIONS_PEER_POLICY: BudgetPolicy =
    BudgetPolicy { need_window_us: 30_000_000, burst: 4, ..CONNECTION_POLICY };

/// How long the balancer may go on sending new callers after the process stopped being ready: two of its probes.
pub const BALANCER_REACTION_TIME: Duration = Duration::from_millis(2_300);
