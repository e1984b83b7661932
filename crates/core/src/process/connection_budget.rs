//! Decides how many connections a home keeps open to one target.
//!
//! A new connection costs 10 to 30 ms, several times what a statement takes, so connections are
//! opened ahead of demand: as many as were recently in use at the same time, and some spare ones.
//! Connections that were not needed for a while are closed.
//!
//! Three situations must not cause a connection storm. A target that comes back is dialled by all
//! its homes: failed attempts are spaced by an exponential back-off, with jitter from a seed of
//! this process. A pool has to grow by many connections: attempts are limited by a token bucket.
//! Two proxies disagree about which VMs are home to a target, so that their shares together exceed
//! the target's connection limit and the target refuses one proxy with `53300`: that proxy caps its pool at
//! the present size, and raises the cap by one connection at a time until the proxies agree.

use crate::process::jitter;

/// The cost of one connection attempt in the token bucket, in thousandths of a token.
const ATTEMPT_COST_MILLI: u64 = 1_000;

const SECOND_US: u64 = 1_000_000;

/// The settings of a [`ConnectionBudget`].
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BudgetPolicy {
    /// The number of connections kept open beyond the recent demand.
    pub spare: u32,
    /// How long a peak of the demand is remembered, in microseconds.
    pub demand_window_us: u64,
    /// The delay after the first failed attempt, in microseconds.
    pub backoff_us: u64,
    /// The longest delay between failed attempts, in microseconds.
    pub max_backoff_us: u64,
    /// The long-term rate of connection attempts per second.
    pub attempts_per_second: u32,
    /// The number of attempts that may be started at the same time.
    pub burst: u32,
    /// How long the target's "too many connections" error keeps the pool from growing, in
    /// microseconds.
    pub pool_cap_us: u64,
}

impl Default for BudgetPolicy {
    fn default() -> BudgetPolicy {
        BudgetPolicy {
            spare: 2,
            demand_window_us: 10_000_000,
            backoff_us: 50_000,
            max_backoff_us: 5_000_000,
            attempts_per_second: 20,
            burst: 16,
            pool_cap_us: 500_000,
        }
    }
}

/// The reason for which a connection attempt failed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum ConnectFailure {
    /// The target has reached its connection limit (`53300`).
    TooMany,
    /// The connection was refused or reset, there was no answer, or the start-up failed.
    Failed,
}

/// The changes to make to the pool now.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct BudgetPlan {
    /// The number of connections to open. The budget already counts them as being opened.
    pub open: u32,
    /// The number of idle connections to close. The budget already counts them as closed.
    pub close: u32,
    /// How many of the closed connections make room for connections of other users.
    pub replaced: u32,
    /// When to call [`ConnectionBudget::plan`] again at the latest, in microseconds.
    pub next_plan_us: Option<u64>,
}

/// Returns the waiting users for whom no connection is being opened, in the order of their arrival.
pub fn missing_users<'a, U, W>(waiting: W, opening: &[U]) -> Vec<U>
where
    U: Clone + PartialEq + 'a,
    W: Iterator<Item = &'a U>,
{
    let mut opening: Vec<&U> = opening.iter().collect();
    let mut missing = Vec::new();
    for user in waiting {
        match opening.iter().position(|opened| *opened == user) {
            Some(index) => {
                opening.swap_remove(index);
            }
            None => missing.push(user.clone()),
        }
    }
    missing
}

/// The connections of one home to one target, counted by state.
#[derive(Clone, Debug)]
pub struct ConnectionBudget {
    policy: BudgetPolicy,
    seed: u64,
    share: u32,
    idle: u32,
    used: u32,
    opening: u32,
    waiting: u32,
    demand: RecentDemand,
    failures: u32,
    attempts: u64,
    retry_at_us: u64,
    /// The cap of the pool's size and the time in microseconds at which it may be raised.
    pool_cap: Option<(u32, u64)>,
    tokens_milli: u64,
    refilled_us: u64,
}

impl ConnectionBudget {
    /// Creates an empty pool with this home's share of the target's connections; see
    /// [`connection_share`](crate::process::homes::connection_share). `seed` must differ between
    /// processes.
    pub fn new(policy: BudgetPolicy, share: u32, seed: u64, now_us: u64) -> ConnectionBudget {
        ConnectionBudget {
            policy,
            seed,
            share,
            idle: 0,
            used: 0,
            opening: 0,
            waiting: 0,
            demand: RecentDemand::new(now_us),
            failures: 0,
            attempts: 0,
            retry_at_us: 0,
            pool_cap: None,
            tokens_milli: u64::from(policy.burst) * ATTEMPT_COST_MILLI,
            refilled_us: now_us,
        }
    }

    /// Changes this home's share. Connections in use beyond it are closed once they are idle.
    pub fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    /// Sets the number of requests that wait for a connection.
    pub fn set_waiting(&mut self, waiting: u32) {
        self.waiting = waiting;
    }

    /// Takes an idle connection for a request. Returns whether there was one.
    pub fn take(&mut self, now_us: u64) -> bool {
        if self.idle == 0 {
            return false;
        }
        self.idle -= 1;
        self.used += 1;
        self.demand.observe(self.used, self.policy.demand_window_us, now_us);
        true
    }

    /// Records that a connection in use became idle.
    pub fn returned(&mut self) {
        assert!(self.used > 0, "a connection was returned that was not in use");
        self.used -= 1;
        self.idle += 1;
    }

    /// Records that a connection in use was closed.
    pub fn used_closed(&mut self) {
        assert!(self.used > 0, "a connection was closed that was not in use");
        self.used -= 1;
    }

    /// Records that the target closed an idle connection.
    pub fn idle_closed(&mut self) {
        self.idle = self.idle.saturating_sub(1);
    }

    /// Records that an attempt succeeded; the connection is idle.
    pub fn opened(&mut self) {
        assert!(self.opening > 0, "a connection was opened without an attempt");
        self.opening -= 1;
        self.idle += 1;
        self.failures = 0;
        self.retry_at_us = 0;
    }

    /// Records that an attempt failed.
    pub fn open_failed(&mut self, failure: ConnectFailure, now_us: u64) {
        assert!(self.opening > 0, "an attempt failed that was not in progress");
        self.opening -= 1;
        match failure {
            ConnectFailure::TooMany => self.cap_pool(now_us),
            ConnectFailure::Failed => self.back_off(now_us),
        }
    }

    /// Decides which connections to open and close at `now_us`.
    pub fn plan(&mut self, now_us: u64) -> BudgetPlan {
        self.refill(now_us);
        let wanted = self.wanted(now_us);
        let total = self.total();
        let close = total.saturating_sub(wanted).min(self.idle);
        self.idle -= close;
        let missing = wanted.saturating_sub(total);
        let open = self.allowed_now(missing, now_us);
        self.record_attempts(open);
        let next_plan_us = self.next_plan_us(missing - open, now_us);
        BudgetPlan { open, close, replaced: 0, next_plan_us }
    }

    /// Decides which connections to open and close at `now_us` if each idle connection belongs to a
    /// user, and `missing` users wait without a connection. Where there is no room, idle
    /// connections of other users are replaced.
    pub fn plan_for_users(&mut self, missing: u32, now_us: u64) -> BudgetPlan {
        self.refill(now_us);
        let desired = self.total().saturating_add(missing).min(self.share);
        let limit = self.within_cap(desired, now_us);
        let excess = self.total().saturating_sub(limit).min(self.idle);
        self.idle -= excess;
        let allowed = self.allowed_now(missing, now_us);
        let added = allowed.min(limit.saturating_sub(self.total()));
        let replaced = (allowed - added).min(self.idle);
        self.idle -= replaced;
        let open = added + replaced;
        self.record_attempts(open);
        let next_plan_us = self.next_plan_us(missing - open, now_us);
        BudgetPlan { open, close: excess + replaced, replaced, next_plan_us }
    }

    /// Changes the policy. Tokens beyond the new burst are dropped.
    pub fn set_policy(&mut self, policy: BudgetPolicy) {
        self.policy = policy;
        self.tokens_milli = self.tokens_milli.min(u64::from(policy.burst) * ATTEMPT_COST_MILLI);
    }

    /// Returns the number of connections that are idle, in use or being opened.
    pub fn total(&self) -> u32 {
        self.idle + self.used + self.opening
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> u32 {
        self.idle
    }

    /// Returns the number of connections in use.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Returns every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.pool_cap.is_some_and(|(_, until_us)| until_us == 0) {
            problems.push("the pool cap has no end time".to_owned());
        }
        if self.tokens_milli > u64::from(self.policy.burst) * ATTEMPT_COST_MILLI {
            problems.push(format!("{} thousandths of a token exceed the burst", self.tokens_milli));
        }
        if self.retry_at_us > 0 && self.failures == 0 {
            problems.push("attempts are delayed without a failure".to_owned());
        }
        problems
    }

    /// Returns the number of connections that the pool should have.
    fn wanted(&mut self, now_us: u64) -> u32 {
        let current_demand = self.used + self.waiting;
        self.demand.observe(current_demand, self.policy.demand_window_us, now_us);
        let wanted = self.demand.highest().saturating_add(self.policy.spare).min(self.share);
        self.within_cap(wanted, now_us)
    }

    /// Limits the wanted size of the pool to the cap that is in force after the target refused
    /// connections.
    fn within_cap(&mut self, wanted: u32, now_us: u64) -> u32 {
        match self.pool_cap {
            Some((limit, until_us)) if now_us < until_us => wanted.min(limit),
            // The cap has expired: it is raised by one connection. If the target refuses that one,
            // the cap is set again.
            Some((limit, _)) if wanted > limit => {
                let limit = limit + 1;
                self.pool_cap = Some((limit, now_us + self.cap_duration_us()));
                wanted.min(limit)
            }
            _ => {
                self.pool_cap = None;
                wanted
            }
        }
    }

    fn cap_pool(&mut self, now_us: u64) {
        let until_us = now_us + self.cap_duration_us();
        self.pool_cap = Some((self.total(), until_us));
    }

    fn cap_duration_us(&self) -> u64 {
        jitter::upper_half_us(self.seed, self.attempts, self.policy.pool_cap_us)
    }

    fn back_off(&mut self, now_us: u64) {
        // Failures of attempts that were in progress at the same time count as one.
        if now_us < self.retry_at_us {
            return;
        }
        let BudgetPolicy { backoff_us, max_backoff_us, .. } = self.policy;
        let delay_us = jitter::doubled_us(backoff_us, self.failures, max_backoff_us);
        self.failures += 1;
        self.retry_at_us =
            now_us + jitter::upper_half_us(self.seed, self.attempts, delay_us).max(1);
    }

    /// Returns how many of the wanted attempts may be started now.
    fn allowed_now(&self, wanted: u32, now_us: u64) -> u32 {
        if now_us < self.retry_at_us { 0 } else { wanted.min(self.allowed_attempts()) }
    }

    fn record_attempts(&mut self, attempts: u32) {
        self.opening += attempts;
        self.attempts += u64::from(attempts);
        self.tokens_milli -= u64::from(attempts) * ATTEMPT_COST_MILLI;
    }

    /// Returns the number of attempts that the token bucket allows. After a failure only one
    /// attempt at a time checks whether the target is back.
    fn allowed_attempts(&self) -> u32 {
        let tokens = (self.tokens_milli / ATTEMPT_COST_MILLI) as u32;
        match (self.failures, self.opening) {
            (0, _) => tokens,
            (_, 0) => tokens.min(1),
            _ => 0,
        }
    }

    fn refill(&mut self, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.refilled_us);
        let rate_milli = u64::from(self.policy.attempts_per_second) * ATTEMPT_COST_MILLI;
        let earned = elapsed_us.saturating_mul(rate_milli) / SECOND_US;
        if earned == 0 {
            return;
        }
        let burst = u64::from(self.policy.burst) * ATTEMPT_COST_MILLI;
        self.tokens_milli = self.tokens_milli.saturating_add(earned).min(burst);
        self.refilled_us = now_us;
    }

    fn next_plan_us(&self, missing: u32, now_us: u64) -> Option<u64> {
        let demand_expires_us = self.demand.expires_us(self.policy.demand_window_us);
        let capped_until = self.pool_cap.map(|(_, until_us)| until_us);
        let attempt_due_us = (missing > 0 && self.opening == 0).then(|| {
            let rate = u64::from(self.policy.attempts_per_second.max(1));
            let refill_us =
                if self.tokens_milli < ATTEMPT_COST_MILLI { SECOND_US / rate } else { 0 };
            self.retry_at_us.max(now_us + refill_us)
        });
        let idle_due_us = (self.idle > 0).then_some(demand_expires_us);
        [capped_until, attempt_due_us, idle_due_us]
            .into_iter()
            .flatten()
            .min()
            .map(|us| us.max(now_us + 1))
    }
}

/// The highest demand within a sliding window, kept for the current half of the window and the
/// previous one.
#[derive(Clone, Copy, Debug)]
struct RecentDemand {
    since_us: u64,
    current: u32,
    previous: u32,
}

impl RecentDemand {
    fn new(now_us: u64) -> RecentDemand {
        RecentDemand { since_us: now_us, current: 0, previous: 0 }
    }

    fn observe(&mut self, demand: u32, window_us: u64, now_us: u64) {
        let half_us = (window_us / 2).max(1);
        let halves = now_us.saturating_sub(self.since_us) / half_us;
        if halves > 0 {
            self.previous = if halves == 1 { self.current } else { 0 };
            self.current = 0;
            self.since_us += halves * half_us;
        }
        self.current = self.current.max(demand);
    }

    fn highest(&self) -> u32 {
        self.current.max(self.previous)
    }

    fn expires_us(&self, window_us: u64) -> u64 {
        self.since_us + (window_us / 2).max(1)
    }
}
