//! How many connections a home keeps open to one target.
//!
//! A new connection costs 10 to 30 ms, several times what a statement takes, so connections are
//! opened ahead of need: as many as were in use at once recently, and some to spare. Those that
//! were not needed for a while are given back.
//!
//! Three things must not become a storm of connections. A target that comes back is dialled by all
//! its homes: failed tries are spaced by a back-off that doubles, with jitter from a seed of this
//! process. A pool that has to grow by much: tries are budgeted by a token bucket. And while two
//! proxies differ about who is home, their parts together pass the target's limit and one is told
//! `53300`: it then stays below what it has, and asks for one more at a time until the views agree.

use crate::process::jitter;

/// How many times a back-off doubles at most.
const MAX_DOUBLINGS: u32 = 16;

/// What one connection try costs in the token bucket.
const ATTEMPT_COST_MILLI: u64 = 1_000;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// The settings of a budget.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BudgetPolicy {
    /// Connections kept open beyond the recent need.
    pub spare: u32,
    /// For how long a need is remembered.
    pub demand_window_us: u64,
    /// The delay after the first failed try.
    pub backoff_us: u64,
    /// The longest delay between failed tries.
    pub max_backoff_us: u64,
    /// How many tries a second are allowed in the long run.
    pub attempts_per_second: u32,
    /// How many tries are allowed at once.
    pub burst: u32,
    /// How long the target's "too many connections" keeps the pool from growing.
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

/// Why a try to connect failed.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
pub enum ConnectFailure {
    /// The target has as many connections as it accepts (`53300`).
    TooMany,
    /// Refused, reset, no answer, or an error in the start-up.
    Failed,
}

/// What to do with the pool now.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct BudgetPlan {
    /// How many connections to open. They count as being opened from now on.
    pub open: u32,
    /// How many idle connections to close. They count as closed from now on.
    pub close: u32,
    /// How many of these give way to connections of other users.
    pub replaced: u32,
    /// When to ask again even if nothing happens.
    pub next_plan_us: Option<u64>,
}

/// The users who wait without a connection being opened for them, in the order of their arrival.
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

/// The connections of one home to one target.
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
    /// While set, the pool is kept at or below the first until the second.
    pool_cap: Option<(u32, u64)>,
    tokens_milli: u64,
    refilled_us: u64,
}

impl ConnectionBudget {
    /// An empty pool with this home's part of the target's connections; see
    /// [`connection_share`](crate::process::homes::connection_share). `seed` differs between
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

    /// This home's part changed. What is in use beyond it is given back as it becomes idle.
    pub fn set_share(&mut self, share: u32) {
        self.share = share;
    }

    /// This many requests wait for a connection.
    pub fn set_waiting(&mut self, waiting: u32) {
        self.waiting = waiting;
    }

    /// Takes an idle connection for a request, if there is one.
    pub fn take(&mut self, now_us: u64) -> bool {
        if self.idle == 0 {
            return false;
        }
        self.idle -= 1;
        self.used += 1;
        self.demand.observe(self.used, self.policy.demand_window_us, now_us);
        true
    }

    /// A used connection is idle again.
    pub fn returned(&mut self) {
        assert!(self.used > 0, "a connection came back that was not in use");
        self.used -= 1;
        self.idle += 1;
    }

    /// A used connection was closed instead of coming back.
    pub fn used_closed(&mut self) {
        assert!(self.used > 0, "a connection closed that was not in use");
        self.used -= 1;
    }

    /// The target closed an idle connection.
    pub fn idle_closed(&mut self) {
        self.idle = self.idle.saturating_sub(1);
    }

    /// A try succeeded: the connection is idle.
    pub fn opened(&mut self) {
        assert!(self.opening > 0, "a connection opened that was not being opened");
        self.opening -= 1;
        self.idle += 1;
        self.failures = 0;
        self.retry_at_us = 0;
    }

    /// A try failed.
    pub fn open_failed(&mut self, failure: ConnectFailure, now_us: u64) {
        assert!(self.opening > 0, "a try failed that was not under way");
        self.opening -= 1;
        match failure {
            ConnectFailure::TooMany => self.cap_pool(now_us),
            ConnectFailure::Failed => self.back_off(now_us),
        }
    }

    /// Decides what to open and close at `now_us`.
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

    /// Decides what to open and close at `now_us` where idle connections are kept for their users, and
    /// `missing` users wait for whom none is open. Where there is no room, idle ones of other users give way.
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

    /// Changes how connections are kept and tries are spaced.
    pub fn set_policy(&mut self, policy: BudgetPolicy) {
        self.policy = policy;
        self.tokens_milli = self.tokens_milli.min(u64::from(policy.burst) * ATTEMPT_COST_MILLI);
    }

    /// Connections that are idle, in use or being opened.
    pub fn total(&self) -> u32 {
        self.idle + self.used + self.opening
    }

    /// Connections that wait for a request.
    pub fn idle(&self) -> u32 {
        self.idle
    }

    /// Connections in use.
    pub fn used(&self) -> u32 {
        self.used
    }

    /// Every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems = Vec::new();
        if self.pool_cap.is_some_and(|(_, until_us)| until_us == 0) {
            problems.push("an overshoot is held that never began".to_owned());
        }
        if self.tokens_milli > u64::from(self.policy.burst) * ATTEMPT_COST_MILLI {
            problems.push(format!("{} thousandths pass the burst", self.tokens_milli));
        }
        if self.retry_at_us > 0 && self.failures == 0 {
            problems.push("tries wait without a failure".to_owned());
        }
        problems
    }

    /// How many connections there should be.
    fn wanted(&mut self, now_us: u64) -> u32 {
        let current_demand = self.used + self.waiting;
        self.demand.observe(current_demand, self.policy.demand_window_us, now_us);
        let wanted = self.demand.highest().saturating_add(self.policy.spare).min(self.share);
        self.within_cap(wanted, now_us)
    }

    /// What may be had of as many as are wanted after the target refused some.
    fn within_cap(&mut self, wanted: u32, now_us: u64) -> u32 {
        match self.pool_cap {
            Some((limit, until_us)) if now_us < until_us => wanted.min(limit),
            // One more is tried; if the target refuses it again, the limit holds again.
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
        // Several tries that were under way together are one failure of the target.
        if now_us < self.retry_at_us {
            return;
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let delay_us = (self.policy.backoff_us << doublings).min(self.policy.max_backoff_us);
        self.failures += 1;
        self.retry_at_us =
            now_us + jitter::upper_half_us(self.seed, self.attempts, delay_us).max(1);
    }

    /// How many of the tries that are wanted may begin now.
    fn allowed_now(&self, wanted: u32, now_us: u64) -> u32 {
        if now_us < self.retry_at_us { 0 } else { wanted.min(self.allowed_attempts()) }
    }

    fn record_attempts(&mut self, attempts: u32) {
        self.opening += attempts;
        self.attempts += u64::from(attempts);
        self.tokens_milli -= u64::from(attempts) * ATTEMPT_COST_MILLI;
    }

    /// After a failure one try at a time finds out whether the target is back.
    fn allowed_attempts(&self) -> u32 {
        let tokens = (self.tokens_milli / ATTEMPT_COST_MILLI) as u32;
        match (self.failures, self.opening) {
            (0, _) => tokens,
            (_, 0) => tokens.min(1),
            _ => 0,
        }
    }

    fn refill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.refilled_us);
        let rate_milli = u64::from(self.policy.attempts_per_second) * ATTEMPT_COST_MILLI;
        let earned = passed_us.saturating_mul(rate_milli) / SECOND_US;
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

/// The highest need within a sliding window, in two halves: the present half and the one before.
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
