//! Tests of the timer service.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use skylark_core::process::timer::Period;
use skylark_core::process::timer::TimerId;
use skylark_core::process::timer::Timers;

fn due(timers: &mut Timers, now_us: u64) -> Vec<TimerId> {
    let mut due = Vec::new();
    timers.take_due(now_us, &mut due);
    due
}

fn every(every_us: u64) -> Period {
    Period { every_us, jitter_us: 0, seed: 1 }
}

#[test]
fn a_period_ticks_at_its_pace() {
    let mut timers = Timers::new();
    let timer = timers.subscribe(every(100), 0);
    let first_us = timers.next_deadline_us().expect("a tick");
    assert!(first_us <= 100);
    assert_eq!(due(&mut timers, first_us), [timer]);
    assert_eq!(timers.next_deadline_us(), Some(first_us + 100));
    assert_eq!(due(&mut timers, first_us + 99), []);
    assert_eq!(due(&mut timers, first_us + 100), [timer]);
}

#[test]
fn a_single_tick_ends() {
    let mut timers = Timers::new();
    let timer = timers.once(50);
    assert_eq!(due(&mut timers, 60), [timer]);
    assert_eq!(timers.next_deadline_us(), None);
}

#[test]
fn a_moved_tick_does_not_come_at_its_old_time() {
    let mut timers = Timers::new();
    let timer = timers.once(50);
    timers.reset(timer, 100);
    assert_eq!(timers.next_deadline_us(), Some(100));
    assert_eq!(due(&mut timers, 60), []);
    assert_eq!(due(&mut timers, 100), [timer]);
}

// After a pause of minutes, a process that got every missed tick would probe each member hundreds
// of times at once, and would take the delay of the answers for more failures. All missed ticks
// must become one.
#[test]
fn a_pause_makes_one_tick() {
    let mut timers = Timers::new();
    let timer = timers.subscribe(every(100), 0);
    assert_eq!(due(&mut timers, 1_000_000), [timer]);
    assert_eq!(due(&mut timers, 1_000_000), []);
    assert_eq!(timers.next_deadline_us(), Some(1_000_100));
}

#[test]
fn jitter_differs_between_seeds_and_is_bounded() {
    let next = |seed| {
        let mut timers = Timers::new();
        timers.subscribe(Period { every_us: 1_000, jitter_us: 500, seed }, 0);
        due(&mut timers, 1_500);
        timers.next_deadline_us().expect("a tick")
    };
    let deadlines: Vec<u64> = (0..20).map(next).collect();
    assert!(deadlines.iter().all(|at_us| (2_500..=3_000).contains(at_us)), "{deadlines:?}");
    assert!(deadlines.iter().any(|at_us| *at_us != deadlines[0]));
}

/// Checks the invariants of the timer service for random operations.
fn timers_keep_their_invariants(steps: Vec<(u8, u8)>) -> bool {
    let mut timers = Timers::new();
    let mut active = Vec::new();
    let mut now_us = 0;
    for (action, value) in steps {
        let value = u64::from(value);
        match action % 5 {
            0 => active.push((timers.subscribe(every(value + 1), now_us), true)),
            1 => active.push((timers.once(now_us + value), false)),
            2 if !active.is_empty() => {
                let (timer, _) = active.swap_remove(value as usize % active.len());
                timers.cancel(timer);
            }
            3 if !active.is_empty() => {
                let (timer, _) = active[value as usize % active.len()];
                timers.reset(timer, now_us + value);
            }
            _ => {
                now_us += value;
                let ended = due(&mut timers, now_us);
                active.retain(|(timer, periodic)| *periodic || !ended.contains(timer));
                if timers.next_deadline_us().is_some_and(|at_us| at_us <= now_us) {
                    return false;
                }
            }
        }
        if !timers.verify().is_empty() || timers.next_deadline_us().is_some() == active.is_empty() {
            return false;
        }
    }
    true
}

#[test]
fn timers_keep_their_invariants_for_random_operations() {
    for seed in 1..=3 {
        QuickCheck::new()
            .tests(300)
            .rng(Gen::from_size_and_seed(60, seed))
            .quickcheck(timers_keep_their_invariants as fn(Vec<(u8, u8)>) -> bool);
    }
}
