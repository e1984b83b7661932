//! A discrete-event simulation of one run. Equal arguments give equal outcomes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;
use std::mem;

use skylark_core::FastMap;
use skylark_core::ids::ClassId;
use skylark_core::process::connection_plan;
use skylark_core::process::connection_plan::ConnectionPlan;
use skylark_core::process::connection_plan::Demand;
use skylark_core::process::homes;
use skylark_core::process::homes::VmRanking;
use skylark_core::process::jitter;
use skylark_core::process::sharing::class_queue::CallerId;
use skylark_core::process::sharing::class_queue::Ticket;
use skylark_core::process::sharing::queue::Admission;
use skylark_core::process::sharing::queue::TargetQueue;
use skylark_core::process::sharing::queue::Turn;
use skylark_core::request::error_kind::ErrorKind;
use skylark_proxy::connection::admission::Strategy;
use skylark_proxy::sessions::process::limits;
use skylark_proxy::sessions::process::targets;

use crate::admission::Arrangement;
use crate::admission::CLASSES;
use crate::admission::Setup;
use crate::admission::TAKE_OVER_US;
use crate::admission::load::Request;
use crate::admission::outcome::End;
use crate::admission::outcome::Outcome;

/// The network delay between two VMs in one direction, in microseconds.
const VM_DELAY_US: u64 = 1_000;

/// The network delay between a home and the target in one direction, in microseconds.
const TARGET_DELAY_US: u64 = 200;

/// The number of times that a caller retries a refused request.
const RETRIES: u32 = 2;

/// The fraction (1/n) of the run whose requests aren't counted, during which the queues' averages settle.
const WARM_UP_DIVISOR: u64 = 10;

/// The class and the objective that a home assigns to forwarded statements without `PRECEDENCE`, see
/// `connection/peer.rs` of the proxy.
const FORWARDED_CLASS: u32 = 1;
const FORWARDED_OBJECTIVE_US: u64 = 200_000;

/// The target's name, from which its homes are derived.
const TARGET: &str = "primary";

/// An event. Requests and homes are referred to by their indexes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    /// A request, or its retry, arrives at its VM.
    Arrives(usize),
    /// The VM sends the request to a home again.
    Resent(usize),
    /// The request arrives at the home.
    Asked(usize),
    /// A waiting request reaches its deadline in the home's queue.
    Expires(usize, Ticket),
    /// The statement arrives at the target.
    Offered(usize),
    /// The target finishes the statement.
    Ran(usize),
    /// The result arrives at the home.
    Answered(usize),
    /// The target's rejection arrives at the home.
    Rejected(usize),
    /// The answer `BUSY` arrives at the VM.
    Busy(usize),
    /// The first home is lost.
    Lost,
}

/// The progress of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    retries: u32,
    vm: usize,
    home: usize,
    /// The class in the home's queue.
    class: u32,
    /// When the current attempt arrived at its VM.
    began_us: u64,
    granted_us: u64,
    started_us: u64,
}

struct Home {
    vm: usize,
    queue: TargetQueue<Strategy>,
    tickets: FastMap<Ticket, usize>,
}

struct Simulation<'a> {
    setup: &'a Setup,
    arrangement: Arrangement,
    requests: &'a [Request],
    progress: Vec<Progress>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    scheduled: u64,
    homes: Vec<Home>,
    /// The homes of the organisations or, if callers are not identified, of the VMs.
    placement: Vec<usize>,
    /// The callers' ids by organisation.
    callers: Vec<CallerId>,
    /// When the first home is lost, in microseconds; `None` if it isn't.
    lost_us: Option<u64>,
    target_running: u32,
    target_queue: VecDeque<usize>,
    outcome: Outcome,
}

/// Simulates the requests under an arrangement.
///
/// # Panics
///
/// Panics if a queue is inconsistent, or if statements are left in a queue or at the target at the end.
pub fn run(setup: &Setup, arrangement: Arrangement, requests: &[Request]) -> Outcome {
    let mut simulation = Simulation::new(setup, arrangement, requests);
    if let Some(lost_us) = simulation.lost_us {
        simulation.schedule(lost_us, Event::Lost);
    }
    for (index, request) in requests.iter().enumerate() {
        simulation.schedule(request.arrived_us, Event::Arrives(index));
    }
    while let Some(Reverse((now_us, _, event))) = simulation.events.pop() {
        simulation.handle(event, now_us);
    }
    let first = usize::from(simulation.lost_us.is_some());
    for home in &simulation.homes[first..] {
        assert_eq!(home.queue.verify(), Vec::<String>::new(), "the queue is consistent");
        assert_eq!((home.queue.queued(), home.queue.connections()), (0, 0), "all were released");
    }
    assert_eq!(simulation.target_running, 0, "the target finished all statements");
    simulation.outcome
}

impl Simulation<'_> {
    fn new<'a>(
        setup: &'a Setup,
        arrangement: Arrangement,
        requests: &'a [Request],
    ) -> Simulation<'a> {
        let vm_names: Vec<String> = (0..setup.vms).map(|vm| format!("vm-{vm}")).collect();
        let organisation_names: Vec<String> =
            (0..setup.organisations).map(|organisation| format!("org-{organisation}")).collect();
        let ranking = VmRanking::new(vm_names.iter().map(String::as_str));
        let vms = ranking.top(TARGET, 0..setup.vms, connection_plan::HOMES);
        let homes: Vec<Home> = vms.iter().map(|vm| Home::new(*vm, setup, arrangement)).collect();
        let rank_for = |user: &String| {
            let score = |rank: &usize| homes::user_score(TARGET, user, &vm_names[vms[*rank]]);
            (0..vms.len()).max_by_key(score).expect("there are homes")
        };
        let rank_for_vm = |(vm, name): (usize, &String)| {
            let own = vms.iter().position(|home| *home == vm);
            own.unwrap_or_else(|| jitter::seed_of(name) as usize % vms.len())
        };
        let placement = match setup.organisations {
            0 => vm_names.iter().enumerate().map(rank_for_vm).collect(),
            _ => organisation_names.iter().map(rank_for).collect(),
        };
        let is_lost = arrangement == Arrangement::OneAdmitsAndIsLost && homes.len() > 1;
        Simulation {
            setup,
            arrangement,
            requests,
            progress: vec![Progress::default(); requests.len()],
            events: BinaryHeap::new(),
            scheduled: 0,
            homes,
            placement,
            callers: organisation_names.iter().map(|it| CallerId(jitter::seed_of(it))).collect(),
            lost_us: is_lost.then(|| setup.lost_us()),
            target_running: 0,
            target_queue: VecDeque::new(),
            outcome: Outcome::new(setup.organisations),
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.scheduled += 1;
        self.events.push(Reverse((at_us, self.scheduled, event)));
    }

    fn handle(&mut self, event: Event, now_us: u64) {
        match event {
            Event::Arrives(request) => {
                let vm = self.requests[request].vm;
                // The callers of a lost VM connect to the others.
                let is_lost = vm == self.homes[0].vm && self.is_lost(0, now_us);
                let progress = &mut self.progress[request];
                progress.began_us = now_us;
                progress.vm = if is_lost { (vm + 1) % self.setup.vms } else { vm };
                self.send_to_home(request, now_us);
            }
            Event::Resent(request) => self.send_to_home(request, now_us),
            Event::Asked(request) => self.ask(request, now_us),
            Event::Expires(home, ticket) => {
                let home = &mut self.homes[home];
                let Some(request) = home.tickets.remove(&ticket) else { return };
                home.queue.abandon(ClassId(self.progress[request].class), ticket);
                self.refused_by_home(request, retry_after_us(ErrorKind::WaitTimedOut), now_us);
            }
            Event::Offered(request) => self.offer(request, now_us),
            Event::Ran(request) => {
                self.target_running -= 1;
                self.fill_slots(now_us);
                self.schedule(now_us + TARGET_DELAY_US, Event::Answered(request));
            }
            Event::Answered(request) => {
                if self.release(request, now_us) {
                    self.answer(request, now_us + self.vm_delay_us(request));
                }
            }
            Event::Rejected(request) => {
                if self.release(request, now_us) {
                    self.schedule(now_us + self.vm_delay_us(request), Event::Busy(request));
                }
            }
            Event::Busy(request) => {
                let again_us = now_us + limits::PRIMARY_PAUSE_US;
                match again_us < self.offer_until_us(request) {
                    true => self.schedule(again_us, Event::Resent(request)),
                    false => self.refuse(request, retry_after_us(ErrorKind::TargetBusy), now_us),
                }
            }
            Event::Lost => {
                // The callers get no answer for the statements that waited here, which did not run.
                for request in mem::take(&mut self.homes[0].tickets).into_values() {
                    self.end(request, End::Unanswered);
                }
            }
        }
    }

    fn is_lost(&self, home: usize, now_us: u64) -> bool {
        home == 0 && self.lost_us.is_some_and(|lost_us| now_us >= lost_us)
    }

    /// Returns the delay between the request's VM and its home.
    fn vm_delay_us(&self, request: usize) -> u64 {
        let progress = &self.progress[request];
        if progress.vm == self.homes[progress.home].vm { 0 } else { VM_DELAY_US }
    }

    /// Returns the time by which a target has to accept the current attempt.
    fn offer_until_us(&self, request: usize) -> u64 {
        let objective_us = CLASSES[self.requests[request].class].objective_us;
        self.progress[request].began_us + offer_us(objective_us)
    }

    fn send_to_home(&mut self, request: usize, now_us: u64) {
        let Request { organisation, vm, .. } = self.requests[request];
        self.progress[request].home = match self.arrangement.shares_admission() {
            // All VMs eject the lost home at the same time.
            true => usize::from(self.is_lost(0, now_us.saturating_sub(TAKE_OVER_US))),
            false if self.setup.organisations == 0 => self.placement[vm],
            false => self.placement[organisation],
        };
        self.schedule(now_us + self.vm_delay_us(request), Event::Asked(request));
    }

    fn ask(&mut self, request: usize, now_us: u64) {
        let Request { organisation, class, vm, .. } = self.requests[request];
        let Progress { home, .. } = self.progress[request];
        if self.is_lost(home, now_us) {
            // Sent on a connection that still seems open, so whether it ran is unknown.
            self.end(request, End::Unanswered);
            return;
        }
        let delay_us = self.vm_delay_us(request);
        let has_class = delay_us == 0 || self.arrangement != Arrangement::FourHomes;
        let (class, wait_us) = match has_class {
            true => {
                let left_us = (self.offer_until_us(request) + delay_us).saturating_sub(now_us);
                (class as u32, left_us / 1_000 * 1_000)
            }
            false => (FORWARDED_CLASS, offer_us(FORWARDED_OBJECTIVE_US)),
        };
        self.progress[request].class = class;
        let caller = self.callers.get(organisation).copied().unwrap_or(CallerId(vm as u64));
        let deadline_us = now_us + wait_us;
        match self.homes[home].queue.arrive(ClassId(class), caller, deadline_us, now_us) {
            Admission::Granted => self.send_to_target(request, now_us),
            Admission::Queued { ticket, .. } => {
                self.homes[home].tickets.insert(ticket, request);
                self.schedule(deadline_us, Event::Expires(home, ticket));
            }
            Admission::Refused { retry_after_us, .. } => {
                self.refused_by_home(request, retry_after_us, now_us);
            }
        }
    }

    fn refused_by_home(&mut self, request: usize, retry_after_us: u64, now_us: u64) {
        let delay_us = self.vm_delay_us(request);
        // A VM that is the home itself refuses its own callers at once under all arrangements.
        match self.arrangement.shares_admission() || delay_us == 0 {
            true => self.refuse(request, retry_after_us, now_us + delay_us),
            false => self.schedule(now_us + delay_us, Event::Busy(request)),
        }
    }

    /// Answers the caller with a refusal. It retries after the given time, in whole milliseconds.
    fn refuse(&mut self, request: usize, retry_after_us: u64, now_us: u64) {
        let Request { arrived_us, class, .. } = self.requests[request];
        if self.is_counted(request) {
            self.outcome.classes[class].refusals += 1;
        }
        let again_us = now_us + retry_after_us.div_ceil(1_000) * 1_000;
        let progress = &mut self.progress[request];
        if progress.retries < RETRIES && again_us < arrived_us + CLASSES[class].limit_us {
            progress.retries += 1;
            self.schedule(again_us, Event::Arrives(request));
        } else {
            self.end(request, End::Refused);
        }
    }

    fn send_to_target(&mut self, request: usize, now_us: u64) {
        self.progress[request].granted_us = now_us;
        self.schedule(now_us + TARGET_DELAY_US, Event::Offered(request));
    }

    fn offer(&mut self, request: usize, now_us: u64) {
        if self.target_queue.len() >= self.setup.target_queue {
            self.outcome.rejected += 1;
            self.schedule(now_us + TARGET_DELAY_US, Event::Rejected(request));
            return;
        }
        self.target_queue.push_back(request);
        let running = self.target_running as usize + self.target_queue.len();
        self.outcome.highest_running = self.outcome.highest_running.max(running);
        self.fill_slots(now_us);
    }

    fn fill_slots(&mut self, now_us: u64) {
        while self.target_running < self.setup.slots {
            let Some(request) = self.target_queue.pop_front() else { return };
            self.target_running += 1;
            self.progress[request].started_us = now_us;
            self.schedule(now_us + self.requests[request].run_us, Event::Ran(request));
        }
    }

    /// Returns a statement's connection at its home and lets the home grant the next turns. Returns whether
    /// the home is there to pass the answer on.
    fn release(&mut self, request: usize, now_us: u64) -> bool {
        let Progress { home, class, granted_us, .. } = self.progress[request];
        if self.is_lost(home, now_us) {
            self.end(request, End::Unanswered);
            return false;
        }
        let held_us = now_us - granted_us;
        self.homes[home].queue.statement_ended();
        self.homes[home].queue.released(ClassId(class), held_us, held_us);
        while let Some(turn) = self.homes[home].queue.next_turn(now_us) {
            match turn {
                Turn::Granted(grant) => {
                    let next = self.take_ticket(home, grant.ticket);
                    self.send_to_target(next, now_us);
                }
                Turn::TimedOut(ticket) => {
                    let next = self.take_ticket(home, ticket);
                    self.refused_by_home(next, retry_after_us(ErrorKind::WaitTimedOut), now_us);
                }
            }
        }
        true
    }

    fn take_ticket(&mut self, home: usize, ticket: Ticket) -> usize {
        self.homes[home].tickets.remove(&ticket).expect("each ticket has a request")
    }

    fn answer(&mut self, request: usize, answered_us: u64) {
        let Request { arrived_us, class, .. } = self.requests[request];
        let response_us = answered_us - arrived_us;
        let waited_us = self.progress[request].started_us - arrived_us;
        self.end(
            request,
            match response_us <= CLASSES[class].limit_us {
                true => End::Served { waited_us, response_us },
                false => End::Unanswered,
            },
        );
    }

    fn end(&mut self, request: usize, end: End) {
        if self.is_counted(request) {
            self.outcome.record(&self.requests[request], end);
        }
    }

    fn is_counted(&self, request: usize) -> bool {
        self.requests[request].arrived_us >= self.setup.span_us / WARM_UP_DIVISOR
    }
}

impl Home {
    fn new(vm: usize, setup: &Setup, arrangement: Arrangement) -> Home {
        let shares_admission = arrangement.shares_admission();
        let share = match shares_admission {
            true => connection_plan::admitting_share(setup.connections),
            false => home_share(setup.connections),
        };
        let running = targets::running_limit(setup.slots, share, shares_admission);
        let has_organisations = setup.organisations > 0;
        let bounds = targets::queue_limits(running, share, has_organisations, shares_admission);
        let queue = TargetQueue::new(bounds, &targets::class_shares());
        Home { vm, queue, tickets: FastMap::default() }
    }
}

/// Returns the connections of each of several homes.
fn home_share(max_connections: u32) -> u32 {
    // More VMs than connections: the replay assumes homes whichever number of VMs it simulates.
    let vms = max_connections as usize + 1;
    match connection_plan::plan(Demand { max_connections, vms, organisations: 0 }) {
        ConnectionPlan::Homes { share, .. } => share,
        ConnectionPlan::Direct { primary, .. } => primary,
    }
}

fn offer_us(objective_us: u64) -> u64 {
    (objective_us / limits::OFFER_DIVISOR).max(limits::LEAST_OFFER_US)
}

fn retry_after_us(kind: ErrorKind) -> u64 {
    kind.answer().retry_after_ms * 1_000
}
