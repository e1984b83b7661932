//! Bounds of the failover driver.

use crate::process::acknowledgement::StallSettings;

/// Bounds of the failover driver, in microseconds. The defaults are for zones about 1.5 ms apart.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct FailoverSettings {
    /// How much longer each candidate waits than the one ranked before it.
    pub stagger_us: u64,
    /// How long the platform may take to agree on the driver before the votes alone decide.
    pub claim_timeout_us: u64,
    /// After how long an unanswered member call is sent again.
    pub resend_interval_us: u64,
    /// How long a driver may take from its claim to an open term before others take over.
    pub driver_timeout_us: u64,
    /// How long after the start or a loss without any primary a candidate waits before it acts.
    pub no_leader_delay_us: u64,
    /// How recent a report must be to show that a member is reachable.
    pub report_max_age_us: u64,
    /// The shortest back-off after a lost vote; it doubles up to 16 times this.
    pub backoff_us: u64,
    /// How long writes may be held back for a planned move.
    pub max_hold_us: u64,
    /// How long writes must have been held back before the logs are compared: the time in which
    /// the other processes learn of the move and the writes under way end.
    pub hold_settle_us: u64,
    /// How often the two members of a planned move are asked while writes are held back.
    pub hold_poll_interval_us: u64,
    /// How long an operator's wanted primary may take to come near before the move is given up.
    pub move_timeout_us: u64,
    /// How many records the wanted primary may lack when writes begin to be held back.
    pub move_lag_records: u64,
    /// How often the upkeep repeats: followers that must be sent again, a record that lags.
    pub maintenance_interval_us: u64,
    /// The bounds of the confirmation tracker.
    pub stall: StallSettings,
}

impl Default for FailoverSettings {
    fn default() -> FailoverSettings {
        FailoverSettings {
            stagger_us: 60_000,
            claim_timeout_us: 100_000,
            resend_interval_us: 50_000,
            driver_timeout_us: 250_000,
            no_leader_delay_us: 250_000,
            report_max_age_us: 100_000,
            backoff_us: 30_000,
            max_hold_us: 1_000_000,
            hold_settle_us: 10_000,
            hold_poll_interval_us: 3_000,
            move_timeout_us: 10_000_000,
            move_lag_records: 64,
            maintenance_interval_us: 100_000,
            stall: StallSettings::default(),
        }
    }
}
