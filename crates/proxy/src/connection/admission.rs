//! Admission of requests to a target: connects the decisions of `skylark_core::process::sharing::queue`
//! with the tasks that wait for its tickets.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::ids::ClassId;
use skylark_core::process::sharing::ClassShare;
use skylark_core::process::sharing::class_queue::CallerId;
use skylark_core::process::sharing::class_queue::Ticket;
use skylark_core::process::sharing::queue::Admission;
use skylark_core::process::sharing::queue::QueueLimits;
use skylark_core::process::sharing::queue::TargetQueue;
use skylark_core::process::sharing::queue::Turn;
use skylark_core::request::error_kind::ErrorKind;
use tokio::sync::oneshot;
use tokio::time;

use crate::process::clock::MonotonicClock;
use crate::request::refusal::Refusal;

/// The scheduling strategy. `docs/design/sharing-in-a-surge.md` compares it with the alternatives.
pub type Strategy = skylark_core::process::sharing::weighted::WeightedMaxMin;

/// A request for admission.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct AdmissionRequest {
    /// The class of the request.
    pub class: ClassId,
    /// The caller, identified by a hash of its user name.
    pub caller: CallerId,
    /// The deadline of the request, in microseconds of the process's clock.
    pub deadline_us: u64,
}

/// The state of one class of a queue.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct ClassAdmission {
    /// Number of statements that run.
    pub running: u32,
    /// Number of requests that wait.
    pub waiting: usize,
    /// Number of requests that were not admitted since the queue was created: refused at arrival, or not
    /// admitted before their deadline.
    pub refused: u64,
    /// The time that a new request is expected to wait, in microseconds.
    pub predicted_wait_us: u64,
}

/// The admission queue in front of one target.
#[derive(Debug)]
pub struct AdmissionQueue {
    inner: Mutex<Inner>,
    clock: MonotonicClock,
}

#[derive(Debug)]
struct Inner {
    classes: Vec<ClassShare>,
    queue: TargetQueue<Strategy>,
    limits: QueueLimits,
    waiting: FastMap<Ticket, oneshot::Sender<Result<AdmissionPermit, ErrorKind>>>,
    /// Counts of the classes. Those of a removed class stay, since its permits may still be in use.
    counts: Vec<ClassCounts>,
}

/// The counts of one class.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    /// Number of statements that run.
    running: u32,
    /// Number of requests that were not admitted.
    refused: u64,
}

impl Inner {
    /// Returns `class`, or the default class if the queue does not have it: the queue may be of another
    /// version.
    fn known_class(&self, class: ClassId) -> ClassId {
        if class.index() < self.classes.len() { class } else { ClassId(0) }
    }

    fn statement_started(&mut self, class: ClassId) {
        self.queue.statement_started();
        self.counts[class.index()].running += 1;
    }

    fn statement_ended(&mut self, class: ClassId) {
        self.queue.statement_ended();
        self.counts[class.index()].running -= 1;
    }
}

/// A result to deliver to a waiting task. Delivered only after the queue's lock is released: if the
/// task is gone, dropping its permit takes the lock again.
type Wakeup =
    (oneshot::Sender<Result<AdmissionPermit, ErrorKind>>, Result<AdmissionPermit, ErrorKind>);

impl AdmissionQueue {
    /// Creates an empty queue.
    pub fn new(
        limits: QueueLimits,
        classes: &[ClassShare],
        clock: MonotonicClock,
    ) -> AdmissionQueue {
        let queue = TargetQueue::new(limits, classes);
        let classes = classes.to_vec();
        let counts = vec![ClassCounts::default(); classes.len()];
        let inner = Inner { classes, queue, limits, waiting: FastMap::default(), counts };
        AdmissionQueue { inner: Mutex::new(inner), clock }
    }

    /// Changes the limits and the classes.
    pub fn configure(self: &Arc<Self>, limits: QueueLimits, classes: &[ClassShare]) {
        let mut inner = self.inner.lock();
        if inner.limits == limits && inner.classes == classes {
            return;
        }
        if inner.limits != limits {
            inner.limits = limits;
            inner.queue.set_limits(limits);
        }
        if inner.classes != classes {
            inner.classes = classes.to_vec();
            inner.queue.set_classes(classes);
            let known = inner.counts.len().max(classes.len());
            inner.counts.resize(known, ClassCounts::default());
        }
        let wakeups = self.grant_turns(&mut inner);
        drop(inner);
        wake(wakeups);
    }

    /// Returns the time that a request is expected to wait, in microseconds.
    pub fn predicted_wait_us(&self, request: &AdmissionRequest) -> u64 {
        let inner = self.inner.lock();
        let class = inner.known_class(request.class);
        inner.queue.predicted_caller_wait_us(class, request.caller, self.clock.now_us())
    }

    /// Returns the state of each class, in the order of [`ClassId`].
    pub fn by_class(&self) -> Vec<ClassAdmission> {
        let now_us = self.clock.now_us();
        let inner = self.inner.lock();
        let of_class = |class: usize| {
            let (counts, class) = (inner.counts[class], ClassId(class as u32));
            ClassAdmission {
                running: counts.running,
                waiting: inner.queue.queued_of(class),
                refused: counts.refused,
                predicted_wait_us: inner.queue.predicted_wait_us(class, now_us),
            }
        };
        (0..inner.classes.len()).map(of_class).collect()
    }

    /// Waits for admission. Fails if the queue refuses the request or the deadline expires.
    pub async fn admit(
        self: &Arc<Self>,
        request: &AdmissionRequest,
    ) -> Result<AdmissionPermit, Refusal> {
        let (class, ticket, granted) = {
            let mut inner = self.inner.lock();
            // Read under the lock, so that the queue's time does not go backwards.
            let now_us = self.clock.now_us();
            let class = inner.known_class(request.class);
            match inner.queue.arrive(class, request.caller, request.deadline_us, now_us) {
                Admission::Granted => {
                    return Ok(self.new_permit(&mut inner, class, request.caller));
                }
                Admission::Refused { kind, retry_after_us } => {
                    inner.counts[class.index()].refused += 1;
                    return Err(Refusal::with_retry_after(kind, retry_after_us.div_ceil(1_000)));
                }
                Admission::Queued { ticket, .. } => {
                    let (sender, granted) = oneshot::channel();
                    inner.waiting.insert(ticket, sender);
                    (class, ticket, granted)
                }
            }
        };
        let _abandon = AbandonOnDrop { queue: self, class, ticket };
        let left_us = request.deadline_us.saturating_sub(self.clock.now_us());
        match time::timeout(Duration::from_micros(left_us), granted).await {
            Ok(Ok(Ok(permit))) => Ok(permit),
            Ok(Ok(Err(kind))) => Err(self.refuse_waiting(class, request.caller, kind)),
            _ => Err(self.refuse_waiting(class, request.caller, ErrorKind::WaitTimedOut)),
        }
    }

    /// Counts the refusal of a request that waited, and returns it.
    fn refuse_waiting(&self, class: ClassId, caller: CallerId, kind: ErrorKind) -> Refusal {
        let mut inner = self.inner.lock();
        inner.counts[class.index()].refused += 1;
        if !inner.limits.spread_retries {
            return Refusal::from(kind);
        }
        let retry_us = inner.queue.advised_retry_us(class, caller, self.clock.now_us());
        Refusal::with_retry_after(kind, retry_us.div_ceil(1_000))
    }

    fn new_permit(
        self: &Arc<Self>,
        inner: &mut Inner,
        class: ClassId,
        caller: CallerId,
    ) -> AdmissionPermit {
        inner.counts[class.index()].running += 1;
        let now_us = self.clock.now_us();
        AdmissionPermit {
            queue: Arc::clone(self),
            class,
            caller,
            granted_us: now_us,
            ran_us: 0,
            started_us: Some(now_us),
        }
    }

    fn grant_turns(self: &Arc<Self>, inner: &mut Inner) -> Vec<Wakeup> {
        let mut wakeups = Vec::new();
        while let Some(turn) = inner.queue.next_turn(self.clock.now_us()) {
            let (ticket, result) = match turn {
                Turn::Granted(grant) => {
                    (grant.ticket, Ok(self.new_permit(inner, grant.class, grant.caller)))
                }
                Turn::TimedOut(ticket) => (ticket, Err(ErrorKind::WaitTimedOut)),
            };
            let sender = inner.waiting.remove(&ticket);
            let sender = sender.expect("each queued ticket has a sender");
            wakeups.push((sender, result));
        }
        wakeups
    }

    fn update_queue<F>(self: &Arc<Self>, update: F)
    where
        F: FnOnce(&mut Inner),
    {
        let mut inner = self.inner.lock();
        update(&mut inner);
        let wakeups = self.grant_turns(&mut inner);
        drop(inner);
        wake(wakeups);
    }
}

fn wake(wakeups: Vec<Wakeup>) {
    for (sender, result) in wakeups {
        // If the task is gone, the permit in the result is dropped and thereby released.
        let _ = sender.send(result);
    }
}

/// Removes a request from the queue when its task stops waiting.
struct AbandonOnDrop<'a> {
    queue: &'a Arc<AdmissionQueue>,
    class: ClassId,
    ticket: Ticket,
}

impl Drop for AbandonOnDrop<'_> {
    fn drop(&mut self) {
        let mut inner = self.queue.inner.lock();
        if inner.waiting.remove(&self.ticket).is_some() {
            inner.queue.abandon(self.class, self.ticket);
        }
    }
}

/// Permission to run one statement at a time and to hold one connection at the target, until dropped.
#[derive(Debug)]
pub struct AdmissionPermit {
    queue: Arc<AdmissionQueue>,
    class: ClassId,
    caller: CallerId,
    granted_us: u64,
    ran_us: u64,
    started_us: Option<u64>,
}

impl AdmissionPermit {
    /// Reports that the statement ended and its transaction continues.
    pub fn statement_ended(&mut self) {
        if self.stop_running() {
            let class = self.class;
            self.queue.update_queue(|inner| inner.statement_ended(class));
        }
    }

    /// Reports that the transaction's next statement runs.
    pub fn statement_started(&mut self) {
        if self.started_us.is_none() {
            self.started_us = Some(self.queue.clock.now_us());
            self.queue.inner.lock().statement_started(self.class);
        }
    }

    fn stop_running(&mut self) -> bool {
        let Some(started_us) = self.started_us.take() else { return false };
        self.ran_us += self.queue.clock.now_us().saturating_sub(started_us);
        true
    }
}

impl Drop for AdmissionPermit {
    fn drop(&mut self) {
        let was_running = self.stop_running();
        let held_us = self.queue.clock.now_us().saturating_sub(self.granted_us);
        let (class, caller, ran_us) = (self.class, self.caller, self.ran_us);
        self.queue.update_queue(|inner| {
            if was_running {
                inner.statement_ended(class);
            }
            inner.queue.released_by(class, caller, ran_us, held_us);
        });
    }
}
