//! The connections to one target, or to one proxy that stands in for it.
//!
//! A connection serves one transaction at a time and comes back only at idle. One whose answer was
//! abandoned, or whose session may have changed, is first brought back to a new session; where that
//! fails it is closed. Connections are opened ahead of need up to the limit. After a failure the
//! next try waits, longer after each, and by a part that differs between processes, so that the
//! proxies of a target that comes back don't storm it.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use parking_lot::MutexGuard;
use skylark_core::process::connection_budget::BudgetPlan;
use skylark_core::process::connection_budget::BudgetPolicy;
use skylark_core::process::connection_budget::ConnectFailure;
use skylark_core::process::connection_budget::ConnectionBudget;
use skylark_core::request::retry::Failure;
use tokio::sync::oneshot;
use tokio::time;

use crate::connection::admission::Turnstile;
use crate::connection::link::Link;
use crate::connection::target_connection::OpenError;
use crate::process::clock::MonotonicClock;
use crate::process::counters::Counters;
use crate::process::counters::Event;

/// How many of the newest idle connections are looked at for one that this thread watches.
const LOOKED_AT: usize = 32;

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
    L: Link,
{
    options: PoolOptions<L::Login>,
    counters: Arc<Counters>,
    state: Mutex<State<L>>,
}

#[derive(Debug)]
struct State<L> {
    idle: Vec<L>,
    waiting: VecDeque<oneshot::Sender<Result<L, Failure>>>,
    budget: ConnectionBudget,
    /// Why the last try to connect failed, until one succeeds.
    failing: Option<Failure>,
}

impl<L> State<L>
where
    L: Link,
{
    fn plan(&mut self, now_us: u64) -> (BudgetPlan, Vec<L>) {
        self.budget.set_waiting(self.waiting.len() as u32);
        let plan = self.budget.plan(now_us);
        let closed = self.idle.drain(..plan.close as usize).collect();
        (plan, closed)
    }

    /// The newest idle connection, sooner one that this thread watches already.
    fn pop_idle(&mut self) -> Option<L> {
        let mut newest = self.idle.iter().enumerate().rev().take(LOOKED_AT);
        match newest.find(|(_, connection)| connection.is_here()) {
            Some((place, _)) => Some(self.idle.remove(place)),
            None => self.idle.pop(),
        }
    }
}

impl<L> Pool<L>
where
    L: Link,
{
    /// A pool without connections.
    pub fn new(options: PoolOptions<L::Login>, counters: Arc<Counters>) -> Pool<L> {
        let now_us = options.clock.now_us();
        let budget = ConnectionBudget::new(options.budget, 0, options.jitter_seed, now_us);
        let state = State { idle: Vec::new(), waiting: VecDeque::new(), budget, failing: None };
        Pool { options, counters, state: Mutex::new(state) }
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
    pub fn rests(&self) -> bool {
        let state = self.state.lock();
        state.budget.total() == 0 && state.waiting.is_empty() && state.failing.is_none()
    }

    /// Whether the last try to connect failed.
    pub fn is_failing(&self) -> bool {
        self.state.lock().failing.is_some()
    }

    /// Why the last try to connect failed; none if it succeeded.
    pub fn failing(&self) -> Option<Failure> {
        self.state.lock().failing
    }

    /// Changes how many connections the pool may have.
    pub fn set_share(&self, share: u32) {
        self.state.lock().budget.set_share(share);
    }

    /// Opens connections ahead of need and closes those that are no longer needed.
    pub fn maintain(self: &Arc<Self>) {
        let (plan, closed) = self.state.lock().plan(self.options.clock.now_us());
        self.count_closed(closed.len());
        for _ in 0..plan.open {
            let pool = Arc::clone(self);
            tokio::spawn(async move { pool.open_one().await });
        }
    }

    /// Takes a connection. The failure is one of connecting: nothing was sent.
    ///
    /// `turn` is held as long as the connection is, and lets the next request run when it goes back.
    pub async fn take(
        self: &Arc<Self>,
        turn: Option<Turnstile>,
        deadline: Instant,
    ) -> Result<Lease<L>, Failure> {
        if let Some(connection) = self.take_idle() {
            return Ok(Lease::new(connection, self, turn));
        }
        let mut receiver = {
            let (sender, receiver) = oneshot::channel();
            self.state.lock().waiting.push_back(sender);
            receiver
        };
        self.maintain();
        self.give_up_if_unreachable();
        match time::timeout_at(deadline.into(), &mut receiver).await {
            Ok(Ok(taken)) => self.lease(taken?, turn),
            Ok(Err(_)) => Err(Failure::Broken),
            Err(_) => {
                self.take_back(receiver);
                Err(Failure::TimedOut)
            }
        }
    }

    /// A lease of a connection that another thread handed over.
    fn lease(
        self: &Arc<Self>,
        connection: L,
        turn: Option<Turnstile>,
    ) -> Result<Lease<L>, Failure> {
        match connection.brought_here() {
            Ok(connection) => Ok(Lease::new(connection, self, turn)),
            Err(_) => {
                self.forget_one();
                Err(Failure::Broken)
            }
        }
    }

    /// Those who wait for a target that can't be reached at all had better go elsewhere. While a
    /// connection is open or being opened, it is waited for.
    fn give_up_if_unreachable(&self) {
        let mut state = self.state.lock();
        let Some(failure) = state.failing else { return };
        if state.budget.total() > 0 {
            return;
        }
        let waiting = std::mem::take(&mut state.waiting);
        drop(state);
        for waiting in waiting {
            let _ = waiting.send(Err(failure));
        }
    }

    /// Stops waiting; a connection that was handed over at the last moment goes back.
    fn take_back(&self, mut receiver: oneshot::Receiver<Result<L, Failure>>) {
        receiver.close();
        if let Ok(Ok(connection)) = receiver.try_recv() {
            self.put_back(connection);
        }
    }

    /// The newest idle connection that is still good.
    fn take_idle(&self) -> Option<L> {
        loop {
            let connection = {
                let mut state = self.state.lock();
                let connection = state.pop_idle()?;
                let taken = state.budget.take(self.options.clock.now_us());
                debug_assert!(taken, "the budget counts each idle connection");
                connection
            };
            if let Ok(mut connection) = connection.brought_here()
                && connection.is_quiet()
            {
                return Some(connection);
            }
            self.state.lock().budget.used_closed();
            self.count_closed(1);
        }
    }

    async fn open_one(self: Arc<Self>) {
        let timeout = Duration::from_millis(self.options.connect_ms);
        let options = &self.options;
        match L::open(&options.address, &options.login, timeout).await {
            Ok(connection) => {
                self.counters.event(Event::ConnectionsOpened);
                let mut state = self.state.lock();
                state.budget.opened();
                state.failing = None;
                self.hand_over(state, connection);
            }
            Err(error) => {
                self.counters.event(Event::ConnectionsFailed);
                let failure = failure_of(&error);
                {
                    let mut state = self.state.lock();
                    let now_us = self.options.clock.now_us();
                    state.budget.open_failed(connect_failure(failure), now_us);
                    state.failing = Some(failure);
                }
                self.give_up_if_unreachable();
            }
        }
    }

    /// Takes back an idle connection.
    fn put_back(&self, connection: L) {
        let mut state = self.state.lock();
        state.budget.gave_back();
        self.hand_over(state, connection);
    }

    /// Hands a connection that counts as idle to the first who waits, or keeps it.
    fn hand_over(&self, mut state: MutexGuard<'_, State<L>>, mut connection: L) {
        while let Some(waiting) = state.waiting.pop_front() {
            match waiting.send(Ok(connection)) {
                Ok(()) => {
                    state.budget.take(self.options.clock.now_us());
                    return;
                }
                Err(Ok(returned)) => connection = returned,
                Err(Err(_)) => return,
            }
        }
        state.idle.push(connection);
    }

    fn forget_one(self: &Arc<Self>) {
        self.state.lock().budget.used_closed();
        self.count_closed(1);
        self.maintain();
    }

    fn count_closed(&self, count: usize) {
        for _ in 0..count {
            self.counters.event(Event::ConnectionsClosed);
        }
    }

    /// Brings a connection back to a new session, or closes it.
    async fn recover(self: Arc<Self>, mut connection: L, abandoned: bool) {
        let timeout = Duration::from_millis(self.options.drain_ms);
        let recovered = connection.recover(timeout).await.is_ok();
        let event = match (recovered, abandoned) {
            (true, true) => Event::AnswersDrained,
            (true, false) => Event::ConnectionsReset,
            (false, _) => Event::AnswersCut,
        };
        self.counters.event(event);
        if recovered {
            self.put_back(connection);
            return;
        }
        // The socket is closed before its place is given to a new connection.
        drop(connection);
        self.forget_one();
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

fn connect_failure(failure: Failure) -> ConnectFailure {
    match failure {
        Failure::Said { sqlstate, .. } if &sqlstate == b"53300" => ConnectFailure::TooMany,
        _ => ConnectFailure::Failed,
    }
}

/// A connection out of a pool. Dropping it closes the connection.
#[derive(Debug)]
pub struct Lease<L>
where
    L: Link,
{
    connection: Option<L>,
    pool: Arc<Pool<L>>,
    turn: Option<Turnstile>,
}

impl<L> Lease<L>
where
    L: Link,
{
    fn new(connection: L, pool: &Arc<Pool<L>>, turn: Option<Turnstile>) -> Lease<L> {
        Lease { connection: Some(connection), pool: Arc::clone(pool), turn }
    }

    /// The connection.
    pub fn connection(&mut self) -> &mut L {
        self.connection.as_mut().expect("a lease holds its connection until it ends")
    }

    /// The address of the other end.
    pub fn address(&self) -> &str {
        self.pool.address()
    }

    /// The statement ended and its transaction keeps the connection.
    pub fn statement_ended(&mut self) {
        if let Some(turn) = &mut self.turn {
            turn.statement_ended();
        }
    }

    /// The next statement of the transaction runs.
    pub fn statement_started(&mut self) {
        if let Some(turn) = &mut self.turn {
            turn.statement_started();
        }
    }

    /// Gives the connection back. One that is not at idle, or whose session may have changed, goes
    /// to another caller only once it is as new.
    pub fn give_back(mut self) {
        let Some(connection) = self.connection.take() else { return };
        let is_idle = connection.is_idle();
        if is_idle && !connection.needs_reset() && !self.pool.options.reset_always {
            self.pool.put_back(connection);
            return;
        }
        let pool = Arc::clone(&self.pool);
        let turn = self.turn.take();
        tokio::spawn(async move {
            pool.recover(connection, !is_idle).await;
            // The turn ends with the recovery: the target is still busy with it.
            drop(turn);
        });
    }
}

impl<L> Lease<L>
where
    L: Link,
{
    /// Closes a connection that still works. Its place is free once the other end has closed too:
    /// until then the target counts it, and would refuse a new one.
    pub fn close(mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        let timeout = Duration::from_millis(self.pool.options.drain_ms);
        let pool = Arc::clone(&self.pool);
        let turn = self.turn.take();
        tokio::spawn(async move {
            // A connection that does not end in time is reset by being dropped.
            let _ = connection.terminate(timeout).await;
            drop(connection);
            pool.forget_one();
            drop(turn);
        });
    }
}

impl<L> Drop for Lease<L>
where
    L: Link,
{
    fn drop(&mut self) {
        if self.connection.take().is_some() {
            self.pool.forget_one();
        }
    }
}
