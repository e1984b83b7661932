//! The request queue of one target: admission, waiting and refusal.
//!
//! A statement that is sent to a target without a free slot waits inside the target, in arrival
//! order, where no scheduling strategy applies. So the queue lets only about as many statements run
//! as the target has slots, and keeps the others here. A transaction holds its connection between
//! its statements and takes a slot only while a statement runs; its next statement is sent without
//! waiting, since a wait would prolong the time for which its locks and its connection are held.
//!
//! A request that can't be served before its deadline is refused when it arrives, while it is
//! certain that it did not run and the caller still has time for an alternative.
//!
//! A queue that may grow until requests reach their deadlines stays full throughout an overload:
//! every served request has waited for almost its whole time limit, although a short queue would
//! have the same throughput. So when the predicted wait of a class has been above half of its goal
//! for a while, its requests beyond that are refused until the queue has been short again. A burst
//! ends before that and is queued. (The distinction between a standing queue and a burst is that of
//! Nichols and Jacobson, "Controlling queue delay".)
//!
//! With [`QueueLimits::fair_callers`] the callers of a class share its time (see
//! [`fair_callers`](crate::process::sharing::fair_callers)), and one that fills the queue must not
//! get others refused:
//!
//! - The predicted wait of a request counts only the requests of its class that are served before
//!   it. It is the base of the refusals for an unreachable deadline and for a standing queue.
//!   Requests of other callers that arrive later may be served before it; a request that is thereby
//!   served too late is not run and times out.
//! - Requests of callers that have others waiting in the class take at most half of the places of a
//!   class, and of all classes. The other half is left to callers without waiting requests, so such
//!   a request is refused for lack of places only if as many other callers wait. Among the former, a
//!   caller gets a place only if it has fewer of them than are left (Choudhury and Hahne, "Dynamic
//!   queue length thresholds"), so that callers which fill the queue leave room for the next ones.

use crate::ids::ClassId;
use crate::process::jitter;
use crate::process::sharing::ClassShare;
use crate::process::sharing::ClassView;
use crate::process::sharing::SharingStrategy;
use crate::process::sharing::class_queue::CallerId;
use crate::process::sharing::class_queue::ClassQueue;
use crate::process::sharing::class_queue::Ticket;
use crate::process::sharing::class_queue::Waiting;
use crate::request::error_kind::ErrorKind;

/// The divisor of the moving averages: a new observation has the weight 1/16.
const AVERAGE_DIVISOR: u64 = 16;

/// The shortest time after which a refused caller is advised to retry, in microseconds.
const MIN_RETRY_AFTER_US: u64 = 20_000;

/// The minimum wait that counts as a standing queue, in microseconds.
const MIN_STANDING_BOUND_US: u64 = 100_000;

/// The limits of a queue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct QueueLimits {
    /// The number of statements that may run at the same time: this home's share of the slots, and
    /// one more to keep a slot busy while an answer is in transit.
    pub running: u32,
    /// The number of connections that may be in use at the same time: this home's share.
    pub connections: u32,
    /// The maximum total number of waiting requests.
    pub queued: usize,
    /// The maximum number of waiting requests of one class.
    pub queued_per_class: usize,
    /// The maximum number of waiting requests of one caller in one class while others wait there
    /// too.
    pub queued_per_caller: usize,
    /// How long the predicted wait of a class may be above half of its goal before requests beyond
    /// that are refused, in microseconds.
    pub standing_us: u64,
    /// The assumed run time before any was measured, in microseconds.
    pub initial_run_us: u64,
    /// Whether a deadline is the latest time at which a request may start, instead of the time by which it
    /// has to end.
    pub starts_by_deadline: bool,
    /// Whether the waiting callers of a class share the target's time equally, instead of being served in
    /// the order of arrival.
    pub fair_callers: bool,
    /// Whether the retry times of callers that are refused at the same time are spread.
    pub spread_retries: bool,
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
            starts_by_deadline: false,
            fair_callers: false,
            spread_retries: false,
        }
    }
}

/// The outcome of the arrival of a request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Admission {
    /// The request may take a connection and run now.
    Granted,
    /// The request waits.
    Queued {
        /// The ticket under which it is granted, expires or is abandoned.
        ticket: Ticket,
        /// The predicted wait in microseconds.
        predicted_wait_us: u64,
    },
    /// The request is refused and was not run.
    Refused {
        /// The error that the caller receives.
        kind: ErrorKind,
        /// The time after which a retry may succeed, in microseconds.
        retry_after_us: u64,
    },
}

/// A waiting request that may run now.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Grant {
    /// The ticket of the request.
    pub ticket: Ticket,
    /// The class of the request.
    pub class: ClassId,
    /// The caller that the request comes from.
    pub caller: CallerId,
    /// The time for which it waited, in microseconds.
    pub waited_us: u64,
}

/// The outcome for a waiting request.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Turn {
    /// The request may take a connection and run now.
    Granted(Grant),
    /// The request waited for so long that its answer would come after its deadline. It was not run
    /// and is answered with [`ErrorKind::WaitTimedOut`].
    TimedOut(Ticket),
}

/// The times of a request, or their moving averages for one class, in microseconds.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
struct Times {
    run_us: u64,
    held_us: u64,
}

/// The request queue of one target.
#[derive(Clone, Debug)]
pub struct TargetQueue<S> {
    limits: QueueLimits,
    strategy: S,
    queues: Vec<ClassQueue>,
    averages: Vec<Times>,
    views: Vec<ClassView>,
    /// For each class, the time since which its predicted wait has been above half of its goal.
    standing_since_us: Vec<Option<u64>>,
    running: u32,
    connections: u32,
    next_ticket: u64,
}

impl<S> TargetQueue<S>
where
    S: SharingStrategy,
{
    /// Creates an empty queue for these classes, in the order of [`ClassId`].
    pub fn new(limits: QueueLimits, classes: &[ClassShare]) -> TargetQueue<S> {
        let initial = Times { run_us: limits.initial_run_us, held_us: limits.initial_run_us };
        let mut queue = TargetQueue {
            limits,
            strategy: S::new(classes),
            queues: vec![ClassQueue::new(limits.fair_callers); classes.len()],
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

    /// Changes the limits, for instance when this home's share of the connections changes. Running
    /// and waiting requests are not affected.
    pub fn set_limits(&mut self, limits: QueueLimits) {
        self.limits = limits;
        for class in 0..self.queues.len() {
            self.queues[class].set_fair_callers(limits.fair_callers);
            self.refresh(class);
        }
    }

    /// Changes the classes, in the order of [`ClassId`]. A removed class keeps its settings until
    /// the queue is dropped, so that its waiting requests are still served.
    pub fn set_classes(&mut self, classes: &[ClassShare]) {
        let initial_us = self.limits.initial_run_us;
        for (class, share) in classes.iter().enumerate() {
            if class == self.queues.len() {
                self.queues.push(ClassQueue::new(self.limits.fair_callers));
                self.averages.push(Times { run_us: initial_us, held_us: initial_us });
                self.views.push(ClassView::idle(*share));
                self.standing_since_us.push(None);
            }
            self.views[class].share = *share;
            self.refresh(class);
        }
        let shares: Vec<ClassShare> = self.views.iter().map(|view| view.share).collect();
        self.strategy = S::new(&shares);
    }

    /// Admits, queues or refuses a new request.
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
            self.grant(index, caller);
            return Admission::Granted;
        }
        // The whole class decides whether its queue is a standing one: the short wait of a caller
        // with few requests must not end the refusals of others.
        let class_wait_us = self.predicted_wait_us(class, now_us);
        self.track_standing_wait(index, class_wait_us, now_us);
        let predicted_wait_us = match self.limits.fair_callers {
            true => self.predicted_caller_wait_us(class, caller, now_us),
            false => class_wait_us,
        };
        if let Some(kind) = self.refusal(index, caller, predicted_wait_us, deadline_us, now_us) {
            let retry_after_us = self.retry_after_us(index, caller, class_wait_us, now_us);
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

    /// Removes the request that is served next, if there is room to run it. Must be called after
    /// each release until it returns `None`.
    pub fn next_turn(&mut self, now_us: u64) -> Option<Turn> {
        if !self.has_room() {
            return None;
        }
        let class = self.strategy.choose(&self.views, now_us)?;
        let request = self.queues[class].pop()?;
        self.refresh(class);
        // A request that would be answered after its deadline must not take a slot from others.
        if request.deadline_us <= now_us + self.run_before_deadline_us(class) {
            return Some(Turn::TimedOut(request.ticket));
        }
        self.grant(class, request.caller);
        let waited_us = now_us.saturating_sub(request.queued_us);
        let (ticket, caller) = (request.ticket, request.caller);
        Some(Turn::Granted(Grant { ticket, class: ClassId(class as u32), caller, waited_us }))
    }

    /// Removes every waiting request whose deadline has passed.
    pub fn expire(&mut self, now_us: u64, expired: &mut Vec<Ticket>) {
        for class in 0..self.queues.len() {
            self.queues[class].expire(now_us, expired);
            self.refresh(class);
        }
    }

    /// Removes a request whose caller disconnected. Returns whether it was still waiting.
    pub fn abandon(&mut self, class: ClassId, ticket: Ticket) -> bool {
        let removed = self.queues[class.index()].remove(ticket);
        self.refresh(class.index());
        removed
    }

    /// Records that a statement ended and its transaction keeps the connection. Its slot is free.
    pub fn statement_ended(&mut self) {
        assert!(self.running > 0, "a statement ended that was not counted as running");
        self.running -= 1;
    }

    /// Records that a transaction that holds a connection runs its next statement.
    pub fn statement_started(&mut self) {
        self.running += 1;
        assert!(self.running <= self.connections, "more statements run than connections are held");
    }

    /// Records that a connection was returned after all statements on it ended. `run_us` is the
    /// time for which its statements ran, `held_us` the time for which it was held.
    pub fn released(&mut self, class: ClassId, run_us: u64, held_us: u64) {
        assert!(
            self.connections > self.running,
            "a connection was returned while a statement runs on it"
        );
        self.connections -= 1;
        let averages = &mut self.averages[class.index()];
        averages.run_us = moving_average(averages.run_us, run_us);
        averages.held_us = moving_average(averages.held_us, held_us);
        self.refresh(class.index());
    }

    /// Records the same as [`released`](Self::released), and charges the caller for the time that its
    /// statements took instead of the average of the class. This makes a difference only with fair
    /// order between callers.
    pub fn released_by(&mut self, class: ClassId, caller: CallerId, run_us: u64, held_us: u64) {
        let index = class.index();
        let actual_us = self.busy_us(Times { run_us, held_us });
        self.queues[index].ended(caller, self.views[index].busy_us, actual_us);
        self.released(class, run_us, held_us);
    }

    /// Returns how long a new request of the class would wait if all waiting requests of the class
    /// were served before it.
    pub fn predicted_wait_us(&self, class: ClassId, now_us: u64) -> u64 {
        if self.has_room() && self.queued() == 0 {
            return 0;
        }
        let class = class.index();
        self.strategy.busy_ahead_us(class, &self.views, now_us) + self.views[class].busy_us
    }

    /// Returns how long a new request of the caller would wait: with fair order between callers,
    /// only the requests of its class count that are served before it.
    pub fn predicted_caller_wait_us(&self, class: ClassId, caller: CallerId, now_us: u64) -> u64 {
        if !self.limits.fair_callers || (self.has_room() && self.queued() == 0) {
            return self.predicted_wait_us(class, now_us);
        }
        let class = class.index();
        let busy_us = self.views[class].busy_us;
        let mut views = self.views.clone();
        views[class].queued = self.queues[class].ahead_of(caller, busy_us);
        self.strategy.busy_ahead_us(class, &views, now_us) + busy_us
    }

    /// Returns after how long a caller of the class is advised to retry if it is refused now.
    pub fn advised_retry_us(&self, class: ClassId, caller: CallerId, now_us: u64) -> u64 {
        self.retry_after_us(class.index(), caller, self.predicted_wait_us(class, now_us), now_us)
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> usize {
        self.queues.iter().map(ClassQueue::len).sum()
    }

    /// Returns the number of waiting requests of a class.
    pub fn queued_of(&self, class: ClassId) -> usize {
        self.queues[class.index()].len()
    }

    /// Returns the number of running statements.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Returns the number of connections in use.
    pub fn connections(&self) -> u32 {
        self.connections
    }

    /// Returns every violated invariant.
    pub fn verify(&self) -> Vec<String> {
        let mut problems: Vec<String> = self.queues.iter().flat_map(ClassQueue::verify).collect();
        if self.running > self.connections {
            problems.push(format!(
                "{} statements run on {} connections",
                self.running, self.connections
            ));
        }
        if self.queued() > self.limits.queued {
            problems.push(format!("{} requests wait, more than the limit", self.queued()));
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

    fn grant(&mut self, class: usize, caller: CallerId) {
        let busy_us = self.views[class].busy_us;
        self.running += 1;
        self.connections += 1;
        self.strategy.granted(class, busy_us);
        self.queues[class].granted(caller, busy_us);
        // The grant may have moved the caller behind others.
        self.refresh(class);
    }

    /// Returns how much of the run time of a request of the class has to pass before its deadline.
    fn run_before_deadline_us(&self, class: usize) -> u64 {
        match self.limits.starts_by_deadline {
            true => 0,
            false => self.views[class].run_us,
        }
    }

    /// Returns the time after which a refused caller is advised to retry.
    ///
    /// With spread retry times, callers that are refused at the same moment do not return at the same
    /// moment, and not sooner than after the goal of their class: they would use up their retries
    /// during the same overload.
    fn retry_after_us(
        &self,
        class: usize,
        caller: CallerId,
        class_wait_us: u64,
        now_us: u64,
    ) -> u64 {
        let shortest_us = class_wait_us.max(MIN_RETRY_AFTER_US);
        if !self.limits.spread_retries {
            return shortest_us;
        }
        let shortest_us = shortest_us.max(self.views[class].share.goal_us);
        shortest_us + jitter::below_us(caller.0, now_us, shortest_us / 2 + 1)
    }

    fn refusal(
        &self,
        class: usize,
        caller: CallerId,
        predicted_wait_us: u64,
        deadline_us: u64,
        now_us: u64,
    ) -> Option<ErrorKind> {
        let needed_us = predicted_wait_us + self.run_before_deadline_us(class);
        if now_us.saturating_add(needed_us) > deadline_us {
            return Some(ErrorKind::DeadlineUnreachable);
        }
        let queue = &self.queues[class];
        let is_full = queue.len() >= self.limits.queued_per_class
            || self.exceeds_caller_limit(class, caller)
            || self.is_standing(class, caller, predicted_wait_us, now_us)
            || match self.limits.fair_callers {
                true => !self.has_fair_queue_space(class, caller),
                false => !self.has_queue_space(class),
            };
        is_full.then_some(ErrorKind::QueueFull)
    }

    /// Returns whether the caller has reached its limit of waiting requests in the class.
    ///
    /// A caller whose requests are the only ones in the queue does not delay others, and may be a
    /// whole application that connects under one name. Its limit is therefore higher, but leaves
    /// room for requests of other callers.
    fn exceeds_caller_limit(&self, class: usize, caller: CallerId) -> bool {
        let queue = &self.queues[class];
        let per_caller = self.limits.queued_per_caller;
        let bound = match queue.has_others(caller) {
            true => per_caller,
            false => self.limits.queued_per_class.saturating_sub(per_caller).max(per_caller),
        };
        queue.queued_of(caller) >= bound
    }

    /// Updates the time since which the queue has been a standing queue. The wait counts as short again only
    /// well below the bounds: while requests are refused, it stays close to the bounds, and this
    /// must not end the refusals.
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
        let is_long = since
            .is_some_and(|since_us| now_us.saturating_sub(since_us) >= self.limits.standing_us);
        is_long && predicted_wait_us > bound_us
    }

    /// Returns the wait above which requests are refused: half of the goal of the class. The
    /// minimum leaves room for random fluctuations of the arrivals of a class with a short goal.
    fn standing_bound_us(&self, class: usize) -> u64 {
        (self.views[class].share.goal_us / 2).max(MIN_STANDING_BOUND_US)
    }

    /// Returns whether the total limit leaves room for a request of the class.
    ///
    /// Half of the total is reserved in equal parts for the classes, and the rest is shared.
    /// Without the reservation, a surge of one class would fill the whole queue, and requests of
    /// the other classes would be refused regardless of their weight.
    fn has_queue_space(&self, class: usize) -> bool {
        let reserved = self.limits.queued / (2 * self.queues.len().max(1));
        if self.queues[class].len() < reserved {
            return true;
        }
        let taken: usize = self.queues.iter().map(|queue| queue.len().max(reserved)).sum();
        taken < self.limits.queued
    }

    /// Returns whether there is a place for a request of the caller with fair order between callers.
    ///
    /// The places are divided as for [`has_queue_space`](Self::has_queue_space), and each part
    /// again into halves: one for the first waiting request of each caller, and one for further
    /// requests. First requests may also take places of the other half.
    fn has_fair_queue_space(&self, class: usize, caller: CallerId) -> bool {
        let limits = &self.limits;
        let reserved = limits.queued / (2 * self.queues.len().max(1));
        let reserved_further = reserved / 2;
        let reserved_first = reserved - reserved_further;
        let first = |queue: &ClassQueue| queue.callers();
        let further = |queue: &ClassQueue| queue.len() - queue.callers();

        let taken_first: usize =
            self.queues.iter().map(|queue| first(queue).max(reserved_first)).sum();
        let taken_further: usize =
            self.queues.iter().map(|queue| further(queue).max(reserved_further)).sum();
        let shared = limits.queued.saturating_sub(taken_first + taken_further);
        let queue = &self.queues[class];
        if queue.queued_of(caller) == 0 {
            return first(queue) < reserved_first || shared > 0;
        }

        let shared_further = shared.min((limits.queued / 2).saturating_sub(taken_further));
        let left_in_total = reserved_further.saturating_sub(further(queue)) + shared_further;
        let class_further = limits.queued_per_class / 2;
        let class_first = first(queue).max(limits.queued_per_class - class_further);
        let left_in_class = limits.queued_per_class.saturating_sub(class_first + further(queue));
        queue.queued_of(caller) <= left_in_total.min(left_in_class)
    }

    fn refresh(&mut self, class: usize) {
        let queue = &self.queues[class];
        let averages = self.averages[class];
        let busy_us = self.busy_us(averages);
        let view = &mut self.views[class];
        view.queued = queue.len();
        view.head_queued_us = queue.head().map_or(0, |head| head.queued_us);
        view.run_us = averages.run_us;
        view.busy_us = busy_us;
    }

    /// Returns for how long requests with these times keep the whole target busy.
    fn busy_us(&self, times: Times) -> u64 {
        let slots = u64::from(self.limits.running.max(1));
        let connections = u64::from(self.limits.connections.max(1));
        (times.run_us / slots).max(times.held_us / connections).max(1)
    }
}

fn moving_average(average_us: u64, observed_us: u64) -> u64 {
    average_us - average_us / AVERAGE_DIVISOR + observed_us / AVERAGE_DIVISOR
}
