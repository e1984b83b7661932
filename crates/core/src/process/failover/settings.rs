//! The settings of the failover driver.

use crate::process::acknowledgement::StallSettings;

/// The settings of the failover driver. Times are in microseconds. The defaults are for zones about
/// 1.5 ms apart.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub struct FailoverSettings {
    /// The additional delay of each candidate relative to the one ranked before it.
    pub stagger_us: u64,
    /// The time limit of the claim at the platform, after which the votes alone decide.
    pub claim_timeout_us: u64,
    /// The time after which an unanswered call to a member is repeated.
    pub resend_interval_us: u64,
    /// The time that a driver may take from its claim to an open term before others take over.
    pub driver_timeout_us: u64,
    /// How long a candidate waits after the start, or after the loss of any known primary, before
    /// it acts.
    pub no_leader_delay_us: u64,
    /// The maximum age of a report that shows that a member is reachable.
    pub report_max_age_us: u64,
    /// The first back-off after a lost vote; it doubles up to 16 times this.
    pub backoff_us: u64,
    /// The time limit of holding back writes for a planned move.
    pub max_hold_us: u64,
    /// How long writes must have been held back before the logs are compared: the time in which the
    /// other processes learn of the move and the writes in progress end.
    pub hold_settle_us: u64,
    /// The interval at which the two members of a planned move are polled while writes are held
    /// back.
    pub hold_poll_interval_us: u64,
    /// The time that a requested primary may take to come close to the present one before the move
    /// is abandoned.
    pub move_timeout_us: u64,
    /// The number of records by which the wanted primary may lag when writes begin to be held back.
    pub move_lag_records: u64,
    /// The interval at which maintenance repeats calls to detached members and corrections of the
    /// lead record.
    pub maintenance_interval_us: u64,
    /// The time limits of the confirmation tracker.
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
