//! One run: the product's queue in front of a modelled target, in virtual time.
//!
//! The target runs as many statements at once as it has slots and keeps the others in arrival order,
//! as `docs/INTERFACES.md` says. Connections are open already; a statement and its answer take the
//! time of the way within a zone.

use std::cmp;
use std::collections;

use skylark_core::FastMap;
use skylark_core::ids::ClassId;
use skylark_core::process::sharing::SharingStrategy;
use skylark_core::process::sharing::class_queue::CallerId;
use skylark_core::process::sharing::class_queue::Ticket;
use skylark_core::process::sharing::queue::Admission;
use skylark_core::process::sharing::queue::QueueLimits;
use skylark_core::process::sharing::queue::TargetQueue;
use skylark_core::process::sharing::queue::Turn;
use skylark_core::request::error_kind::ErrorKind;

use crate::surge::outcome::ClassOutcome;
use crate::surge::outcome::RunOutcome;
use crate::surge::trace;
use crate::surge::trace::Arrival;
use crate::surge::trace::CLASSES;
use crate::surge::trace::Weights;

/// Statements that the target runs at once.
const SLOTS: usize = 2;

/// Connections that the target accepts.
const CONNECTIONS: u32 = 16;

/// The way from the home to the target, or back.
const ONE_WAY_DELAY_US: u64 = 200;

/// The time between the answer to a statement and the caller's next one: the way to the caller
/// and back.
const THINK_US: u64 = 2_000;

/// How often expired requests are looked for.
const EXPIRY_US: u64 = 10_000;

/// What is varied between runs besides the strategy.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The bounds of the queue.
    pub limits: QueueLimits,
    /// The weights of the classes.
    pub weights: Weights,
}

impl Setup {
    /// The queue's defaults with these weights and this many statements running at once.
    pub fn new(weights: Weights, running: u32) -> Setup {
        let limits = QueueLimits { running, connections: CONNECTIONS, ..QueueLimits::default() };
        Setup { limits, weights }
    }

    /// Without the refusals that keep the wait of an overloaded class near its goal.
    pub fn without_standing_rule(mut self) -> Setup {
        self.limits.standing_us = NEVER_US;
        self
    }
}

/// A time that no run reaches.
const NEVER_US: u64 = 1_000_000_000_000;

/// What happens at a time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    /// A request arrives at the home.
    Arrives(usize),
    /// A request's next statement arrives at the target.
    Reaches(usize),
    /// A slot has run the statement of a request.
    Ran(usize),
    /// The answer to a statement is back at the home.
    Answered(usize),
    /// The caller sends the next statement of its transaction.
    Continues(usize),
    /// Expired requests are looked for.
    Expiry,
}

/// Where a request stands.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
struct Progress {
    granted_us: u64,
    predicted_us: u64,
    sent_us: u64,
    statement: usize,
    /// What the home sees of its statements: from sending each one to its answer.
    run_us: u64,
}

/// A run under way.
struct Simulation<'a, S> {
    arrivals: &'a [Arrival],
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    sequence: u64,
    queue: TargetQueue<S>,
    tickets: FastMap<Ticket, usize>,
    progress: Vec<Progress>,
    free_slots: usize,
    target_queue: collections::VecDeque<usize>,
    outcome: RunOutcome,
}

/// Runs the recorded arrivals through a queue with the strategy `S`.
pub fn run<S>(arrivals: &[Arrival], setup: &Setup) -> RunOutcome
where
    S: SharingStrategy,
{
    let shares = trace::shares(setup.weights);
    let mut simulation = Simulation::<S> {
        arrivals,
        events: collections::BinaryHeap::new(),
        sequence: 0,
        queue: TargetQueue::new(setup.limits, &shares),
        tickets: FastMap::default(),
        progress: vec![Progress::default(); arrivals.len()],
        free_slots: SLOTS,
        target_queue: collections::VecDeque::new(),
        outcome: RunOutcome::default(),
    };
    simulation.run();
    simulation.outcome
}

impl<S> Simulation<'_, S>
where
    S: SharingStrategy,
{
    fn run(&mut self) {
        self.arrive_next(0);
        self.schedule(EXPIRY_US, Event::Expiry);
        while let Some(cmp::Reverse((now_us, _, event))) = self.events.pop() {
            self.handle(event, now_us);
        }
        assert_eq!(self.queue.verify(), Vec::<String>::new(), "the queue is sound at the end");
        assert_eq!(self.queue.connections(), 0, "every connection came back");
    }

    fn schedule(&mut self, time_us: u64, event: Event) {
        self.sequence += 1;
        self.events.push(cmp::Reverse((time_us, self.sequence, event)));
    }

    fn arrive_next(&mut self, request: usize) {
        if let Some(arrival) = self.arrivals.get(request) {
            self.schedule(arrival.at_us, Event::Arrives(request));
        }
    }

    fn handle(&mut self, event: Event, now_us: u64) {
        match event {
            Event::Arrives(request) => {
                self.handle_arrival(request, now_us);
                self.arrive_next(request + 1);
            }
            Event::Reaches(request) => {
                self.target_queue.push_back(request);
                self.fill_slots(now_us);
            }
            Event::Ran(request) => {
                self.free_slots += 1;
                self.fill_slots(now_us);
                self.schedule(now_us + ONE_WAY_DELAY_US, Event::Answered(request));
            }
            Event::Answered(request) => self.handle_answer(request, now_us),
            Event::Continues(request) => {
                self.queue.statement_started();
                self.send(request, now_us);
            }
            Event::Expiry => self.expire(now_us),
        }
    }

    fn class_outcome(&mut self, request: usize) -> &mut ClassOutcome {
        let arrival = &self.arrivals[request];
        self.outcome.of(arrival.class, arrival.phase())
    }

    fn handle_arrival(&mut self, request: usize, now_us: u64) {
        let arrival = &self.arrivals[request];
        self.class_outcome(request).record_offered(arrival);
        let class = ClassId(arrival.class as u32);
        let deadline_us = now_us + CLASSES[arrival.class].deadline_us;
        match self.queue.arrive(class, CallerId(arrival.caller), deadline_us, now_us) {
            Admission::Granted => self.start_request(request, now_us),
            Admission::Queued { ticket, predicted_wait_us } => {
                self.progress[request].predicted_us = predicted_wait_us;
                self.tickets.insert(ticket, request);
            }
            Admission::Refused { kind: ErrorKind::QueueFull, .. } => {
                self.class_outcome(request).refused_full += 1;
            }
            Admission::Refused { .. } => self.class_outcome(request).refused_deadline += 1,
        }
    }

    fn start_request(&mut self, request: usize, now_us: u64) {
        self.progress[request].granted_us = now_us;
        let waited_us = now_us - self.arrivals[request].at_us;
        let predicted_us = self.progress[request].predicted_us;
        self.class_outcome(request).record_prediction(predicted_us, waited_us);
        self.send(request, now_us);
    }

    fn send(&mut self, request: usize, now_us: u64) {
        self.progress[request].sent_us = now_us;
        self.schedule(now_us + ONE_WAY_DELAY_US, Event::Reaches(request));
    }

    fn fill_slots(&mut self, now_us: u64) {
        while self.free_slots > 0 {
            let Some(request) = self.target_queue.pop_front() else { return };
            self.free_slots -= 1;
            let statement = self.progress[request].statement;
            let run_us = self.arrivals[request].runs_us[statement];
            self.schedule(now_us + run_us, Event::Ran(request));
        }
    }

    fn handle_answer(&mut self, request: usize, now_us: u64) {
        let arrival = &self.arrivals[request];
        let progress = &mut self.progress[request];
        progress.run_us += now_us - progress.sent_us;
        progress.statement += 1;
        self.queue.statement_ended();
        if progress.statement < arrival.runs_us.len() {
            self.schedule(now_us + THINK_US, Event::Continues(request));
        } else {
            let held_us = now_us - progress.granted_us;
            self.queue.released(ClassId(arrival.class as u32), progress.run_us, held_us);
            let response_us = now_us - arrival.at_us;
            self.class_outcome(request).record_served(
                &CLASSES[arrival.class],
                arrival,
                response_us,
            );
        }
        self.take_turns(now_us);
    }

    fn take_turns(&mut self, now_us: u64) {
        while let Some(turn) = self.queue.next_turn(now_us) {
            match turn {
                Turn::Granted(grant) => {
                    let request = self.tickets.remove(&grant.ticket).expect("the ticket waited");
                    self.start_request(request, now_us);
                }
                Turn::TimedOut(ticket) => self.timed_out(ticket),
            }
        }
    }

    fn expire(&mut self, now_us: u64) {
        let mut expired = Vec::new();
        self.queue.expire(now_us, &mut expired);
        for ticket in expired {
            self.timed_out(ticket);
        }
        if !self.events.is_empty() {
            self.schedule(now_us + EXPIRY_US, Event::Expiry);
        }
    }

    fn timed_out(&mut self, ticket: Ticket) {
        let request = self.tickets.remove(&ticket).expect("the ticket waited");
        self.class_outcome(request).timed_out += 1;
    }
}
