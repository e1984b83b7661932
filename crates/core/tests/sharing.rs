//! Tests of the queue of a target: limits, shares and refusals.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use skylark_core::ids::ClassId;
use skylark_core::process::sharing::ClassShare;
use skylark_core::process::sharing::class_queue::CallerId;
use skylark_core::process::sharing::class_queue::Ticket;
use skylark_core::process::sharing::queue::Admission;
use skylark_core::process::sharing::queue::Grant;
use skylark_core::process::sharing::queue::QueueLimits;
use skylark_core::process::sharing::queue::TargetQueue;
use skylark_core::process::sharing::queue::Turn;
use skylark_core::process::sharing::weighted::WeightedMaxMin;
use skylark_core::request::error_kind::ErrorKind;

type Queue = TargetQueue<WeightedMaxMin>;

const BOOKING: ClassId = ClassId(0);
const LOOKUP: ClassId = ClassId(1);
const RUN_US: u64 = 5_000;
const FAR_US: u64 = 1_000_000_000;

fn classes() -> [ClassShare; 2] {
    [ClassShare { weight: 3, goal_us: 50_000 }, ClassShare { weight: 1, goal_us: 200_000 }]
}

fn limits() -> QueueLimits {
    QueueLimits { running: 1, ..QueueLimits::default() }
}

fn queue(limits: QueueLimits) -> Queue {
    TargetQueue::new(limits, &classes())
}

fn arrive(queue: &mut Queue, class: ClassId, caller: u64, now_us: u64) -> Admission {
    queue.arrive(class, CallerId(caller), now_us + FAR_US, now_us)
}

fn ticket(admission: Admission) -> Ticket {
    match admission {
        Admission::Queued { ticket, .. } => ticket,
        other => panic!("{other:?} is not queued"),
    }
}

fn refused(admission: Admission) -> ErrorKind {
    match admission {
        Admission::Refused { kind, retry_after_us } => {
            assert!(retry_after_us > 0, "a refusal says when to come back");
            kind
        }
        other => panic!("{other:?} is not refused"),
    }
}

fn finish(queue: &mut Queue, class: ClassId) {
    queue.statement_ended();
    queue.released(class, RUN_US, RUN_US);
}

fn next(queue: &mut Queue, now_us: u64) -> Option<Grant> {
    match queue.next_turn(now_us)? {
        Turn::Granted(grant) => Some(grant),
        Turn::TimedOut(ticket) => panic!("{ticket:?} timed out"),
    }
}

/// Serves `count` waiting requests one after the other. Returns the number of each class.
fn serve(queue: &mut Queue, count: usize) -> [usize; 2] {
    let mut served = [0; 2];
    for _ in 0..count {
        let grant = next(queue, 0).expect("a request waits");
        served[grant.class.index()] += 1;
        finish(queue, grant.class);
        assert_eq!(queue.verify(), Vec::<String>::new());
    }
    served
}

#[test]
fn an_idle_target_is_granted_at_once() {
    let mut queue = queue(limits());
    assert_eq!(arrive(&mut queue, LOOKUP, 1, 0), Admission::Granted);
    assert_eq!((queue.running(), queue.connections()), (1, 1));
    ticket(arrive(&mut queue, LOOKUP, 1, 0));
    assert_eq!(queue.next_turn(0), None, "nothing is free");
    finish(&mut queue, LOOKUP);
    assert!(next(&mut queue, 10).is_some_and(|grant| grant.waited_us == 10));
}

#[test]
fn waiting_classes_share_by_weight() {
    let mut queue = queue(QueueLimits { queued_per_caller: 256, ..limits() });
    arrive(&mut queue, LOOKUP, 1, 0);
    for _ in 0..100 {
        ticket(arrive(&mut queue, LOOKUP, 1, 0));
        ticket(arrive(&mut queue, BOOKING, 2, 0));
    }
    finish(&mut queue, LOOKUP);
    let [bookings, lookups] = serve(&mut queue, 100);
    assert!((73..=77).contains(&bookings), "{bookings} bookings, {lookups} lookups");
}

// A booking arrives while hundreds of lookups wait. Its class uses less than its share, so the
// booking is served before all lookups except the running one.
#[test]
fn a_class_below_its_share_goes_next() {
    let mut queue = queue(limits());
    arrive(&mut queue, LOOKUP, 1, 0);
    for caller in 0..100 {
        ticket(arrive(&mut queue, LOOKUP, caller, 0));
    }
    for _ in 0..20 {
        finish(&mut queue, LOOKUP);
        assert!(next(&mut queue, 0).is_some_and(|grant| grant.class == LOOKUP));
    }
    let booking = ticket(arrive(&mut queue, BOOKING, 1, 0));
    finish(&mut queue, LOOKUP);
    assert_eq!(next(&mut queue, 0).map(|grant| grant.ticket), Some(booking));
}

// A class that was idle for long must not monopolise the target afterwards.
#[test]
fn idle_class_accumulates_no_credit() {
    let mut queue = queue(QueueLimits { queued_per_caller: 256, ..limits() });
    arrive(&mut queue, LOOKUP, 1, 0);
    for _ in 0..200 {
        ticket(arrive(&mut queue, LOOKUP, 1, 0));
    }
    finish(&mut queue, LOOKUP);
    serve(&mut queue, 100);
    for _ in 0..100 {
        ticket(arrive(&mut queue, BOOKING, 1, 0));
    }
    let [bookings, lookups] = serve(&mut queue, 40);
    assert!((28..=32).contains(&bookings), "{bookings} bookings, {lookups} lookups");
}

#[test]
fn a_statement_between_others_of_its_transaction_frees_the_slot() {
    let mut queue = queue(limits());
    arrive(&mut queue, BOOKING, 1, 0);
    ticket(arrive(&mut queue, LOOKUP, 2, 0));
    queue.statement_ended();
    assert!(next(&mut queue, 0).is_some());
    queue.statement_started();
    assert_eq!(
        (queue.running(), queue.connections()),
        (2, 2),
        "the transaction continues without waiting"
    );
    finish(&mut queue, LOOKUP);
    finish(&mut queue, BOOKING);
    assert_eq!((queue.running(), queue.connections()), (0, 0));
}

#[test]
fn connections_bound_what_is_granted() {
    let mut queue = queue(QueueLimits { running: 8, connections: 2, ..limits() });
    for caller in 0..2 {
        assert_eq!(arrive(&mut queue, LOOKUP, caller, 0), Admission::Granted);
        queue.statement_ended();
    }
    ticket(arrive(&mut queue, LOOKUP, 3, 0));
    assert_eq!(queue.next_turn(0), None);
    queue.released(LOOKUP, RUN_US, RUN_US);
    assert!(next(&mut queue, 0).is_some());
}

#[test]
fn an_unreachable_deadline_is_refused_at_once() {
    let mut queue = queue(limits());
    arrive(&mut queue, LOOKUP, 1, 0);
    for caller in 0..20 {
        ticket(arrive(&mut queue, LOOKUP, caller, 0));
    }
    let late = queue.arrive(LOOKUP, CallerId(99), 50_000, 0);
    assert_eq!(refused(late), ErrorKind::DeadlineUnreachable);
    let booking = queue.arrive(BOOKING, CallerId(99), 50_000, 0);
    ticket(booking);
}

#[test]
fn what_would_be_answered_too_late_is_not_run() {
    let mut queue = queue(limits());
    arrive(&mut queue, LOOKUP, 1, 0);
    let waiting = ticket(queue.arrive(LOOKUP, CallerId(2), 20_000, 0));
    finish(&mut queue, LOOKUP);
    assert_eq!(queue.next_turn(19_000), Some(Turn::TimedOut(waiting)));
    assert_eq!(queue.running(), 0);
}

/// Returns a queue whose only slot is taken, and the predicted wait of a booking.
fn occupied(starts_by_deadline: bool) -> (Queue, u64) {
    let mut queue = queue(QueueLimits { starts_by_deadline, ..limits() });
    assert_eq!(arrive(&mut queue, LOOKUP, 1, 0), Admission::Granted);
    let predicted_us = queue.predicted_wait_us(BOOKING, 0);
    assert!(predicted_us > 0);
    (queue, predicted_us)
}

// A forwarded statement carries the latest time at which it may start. If its run time had to fit as
// well, urgent statements with short objectives would be refused at a target that has time for them.
#[test]
fn a_deadline_for_the_start_leaves_out_the_run_time() {
    let (mut queue, predicted_us) = occupied(true);
    let waiting = ticket(queue.arrive(BOOKING, CallerId(2), predicted_us, 0));
    finish(&mut queue, LOOKUP);
    let grant = next(&mut queue, predicted_us - 1).expect("its deadline has not passed");
    assert_eq!(grant.ticket, waiting);

    let (mut queue, predicted_us) = occupied(true);
    let waiting = ticket(queue.arrive(BOOKING, CallerId(2), predicted_us, 0));
    finish(&mut queue, LOOKUP);
    assert_eq!(queue.next_turn(predicted_us), Some(Turn::TimedOut(waiting)));
    assert_eq!(queue.running(), 0);
}

// Without a refusal the statement would take a place in the queue and time out there, too late for
// the caller to use another target.
#[test]
fn a_deadline_for_the_start_below_the_predicted_wait_is_refused() {
    let (mut queue, predicted_us) = occupied(true);
    let late = queue.arrive(BOOKING, CallerId(2), predicted_us - 1, 0);
    assert_eq!(refused(late), ErrorKind::DeadlineUnreachable);
    assert_eq!(queue.queued(), 0);
}

// Requests of this process's own callers have to be answered by their deadlines.
#[test]
fn a_deadline_for_the_answer_includes_the_run_time() {
    let (mut queue, predicted_us) = occupied(false);
    let deadline_us = predicted_us + RUN_US;
    let late = queue.arrive(BOOKING, CallerId(2), deadline_us - 1, 0);
    assert_eq!(refused(late), ErrorKind::DeadlineUnreachable);
    let waiting = ticket(queue.arrive(BOOKING, CallerId(2), deadline_us, 0));
    let (mut late_queue, mut early_queue) = (queue.clone(), queue);
    finish(&mut early_queue, LOOKUP);
    let grant = next(&mut early_queue, predicted_us - 1);
    assert_eq!(grant.map(|grant| grant.ticket), Some(waiting));
    finish(&mut late_queue, LOOKUP);
    assert_eq!(late_queue.next_turn(predicted_us), Some(Turn::TimedOut(waiting)));
}

#[test]
fn expired_and_abandoned_requests_leave() {
    let mut queue = queue(limits());
    arrive(&mut queue, LOOKUP, 1, 0);
    let expiring = ticket(queue.arrive(LOOKUP, CallerId(2), 20_000, 0));
    let abandoned = ticket(arrive(&mut queue, LOOKUP, 3, 0));
    let mut expired = Vec::new();
    queue.expire(20_000, &mut expired);
    assert_eq!(expired, [expiring]);
    assert!(queue.abandon(LOOKUP, abandoned));
    assert!(!queue.abandon(LOOKUP, abandoned));
    assert_eq!(queue.queued(), 0);
    assert_eq!(queue.verify(), Vec::<String>::new());
}

// Without reserved places, a surge of lookups would fill the queue to its limit, and bookings would
// be refused.
#[test]
fn a_full_queue_keeps_places_for_the_other_classes() {
    let mut queue = queue(QueueLimits { queued: 40, queued_per_class: 40, ..limits() });
    arrive(&mut queue, LOOKUP, 0, 0);
    let admissions: Vec<Admission> =
        (0..60).map(|caller| arrive(&mut queue, LOOKUP, caller, 0)).collect();
    assert_eq!(queue.queued_of(LOOKUP), 30);
    assert_eq!(refused(admissions[59]), ErrorKind::QueueFull);
    for caller in 0..10 {
        ticket(arrive(&mut queue, BOOKING, caller, 0));
    }
    assert_eq!(refused(arrive(&mut queue, BOOKING, 99, 0)), ErrorKind::QueueFull);
}

// Without a limit per caller, a script of one caller fills the class and the lookups of other
// callers are refused. The limit applies as soon as others wait; alone, the caller may fill the
// queue except for some places for others.
#[test]
fn one_caller_does_not_crowd_out_its_class() {
    let bounds = QueueLimits { queued_per_class: 40, queued_per_caller: 8, ..limits() };
    let mut queue = queue(bounds);
    arrive(&mut queue, LOOKUP, 1, 0);
    for _ in 0..100 {
        arrive(&mut queue, LOOKUP, 1, 0);
    }
    assert_eq!(queue.queued_of(LOOKUP), 32, "a caller alone leaves eight places free");
    ticket(arrive(&mut queue, LOOKUP, 2, 0));
    finish(&mut queue, LOOKUP);
    for _ in 0..30 {
        let grant = next(&mut queue, 0).expect("a request waits");
        finish(&mut queue, grant.class);
        arrive(&mut queue, LOOKUP, 1, 0);
    }
    assert!(queue.queued_of(LOOKUP) <= 9, "its limit applies while others wait");
}

// Without a limit on a standing queue, every lookup of a surge waits for nearly its whole time
// limit, although a short queue would have the same throughput. Once the predicted wait has been
// above half of the goal for a second, requests beyond that are refused.
#[test]
fn a_standing_queue_is_kept_short() {
    let mut queue = queue(limits());
    arrive(&mut queue, LOOKUP, 0, 0);
    let mut longest = 0;
    for step in 1..4_000 {
        let now_us = step * 1_000;
        arrive(&mut queue, LOOKUP, step, now_us);
        arrive(&mut queue, LOOKUP, step + 10_000, now_us);
        if step % 5 == 0 {
            finish(&mut queue, LOOKUP);
            next(&mut queue, now_us);
        }
        if step == 500 {
            assert!(queue.queued_of(LOOKUP) > 100, "a burst is queued");
        }
        if step > 3_000 {
            longest = longest.max(queue.queued_of(LOOKUP));
        }
    }
    // Half of the goal is 100 ms, twenty requests of 5 ms.
    assert!((10..=22).contains(&longest), "{longest} wait");
}

#[test]
fn classes_can_be_added_and_changed() {
    let mut queue = queue(limits());
    arrive(&mut queue, LOOKUP, 1, 0);
    ticket(arrive(&mut queue, LOOKUP, 1, 0));
    let [booking, lookup] = classes();
    queue.set_classes(&[booking, lookup, ClassShare { weight: 9, goal_us: 1 }]);
    let added = ticket(arrive(&mut queue, ClassId(2), 1, 0));
    finish(&mut queue, LOOKUP);
    let first = next(&mut queue, 0).expect("two wait");
    finish(&mut queue, first.class);
    let second = next(&mut queue, 0).expect("one waits");
    assert!([first.ticket, second.ticket].contains(&added));
    assert_eq!(queue.verify(), Vec::<String>::new());
}

/// Checks the invariants of the queue for random events.
fn queue_keeps_its_invariants(steps: Vec<(u8, u8)>) -> bool {
    let bounds = QueueLimits {
        running: 2,
        connections: 4,
        queued: 12,
        queued_per_class: 8,
        queued_per_caller: 3,
        ..QueueLimits::default()
    };
    let mut queue = queue(bounds);
    let mut running: Vec<ClassId> = Vec::new();
    let mut paused: Vec<ClassId> = Vec::new();
    let mut waiting: Vec<(ClassId, Ticket)> = Vec::new();
    let mut now_us = 0;
    for (action, value) in steps {
        now_us += u64::from(value) * 100;
        let class = ClassId(u32::from(value) % 2);
        match action % 6 {
            0 | 1 => {
                let deadline_us = now_us + u64::from(value) * 1_000;
                match queue.arrive(class, CallerId(u64::from(value) % 3), deadline_us, now_us) {
                    Admission::Granted => running.push(class),
                    Admission::Queued { ticket, .. } => waiting.push((class, ticket)),
                    Admission::Refused { .. } => {}
                }
            }
            2 if !running.is_empty() => {
                let class = running.swap_remove(0);
                finish(&mut queue, class);
            }
            3 if !running.is_empty() => {
                queue.statement_ended();
                paused.push(running.swap_remove(0));
            }
            4 if !paused.is_empty() => {
                queue.statement_started();
                running.push(paused.swap_remove(0));
            }
            5 if !waiting.is_empty() => {
                let (class, ticket) = waiting.swap_remove(0);
                if !queue.abandon(class, ticket) {
                    return false;
                }
            }
            _ => {
                let mut expired = Vec::new();
                queue.expire(now_us, &mut expired);
                waiting.retain(|(_, ticket)| !expired.contains(ticket));
            }
        }
        while let Some(turn) = queue.next_turn(now_us) {
            let ticket = match turn {
                Turn::Granted(grant) => {
                    running.push(grant.class);
                    grant.ticket
                }
                Turn::TimedOut(ticket) => ticket,
            };
            waiting.retain(|(_, known)| *known != ticket);
        }
        let counted = queue.running() as usize == running.len()
            && queue.connections() as usize == running.len() + paused.len()
            && queue.queued() == waiting.len();
        // Nothing waits while there is room.
        let room = queue.running() < 2 && queue.connections() < 4;
        if !counted || (room && queue.queued() > 0) || !queue.verify().is_empty() {
            return false;
        }
    }
    true
}

#[test]
fn queue_keeps_its_invariants_for_random_events() {
    for seed in 1..=4 {
        QuickCheck::new()
            .tests(400)
            .rng(Gen::from_size_and_seed(80, seed))
            .quickcheck(queue_keeps_its_invariants as fn(Vec<(u8, u8)>) -> bool);
    }
}
