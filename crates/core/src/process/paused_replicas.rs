//! Decides when a replica that stays paused was abandoned.
//!
//! A driver that died, or an order that is carried out late, leaves a replica paused. It receives nothing until it
//! is resumed, and commits are acknowledged meanwhile as long as another replica receives. So the replicas are
//! looked at from time to time. Whoever resumes them needs the claim on the service's takeover, because a driver
//! relies on its pauses.

use crate::process::jitter;

/// The interval between two looks at the replicas of a service, in microseconds.
pub const LOOK_INTERVAL_US: u64 = 10_000_000;

/// How long a replica has to be paused before it counts as abandoned, in microseconds. A takeover is shorter.
pub const ABANDONED_US: u64 = 7_000_000;

/// Maximum delay of the last look, in microseconds. The first process that resumes the replicas spares the others
/// the claim.
const SPREAD_US: u64 = 2_000_000;

/// What one process knows of the paused replicas of one service.
#[derive(Clone, Copy, Debug)]
pub struct PauseWatch {
    seed: u64,
    next_look_us: u64,
    /// When a look first showed a paused replica; `None` after a look that showed none.
    paused_since_us: Option<u64>,
}

impl PauseWatch {
    /// Creates the state of a service that this process learns of at `now_us`. `seed` differs between processes.
    pub fn started_at(now_us: u64, seed: u64) -> PauseWatch {
        let next_look_us = now_us + jitter::below_us(seed, 0, LOOK_INTERVAL_US);
        PauseWatch { seed, next_look_us, paused_since_us: None }
    }

    /// Returns whether a look is due, and schedules the next one.
    pub fn begin_look(&mut self, now_us: u64) -> bool {
        let is_due = now_us >= self.next_look_us;
        if is_due {
            self.next_look_us = now_us + LOOK_INTERVAL_US;
        }
        is_due
    }

    /// Records whether a look showed a paused replica. Returns whether the replicas are to be resumed.
    pub fn record(&mut self, is_paused: bool, now_us: u64) -> bool {
        if !is_paused {
            self.paused_since_us = None;
            return false;
        }
        let since_us = *self.paused_since_us.get_or_insert(now_us);
        let abandoned_us = since_us + ABANDONED_US;
        if now_us >= abandoned_us {
            return true;
        }
        let spread_us = jitter::below_us(self.seed, since_us, SPREAD_US);
        self.next_look_us = abandoned_us + spread_us;
        false
    }
}
