//! The queue in front of one target: what runs, what waits, and what is refused at once.
//!
//! A statement that is sent to a target whose slots are taken waits inside the target, in arrival
//! order, where no strategy can reach it. So the queue lets only about as many statements run as
//! the target has slots, and keeps the others here. A transaction holds its connection between its
//! statements and takes a slot only while one runs; its next statement goes at once, since waiting
//! would lengthen the time for which its locks and its connection are held.
//!
//! A request that can't be served before its deadline is refused when it arrives, while "not run" is
//! plainly true and the caller still has time for something else.
//!
//! A queue that is allowed to fill up to the deadlines stays full throughout an overload, and every
//! request that is served has waited for almost its whole time limit, though no more are served than
//! from a short queue. So when the predicted wait of a class has stood above half of its goal for a
//! while, its requests beyond that are refused until the queue has been short again. A burst passes
//! before that and is queued. (The idea of telling a standing queue from a burst is that of Nichols
//! and Jacobson, "Controlling queue delay".)

use crate::ids::ClassId;
use crate::process::sharing::ClassShare;
use crate::process::sharing::ClassView;
use crate::process::sharing::SharingStrategy;
use crate::process::sharing::class_queue::CallerId;
use crate::process::sharing::class_queue::ClassQueue;
use crate::process::sharing::class_queue::Ticket;
use crate::process::sharing::class_queue::Waiting;
use crate::request::error_kind::ErrorKind;

/// The weight of the newest observation in an average, as one part in this many.
const AVERAGE_DIVISOR: u64 = 16;

/// The shortest time after which a refused caller is asked to come back.
const MIN_RETRY_AFTER_US: u64 = 20_000;

/// The shortest wait that counts as standing.
const MIN_STANDING_BOUND_US: u64 = 100_000;

/// The bounds of a queue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueueLimits {
    /// How many statements run at once: this home's part of the slots, and one more so that a
    /// slot is not idle while an answer travels.
    pub running: u32,
    /// How many connections are given out at once: this home's part.
    pub connections: u32,
    /// How many requests wait in all.
    pub queued: usize,
    /// How many requests of one class wait.
    pub queued_per_class: usize,
    /// How many requests of one caller wait in one class while others wait there too.
    pub queued_per_caller: usize,
    /// How long the predicted wait of a class may stand above half of its goal before requests
    /// beyond that are refused.
    pub standing_us: u64,
    /// The run time reckoned with before any was seen.
    pub initial_run_us: u64,
}

impl Default for QueueLimits {
    fn default() -> QueueLimits {
        QueueLimits {
            running: 3,
            connections: 16,
            queued: 512,
            queued_per_class: 256,
            queued_per_caller: 32,
            standing_us: 1_000_000,
            initial_run_us: 5_000,
        }
    }
}

/// What happens to a request that arrives.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission {
    /// It may take a connection and run now.
    Granted,
    /// It waits under this ticket.
    Queued {
        /// The identity under which it is granted, expires or is abandoned.
        ticket: Ticket,
        /// How long it is expected to wait.
        predicted_wait_us: u64,
    },
    /// It is refused: nothing was run.
    Refused {
        /// The answer.
        kind: ErrorKind,
        /// When coming back can help.
        retry_after_us: u64,
    },
}

/// A request that waited and may run now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Grant {
    /// The request.
    pub ticket: Ticket,
    /// Its class.
    pub class: ClassId,
    /// How long it waited.
    pub waited_us: u64,
}

/// What happens to a request that waited.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Turn {
    /// It may take a connection and run now.
    Granted(Grant),
    /// It waited for so long that its answer would come after its deadline, so it was not run: it
    /// is answered [`ErrorKind::WaitTimedOut`].
    TimedOut(Ticket),
}

/// The averages of one class.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Averages {
    run_us: u64,
    held_us: u64,
}

/// The queue in front of one target.
#[derive(Clone, Debug)]
pub struct TargetQueue<S> {
    limits: QueueLimits,
    strategy: S,
    queues: Vec<ClassQueue>,
    averages: Vec<Averages>,
    views: Vec<ClassView>,
    /// Since when the predicted wait of each class stands above half of its goal.
    standing_since_us: Vec<Option<u64>>,
    running: u32,
    connections: u32,
    next_ticket: u64,
}

impl<S> TargetQueue<S>
where
    S: SharingStrategy,
{
    /// An empty queue for these classes, in the order of [`ClassId`].
    pub fn new(limits: QueueLimits, classes: &[ClassShare]) -> TargetQueue<S> {
        let initial = Averages { run_us: limits.initial_run_us, held_us: limits.initial_run_us };
        let mut queue = TargetQueue {
            limits,
            strategy: S::new(classes),
            queues: vec![ClassQueue::default(); classes.len()],
            averages: vec![initial; classes.len()],
            views: classes.iter().map(|share| ClassView::idle(*share)).collect(),
            standing_since_us: vec![None; classes.len()],
            running: 0,
            connections: 0,
            next_ticket: 0,
        };
        for class in 0..classes.len() {
            queue.refresh(class);
        }
        queue
    }

    /// Changes the bounds, for instance when this home's part of the connections changes. What runs
    /// or waits already is left alone.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
        for class in 0..self.queues.len() {
            self.refresh(class);
        }
    }

    /// Changes the classes, in the order of [`ClassId`]. A class that went keeps its settings until
    /// the queue is dropped, so that what waits in it is still served.
    pub fn set_classes(&mut self, classes: &[ClassShare]) {
        let initial_us = self.limits.initial_run_us;
        for (class, share) in classes.iter().enumerate() {
            if class == self.queues.len() {
                self.queues.push(ClassQueue::default());
                self.averages.push(Averages { run_us: initial_us, held_us: initial_us });
                self.views.push(ClassView::idle(*share));
                self.standing_since_us.push(None);
            }
            self.views[class].share = *share;
            self.refresh(class);
        }
        let shares: Vec<ClassShare> = self.views.iter().map(|view| view.share).collect();
        self.strategy = S::new(&shares);
    }

    /// Takes a request that arrives.
    pub fn arrive(
        &mut self,
        class: ClassId,
        caller: CallerId,
        deadline_us: u64,
        now_us: u64,
    ) -> Admission {
        let index = class.index();
        if self.has_room() && self.queued() == 0 {
            self.standing_since_us[index] = None;
            self.strategy.became_busy(index);
            self.grant(index);
            return Admission::Granted;
        }
        let predicted_wait_us = self.predicted_wait_us(class, now_us);
        self.track_standing_wait(index, predicted_wait_us, now_us);
        if let Some(kind) = self.refusal(index, caller, predicted_wait_us, deadline_us, now_us) {
            let retry_after_us = predicted_wait_us.max(MIN_RETRY_AFTER_US);
            return Admission::Refused { kind, retry_after_us };
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        if self.queues[index].is_empty() {
            self.strategy.became_busy(index);
        }
        let request = Waiting { ticket, caller, queued_us: now_us, deadline_us };
        self.queues[index].push(request);
        self.refresh(index);
        Admission::Queued { ticket, predicted_wait_us }
    }

    /// Takes the request that goes next, if there is room for one. To be called until it returns
    /// `None` after each release.
    pub fn next_turn(&mut self, now_us: u64) -> Option<Turn> {
        if !self.has_room() {
            return None;
        }
        let class = self.strategy.choose(&self.views, now_us)?;
        let request = self.queues[class].pop()?;
        self.refresh(class);
        // What would be answered after the deadline takes a slot from what would not.
        if request.deadline_us <= now_us + self.views[class].run_us {
            return Some(Turn::TimedOut(request.ticket));
        }
        self.grant(class);
        let waited_us = now_us.saturating_sub(request.queued_us);
        let class = ClassId(class as u32);
        Some(Turn::Granted(Grant { ticket: request.ticket, class, waited_us }))
    }

    /// Takes out every waiting request whose deadline has come.
    pub fn expire(&mut self, now_us: u64, expired: &mut Vec<Ticket>) {
        for class in 0..self.queues.len() {
            self.queues[class].expire(now_us, expired);
            self.refresh(class);
        }
    }

    /// Takes out a request whose caller went away. Returns whether it was still waiting.
    pub fn abandon(&mut self, class: ClassId, ticket: Ticket) -> bool {
        let removed = self.queues[class.index()].remove(ticket);
        self.refresh(class.index());
        removed
    }

    /// A statement ended, and its transaction keeps the connection: the slot is free.
    pub fn statement_ended(&mut self) {
        assert!(self.running > 0, "a statement ended that was not counted as running");
        self.running -= 1;
    }

    /// A transaction that holds a connection runs its next statement.
    pub fn statement_started(&mut self) {
        self.running += 1;
        assert!(self.running <= self.connections, "more statements run than connections are held");
    }

    /// A connection was given back, after all statements on it ended. `run_us` is the time in which
    /// its statements ran, `held_us` the time for which it was held.
    pub fn released(&mut self, class: ClassId, run_us: u64, held_us: u64) {
        assert!(self.connections > self.running, "a connection was given back while it runs");
        self.connections -= 1;
        let averages = &mut self.averages[class.index()];
        averages.run_us = moving_average(averages.run_us, run_us);
        averages.held_us = moving_average(averages.held_us, held_us);
        self.refresh(class.index());
    }

    /// How long a new request would wait.
    pub fn predicted_wait_us(&self, class: ClassId, now_us: u64) -> u64 {
        if self.has_room() && self.queued() == 0 {
            return 0;
        }
        let class = class.index();
        self.strategy.busy_ahead_us(class, &self.views, now_us) + self.views[class].busy_us
    }

    /// How many requests wait.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(ClassQueue::len).sum()
    }

    /// How many requests of a class wait.
    pub fn queued_of(&self, class: ClassId) -> usize {
        self.queues[class.index()].len()
    }

    /// How many statements run.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// How many connections are given out.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// Every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems: Vec<String> = self.queues.iter().flat_map(ClassQueue::verify).collect();
        if self.running > self.connections {
            problems.push(format!("{} run on {} connections", self.running, self.connections));
        }
        if self.queued() > self.limits.queued {
            problems.push(format!("{} wait, more than the bound", self.queued()));
        }
        for (class, queue) in self.queues.iter().enumerate() {
            let view = &self.views[class];
            let head_us = queue.head().map_or(0, |head| head.queued_us);
            if view.queued != queue.len() || view.head_queued_us != head_us {
                problems.push(format!("the view of class{class} is stale"));
            }
        }
        problems
    }

    fn has_room(&self) -> bool {
        self.running < self.limits.running && self.connections < self.limits.connections
    }

    fn grant(&mut self, class: usize) {
        self.running += 1;
        self.connections += 1;
        self.strategy.granted(class, self.views[class].busy_us);
    }

    fn refusal(
        &self,
        class: usize,
        caller: CallerId,
        predicted_wait_us: u64,
        deadline_us: u64,
        now_us: u64,
    ) -> Option<ErrorKind> {
        let answered_us = predicted_wait_us + self.views[class].run_us;
        if now_us.saturating_add(answered_us) > deadline_us {
            return Some(ErrorKind::DeadlineUnreachable);
        }
        let queue = &self.queues[class];
        let full = queue.len() >= self.limits.queued_per_class
            || self.exceeds_caller_limit(class, caller)
            || self.is_standing(class, caller, predicted_wait_us, now_us)
            || !self.has_queue_space(class);
        full.then_some(ErrorKind::QueueFull)
    }

    /// Whether the caller has as many requests waiting as the others of its class can bear.
    ///
    /// A caller that has the queue to itself harms nobody, and may be a whole application that
    /// connects under one name. It still leaves places for others that come.
    fn exceeds_caller_limit(&self, class: usize, caller: CallerId) -> bool {
        let queue = &self.queues[class];
        let per_caller = self.limits.queued_per_caller;
        let bound = match queue.has_others(caller) {
            true => per_caller,
            false => self.limits.queued_per_class.saturating_sub(per_caller).max(per_caller),
        };
        queue.queued_of(caller) >= bound
    }

    /// Notes since when the wait stands. It counts as short again only well below the bounds: while
    /// requests are refused the wait stays close to them, and must not end that.
    fn track_standing_wait(&mut self, class: usize, predicted_wait_us: u64, now_us: u64) {
        let bound_us = self.standing_bound_us(class);
        let since = &mut self.standing_since_us[class];
        if predicted_wait_us > bound_us / 2 {
            since.get_or_insert(now_us);
        } else if predicted_wait_us <= bound_us / 4 {
            *since = None;
        }
    }

    fn is_standing(
        &self,
        class: usize,
        caller: CallerId,
        predicted_wait_us: u64,
        now_us: u64,
    ) -> bool {
        let queue = &self.queues[class];
        let shares_queue = queue.queued_of(caller) > 0 && queue.has_others(caller);
        let bound_us = self.standing_bound_us(class) / if shares_queue { 2 } else { 1 };
        let since = self.standing_since_us[class];
        let stands = since.is_some_and(|since_us| now_us - since_us >= self.limits.standing_us);
        stands && predicted_wait_us > bound_us
    }

    /// A class with a tight goal keeps room for the random ups and downs of its arrivals.
    fn standing_bound_us(&self, class: usize) -> u64 {
        (self.views[class].share.goal_us / 2).max(MIN_STANDING_BOUND_US)
    }

    /// Whether the bound in all leaves a place for the class.
    ///
    /// Half of the places are divided evenly among the classes, and the rest is for whoever comes.
    /// Without that, a surge of one class would fill the whole queue and the requests of the others
    /// would be refused for lack of a place, however high their weight.
    fn has_queue_space(&self, class: usize) -> bool {
        let reserved = self.limits.queued / (2 * self.queues.len().max(1));
        if self.queues[class].len() < reserved {
            return true;
        }
        let taken: usize = self.queues.iter().map(|queue| queue.len().max(reserved)).sum();
        taken < self.limits.queued
    }

    fn refresh(&mut self, class: usize) {
        let queue = &self.queues[class];
        let averages = self.averages[class];
        let slots = u64::from(self.limits.running.max(1));
        let connections = u64::from(self.limits.connections.max(1));
        let view = &mut self.views[class];
        view.queued = queue.len();
        view.head_queued_us = queue.head().map_or(0, |head| head.queued_us);
        view.run_us = averages.run_us;
        view.busy_us = (averages.run_us / slots).max(averages.held_us / connections).max(1);
    }
}

fn moving_average(average_us: u64, observed_us: u64) -> u64 {
    average_us - average_us / AVERAGE_DIVISOR + observed_us / AVERAGE_DIVISOR
}
