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
const TRY_COST_MILLI: u64 = 1_000;

/// Microseconds in a second.
const SECOND_US: u64 = 1_000_000;

/// The settings of a budget.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct BudgetPolicy {
    /// Connections kept open beyond the recent need.
    pub spare: u32,
    /// For how long a need is remembered.
    pub need_window_us: u64,
    /// The delay after the first failed try.
    pub backoff_us: u64,
    /// The longest delay between failed tries.
    pub max_backoff_us: u64,
    /// How many tries a second are allowed in the long run.
    pub tries_per_second: u32,
    /// How many tries are allowed at once.
    pub burst: u32,
    /// How long the target's "too many connections" keeps the pool from growing.
    pub overshoot_us: u64,
}

impl Default for BudgetPolicy {
    fn default() -> BudgetPolicy {
        BudgetPolicy {
            spare: 2,
            need_window_us: 10_000_000,
            backoff_us: 50_000,
            max_backoff_us: 5_000_000,
            tries_per_second: 20,
            burst: 16,
            overshoot_us: 500_000,
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
    pub ask_again_us: Option<u64>,
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
            Some(place) => {
                opening.swap_remove(place);
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
    need: RecentNeed,
    failures: u32,
    tries: u64,
    not_before_us: u64,
    /// While set, the pool is kept at or below the first until the second.
    overshoot: Option<(u32, u64)>,
    tokens_milli: u64,
    tokens_us: u64,
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
            need: RecentNeed::new(now_us),
            failures: 0,
            tries: 0,
            not_before_us: 0,
            overshoot: None,
            tokens_milli: u64::from(policy.burst) * TRY_COST_MILLI,
            tokens_us: now_us,
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
        self.need.saw(self.used, self.policy.need_window_us, now_us);
        true
    }

    /// A used connection is idle again.
    pub fn gave_back(&mut self) {
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
        self.not_before_us = 0;
    }

    /// A try failed.
    pub fn open_failed(&mut self, failure: ConnectFailure, now_us: u64) {
        assert!(self.opening > 0, "a try failed that was not under way");
        self.opening -= 1;
        match failure {
            ConnectFailure::TooMany => self.cap(now_us),
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
        self.began_tries(open);
        let ask_again_us = self.ask_again_us(missing - open, now_us);
        BudgetPlan { open, close, replaced: 0, ask_again_us }
    }

    /// Decides what to open and close at `now_us` where idle connections are kept for their users, and
    /// `missing` users wait for whom none is open. Where there is no room, idle ones of other users give way.
    pub fn plan_for_users(&mut self, missing: u32, now_us: u64) -> BudgetPlan {
        self.refill(now_us);
        let desired = self.total().saturating_add(missing).min(self.share);
        let limit = self.within_overshoot(desired, now_us);
        let beyond = self.total().saturating_sub(limit).min(self.idle);
        self.idle -= beyond;
        let allowed = self.allowed_now(missing, now_us);
        let added = allowed.min(limit.saturating_sub(self.total()));
        let replaced = (allowed - added).min(self.idle);
        self.idle -= replaced;
        let open = added + replaced;
        self.began_tries(open);
        let ask_again_us = self.ask_again_us(missing - open, now_us);
        BudgetPlan { open, close: beyond + replaced, replaced, ask_again_us }
    }

    /// Changes how connections are kept and tries are spaced.
    pub fn set_policy(&mut self, policy: BudgetPolicy) {
        self.policy = policy;
        self.tokens_milli = self.tokens_milli.min(u64::from(policy.burst) * TRY_COST_MILLI);
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
        if self.overshoot.is_some_and(|(_, until_us)| until_us == 0) {
            problems.push("an overshoot is held that never began".to_owned());
        }
        if self.tokens_milli > u64::from(self.policy.burst) * TRY_COST_MILLI {
            problems.push(format!("{} thousandths pass the burst", self.tokens_milli));
        }
        if self.not_before_us > 0 && self.failures == 0 {
            problems.push("tries wait without a failure".to_owned());
        }
        problems
    }

    /// How many connections there should be.
    fn wanted(&mut self, now_us: u64) -> u32 {
        let now_needed = self.used + self.waiting;
        self.need.saw(now_needed, self.policy.need_window_us, now_us);
        let wanted = self.need.highest().saturating_add(self.policy.spare).min(self.share);
        self.within_overshoot(wanted, now_us)
    }

    /// What may be had of as many as are wanted after the target refused some.
    fn within_overshoot(&mut self, wanted: u32, now_us: u64) -> u32 {
        match self.overshoot {
            Some((limit, until_us)) if now_us < until_us => wanted.min(limit),
            // One more is tried; if the target refuses it again, the limit holds again.
            Some((limit, _)) if wanted > limit => {
                let limit = limit + 1;
                self.overshoot = Some((limit, now_us + self.overshoot_delay_us()));
                wanted.min(limit)
            }
            _ => {
                self.overshoot = None;
                wanted
            }
        }
    }

    fn cap(&mut self, now_us: u64) {
        let until_us = now_us + self.overshoot_delay_us();
        self.overshoot = Some((self.total(), until_us));
    }

    fn overshoot_delay_us(&self) -> u64 {
        jitter::upper_half_us(self.seed, self.tries, self.policy.overshoot_us)
    }

    fn back_off(&mut self, now_us: u64) {
        // Several tries that were under way together are one failure of the target.
        if now_us < self.not_before_us {
            return;
        }
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let delay_us = (self.policy.backoff_us << doublings).min(self.policy.max_backoff_us);
        self.failures += 1;
        self.not_before_us = now_us + jitter::upper_half_us(self.seed, self.tries, delay_us).max(1);
    }

    /// How many of the tries that are wanted may begin now.
    fn allowed_now(&self, wanted: u32, now_us: u64) -> u32 {
        if now_us < self.not_before_us { 0 } else { wanted.min(self.allowed_tries()) }
    }

    fn began_tries(&mut self, tries: u32) {
        self.opening += tries;
        self.tries += u64::from(tries);
        self.tokens_milli -= u64::from(tries) * TRY_COST_MILLI;
    }

    /// After a failure one try at a time finds out whether the target is back.
    fn allowed_tries(&self) -> u32 {
        let tokens = (self.tokens_milli / TRY_COST_MILLI) as u32;
        match (self.failures, self.opening) {
            (0, _) => tokens,
            (_, 0) => tokens.min(1),
            _ => 0,
        }
    }

    fn refill(&mut self, now_us: u64) {
        let passed_us = now_us.saturating_sub(self.tokens_us);
        let rate_milli = u64::from(self.policy.tries_per_second) * TRY_COST_MILLI;
        let earned = passed_us.saturating_mul(rate_milli) / SECOND_US;
        if earned == 0 {
            return;
        }
        let burst = u64::from(self.policy.burst) * TRY_COST_MILLI;
        self.tokens_milli = self.tokens_milli.saturating_add(earned).min(burst);
        self.tokens_us = now_us;
    }

    fn ask_again_us(&self, missing: u32, now_us: u64) -> Option<u64> {
        let for_need = self.need.expires_us(self.policy.need_window_us);
        let capped_until = self.overshoot.map(|(_, until_us)| until_us);
        let for_tokens = (missing > 0 && self.opening == 0).then(|| {
            let rate = u64::from(self.policy.tries_per_second.max(1));
            let refill_us = if self.tokens_milli < TRY_COST_MILLI { SECOND_US / rate } else { 0 };
            self.not_before_us.max(now_us + refill_us)
        });
        let for_idle = (self.idle > 0).then_some(for_need);
        [capped_until, for_tokens, for_idle]
            .into_iter()
            .flatten()
            .min()
            .map(|us| us.max(now_us + 1))
    }
}

/// The highest need within a sliding window, in two halves: the present half and the one before.
#[derive(Clone, Copy, Debug)]
struct RecentNeed {
    since_us: u64,
    now: u32,
    before: u32,
}

impl RecentNeed {
    fn new(now_us: u64) -> RecentNeed {
        RecentNeed { since_us: now_us, now: 0, before: 0 }
    }

    fn saw(&mut self, need: u32, window_us: u64, now_us: u64) {
        let half_us = (window_us / 2).max(1);
        let halves = now_us.saturating_sub(self.since_us) / half_us;
        if halves > 0 {
            self.before = if halves == 1 { self.now } else { 0 };
            self.now = 0;
            self.since_us += halves * half_us;
        }
        self.now = self.now.max(need);
    }

    fn highest(&self) -> u32 {
        self.now.max(self.before)
    }

    fn expires_us(&self, window_us: u64) -> u64 {
        self.since_us + (window_us / 2).max(1)
    }
}
