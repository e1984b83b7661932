//! Whether a process is cut off from the other availability zones.
//!
//! Such a process goes on serving what its own zone's targets can answer, but its callers are served
//! better by another zone's processes, which reach the primaries. So it says that it is not ready and
//! lets resting callers go; open work goes on.
//!
//! One target that fails says nothing, and a platform that does not answer is no sign either: what
//! counts is that several targets of other zones fail at once while none of them answers.

/// How long targets of other zones have to fail before it counts, in microseconds. A primary that is
/// being replaced fails for about as long.
pub const FAILING_US: u64 = 500_000;

/// How many targets of other zones have to fail. With two the failure of a single target, or the
/// replacement of a single primary, isolates nobody.
pub const FAILING_TARGETS: usize = 2;

/// What is known of one target of another zone.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct OtherZoneTarget {
    /// When it answered last; zero for never.
    pub answered_us: u64,
    /// Since when it fails.
    pub failed_since_us: Option<u64>,
}

/// Whether the process is cut off, given all targets of other zones.
pub fn is_isolated(targets: &[OtherZoneTarget], now_us: u64) -> bool {
    let fails_long = |target: &&OtherZoneTarget| {
        target.failed_since_us.is_some_and(|since_us| now_us >= since_us + FAILING_US)
    };
    let answers = |target: &OtherZoneTarget| {
        target.failed_since_us.is_none() && now_us < target.answered_us + FAILING_US
    };
    targets.iter().filter(fails_long).count() >= FAILING_TARGETS && !targets.iter().any(answers)
}
