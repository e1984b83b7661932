//! A discrete-event simulation of one run: the proxy's target queue in front of a modelled target.
//!
//! The target runs as many statements concurrently as it has slots and queues the others in arrival order,
//! as specified in `docs/INTERFACES.md`. Connections are already open. A statement and its response each
//! take the one-way network delay within an availability zone.

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

/// The number of statements that the target runs concurrently.
const SLOTS: usize = 2;

/// The connection limit of the target.
const CONNECTIONS: u32 = 16;

/// The network delay between the home and the target in one direction, in microseconds.
const ONE_WAY_DELAY_US: u64 = 200;

/// The time between the response to a statement and the arrival of the transaction's next statement at the
/// home, in microseconds: the network round trip to the caller.
const THINK_US: u64 = 2_000;

/// The interval of the checks for expired requests, in microseconds.
const EXPIRY_CHECK_INTERVAL_US: u64 = 10_000;

/// The parameters that vary between runs besides the strategy.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// The limits of the queue.
    pub limits: QueueLimits,
    /// The weights of the classes.
    pub weights: Weights,
}

impl Setup {
    /// Returns the default queue limits with the given weights and at most `running` concurrent statements.
    pub fn new(weights: Weights, running: u32) -> Setup {
        let limits = QueueLimits { running, connections: CONNECTIONS, ..QueueLimits::default() };
        Setup { limits, weights }
    }

    /// Disables the refusals that keep the wait of an overloaded class near its goal.
    pub fn without_standing_rule(mut self) -> Setup {
        self.limits.standing_us = NEVER_US;
        self
    }
}

/// A time beyond the end of every run, in microseconds.
const NEVER_US: u64 = 1_000_000_000_000;

/// An event of the simulation.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
enum Event {
    /// A request arrives at the home.
    Arrives(usize),
    /// A request's next statement arrives at the target.
    Reaches(usize),
    /// The target finishes the statement of a request.
    Ran(usize),
    /// The response to a statement arrives at the home.
    Answered(usize),
    /// The next statement of a request's transaction arrives at the home.
    Continues(usize),
    /// The queue is checked for expired requests.
    Expiry,
}

/// The progress of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
struct Progress {
    granted_us: u64,
    predicted_us: u64,
    sent_us: u64,
    statement: usize,
    /// The sum of the statements' times from sending to response, as the home measures them.
    run_us: u64,
}

/// The state of a run.
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

/// Simulates the arrivals with a queue that uses the sharing strategy `S`.
///
/// # Panics
///
/// Panics if the queue is inconsistent or holds connections at the end of the run.
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
        self.schedule(EXPIRY_CHECK_INTERVAL_US, Event::Expiry);
        while let Some(cmp::Reverse((now_us, _, event))) = self.events.pop() {
            self.handle(event, now_us);
        }
        assert_eq!(self.queue.verify(), Vec::<String>::new(), "the queue is consistent at the end");
        assert_eq!(self.queue.connections(), 0, "every connection was released");
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
                    let request = self
                        .tickets
                        .remove(&grant.ticket)
                        .expect("the ticket belongs to a queued request");
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
            self.schedule(now_us + EXPIRY_CHECK_INTERVAL_US, Event::Expiry);
        }
    }

    fn timed_out(&mut self, ticket: Ticket) {
        let request = self.tickets.remove(&ticket).expect("the ticket belongs to a queued request");
        self.class_outcome(request).timed_out += 1;
    }
}
