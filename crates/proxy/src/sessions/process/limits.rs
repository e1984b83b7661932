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

/// The time that a new connection to a target may take. It occupies a slot for 12 to 27 ms and may
/// wait for 16 statements of some 10 ms on two slots; a target that is silent must not hide that for
/// longer.
pub const CONNECT_MS: u64 = 600;

/// The time that an abandoned answer has to end before its connection is closed: a statement's
/// longest run is some 110 ms.
pub const DRAIN_MS: u64 = 500;

/// How often pools are looked after.
pub const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// How often all ways are looked at, those that rest included, in microseconds.
pub const ALL_WAYS_US: u64 = 1_000_000;

/// For how long a word that the zone is cut off holds, in microseconds. While the store is away as well, those
/// that are told turn from one watcher to the next, and must not call themselves ready in between.
pub const ZONE_CUT_HOLDS_US: u64 = 2_500_000;

/// How many connections one process has to a home of a target that it is no home of. They cost the
/// target nothing.
pub const PEER_CONNECTIONS: u32 = 8;

/// Up to how many VMs each watches the store by itself. The calls of 8 VMs cost 0.3% of a day, and
/// nothing stands between a VM and the store.
pub const WATCH_ALONE: usize = 16;

/// For how long a home that can't be reached is passed over, in microseconds. A VM that lost power is
/// back after a second or two.
pub const HOME_PASSED_OVER_US: u64 = 2_000_000;

/// For how long a home that could not be reached is avoided where another one can be, in microseconds. Trying it
/// again has callers wait until a connection fails, so that is done rarely.
pub const HOME_AVOIDED_US: u64 = 30_000_000;

/// For how long a VM connects to a target that it is no home of, once that was needed, in microseconds: longer
/// than it takes to pass the homes over anew.
pub const STANDS_IN_US: u64 = 4 * HOME_PASSED_OVER_US;

/// How many requests wait for one target at most. At some 10 ms each on 3 at a time, more would
/// wait for longer than the objectives allow.
pub const QUEUED_PER_TARGET: usize = 128;

/// How many requests of one organisation wait for one target at most while others wait as well, so that one which
/// sends many times its usual delays the others by a part of the queue only.
pub const QUEUED_PER_ORGANISATION: usize = 32;

/// Statements beyond a target's slots that one process lets run, so that a slot is not idle while
/// an answer travels.
pub const RUNNING_BEYOND_SLOTS: u32 = 1;

/// The part of a request's objective, as one part in this many, within which it has to be offered to
/// a target. After it a refusal with "not run" serves the caller better than a late answer.
pub const OFFER_DIVISOR: u64 = 2;

/// The least time that a request waits before it is refused, in microseconds: a new connection takes
/// up to 30 ms.
pub const LEAST_OFFER_US: u64 = 60_000;

/// A target that is leaving is given no new work this long before its time to leave is up, in
/// microseconds: what was sent to it has to arrive in time.
pub const LEAVING_MARGIN_US: u64 = 1_500_000;

/// How long to wait before a primary that refused or was busy is asked again, in microseconds.
pub const PRIMARY_PAUSE_US: u64 = 10_000;

/// How long a read may go without an answer before another member is asked, as a part of the
/// objective, and at least. A member that stays silent has lost the answer or its connection.
pub const READ_PATIENCE_DIVISOR: u64 = 2;

/// The least time before another member is asked, in microseconds: the slowest runs take 110 ms.
pub const LEAST_READ_PATIENCE_US: u64 = 120_000;

/// For how long a member that refused a read for lagging is passed over, in microseconds.
pub const LAGGING_PASSED_OVER_US: u64 = 100_000;

/// For how long a member that did not answer is passed over, in microseconds.
pub const FAILING_PASSED_OVER_US: u64 = 500_000;

/// The time that a member has to say how it stands, in microseconds. It takes no slot for that: one that
/// lives answers in 2 ms, or within some 30 ms on a connection that has to be opened.
pub const WORD_US: u64 = 60_000;

/// For how long after questions that no member answered requests are refused without asking again, in
/// microseconds. A zone that is cut off has callers wait for nothing otherwise.
pub const NO_WORD_US: u64 = 250_000;

/// How often a read is sent to the primary at most. It has no effect, so an answer that was lost
/// costs the caller time only.
pub const MAX_PRIMARY_READS: u32 = 2;

/// How many members one read is offered to at most, the primary at the end included.
pub const MAX_READ_TRIES: usize = 4;

/// Connections are few and a new one is dear, so one is kept for a while after its last need, and
/// none is opened ahead of need.
pub const CONNECTION_POLICY: BudgetPolicy = BudgetPolicy {
    spare: 0,
    need_window_us: 2_500_000,
    backoff_us: 40_000,
    max_backoff_us: 400_000,
    // All processes that start at once, or that find a new primary, open connections at the same
    // target: more than a few at a time would pass its limit, and each try takes a slot for 12 to
    // 27 ms.
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

/// How long the balancer may go on sending new callers after the process said that it is not ready:
/// it asks once a second and believes the second miss.
pub const BALANCER_NOTICES: Duration = Duration::from_millis(2_300);
