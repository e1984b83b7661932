//! The connections to one target, or to one proxy that leads to it.
//!
//! A connection serves one transaction at a time and comes back only at idle. One whose answer was
//! abandoned, or whose session may have changed, is first brought back to a new session; where that
//! fails it is closed. Connections are opened ahead of need up to the limit. After a failure the
//! next try waits, longer after each, and by a part that differs between processes, so that the
//! proxies of a target that comes back don't storm it.
//!
//! Where the target distinguishes users, a connection serves the one that it was opened for, and the pool is a
//! cache of users: connections stay open up to the limit, and the one that was not used for longest gives way to
//! a user who has none.

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

/// What a pool needs to know to work.
#[derive(Clone, Debug)]
pub struct PoolOptions<Login> {
    /// IP address and port.
    pub address: String,
    /// How connections introduce themselves.
    pub login: Login,
    /// The time that a connection may take to open.
    pub connect_ms: u64,
    /// How many connections are kept, and how tries are spaced.
    pub budget: BudgetPolicy,
    /// The time that an abandoned answer has to end.
    pub drain_ms: u64,
    /// Whether connections are reset after every transaction.
    pub reset_always: bool,
    /// Distinguishes this process's delays from those of others.
    pub jitter_seed: u64,
    /// The process's clock.
    pub clock: MonotonicClock,
}

/// Connections to one address for one group.
#[derive(Debug)]
pub struct Pool<L>
where
    L: PooledConnection,
{
    pub(super) options: PoolOptions<L::Login>,
    counters: Arc<Counters>,
    state: Mutex<PoolState<L>>,
}

impl<L> Pool<L>
where
    L: PooledConnection,
{
    /// A pool without connections.
    pub fn new(options: PoolOptions<L::Login>, counters: Arc<Counters>) -> Pool<L> {
        let now_us = options.clock.now_us();
        let budget = ConnectionBudget::new(options.budget, 0, options.jitter_seed, now_us);
        Pool { options, counters, state: Mutex::new(PoolState::new(budget)) }
    }

    /// The address that the pool connects to.
    pub fn address(&self) -> &str {
        &self.options.address
    }

    /// How many connections are open or being opened.
    pub fn total(&self) -> u32 {
        self.state.lock().budget.total()
    }

    /// Whether there are no connections, nobody waits for one, and none failed.
    pub fn is_unused(&self) -> bool {
        let state = self.state.lock();
        state.budget.total() == 0
            && state.waiting.is_empty()
            && state.last_connect_failure.is_none()
    }

    /// Whether the last try to connect failed.
    pub fn is_failing(&self) -> bool {
        self.state.lock().last_connect_failure.is_some()
    }

    /// Why the last try to connect failed; none if it succeeded.
    pub fn last_connect_failure(&self) -> Option<Failure> {
        self.state.lock().last_connect_failure
    }

    /// Changes how connections are kept and opened.
    pub fn set_policy(&self, policy: BudgetPolicy) {
        self.state.lock().budget.set_policy(policy);
    }

    /// Changes how many connections the pool may have.
    pub fn set_share(&self, share: u32) {
        self.state.lock().budget.set_share(share);
    }

    /// Opens connections ahead of need and closes those that are no longer needed.
    pub fn maintain(self: &Arc<Self>) {
        let MaintenancePlan { open, closed, replaced } =
            self.state.lock().plan(self.options.clock.now_us());
        self.count_closed(closed.len());
        self.counters.add(Event::ConnectionsReplaced, u64::from(replaced));
        // Closed before others are opened in their place: the target counts both otherwise.
        drop(closed);
        for user in open {
            let pool = Arc::clone(self);
            tokio::spawn(async move { pool.open_one(user).await });
        }
    }

    /// Takes a connection for a user, or any if none is named. The failure is one of connecting: nothing was
    /// sent.
    ///
    /// `turn` is held as long as the connection is, and lets the next request run when it goes back.
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
        let mut receiver = {
            let (sender, receiver) = oneshot::channel();
            self.state.lock().waiting.push_back(Waiter { user: user.cloned(), sender });
            receiver
        };
        self.maintain();
        self.fail_waiters_if_unreachable();
        match time::timeout_at(deadline.into(), &mut receiver).await {
            Ok(Ok(taken)) => self.lease(taken?, permit),
            Ok(Err(_)) => Err(Failure::Broken),
            Err(_) => {
                self.cancel_wait(receiver);
                Err(Failure::TimedOut)
            }
        }
    }

    /// A lease of a connection that another thread handed over.
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

    /// Those who wait for a target that can't be reached at all had better go elsewhere. While a
    /// connection is open or being opened, it is waited for.
    fn fail_waiters_if_unreachable(&self) {
        let mut state = self.state.lock();
        let Some(failure) = state.last_connect_failure else { return };
        if state.budget.total() > 0 {
            return;
        }
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        for waiter in waiting {
            let _ = waiter.sender.send(Err(failure));
        }
    }

    /// A target that refuses connections, for instance because it is leaving, would refuse the statements of
    /// those who wait for one as well. Without this they wait for a connection that is in use until their time
    /// is up.
    fn fail_waiters_of_user(&self, user: &User, failure: Failure) {
        let mut state = self.state.lock();
        let all = std::mem::take(&mut state.waiting);
        let (refused, others): (VecDeque<_>, VecDeque<_>) =
            all.into_iter().partition(|waiter| waiter.user == *user);
        state.waiting = others;
        drop(state);
        for waiter in refused {
            // One whose time is up waits no longer.
            let _ = waiter.sender.send(Err(failure));
        }
    }

    /// Stops waiting; a connection that was handed over at the last moment goes back.
    fn cancel_wait(self: &Arc<Self>, mut receiver: oneshot::Receiver<Result<L, Failure>>) {
        receiver.close();
        if let Ok(Ok(connection)) = receiver.try_recv() {
            self.return_idle(connection);
        }
    }

    /// The newest idle connection that serves a user and is still good.
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

    /// Takes back an idle connection.
    pub(super) fn return_idle(self: &Arc<Self>, connection: L) {
        let mut state = self.state.lock();
        state.budget.gave_back();
        self.hand_over(state, connection);
    }

    /// Hands a connection that counts as idle to the first whom it serves, or keeps it. Where others wait it may
    /// give way to one of theirs.
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

    /// Brings a connection back to a new session, or closes it.
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
        // The socket is closed before its place is given to a new connection.
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

/// Whether the target answered that it takes no connection, for another reason than their number.
fn is_refusal(failure: Failure) -> bool {
    matches!(failure, Failure::Said { .. }) && connect_failure(failure) != ConnectFailure::TooMany
}

fn connect_failure(failure: Failure) -> ConnectFailure {
    match failure {
        Failure::Said { sqlstate, .. } if &sqlstate == b"53300" => ConnectFailure::TooMany,
        _ => ConnectFailure::Failed,
    }
}
