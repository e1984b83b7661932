//! A model of the connection pool that one process keeps for one target.
//!
//! A connection serves a single organisation. The proxy's [`ConnectionBudget`] decides when connections are
//! opened and when idle ones are evicted.

use std::collections::VecDeque;

use skylark_core::process::connection_budget;
use skylark_core::process::connection_budget::ConnectionBudget;
use skylark_proxy::sessions::process::limits;

/// The index of an organisation, in descending order of its statement rate.
pub type OrganisationId = usize;

/// A statement that needs a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PendingStatement {
    /// The organisation that sent the statement.
    pub organisation: OrganisationId,
    /// The arrival time, in microseconds of virtual time.
    pub arrived_us: u64,
    /// The time that the statement occupies a slot of the target, in microseconds.
    pub run_us: u64,
}

/// The work that follows from a change of a pool, carried out by the simulation.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Actions {
    /// Statements that were assigned a connection and have to run.
    pub run: Vec<PendingStatement>,
    /// The organisations to open connections for, one entry per connection.
    pub open: Vec<OrganisationId>,
    /// The number of idle connections evicted to make room for other organisations.
    pub replaced: u32,
}

/// The simulated pool of one process for one target.
#[derive(Debug)]
pub struct SimulatedPool {
    budget: ConnectionBudget,
    /// The organisations of idle connections, least recently used first.
    idle: Vec<OrganisationId>,
    waiting: VecDeque<PendingStatement>,
    opening: Vec<OrganisationId>,
}

impl SimulatedPool {
    /// Creates an empty pool of at most `share` connections.
    pub fn new(share: u32, seed: u64) -> SimulatedPool {
        SimulatedPool {
            budget: ConnectionBudget::new(limits::ORGANISATIONS_POLICY, share, seed, 0),
            idle: Vec::new(),
            waiting: VecDeque::new(),
            opening: Vec::new(),
        }
    }

    /// Assigns an idle connection of the organisation to the statement or queues the statement.
    ///
    /// Returns whether an idle connection was available.
    pub fn statement_arrived(
        &mut self,
        statement: PendingStatement,
        now_us: u64,
        actions: &mut Actions,
    ) -> bool {
        let found = self.idle.iter().rposition(|it| *it == statement.organisation);
        if let Some(index) = found {
            self.idle.remove(index);
            self.budget.take(now_us);
            actions.run.push(statement);
            return true;
        }
        self.waiting.push_back(statement);
        self.maintain(now_us, actions);
        false
    }

    /// Adds an opened connection and assigns it to a waiting statement, if any.
    pub fn connection_opened(
        &mut self,
        organisation: OrganisationId,
        now_us: u64,
        actions: &mut Actions,
    ) {
        if let Some(index) = self.opening.iter().position(|it| *it == organisation) {
            self.opening.swap_remove(index);
        }
        self.budget.opened();
        self.serve_or_idle(organisation, now_us, actions);
    }

    /// Returns the connection of an ended statement to the pool or assigns it to a waiting statement.
    pub fn statement_ended(
        &mut self,
        organisation: OrganisationId,
        now_us: u64,
        actions: &mut Actions,
    ) {
        self.budget.returned();
        self.serve_or_idle(organisation, now_us, actions);
    }

    /// Requests connections for waiting statements, evicting idle ones if the pool has reached its limit.
    pub fn maintain(&mut self, now_us: u64, actions: &mut Actions) {
        let waiting = self.waiting.iter().map(|statement| &statement.organisation);
        let missing = connection_budget::missing_users(waiting, &self.opening);
        let plan = self.budget.plan_for_users(missing.len() as u32, now_us);
        self.idle.drain(..plan.close as usize);
        let open = missing.into_iter().take(plan.open as usize);
        let before = actions.open.len();
        actions.open.extend(open);
        self.opening.extend_from_slice(&actions.open[before..]);
        actions.replaced += plan.replaced;
    }

    /// Removes waiting statements that arrived before `before_us` and returns their number.
    pub fn expire(&mut self, before_us: u64) -> usize {
        let count = self.waiting.len();
        self.waiting.retain(|statement| statement.arrived_us >= before_us);
        count - self.waiting.len()
    }

    fn serve_or_idle(&mut self, organisation: OrganisationId, now_us: u64, actions: &mut Actions) {
        let index = self.waiting.iter().position(|it| it.organisation == organisation);
        if let Some(statement) = index.and_then(|index| self.waiting.remove(index)) {
            self.budget.take(now_us);
            actions.run.push(statement);
            return;
        }
        self.idle.push(organisation);
        if !self.waiting.is_empty() {
            self.maintain(now_us, actions);
        }
    }
}
