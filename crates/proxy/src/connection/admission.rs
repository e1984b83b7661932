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
}

impl Inner {
    /// Returns `class`, or the default class if the queue does not have it: the queue may be of another
    /// version.
    fn known_class(&self, class: ClassId) -> ClassId {
        if class.index() < self.classes.len() { class } else { ClassId(0) }
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
        let inner = Inner { classes, queue, limits, waiting: FastMap::default() };
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
                Admission::Granted => return Ok(self.new_permit(class, request.caller)),
                Admission::Refused { kind, retry_after_us } => {
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
            Ok(Ok(granted)) => granted.map_err(Refusal::from),
            _ => Err(ErrorKind::WaitTimedOut.into()),
        }
    }

    fn new_permit(self: &Arc<Self>, class: ClassId, caller: CallerId) -> AdmissionPermit {
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
                    (grant.ticket, Ok(self.new_permit(grant.class, grant.caller)))
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
        F: FnOnce(&mut TargetQueue<Strategy>),
    {
        let mut inner = self.inner.lock();
        update(&mut inner.queue);
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
            self.queue.update_queue(TargetQueue::statement_ended);
        }
    }

    /// Reports that the transaction's next statement runs.
    pub fn statement_started(&mut self) {
        if self.started_us.is_none() {
            self.started_us = Some(self.queue.clock.now_us());
            self.queue.inner.lock().queue.statement_started();
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
        self.queue.update_queue(|queue| {
            if was_running {
                queue.statement_ended();
            }
            queue.released_by(class, caller, ran_us, held_us);
        });
    }
}
