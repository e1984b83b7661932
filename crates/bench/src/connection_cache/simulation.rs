//! A discrete-event simulation of one run in virtual time. Equal setups and seeds give equal outcomes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use skylark_core::process::connection_plan;
use skylark_core::process::connection_plan::ConnectionPlan;
use skylark_core::process::connection_plan::Demand;
use skylark_core::process::connection_plan::HOMES;
use skylark_core::process::homes;

use crate::connection_cache::OPEN_US;
use crate::connection_cache::Placement;
use crate::connection_cache::ReplicaChoice;
use crate::connection_cache::STATEMENT_KINDS;
use crate::connection_cache::Setup;
use crate::connection_cache::Strategy;
use crate::connection_cache::WAIT_LIMIT_US;
use crate::connection_cache::pool::Actions;
use crate::connection_cache::pool::OrganisationId;
use crate::connection_cache::pool::PendingStatement;
use crate::connection_cache::pool::SimulatedPool;

/// The number of targets of the service. Target 0 is the primary, the others are replicas.
const TARGETS: usize = 3;

/// The interval of pool maintenance, in microseconds.
const MAINTENANCE_INTERVAL_US: u64 = 100_000;

/// The warm-up, which fills the pools and isn't counted, takes this fraction (1/n) of the run.
const WARM_UP_DIVISOR: u64 = 4;

const US_PER_S: f64 = 1e6;

/// The figures of one run after its warm-up.
#[derive(Clone, Copy, PartialEq, Debug, Default, Serialize)]
pub struct Outcome {
    /// The number of statements that arrived.
    pub statements: u64,
    /// The fraction of statements that found no idle connection of their organisation.
    pub misses: f64,
    /// The fraction of statements that were refused after waiting for a connection.
    pub refused: f64,
    /// The mean wait for a connection of the served statements, in microseconds.
    pub mean_wait_us: f64,
    /// Idle connections evicted for other organisations, per second.
    pub replaced_per_s: f64,
    /// The fraction of the primary's slot time spent on opening connections.
    pub opening_at_primary: f64,
    /// The fraction of the replicas' slot time spent on opening connections.
    pub opening_at_replicas: f64,
    /// The statement run time on the busier replica divided by the mean of both replicas.
    pub imbalance: f64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum JobKind {
    Open,
    Run { us: u64 },
}

/// Work that occupies a slot of a target.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
struct Job {
    kind: JobKind,
    target: usize,
    holder: usize,
    organisation: OrganisationId,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    Arrival,
    Maintenance,
    Ended(Job),
}

#[derive(Debug, Default)]
struct Target {
    running: u32,
    queue: VecDeque<Job>,
    opening_us: u64,
    running_us: u64,
}

#[derive(Debug, Default)]
struct Counts {
    statements: u64,
    missed: u64,
    refused: u64,
    replaced: u64,
    served: u64,
    waited_us: u64,
}

struct Simulation<'a> {
    setup: &'a Setup,
    strategy: Strategy,
    rng: StdRng,
    /// Cumulative sums of the organisations' rate weights, for drawing an organisation.
    cumulative_sizes: Vec<f64>,
    /// The number of processes that hold connections to each target.
    holders: usize,
    /// The pools, indexed by target and then by holder.
    pools: Vec<Vec<SimulatedPool>>,
    targets: [Target; TARGETS],
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    counts: Counts,
}

/// Simulates one strategy and returns the figures after the warm-up.
pub fn run(setup: &Setup, strategy: Strategy, seed: u64) -> Outcome {
    let mut simulation = Simulation::new(setup, strategy, seed);
    simulation.schedule(0, Event::Arrival);
    simulation.schedule(MAINTENANCE_INTERVAL_US, Event::Maintenance);
    let warm_up_us = setup.span_us / WARM_UP_DIVISOR;
    let mut is_warm = false;
    while let Some(Reverse((now_us, _, event))) = simulation.events.pop() {
        if now_us >= setup.span_us {
            break;
        }
        if !is_warm && now_us >= warm_up_us {
            is_warm = true;
            simulation.reset_counts();
        }
        simulation.handle(event, now_us);
    }
    simulation.outcome(setup.span_us - warm_up_us)
}

impl Simulation<'_> {
    fn new(setup: &Setup, strategy: Strategy, seed: u64) -> Simulation<'_> {
        let mut cumulative_size = 0.0;
        let cumulative_sizes = (0..setup.organisations).map(|index| {
            cumulative_size += ((index + 1) as f64).powf(-setup.zipf_exponent);
            cumulative_size
        });
        let demand = Demand {
            max_connections: setup.connections,
            vms: setup.vms,
            organisations: setup.organisations,
        };
        let plan = connection_plan::plan(demand);
        let holders = match plan {
            ConnectionPlan::Direct { .. } => setup.vms,
            ConnectionPlan::Homes { .. } => HOMES.min(setup.vms),
        };
        let share_at = |target: usize| match plan {
            ConnectionPlan::Direct { primary, replica } => {
                if target == 0 {
                    primary
                } else {
                    replica
                }
            }
            ConnectionPlan::Homes { share, .. } => share,
        };
        let pools_of = |target: usize| -> Vec<SimulatedPool> {
            (0..holders).map(|holder| SimulatedPool::new(share_at(target), holder as u64)).collect()
        };
        Simulation {
            setup,
            strategy,
            rng: StdRng::seed_from_u64(seed),
            cumulative_sizes: cumulative_sizes.collect(),
            holders,
            pools: (0..TARGETS).map(pools_of).collect(),
            targets: Default::default(),
            events: BinaryHeap::new(),
            scheduled: 0,
            counts: Counts::default(),
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at_us, self.scheduled, event)));
    }

    fn reset_counts(&mut self) {
        self.counts = Counts::default();
        for target in &mut self.targets {
            (target.opening_us, target.running_us) = (0, 0);
        }
    }

    fn handle(&mut self, event: Event, now_us: u64) {
        match event {
            Event::Arrival => {
                self.arrive(now_us);
                let interarrival_s = -(1.0 - self.rng.random::<f64>()).ln() / self.setup.per_s;
                self.schedule(now_us + (interarrival_s * US_PER_S) as u64, Event::Arrival);
            }
            Event::Maintenance => {
                self.maintain(now_us);
                self.schedule(now_us + MAINTENANCE_INTERVAL_US, Event::Maintenance);
            }
            Event::Ended(job) => self.finish_job(job, now_us),
        }
    }

    fn arrive(&mut self, now_us: u64) {
        let organisation = self.draw_organisation();
        let draw = self.rng.random_range(
            0..STATEMENT_KINDS.iter().map(|statement_kind| statement_kind.weight).sum::<u32>(),
        );
        let mut cumulative_weight = 0;
        let statement_kind = STATEMENT_KINDS.iter().find(|statement_kind| {
            cumulative_weight += statement_kind.weight;
            draw < cumulative_weight
        });
        let statement_kind = statement_kind.expect("the draw is below the sum of weights");
        let vm = self.rng.random_range(0..self.setup.vms);
        let target = if statement_kind.at_primary { 0 } else { self.replica_for(organisation) };
        let holder = self.holder_for(target, organisation, vm);
        let statement =
            PendingStatement { organisation, arrived_us: now_us, run_us: statement_kind.run_us };
        let mut actions = Actions::default();
        let found = self.pools[target][holder].statement_arrived(statement, now_us, &mut actions);
        self.counts.statements += 1;
        self.counts.missed += u64::from(!found);
        self.apply_actions(actions, target, holder, now_us);
    }

    fn draw_organisation(&mut self) -> OrganisationId {
        let all = self.cumulative_sizes.last().copied().unwrap_or_default();
        let draw = self.rng.random::<f64>() * all;
        self.cumulative_sizes
            .partition_point(|sum| *sum <= draw)
            .min(self.cumulative_sizes.len() - 1)
    }

    fn replica_for(&mut self, organisation: OrganisationId) -> usize {
        match self.strategy.replica {
            ReplicaChoice::Any => self.rng.random_range(1..TARGETS),
            ReplicaChoice::Preferred => {
                let score = |replica: &usize| {
                    homes::user_score("replicas", &name(organisation), &name(*replica))
                };
                (1..TARGETS).max_by_key(score).expect("the service has replicas")
            }
        }
    }

    fn holder_for(&self, target: usize, organisation: OrganisationId, vm: usize) -> usize {
        if self.holders == self.setup.vms {
            return vm;
        }
        match self.strategy.placement {
            Placement::ByVm => vm % self.holders,
            Placement::ByOrganisation => {
                let score = |holder: &usize| {
                    homes::user_score(&name(target), &name(organisation), &name(*holder))
                };
                (0..self.holders).max_by_key(score).expect("at least one process holds connections")
            }
        }
    }

    fn apply_actions(&mut self, actions: Actions, target: usize, holder: usize, now_us: u64) {
        self.counts.replaced += u64::from(actions.replaced);
        let opens = actions.open.into_iter().map(|organisation| (organisation, JobKind::Open));
        let runs = actions.run.into_iter().map(|statement| {
            self.counts.served += 1;
            self.counts.waited_us += now_us - statement.arrived_us;
            (statement.organisation, JobKind::Run { us: statement.run_us })
        });
        let jobs: Vec<(OrganisationId, JobKind)> = runs.chain(opens).collect();
        for (organisation, kind) in jobs {
            self.targets[target].queue.push_back(Job { kind, target, holder, organisation });
        }
        self.start(target, now_us);
    }

    fn start(&mut self, target: usize, now_us: u64) {
        while self.targets[target].running < self.setup.slots {
            let Some(job) = self.targets[target].queue.pop_front() else { return };
            self.targets[target].running += 1;
            let us = match job.kind {
                JobKind::Open => {
                    self.targets[target].opening_us += OPEN_US;
                    OPEN_US
                }
                JobKind::Run { us } => {
                    self.targets[target].running_us += us;
                    us
                }
            };
            self.schedule(now_us + us, Event::Ended(job));
        }
    }

    fn finish_job(&mut self, job: Job, now_us: u64) {
        self.targets[job.target].running -= 1;
        let pool = &mut self.pools[job.target][job.holder];
        let mut actions = Actions::default();
        match job.kind {
            JobKind::Open => pool.connection_opened(job.organisation, now_us, &mut actions),
            JobKind::Run { .. } => pool.statement_ended(job.organisation, now_us, &mut actions),
        }
        self.apply_actions(actions, job.target, job.holder, now_us);
    }

    fn maintain(&mut self, now_us: u64) {
        for target in 0..TARGETS {
            for holder in 0..self.holders {
                let pool = &mut self.pools[target][holder];
                let mut actions = Actions::default();
                let refused = pool.expire(now_us.saturating_sub(WAIT_LIMIT_US));
                pool.maintain(now_us, &mut actions);
                self.counts.refused += refused as u64;
                self.apply_actions(actions, target, holder, now_us);
            }
        }
    }

    fn outcome(&self, span_us: u64) -> Outcome {
        let fraction = |count: u64| count as f64 / self.counts.statements.max(1) as f64;
        let slots_us = span_us as f64 * f64::from(self.setup.slots);
        let [primary, first, second] = &self.targets;
        let replicas_us = (first.running_us + second.running_us).max(1) as f64;
        let busier_us = first.running_us.max(second.running_us) as f64;
        Outcome {
            statements: self.counts.statements,
            misses: fraction(self.counts.missed),
            refused: fraction(self.counts.refused),
            mean_wait_us: self.counts.waited_us as f64 / self.counts.served.max(1) as f64,
            replaced_per_s: self.counts.replaced as f64 * US_PER_S / span_us as f64,
            opening_at_primary: primary.opening_us as f64 / slots_us,
            opening_at_replicas: (first.opening_us + second.opening_us) as f64 / slots_us / 2.0,
            imbalance: busier_us * 2.0 / replicas_us,
        }
    }
}

fn name(number: usize) -> String {
    number.to_string()
}
