//! The connections of one process to one target, kept and opened as the proxies' pools do.

use std::collections::VecDeque;

use skylark_core::process::connection_budget;
use skylark_core::process::connection_budget::ConnectionBudget;
use skylark_proxy::sessions::process::limits;

/// The number of an organisation.
pub type OrganisationId = usize;

/// A statement that waits for a connection.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PendingStatement {
    /// Whose it is.
    pub organisation: OrganisationId,
    /// When it came.
    pub arrived_us: u64,
    /// How long it will occupy a slot.
    pub run_us: u64,
}

/// What is to be done after a change.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct Actions {
    /// Statements that got a connection.
    pub run: Vec<PendingStatement>,
    /// For whom connections are to be opened.
    pub open: Vec<OrganisationId>,
    /// How many idle connections were evicted for other organisations.
    pub replaced: u32,
}

/// One pool.
#[derive(Debug)]
pub struct SimulatedPool {
    budget: ConnectionBudget,
    /// Idle connections, the least recently used first.
    idle: Vec<OrganisationId>,
    waiting: VecDeque<PendingStatement>,
    opening: Vec<OrganisationId>,
}

impl SimulatedPool {
    /// An empty pool of at most `share` connections.
    pub fn new(share: u32, seed: u64) -> SimulatedPool {
        SimulatedPool {
            budget: ConnectionBudget::new(limits::ORGANISATIONS_POLICY, share, seed, 0),
            idle: Vec::new(),
            waiting: VecDeque::new(),
            opening: Vec::new(),
        }
    }

    /// A statement comes. Returns whether an idle connection of its organisation was there.
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

    /// A connection was opened.
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

    /// A statement ended.
    pub fn statement_ended(
        &mut self,
        organisation: OrganisationId,
        now_us: u64,
        actions: &mut Actions,
    ) {
        self.budget.returned();
        self.serve_or_idle(organisation, now_us, actions);
    }

    /// Opens connections for those who wait, in place of others where there is no room.
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

    /// Gives up statements that came before a moment, and returns how many.
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
