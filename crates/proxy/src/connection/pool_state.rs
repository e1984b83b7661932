//! The state of a pool: idle connections in order of last use, waiting requests, and the connection
//! budget.

use std::collections::VecDeque;
use std::sync::Arc;

use skylark_core::process::connection_budget;
use skylark_core::process::connection_budget::ConnectionBudget;
use skylark_core::request::retry::Failure;
use tokio::sync::oneshot;

use crate::connection::pooled_connection::PooledConnection;

/// The number of most recently used idle connections that are searched for one registered with this
/// thread's event loop.
const MAX_THREAD_MATCH_CANDIDATES: usize = 32;

/// The connections of a pool and the requests that wait for one.
#[derive(Debug)]
pub(super) struct PoolState<L> {
    /// Idle connections, least recently used first.
    pub(super) idle: Vec<L>,
    pub(super) waiting: VecDeque<Waiter<L>>,
    /// The users for whom connections are being opened.
    pub(super) opening: Vec<User>,
    /// Whether the target distinguishes users, so that connections are opened per user.
    pub(super) is_per_user: bool,
    pub(super) budget: ConnectionBudget,
    /// Why the last attempt to connect failed; `None` after a success.
    pub(super) last_connect_failure: Option<Failure>,
}

/// The user that a connection serves; `None` if any connection will do.
pub(super) type User = Option<Arc<str>>;

/// A request that waits for a connection.
#[derive(Debug)]
pub(super) struct Waiter<L> {
    pub(super) user: User,
    pub(super) sender: oneshot::Sender<Result<L, Failure>>,
}

/// The connections to open and close in one maintenance run.
pub(super) struct MaintenancePlan<L> {
    /// The users for whom connections are opened.
    pub(super) open: Vec<User>,
    /// The connections to close.
    pub(super) closed: Vec<L>,
    /// How many of the closed connections are replaced by another user's.
    pub(super) replaced: u32,
}

impl<L> PoolState<L>
where
    L: PooledConnection,
{
    /// Creates the state of an empty pool.
    pub(super) fn new(budget: ConnectionBudget) -> PoolState<L> {
        PoolState {
            idle: Vec::new(),
            waiting: VecDeque::new(),
            opening: Vec::new(),
            is_per_user: false,
            budget,
            last_connect_failure: None,
        }
    }

    /// Decides which connections to open and close now.
    pub(super) fn plan(&mut self, now_us: u64) -> MaintenancePlan<L> {
        let (plan, open) = match self.is_per_user {
            true => {
                let waiting = self.waiting.iter().map(|waiter| &waiter.user);
                let mut missing = connection_budget::missing_users(waiting, &self.opening);
                let plan = self.budget.plan_for_users(missing.len() as u32, now_us);
                missing.truncate(plan.open as usize);
                (plan, missing)
            }
            false => {
                self.budget.set_waiting(self.waiting.len() as u32);
                let plan = self.budget.plan(now_us);
                (plan, vec![None; plan.open as usize])
            }
        };
        self.opening.extend_from_slice(&open);
        let closed = self.idle.drain(..plan.close as usize).collect();
        MaintenancePlan { open, closed, replaced: plan.replaced }
    }

    /// Takes the most recently used idle connection that serves the user, preferring one registered
    /// with this thread's event loop.
    pub(super) fn pop_idle(&mut self, user: Option<&Arc<str>>) -> Option<L> {
        let fits = |(_, connection): &(usize, &L)| connection.serves(user);
        let newest = || self.idle.iter().enumerate().rev().filter(fits);
        let mut candidates = newest().take(MAX_THREAD_MATCH_CANDIDATES);
        let on_this_thread = candidates.find(|(_, connection)| connection.is_on_current_thread());
        let (index, _) = on_this_thread.or_else(|| newest().next())?;
        Some(self.idle.remove(index))
    }

    pub(super) fn remove_opening(&mut self, user: &User) {
        if let Some(index) = self.opening.iter().position(|known| known == user) {
            self.opening.swap_remove(index);
        }
    }
}
