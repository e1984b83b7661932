//! Tests of the fair order between the callers of a class, and of retry times.

use std::cmp;
use std::collections;

use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::Testable;
use skylark_core::FastMap;
use skylark_core::ids::ClassId;
use skylark_core::process::jitter;
use skylark_core::process::sharing::ClassShare;
use skylark_core::process::sharing::ClassView;
use skylark_core::process::sharing::SharingStrategy;
use skylark_core::process::sharing::class_queue::CallerId;
use skylark_core::process::sharing::class_queue::Ticket;
use skylark_core::process::sharing::fair_callers::FairCallers;
use skylark_core::process::sharing::fair_callers::MAX_IDLE_TAGS;
use skylark_core::process::sharing::queue::Admission;
use skylark_core::process::sharing::queue::QueueLimits;
use skylark_core::process::sharing::queue::TargetQueue;
use skylark_core::process::sharing::queue::Turn;
use skylark_core::process::sharing::weighted::WeightedMaxMin;
use skylark_core::request::error_kind::ErrorKind;

type Queue = TargetQueue<WeightedMaxMin>;

const RUN_US: u64 = 5_000;
const FAR_US: u64 = 1_000_000_000;

/// The goal of a class whose retry times are tested, in microseconds.
const GOAL_US: u64 = 100_000;
const HEAVY: u64 = 0;
/// The weights of the classes of a target with precedences.
const WEIGHTS: [u32; 3] = [8, 4, 2];

/// The classes, with goals for which no queue counts as a standing queue.
fn classes() -> Vec<ClassShare> {
    WEIGHTS.iter().map(|weight| ClassShare { weight: *weight, goal_us: FAR_US }).collect()
}

fn limits(running: u32) -> QueueLimits {
    QueueLimits {
        running,
        connections: 64,
        initial_run_us: RUN_US,
        fair_callers: true,
        spread_retries: true,
        ..QueueLimits::default()
    }
}

/// Returns a queue of one class.
fn single(limits: QueueLimits) -> Queue {
    TargetQueue::new(limits, &classes()[..1])
}

fn check<T>(size: usize, tests: u64, property: T)
where
    T: Testable + Copy,
{
    for seed in 1..=4 {
        QuickCheck::new()
            .tests(tests)
            .rng(Gen::from_size_and_seed(size, seed))
            .quickcheck(property);
    }
}

fn arrive(queue: &mut Queue, class: u32, caller: u64, now_us: u64) -> Admission {
    queue.arrive(ClassId(class), CallerId(caller), now_us + FAR_US, now_us)
}

fn ticket(admission: Admission) -> Ticket {
    match admission {
        Admission::Queued { ticket, .. } => ticket,
        other => panic!("{other:?} is not queued"),
    }
}

fn finish(queue: &mut Queue, class: ClassId) {
    queue.statement_ended();
    queue.released(class, RUN_US, RUN_US);
}

/// Ends a statement of the class and returns the request that is granted in its place.
fn replace(queue: &mut Queue, class: ClassId) -> (Ticket, ClassId) {
    finish(queue, class);
    match queue.next_turn(0) {
        Some(Turn::Granted(grant)) => (grant.ticket, grant.class),
        other => panic!("{other:?} instead of a grant"),
    }
}

/// A queue under random events, with what the events should have led to.
struct Model {
    queue: Queue,
    limits: QueueLimits,
    /// The class and caller of each running statement, and whether it is a next statement of a transaction.
    running: Vec<(ClassId, CallerId, bool)>,
    paused: Vec<(ClassId, CallerId)>,
    waiting: collections::BTreeMap<Ticket, (ClassId, CallerId)>,
    ended: collections::BTreeSet<Ticket>,
    now_us: u64,
}

impl Model {
    fn new() -> Model {
        let limits = QueueLimits {
            connections: 5,
            queued: 24,
            queued_per_class: 16,
            queued_per_caller: 5,
            ..limits(3)
        };
        Model {
            queue: TargetQueue::new(limits, &classes()),
            limits,
            running: Vec::new(),
            paused: Vec::new(),
            waiting: collections::BTreeMap::new(),
            ended: collections::BTreeSet::new(),
            now_us: 0,
        }
    }

    fn step(&mut self, action: u8, value: u8, caller: u8) {
        self.now_us += u64::from(value) * 50;
        match action % 10 {
            0..=3 => self.arrive(ClassId(u32::from(value) % 3), CallerId(u64::from(caller) % 7)),
            4 | 5 => self.finish(usize::from(value)),
            6 if !self.running.is_empty() => {
                let ended = usize::from(value) % self.running.len();
                self.queue.statement_ended();
                let (class, caller, _) = self.running.swap_remove(ended);
                self.paused.push((class, caller));
            }
            7 if !self.paused.is_empty() => {
                self.queue.statement_started();
                let (class, caller) = self.paused.swap_remove(0);
                self.running.push((class, caller, true));
            }
            8 => {
                let chosen = usize::from(value) % self.waiting.len().max(1);
                let abandoned = self.waiting.iter().nth(chosen).map(|(ticket, of)| (*ticket, of.0));
                if let Some((ticket, class)) = abandoned {
                    assert!(self.queue.abandon(class, ticket), "{ticket:?} no longer waits");
                    self.end(ticket);
                    assert!(!self.queue.abandon(class, ticket), "{ticket:?} was abandoned twice");
                }
            }
            9 if value.is_multiple_of(8) => {
                self.limits.fair_callers = !self.limits.fair_callers;
                self.queue.set_limits(self.limits);
            }
            _ => {
                let mut expired = Vec::new();
                self.queue.expire(self.now_us, &mut expired);
                expired.into_iter().for_each(|ticket| self.end(ticket));
            }
        }
        self.take_turns();
        self.check();
    }

    fn arrive(&mut self, class: ClassId, caller: CallerId) {
        let deadline_us = self.now_us + 30_000 * (1 + caller.0);
        let callers: collections::BTreeSet<CallerId> =
            self.waiting.values().filter(|of| of.0 == class).map(|of| of.1).collect();
        match self.queue.arrive(class, caller, deadline_us, self.now_us) {
            Admission::Granted => self.running.push((class, caller, false)),
            Admission::Queued { ticket, .. } => {
                assert!(!self.ended.contains(&ticket), "{ticket:?} is used again");
                assert!(self.waiting.insert(ticket, (class, caller)).is_none(), "{ticket:?} twice");
            }
            Admission::Refused { kind, retry_after_us } => {
                let class_us = self.queue.predicted_wait_us(class, self.now_us).max(FAR_US);
                assert!((class_us..=class_us * 3 / 2).contains(&retry_after_us));
                // Two of the four reserved places of a class are for first requests.
                if self.limits.fair_callers && kind == ErrorKind::QueueFull {
                    let refused_first = !callers.contains(&caller);
                    assert!(!refused_first || callers.len() >= 2, "{callers:?} fill the class");
                }
            }
        }
    }

    fn finish(&mut self, chosen: usize) {
        if !self.running.is_empty() {
            let (class, caller, _) = self.running.swap_remove(chosen % self.running.len());
            let run_us = 1_000 * (1 + chosen as u64 % 32);
            self.queue.statement_ended();
            self.queue.released_by(class, caller, run_us, run_us);
        }
    }

    fn take_turns(&mut self) {
        while let Some(turn) = self.queue.next_turn(self.now_us) {
            let ticket = match turn {
                Turn::Granted(grant) => {
                    assert_eq!(self.waiting[&grant.ticket], (grant.class, grant.caller));
                    self.running.push((grant.class, grant.caller, false));
                    assert!(
                        self.queue.running() <= self.limits.running,
                        "granted beyond the bound"
                    );
                    grant.ticket
                }
                Turn::TimedOut(ticket) => ticket,
            };
            self.end(ticket);
        }
    }

    fn end(&mut self, ticket: Ticket) {
        assert!(self.waiting.remove(&ticket).is_some(), "{ticket:?} ends without waiting");
        assert!(self.ended.insert(ticket), "{ticket:?} ends twice");
    }

    fn check(&self) {
        assert_eq!(self.queue.verify(), Vec::<String>::new());
        assert_eq!(self.queue.running() as usize, self.running.len());
        assert_eq!(self.queue.connections() as usize, self.running.len() + self.paused.len());
        assert!(self.queue.connections() <= self.limits.connections);
        assert_eq!(self.queue.queued(), self.waiting.len());
        let next_statements = self.running.iter().filter(|(_, _, is_next)| *is_next).count();
        let bound = self.limits.running as usize + next_statements;
        assert!(self.running.len() <= bound, "{} run, above {bound}", self.running.len());
    }
}

// A bound that is exceeded makes the target run and queue in arrival order, where no class comes
// first. A ticket that ends twice or never leaves a task waiting, or a connection counted, for good.
#[test]
fn bounds_and_tickets_are_kept_for_random_events() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut model = Model::new();
        for (action, value, caller) in steps {
            model.step(action, value, caller);
        }
        while !model.running.is_empty() || !model.paused.is_empty() {
            model.paused.drain(..).for_each(|(class, caller)| {
                model.queue.statement_started();
                model.running.push((class, caller, true));
            });
            model.finish(0);
            model.take_turns();
            model.check();
        }
        model.waiting.is_empty() && model.queue.connections() == 0
    }
    check(200, 400, property as fn(Vec<(u8, u8, u8)>) -> bool);
}

// The urgent class must not wait for the backlog of others. While it uses less than its share, which
// holds if each other waiting class was granted a request since its own last grant, its request
// takes the first slot that becomes free.
#[test]
fn an_urgent_request_waits_for_one_statement_to_end() {
    fn property(running: u8, steps: Vec<(u8, u8)>) -> bool {
        let running = 1 + u32::from(running) % 5;
        let bounds = QueueLimits { queued_per_caller: 256, ..limits(running) };
        let mut queue: Queue = TargetQueue::new(bounds, &classes());
        let mut ongoing = Vec::new();
        let mut granted_since = [true; 3];
        let mut paused = 0;
        for (action, caller) in steps {
            let class = 1 + u32::from(action / 16) % 2;
            match action % 8 {
                0..=3 => {
                    let admission = arrive(&mut queue, class, u64::from(caller % 16), 0);
                    if admission == Admission::Granted {
                        ongoing.push(ClassId(class));
                        granted_since[class as usize] = true;
                    }
                }
                4 if !ongoing.is_empty() && paused < 8 => {
                    // A transaction pauses, another takes its slot, and the first continues.
                    queue.statement_ended();
                    paused += 1;
                    if let Some(Turn::Granted(grant)) = queue.next_turn(0) {
                        ongoing.push(grant.class);
                        granted_since[grant.class.index()] = true;
                    }
                    queue.statement_started();
                }
                5 if queue.running() >= running => {
                    let waits = |class: &usize| queue.queued_of(ClassId(*class as u32)) > 0;
                    if !(1..3).filter(waits).all(|class| granted_since[class]) {
                        continue;
                    }
                    let urgent = ticket(arrive(&mut queue, 0, u64::from(caller % 16), 0));
                    let ends = queue.running() - running + 1;
                    for ended in 1..=ends {
                        let class = ongoing.swap_remove(usize::from(caller) % ongoing.len());
                        finish(&mut queue, class);
                        let turn = queue.next_turn(0);
                        match turn {
                            Some(Turn::Granted(grant)) if ended == ends => {
                                assert_eq!(grant.ticket, urgent, "{class:?} goes first");
                                ongoing.push(grant.class);
                            }
                            turn => assert_eq!(turn, None, "{ended} of {ends} ended"),
                        }
                    }
                    granted_since = [false; 3];
                }
                _ if !ongoing.is_empty() => {
                    let class = ongoing.swap_remove(usize::from(caller) % ongoing.len());
                    finish(&mut queue, class);
                    while let Some(Turn::Granted(grant)) = queue.next_turn(0) {
                        ongoing.push(grant.class);
                        granted_since[grant.class.index()] = true;
                    }
                }
                _ => {}
            }
            assert_eq!(queue.verify(), Vec::<String>::new());
        }
        true
    }
    check(120, 400, property as fn(u8, Vec<(u8, u8)>) -> bool);
}

/// Checks that the work per weight of two parties that always wait differs by at most the largest
/// request of each, divided by its weight (the bound of start-time fair queueing). The last summand
/// is for rounding: virtual time has 1,024 units in a microsecond.
fn assert_shares(work_us: &[u64], weights: &[u32], largest_us: u64, grants: usize) {
    let normalised = |party: usize| work_us[party] as f64 / f64::from(weights[party]);
    for one in 0..work_us.len() {
        for other in 0..one {
            let gap_us = (normalised(one) - normalised(other)).abs();
            let largest = |party: usize| largest_us as f64 / f64::from(weights[party]);
            let bound_us = largest(one) + largest(other) + grants as f64 / 1_024.0;
            assert!(gap_us <= bound_us, "{one} and {other}: {work_us:?} for {weights:?}");
        }
    }
}

// No caller may starve, whatever its requests cost. One caller joins after a while: it must neither
// make up for the time in which it sent nothing, nor wait for what others were granted before.
#[test]
fn callers_that_always_wait_get_their_weighted_share() {
    fn property(weights: Vec<u8>, costs_us: Vec<u16>, joins_at: u8) -> bool {
        let weights: Vec<u32> = weights.iter().map(|weight| 1 + u32::from(weight % 8)).collect();
        let mut fair = FairCallers::default();
        let mut next_ticket = 0;
        let mut callers = FastMap::default();
        let mut push = |fair: &mut FairCallers, callers: &mut FastMap<_, _>, caller: usize| {
            fair.push(CallerId(caller as u64), Ticket(next_ticket), weights[caller]);
            callers.insert(Ticket(next_ticket), caller);
            next_ticket += 1;
        };
        for caller in 1..weights.len() {
            push(&mut fair, &mut callers, caller);
            push(&mut fair, &mut callers, caller);
        }
        let joins_at = usize::from(joins_at) % 64;
        let mut work_us = vec![0; weights.len()];
        for (grants, cost_us) in costs_us.iter().cycle().take(300).enumerate() {
            if grants == joins_at && !weights.is_empty() {
                push(&mut fair, &mut callers, 0);
                push(&mut fair, &mut callers, 0);
                work_us.fill(0);
            }
            let Some(head) = fair.head() else { continue };
            let caller = callers[&head];
            let cost_us = 1 + u64::from(*cost_us);
            fair.remove(CallerId(caller as u64), head);
            fair.granted(CallerId(caller as u64), cost_us, weights[caller]);
            push(&mut fair, &mut callers, caller);
            work_us[caller] += cost_us;
            if grants >= joins_at {
                let largest_us = 1 + u64::from(costs_us.iter().copied().max().unwrap_or(0));
                assert_shares(&work_us, &weights, largest_us, grants);
            }
        }
        true
    }
    check(24, 200, property as fn(Vec<u8>, Vec<u16>, u8) -> bool);
}

// A caller whose requests take longer than the average of the class must not get more slot time.
#[test]
fn callers_with_long_requests_are_served_less_often() {
    fn property(runs_us: Vec<u16>) -> bool {
        let runs_us: Vec<u64> = runs_us.iter().map(|run_us| 100 + u64::from(*run_us)).collect();
        let mut queue = single(limits(1));
        assert_eq!(arrive(&mut queue, 0, 999, 0), Admission::Granted);
        for caller in 0..runs_us.len() as u64 {
            ticket(arrive(&mut queue, 0, caller, 0));
            ticket(arrive(&mut queue, 0, caller, 0));
        }
        finish(&mut queue, ClassId(0));
        let mut work_us = vec![0; runs_us.len()];
        let weights = vec![1; runs_us.len()];
        for grants in 0..300 {
            let Some(Turn::Granted(grant)) = queue.next_turn(0) else { return runs_us.is_empty() };
            let caller = grant.caller.0 as usize;
            ticket(arrive(&mut queue, 0, grant.caller.0, 0));
            queue.statement_ended();
            queue.released_by(ClassId(0), grant.caller, runs_us[caller], runs_us[caller]);
            assert_eq!(queue.verify(), Vec::<String>::new());
            work_us[caller] += runs_us[caller];
            let largest_us = runs_us.iter().copied().max().unwrap_or(0);
            assert_shares(&work_us, &weights, largest_us, grants);
        }
        true
    }
    check(16, 50, property as fn(Vec<u16>) -> bool);
}

// Several requests of a caller run at once, and a short one ends after virtual time has passed the tag
// that it would have had. If the tag went back to there, the caller would be served several times in
// a row.
#[test]
fn a_short_request_gives_no_credit() {
    let (one, other) = (CallerId(1), CallerId(2));
    let mut fair = FairCallers::default();
    (0..5).for_each(|ticket| fair.push(one, Ticket(ticket), 1));
    (5..10).for_each(|ticket| fair.push(other, Ticket(ticket), 1));
    let grant = |fair: &mut FairCallers, caller, ticket| {
        assert_eq!(fair.head(), Some(Ticket(ticket)));
        fair.remove(caller, Ticket(ticket));
        fair.granted(caller, RUN_US, 1);
    };
    grant(&mut fair, one, 0);
    grant(&mut fair, other, 5);
    grant(&mut fair, one, 1);
    fair.ended(other, RUN_US, 100, 1);
    grant(&mut fair, other, 6);
    grant(&mut fair, one, 2);
}

#[test]
fn classes_that_always_wait_get_their_weighted_share() {
    fn property(weights: Vec<u8>, costs_us: Vec<u16>) -> bool {
        let weights: Vec<u32> = weights.iter().map(|weight| 1 + u32::from(weight % 8)).collect();
        let shares: Vec<ClassShare> =
            weights.iter().map(|weight| ClassShare { weight: *weight, goal_us: 1 }).collect();
        let mut strategy = WeightedMaxMin::new(&shares);
        let views: Vec<ClassView> =
            shares.iter().map(|share| ClassView { queued: 1, ..ClassView::idle(*share) }).collect();
        (0..weights.len()).for_each(|class| strategy.became_busy(class));
        let largest_us = 1 + u64::from(costs_us.iter().copied().max().unwrap_or(0));
        let mut work_us = vec![0; weights.len()];
        for (grants, cost_us) in costs_us.iter().cycle().take(300).enumerate() {
            let Some(class) = strategy.choose(&views, 0) else { return weights.is_empty() };
            strategy.granted(class, 1 + u64::from(*cost_us));
            work_us[class] += 1 + u64::from(*cost_us);
            assert_shares(&work_us, &weights, largest_us, grants);
        }
        true
    }
    check(24, 200, property as fn(Vec<u8>, Vec<u16>) -> bool);
}

// The two orders together, as a target uses them: classes by weight, and the callers within each
// class equally, also if one of them has far more requests waiting.
#[test]
fn classes_and_their_callers_share_at_one_target() {
    fn property(callers: (u8, u8, u8), heavy: u8) -> bool {
        let callers = [callers.0, callers.1, callers.2].map(|count| 1 + usize::from(count) % 12);
        let mut queue: Queue = TargetQueue::new(limits(1), &classes());
        assert_eq!(arrive(&mut queue, 2, 99, 0), Admission::Granted);
        let mut of = FastMap::default();
        for (class, callers) in callers.into_iter().enumerate() {
            for caller in 0..callers {
                let extra = if caller == 0 { usize::from(heavy) % 20 } else { 0 };
                for _ in 0..2 + extra {
                    of.insert(ticket(arrive(&mut queue, class as u32, caller as u64, 0)), caller);
                }
            }
        }
        let mut served = callers.map(|callers| vec![0; callers]);
        let mut last = ClassId(2);
        for grants in 0..400 {
            let (granted, class) = replace(&mut queue, last);
            last = class;
            let caller = of[&granted];
            of.insert(ticket(arrive(&mut queue, class.0, caller as u64, 0)), caller);
            served[class.index()][caller] += RUN_US;
            let by_class = [0, 1, 2].map(|class: usize| served[class].iter().sum());
            assert_shares(&by_class, &WEIGHTS, RUN_US, grants);
            for served in &served {
                assert_shares(served, &vec![1; served.len()], RUN_US, grants);
            }
        }
        true
    }
    check(64, 25, property as fn((u8, u8, u8), u8) -> bool);
}

/// Simulates callers that send at random times, of which the first sends 7.5 times as often as each
/// other. Returns the longest excess of a wait over the bound, and the refusals, of the others.
fn surge(callers: u64, running: u32, seed: u64, fair_callers: bool) -> (i64, usize) {
    // The others together send 0.8 of what the slots run.
    let interval_us = RUN_US * callers * 10 / (u64::from(running) * 8);
    let mut queue = single(QueueLimits { fair_callers, ..limits(running) });
    let mut arrivals = collections::BinaryHeap::new();
    for caller in 0..callers {
        arrivals.push(cmp::Reverse((jitter::below_us(seed, caller, interval_us), caller)));
    }
    let mut ends = collections::VecDeque::new();
    let mut bounds_us: FastMap<Ticket, Option<u64>> = FastMap::default();
    let mut waiting: FastMap<Ticket, u64> = FastMap::default();
    let (mut excess_us, mut refused) = (i64::MIN, 0);
    for step in 0..3_000 {
        let cmp::Reverse((now_us, caller)) = arrivals.pop().expect("each caller sends again");
        while ends.front().is_some_and(|end_us| *end_us <= now_us) {
            let end_us = ends.pop_front().expect("a statement runs");
            finish(&mut queue, ClassId(0));
            if let Some(Turn::Granted(grant)) = queue.next_turn(end_us) {
                ends.push_back(end_us + RUN_US);
                waiting.remove(&grant.ticket);
                if let Some(bound_us) = bounds_us.remove(&grant.ticket).flatten() {
                    excess_us = excess_us.max(grant.waited_us as i64 - bound_us as i64);
                }
            }
        }
        let own = waiting.values().filter(|of| **of == caller).count() as u64;
        match arrive(&mut queue, 0, caller, now_us) {
            Admission::Granted => ends.push_back(now_us + RUN_US),
            Admission::Queued { ticket, .. } => {
                waiting.insert(ticket, caller);
                let ahead = own + (own + 2) * (callers - 1);
                let bound_us = (ahead + 1).div_ceil(u64::from(running)) * RUN_US;
                bounds_us.insert(ticket, (caller != HEAVY).then_some(bound_us));
            }
            Admission::Refused { .. } => refused += usize::from(caller != HEAVY),
        }
        let mean_us = if caller == HEAVY { interval_us * 10 / 75 } else { interval_us };
        let wait_us = 1 + jitter::below_us(seed, callers + step, 2 * mean_us);
        arrivals.push(cmp::Reverse((now_us + wait_us, caller)));
        assert_eq!(queue.verify(), Vec::<String>::new());
    }
    (excess_us, refused)
}

// One organisation sends 7.5 times the load of each other, together more than the slots run. A
// request of another caller that finds `own` requests of its caller waiting must be granted after at
// most these and `own + 2` of each other caller, and must not be refused.
#[test]
fn one_heavy_caller_does_not_raise_the_waits_of_others() {
    fn property(callers: u8, running: u8, seed: u64) -> bool {
        let callers = 2 + u64::from(callers) % 30;
        let running = 1 + u32::from(running) % 5;
        let (excess_us, refused) = surge(callers, running, seed, true);
        assert!(excess_us <= 0, "{excess_us} above the bound: {callers} callers, {running} slots");
        assert_eq!(refused, 0, "{callers} callers, {running} slots");
        true
    }
    check(64, 25, property as fn(u8, u8, u64) -> bool);
}

// Without this, the test above could hold for a load that raises no waits.
#[test]
fn in_arrival_order_one_heavy_caller_raises_the_waits_of_others() {
    let (excess_us, _) = surge(8, 1, 1, false);
    assert!(excess_us > 0, "{excess_us} below the bound");
}

// The refusal for an unreachable deadline relies on the predicted wait: too long a wait refuses
// callers behind the requests of a heavy one that they would overtake, too short a one lets requests
// wait that must then time out.
#[test]
fn predicted_wait_counts_what_is_served_before() {
    fn property(arrivals: Vec<(u8, bool)>, caller: u8) -> bool {
        let mut queue = single(QueueLimits { queued_per_caller: 256, ..limits(1) });
        assert_eq!(arrive(&mut queue, 0, 0, 0), Admission::Granted);
        for (other, is_served) in arrivals {
            arrive(&mut queue, 0, u64::from(other) % 9, 0);
            if is_served {
                replace(&mut queue, ClassId(0));
            }
        }
        let caller = u64::from(caller) % 10;
        let predicted_us = queue.predicted_caller_wait_us(ClassId(0), CallerId(caller), 0);
        match arrive(&mut queue, 0, caller, 0) {
            Admission::Queued { ticket, predicted_wait_us } => {
                assert_eq!(predicted_wait_us, predicted_us);
                let mut waited_us = RUN_US;
                while replace(&mut queue, ClassId(0)).0 != ticket {
                    waited_us += RUN_US;
                }
                predicted_us == waited_us
            }
            other => panic!("{other:?} instead of a place"),
        }
    }
    check(60, 400, property as fn(Vec<(u8, bool)>, u8) -> bool);
}

// A heavy caller's backlog must not make the deadlines of others unreachable.
#[test]
fn a_deadline_is_unreachable_only_by_what_is_served_before() {
    let mut queue = single(limits(1));
    arrive(&mut queue, 0, HEAVY, 0);
    for _ in 0..30 {
        ticket(arrive(&mut queue, 0, HEAVY, 0));
    }
    let deadline_us = 5 * RUN_US;
    match queue.arrive(ClassId(0), CallerId(HEAVY), deadline_us, 0) {
        Admission::Refused { kind, .. } => assert_eq!(kind, ErrorKind::DeadlineUnreachable),
        other => panic!("{other:?} is not refused"),
    }
    ticket(queue.arrive(ClassId(0), CallerId(1), deadline_us, 0));
}

// A caller that waits alone, or requests of one caller among others, keep the order in which they
// were sent. Reordered writes of one caller would surprise it.
#[test]
fn requests_of_one_caller_are_served_in_arrival_order() {
    fn property(arrivals: Vec<(u8, bool)>, callers: u8) -> bool {
        let mut queue = single(limits(1));
        arrive(&mut queue, 0, 0, 0);
        let mut of = FastMap::default();
        let mut last_of = [None; 4];
        for (caller, is_served) in arrivals {
            let caller = usize::from(caller) % (1 + usize::from(callers) % 4);
            if let Admission::Queued { ticket, .. } = arrive(&mut queue, 0, caller as u64, 0) {
                of.insert(ticket, caller);
            }
            if is_served && queue.queued() > 0 {
                let (granted, _) = replace(&mut queue, ClassId(0));
                let caller = of[&granted];
                assert!(last_of[caller] < Some(granted), "{granted:?} overtook {last_of:?}");
                last_of[caller] = Some(granted);
            }
        }
        true
    }
    check(100, 200, property as fn(Vec<(u8, bool)>, u8) -> bool);
}

// A caller that sends its next request only after the answer must not be served before others each
// time just because it had none waiting in between.
#[test]
fn sending_one_at_a_time_gives_no_credit() {
    let mut queue = single(limits(1));
    arrive(&mut queue, 0, HEAVY, 0);
    for _ in 0..20 {
        ticket(arrive(&mut queue, 0, 1, 0));
    }
    let mut single = ticket(arrive(&mut queue, 0, 2, 0));
    let mut served = [0; 2];
    for _ in 0..20 {
        if replace(&mut queue, ClassId(0)).0 == single {
            served[1] += 1;
            single = ticket(arrive(&mut queue, 0, 2, 0));
        } else {
            served[0] += 1;
        }
    }
    assert_eq!(served, [10, 10]);
}

// Many callers send one request each, one after another. The memory for their tags must not grow
// with their number, and they must not overtake a waiting request one by one for good.
#[test]
fn tags_of_many_callers_are_bounded() {
    let mut queue = single(limits(1));
    arrive(&mut queue, 0, HEAVY, 0);
    ticket(arrive(&mut queue, 0, 1, 0));
    let overtaken = ticket(arrive(&mut queue, 0, 1, 0));
    let mut since = None;
    for caller in 0..2_000 {
        ticket(arrive(&mut queue, 0, 10 + caller, 0));
        if replace(&mut queue, ClassId(0)).0 == overtaken {
            since = since.or(Some(caller as usize));
        }
        assert_eq!(queue.verify(), Vec::<String>::new());
    }
    let since = since.expect("the request of the first caller is served");
    assert!(since <= MAX_IDLE_TAGS + 2, "served after {since} others");
}

macro_rules! places {
    ($($name:ident: $heavy:literal heavy, $classes:literal classes, $queued:literal, $per_class:literal
        => $first:literal,)*) => {
        $(#[test]
        fn $name() {
            let bounds =
                QueueLimits { queued: $queued, queued_per_class: $per_class, ..limits(1) };
            let shares = [classes()[0]; $classes];
            let mut queue: Queue = TargetQueue::new(bounds, &shares);
            arrive(&mut queue, 0, HEAVY, 0);
            for class in 0..$classes {
                for _ in 0..128 {
                    for caller in 0..$heavy {
                        arrive(&mut queue, class, caller, 0);
                    }
                }
            }
            let admitted = (1_000..1_200).filter(|caller| {
                matches!(arrive(&mut queue, 0, *caller, 0), Admission::Queued { .. })
            });
            let admitted = admitted.count();
            assert!(admitted + $heavy >= $first, "{admitted} callers got a place");
            assert!(queue.queued_of(ClassId(0)) <= $per_class);
            assert_eq!(queue.verify(), Vec::<String>::new());
        })*
    };
}

// Callers that send as much as they can must leave places for those that have none: half of the
// places of the class, or what is left of half of all places if every class is filled (16 of 128
// places are reserved for each of 4 classes, 8 of them for first requests, 32 shared).
places! {
    one_heavy_caller_leaves_places: 1 heavy, 1 classes, 128, 128 => 64,
    two_heavy_callers_leave_places: 2 heavy, 1 classes, 128, 128 => 64,
    many_heavy_callers_leave_places: 30 heavy, 1 classes, 128, 128 => 64,
    heavy_callers_leave_places_in_their_class: 8 heavy, 1 classes, 512, 64 => 32,
    heavy_callers_of_all_classes_leave_places: 2 heavy, 4 classes, 128, 128 => 32,
    many_heavy_callers_of_all_classes_leave_places: 8 heavy, 4 classes, 128, 128 => 8,
}

/// Returns the retry time of a request of the class that is refused.
fn retry_after_us(queue: &mut Queue, class: u32, caller: u64, now_us: u64) -> u64 {
    match queue.arrive(ClassId(class), CallerId(caller), now_us, now_us) {
        Admission::Refused { retry_after_us, .. } => retry_after_us,
        other => panic!("{other:?} is not refused"),
    }
}

// Callers that are refused at the same moment would return at the same moment and be refused again.
#[test]
fn retry_times_are_spread() {
    let mut queue = single(limits(1));
    for caller in 0..21 {
        arrive(&mut queue, 0, caller, 0);
    }
    queue.set_classes(&[ClassShare { weight: 1, goal_us: GOAL_US }]);
    let class_us = queue.predicted_wait_us(ClassId(0), 0);
    assert_eq!(class_us, 21 * RUN_US);
    assert!(class_us > GOAL_US);
    let mut by_fifth = [0; 5];
    for caller in 0..500 {
        let retry_us = retry_after_us(&mut queue, 0, jitter::seed_of(&caller.to_string()), 0);
        assert!((class_us..=class_us * 3 / 2).contains(&retry_us), "{retry_us}");
        by_fifth[((retry_us - class_us) * 10 / (class_us + 1)) as usize] += 1;
    }
    assert!(by_fifth.iter().all(|count| (70..=130).contains(count)), "{by_fifth:?}");
    let at = |queue: &mut Queue, now_us| retry_after_us(queue, 0, 1, now_us);
    assert_eq!(at(&mut queue, 0), at(&mut queue, 0));
    assert_ne!(at(&mut queue, 0), at(&mut queue, 1), "each attempt has a spread of its own");
}

// Callers that return sooner use up their retries during the same overload.
#[test]
fn retry_times_are_at_least_the_goal_of_the_class() {
    let mut queue = single(limits(4));
    queue.set_classes(&[ClassShare { weight: 1, goal_us: GOAL_US }]);
    (0..4).for_each(|caller| assert_eq!(arrive(&mut queue, 0, caller, 0), Admission::Granted));
    let mut retries_us = (0..50).map(|caller| retry_after_us(&mut queue, 0, caller, 0));
    assert!(retries_us.all(|retry_us| (GOAL_US..=GOAL_US * 3 / 2).contains(&retry_us)));
}

#[test]
fn retry_times_are_at_least_20_ms() {
    let mut queue = single(QueueLimits { spread_retries: false, ..limits(4) });
    (0..4).for_each(|caller| assert_eq!(arrive(&mut queue, 0, caller, 0), Admission::Granted));
    assert!((0..50).all(|caller| retry_after_us(&mut queue, 0, caller, 0) == 20_000));
}

#[test]
fn retry_times_are_not_spread_unless_enabled() {
    let bounds = QueueLimits { spread_retries: false, ..limits(1) };
    let mut queue = single(bounds);
    for caller in 0..21 {
        arrive(&mut queue, 0, caller, 0);
    }
    assert!((0..50).all(|caller| retry_after_us(&mut queue, 0, caller, 0) == 21 * RUN_US));
}

// During an overload of all classes, less urgent requests must not take the place of more urgent ones
// by returning earlier. The predicted waits are in this order by themselves if at least as much
// waits in each less urgent class.
#[test]
fn less_urgent_classes_retry_later() {
    fn property(queued: (u8, u8, u8), served: u8) -> bool {
        let mut queued = [queued.0, queued.1, queued.2].map(|count| 1 + usize::from(count) % 40);
        queued.sort_unstable();
        let bounds = QueueLimits { spread_retries: false, ..limits(1) };
        let mut queue: Queue = TargetQueue::new(bounds, &classes());
        arrive(&mut queue, 0, HEAVY, 0);
        // Some turns are taken before, so that the tags of the classes differ.
        let mut last = ClassId(0);
        for turn in 0..u32::from(served) {
            arrive(&mut queue, turn % 3, u64::from(turn), 0);
            last = replace(&mut queue, last).1;
        }
        for (class, queued) in queued.iter().enumerate() {
            for caller in 0..*queued {
                ticket(arrive(&mut queue, class as u32, caller as u64, 0));
            }
        }
        let waits_us = [0, 1, 2].map(|class| retry_after_us(&mut queue, class, 99, 0));
        assert!(waits_us.is_sorted(), "{waits_us:?} with {queued:?} waiting");
        true
    }
    check(64, 200, property as fn((u8, u8, u8), u8) -> bool);
}

// The order of retry times is that of the predicted waits, not of the classes: a class that uses less
// than its share is not told to wait for the backlog of a more urgent one.
#[test]
fn a_class_below_its_share_retries_before_an_overloaded_urgent_one() {
    let bounds = QueueLimits { spread_retries: false, ..limits(1) };
    let mut queue: Queue = TargetQueue::new(bounds, &classes());
    for caller in 0..41 {
        arrive(&mut queue, 0, caller, 0);
    }
    let [urgent_us, other_us] = [0, 2].map(|class| retry_after_us(&mut queue, class, 99, 0));
    assert!(other_us < urgent_us, "{other_us} and {urgent_us}");
}
