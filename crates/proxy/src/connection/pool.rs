//! A pool of connections to one target, directly or through another proxy.
//!
//! A connection serves one transaction at a time and is returned only when idle. A connection whose
//! answer was abandoned, or whose session may have changed, is first reset; if the reset fails, it is
//! closed. Connections are opened ahead of demand up to the limit. Failed attempts to connect are
//! retried with increasing backoff and jitter that differs between processes, so that the proxies do
//! not overload a target that has just recovered.
//!
//! If the target distinguishes users, a connection serves only the user that it was opened for, and the
//! pool acts as a cache of users: connections stay open up to the limit, and the least recently used
//! one is replaced for a user that has none.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use parking_lot::MutexGuard;
use skylark_core::process::connection_budget::BudgetPolicy;
use skylark_core::process::connection_budget::ConnectFailure;
use skylark_core::process::connection_budget::ConnectionBudget;
use skylark_core::request::retry::Failure;
use tokio::sync::oneshot;
use tokio::time;

use crate::connection::admission::AdmissionPermit;
use crate::connection::lease::Lease;
use crate::connection::pool_state::MaintenancePlan;
use crate::connection::pool_state::PoolState;
use crate::connection::pool_state::User;
use crate::connection::pool_state::Waiter;
use crate::connection::pooled_connection::PooledConnection;
use crate::connection::target_connection::OpenError;
use crate::process::clock::MonotonicClock;
use crate::process::counters::Counters;
use crate::process::counters::Event;

/// The configuration of a pool.
#[derive(Clone, Debug)]
pub struct PoolOptions<Login> {
    /// IP address and port of the other end.
    pub address: String,
    /// The start-up parameters of connections.
    pub login: Login,
    /// The time limit for opening a connection, in milliseconds.
    pub connect_ms: u64,
    /// How many connections are kept, and how attempts to connect are spaced.
    pub budget: BudgetPolicy,
    /// The time limit for draining an abandoned answer and resetting the session, in milliseconds.
    pub drain_ms: u64,
    /// Whether connections are reset after every transaction.
    pub reset_always: bool,
    /// The seed of the backoff jitter, which differs between processes.
    pub jitter_seed: u64,
    /// The process's clock.
    pub clock: MonotonicClock,
}

/// A pool of connections to one address for one group.
#[derive(Debug)]
pub struct Pool<L>
where
    L: PooledConnection,
{
    pub(super) options: PoolOptions<L::Login>,
    counters: Arc<Counters>,
    state: Mutex<PoolState<L>>,
}

/// A request that waits for a connection. When the wait ends, also because the request is dropped, a connection
/// that was handed over and not taken goes back to the pool.
struct Wait<'a, L>
where
    L: PooledConnection,
{
    pool: &'a Arc<Pool<L>>,
    receiver: oneshot::Receiver<Result<L, Failure>>,
}

impl<L> Drop for Wait<'_, L>
where
    L: PooledConnection,
{
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(Ok(connection)) = self.receiver.try_recv() {
            self.pool.return_idle(connection);
        }
    }
}

impl<L> Pool<L>
where
    L: PooledConnection,
{
    /// Creates an empty pool.
    pub fn new(options: PoolOptions<L::Login>, counters: Arc<Counters>) -> Pool<L> {
        let now_us = options.clock.now_us();
        let budget = ConnectionBudget::new(options.budget, 0, options.jitter_seed, now_us);
        Pool { options, counters, state: Mutex::new(PoolState::new(budget)) }
    }

    /// Returns the address that the pool connects to.
    pub fn address(&self) -> &str {
        &self.options.address
    }

    /// Returns the number of connections that are open or being opened.
    pub fn total(&self) -> u32 {
        self.state.lock().budget.total()
    }

    /// Returns whether there are no connections and no waiting requests, and the last attempt to
    /// connect did not fail.
    pub fn is_unused(&self) -> bool {
        let state = self.state.lock();
        state.budget.total() == 0
            && state.waiting.is_empty()
            && state.last_connect_failure.is_none()
    }

    /// Returns whether the last attempt to connect failed.
    pub fn is_failing(&self) -> bool {
        self.state.lock().last_connect_failure.is_some()
    }

    /// Returns why the last attempt to connect failed; `None` if it succeeded.
    pub fn last_connect_failure(&self) -> Option<Failure> {
        self.state.lock().last_connect_failure
    }

    /// Changes how many connections are kept and how attempts to connect are spaced.
    pub fn set_policy(&self, policy: BudgetPolicy) {
        self.state.lock().budget.set_policy(policy);
    }

    /// Changes the maximum number of connections.
    pub fn set_share(&self, share: u32) {
        self.state.lock().budget.set_share(share);
    }

    /// Opens connections ahead of demand and closes those that are no longer needed.
    pub fn maintain(self: &Arc<Self>) {
        let MaintenancePlan { open, closed, replaced } =
            self.state.lock().plan(self.options.clock.now_us());
        self.count_closed(closed.len());
        self.counters.add(Event::ConnectionsReplaced, u64::from(replaced));
        // Connections are closed before their replacements are opened, since the target would count
        // both.
        drop(closed);
        for user in open {
            let pool = Arc::clone(self);
            tokio::spawn(async move { pool.open_one(user).await });
        }
    }

    /// Takes a connection for a user, or any connection if `user` is `None`. A failure is one of
    /// connecting: nothing was sent.
    ///
    /// `permit` is held as long as the connection is, and admits the next request when the connection
    /// is returned.
    pub async fn take(
        self: &Arc<Self>,
        user: Option<&Arc<str>>,
        permit: Option<AdmissionPermit>,
        deadline: Instant,
    ) -> Result<Lease<L>, Failure> {
        if let Some(connection) = self.take_idle(user) {
            self.counters.event(Event::ConnectionsFound);
            return Ok(Lease::new(connection, self, permit));
        }
        self.counters.event(Event::ConnectionsMissed);
        let mut wait = {
            let (sender, receiver) = oneshot::channel();
            self.state.lock().waiting.push_back(Waiter { user: user.cloned(), sender });
            Wait { pool: self, receiver }
        };
        self.maintain();
        self.fail_waiters_if_unreachable();
        match time::timeout_at(deadline.into(), &mut wait.receiver).await {
            Ok(Ok(taken)) => self.lease(taken?, permit),
            Ok(Err(_)) => Err(Failure::Broken),
            Err(_) => Err(Failure::TimedOut),
        }
    }

    /// Creates a lease of a connection that another thread handed over.
    fn lease(
        self: &Arc<Self>,
        connection: L,
        permit: Option<AdmissionPermit>,
    ) -> Result<Lease<L>, Failure> {
        match connection.move_to_current_thread() {
            Ok(connection) => Ok(Lease::new(connection, self, permit)),
            Err(_) => {
                self.connection_closed();
                Err(Failure::Broken)
            }
        }
    }

    /// Fails all waiting requests if the target is unreachable and no connection is open or being
    /// opened, so that they can be routed elsewhere.
    fn fail_waiters_if_unreachable(&self) {
        let mut state = self.state.lock();
        let Some(failure) = state.last_connect_failure else { return };
        if state.budget.total() > 0 {
            return;
        }
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        fail_all(waiting, failure);
    }

    /// Fails all waiting requests, so that they can be routed elsewhere.
    pub fn fail_waiters(&self, failure: Failure) {
        let waiting = std::mem::take(&mut self.state.lock().waiting);
        fail_all(waiting, failure);
    }

    /// Fails the waiting requests of a user after the target refused a connection, for example because
    /// it is leaving: it would refuse their statements as well. Otherwise they would wait for a
    /// connection in use until their deadline.
    fn fail_waiters_of_user(&self, user: &User, failure: Failure) {
        let mut state = self.state.lock();
        let all = std::mem::take(&mut state.waiting);
        let (refused, others): (VecDeque<_>, VecDeque<_>) =
            all.into_iter().partition(|waiter| waiter.user == *user);
        state.waiting = others;
        drop(state);
        for waiter in refused {
            // Sending fails if the request has already timed out.
            let _ = waiter.sender.send(Err(failure));
        }
    }

    /// Takes the most recently used idle connection that serves the user and is still healthy.
    fn take_idle(&self, user: Option<&Arc<str>>) -> Option<L> {
        loop {
            let connection = {
                let mut state = self.state.lock();
                state.is_per_user |= user.is_some();
                let connection = state.pop_idle(user)?;
                let taken = state.budget.take(self.options.clock.now_us());
                debug_assert!(taken, "the budget counts each idle connection");
                connection
            };
            if let Ok(mut connection) = connection.move_to_current_thread()
                && connection.is_healthy()
            {
                return Some(connection);
            }
            self.state.lock().budget.used_closed();
            self.count_closed(1);
        }
    }

    async fn open_one(self: Arc<Self>, user: User) {
        let timeout = Duration::from_millis(self.options.connect_ms);
        let options = &self.options;
        match L::open(&options.address, &options.login, user.as_ref(), timeout).await {
            Ok(connection) => {
                self.counters.event(Event::ConnectionsOpened);
                let mut state = self.state.lock();
                state.remove_opening(&user);
                state.budget.opened();
                state.last_connect_failure = None;
                self.hand_over(state, connection);
            }
            Err(error) => {
                self.counters.event(Event::ConnectionsFailed);
                let failure = failure_of(&error);
                {
                    let mut state = self.state.lock();
                    let now_us = self.options.clock.now_us();
                    state.remove_opening(&user);
                    state.budget.open_failed(connect_failure(failure), now_us);
                    state.last_connect_failure = Some(failure);
                }
                if is_refusal(failure) {
                    self.fail_waiters_of_user(&user, failure);
                }
                self.fail_waiters_if_unreachable();
            }
        }
    }

    /// Returns an idle connection to the pool.
    pub(super) fn return_idle(self: &Arc<Self>, connection: L) {
        let mut state = self.state.lock();
        state.budget.returned();
        self.hand_over(state, connection);
    }

    /// Hands a connection that counts as idle to the first waiting request that it serves, or keeps it
    /// as idle. If others are waiting, it may be replaced by a connection of one of their users.
    fn hand_over(self: &Arc<Self>, mut state: MutexGuard<'_, PoolState<L>>, mut connection: L) {
        let serves = |waiter: &Waiter<L>, connection: &L| connection.serves(waiter.user.as_ref());
        while let Some(index) = state.waiting.iter().position(|waiter| serves(waiter, &connection))
        {
            let Some(waiter) = state.waiting.remove(index) else { break };
            match waiter.sender.send(Ok(connection)) {
                Ok(()) => {
                    state.budget.take(self.options.clock.now_us());
                    return;
                }
                Err(Ok(returned)) => connection = returned,
                Err(Err(_)) => return,
            }
        }
        state.idle.push(connection);
        let others_wait = !state.waiting.is_empty();
        drop(state);
        if others_wait {
            self.maintain();
        }
    }

    pub(super) fn connection_closed(self: &Arc<Self>) {
        self.state.lock().budget.used_closed();
        self.count_closed(1);
        self.maintain();
    }

    fn count_closed(&self, count: usize) {
        self.counters.add(Event::ConnectionsClosed, count as u64);
    }

    /// Resets a connection and returns it to the pool, or closes it if that fails.
    pub(super) async fn recover(self: Arc<Self>, mut connection: L, abandoned: bool) {
        let timeout = Duration::from_millis(self.options.drain_ms);
        let recovered = connection.recover(timeout).await.is_ok();
        let event = match (recovered, abandoned) {
            (true, true) => Event::AnswersDrained,
            (true, false) => Event::ConnectionsReset,
            (false, _) => Event::AnswersCut,
        };
        self.counters.event(event);
        if recovered {
            self.return_idle(connection);
            return;
        }
        // The socket is closed before its slot is given to a new connection.
        drop(connection);
        self.connection_closed();
    }
}

fn failure_of(error: &OpenError) -> Failure {
    match error {
        OpenError::TimedOut => Failure::TimedOut,
        OpenError::Refused(sqlstate) => match sqlstate.as_bytes().try_into() {
            Ok(sqlstate) => Failure::Said { sqlstate, claimed: None },
            Err(_) => Failure::Broken,
        },
        OpenError::Io(_) | OpenError::Unsupported => Failure::Broken,
    }
}

/// Returns whether the target refused the connection for a reason other than too many connections.
fn is_refusal(failure: Failure) -> bool {
    matches!(failure, Failure::Said { .. }) && connect_failure(failure) != ConnectFailure::TooMany
}

fn connect_failure(failure: Failure) -> ConnectFailure {
    match failure {
        Failure::Said { sqlstate, .. } if &sqlstate == b"53300" => ConnectFailure::TooMany,
        _ => ConnectFailure::Failed,
    }
}

fn fail_all<L>(waiting: VecDeque<Waiter<L>>, failure: Failure)
where
    L: PooledConnection,
{
    for waiter in waiting {
        // If the task is gone, nobody waits for the result.
        let _ = waiter.sender.send(Err(failure));
    }
}
