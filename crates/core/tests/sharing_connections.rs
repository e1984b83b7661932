//! Tests of a home's connections to a target: opened ahead of demand, closed when not needed, and
//! never a connection storm.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use skylark_core::process::connection_budget::BudgetPolicy;
use skylark_core::process::connection_budget::ConnectFailure;
use skylark_core::process::connection_budget::ConnectionBudget;

const SECOND_US: u64 = 1_000_000;

fn budget(share: u32, seed: u64) -> ConnectionBudget {
    ConnectionBudget::new(BudgetPolicy::default(), share, seed, 0)
}

/// Plans at `now_us` and lets every attempt succeed. Returns the number of attempts.
fn open_all(budget: &mut ConnectionBudget, now_us: u64) -> u32 {
    let plan = budget.plan(now_us);
    for _ in 0..plan.open {
        budget.opened();
    }
    plan.open
}

#[test]
fn spare_connections_are_opened_ahead_of_demand() {
    let mut budget = budget(8, 1);
    assert_eq!(open_all(&mut budget, 0), BudgetPolicy::default().spare);
    assert!(budget.take(1));
    assert_eq!(open_all(&mut budget, 2), 1, "one more before the spare ones are gone");
}

#[test]
fn home_stays_within_its_share() {
    let mut budget = budget(3, 1);
    budget.set_waiting(50);
    assert_eq!(open_all(&mut budget, 0), 3);
    assert_eq!(budget.plan(SECOND_US).open, 0);
}

#[test]
fn connections_beyond_the_demand_are_closed() {
    let mut budget = budget(16, 1);
    budget.set_waiting(10);
    assert_eq!(open_all(&mut budget, 0), 12);
    budget.set_waiting(0);
    for after_s in [1, 6, 9] {
        let plan = budget.plan(after_s * SECOND_US);
        assert_eq!(plan.close, 0, "the demand of {after_s} s ago is remembered");
    }
    let plan = budget.plan(20 * SECOND_US);
    assert_eq!((plan.close, budget.idle()), (10, 2));
    assert_eq!(budget.verify(), Vec::<String>::new());
}

#[test]
fn smaller_share_closes_only_idle_connections() {
    let mut budget = budget(8, 1);
    budget.set_waiting(6);
    open_all(&mut budget, 0);
    budget.set_waiting(0);
    for _ in 0..4 {
        assert!(budget.take(1));
    }
    budget.set_share(2);
    assert_eq!(budget.plan(2).close, 4);
    assert_eq!(budget.used(), 4);
    budget.returned();
    assert_eq!(budget.plan(3).close, 1);
}

/// Returns the times of all attempts before `until_us` to connect to a target that refuses each.
fn attempts_at_a_dead_target(seed: u64, until_us: u64) -> Vec<u64> {
    let mut budget = budget(8, seed);
    budget.set_waiting(8);
    let mut attempts = Vec::new();
    let mut now_us = 0;
    while now_us < until_us {
        let plan = budget.plan(now_us);
        for _ in 0..plan.open {
            attempts.push(now_us);
            budget.open_failed(ConnectFailure::Failed, now_us);
        }
        assert_eq!(budget.verify(), Vec::<String>::new());
        let after = budget.plan(now_us);
        assert_eq!(after.open, 0, "a failed attempt is not repeated immediately");
        now_us = after.next_plan_us.expect("a home that lacks connections plans again");
    }
    attempts
}

// A target restarts, and its homes have lost all their connections. Without jitter and a limit on
// attempts, all homes would connect at the same time, and again at each doubling of the delay, and
// keep the starting target busy. After the first attempts each home must make one at a time, ever
// less often, at times of its own.
#[test]
fn dead_target_causes_no_connection_storm() {
    let attempts = attempts_at_a_dead_target(1, 60 * SECOND_US);
    let first = attempts.iter().filter(|at_us| **at_us == 0).count();
    assert_eq!(first, 8, "the first attempts are made together");
    assert!(attempts.len() < 40, "{} attempts in a minute", attempts.len());
    let others = attempts_at_a_dead_target(2, 60 * SECOND_US);
    assert!(
        attempts[8..].iter().all(|at_us| !others[8..].contains(at_us)),
        "jitter differs by seed"
    );
}

#[test]
fn success_ends_the_back_off() {
    let mut budget = budget(4, 1);
    budget.set_waiting(4);
    let opening = budget.plan(0).open;
    assert_eq!(opening, 4);
    for _ in 0..opening {
        budget.open_failed(ConnectFailure::Failed, 0);
    }
    assert_eq!(budget.plan(1).open, 0);
    let plan = budget.plan(SECOND_US);
    assert_eq!(plan.open, 1, "a single attempt checks whether the target is back");
    budget.opened();
    assert_eq!(budget.plan(SECOND_US).open, 3);
}

// Two proxies disagree about which VMs are home, and together exceed the target's limit. The one
// that is refused would retry continuously until they agree. It must cap its pool, and raise the
// cap by one connection at a time.
#[test]
fn connection_limit_caps_the_pool() {
    let mut budget = budget(8, 1);
    budget.set_waiting(8);
    assert_eq!(budget.plan(0).open, 8);
    for _ in 0..5 {
        budget.opened();
    }
    for _ in 0..3 {
        budget.open_failed(ConnectFailure::TooMany, 10);
    }
    assert_eq!(budget.plan(11).open, 0);
    let mut attempts = 0;
    let mut now_us = 11;
    while now_us < 10 * SECOND_US {
        let plan = budget.plan(now_us);
        assert!(plan.open <= 1);
        for _ in 0..plan.open {
            attempts += 1;
            budget.open_failed(ConnectFailure::TooMany, now_us);
        }
        now_us += 10_000;
    }
    assert!((15..=40).contains(&attempts), "{attempts} attempts in ten seconds");
    for _ in 0..10 {
        now_us += SECOND_US;
        open_all(&mut budget, now_us);
    }
    assert_eq!(budget.total(), 8, "the share is reached once the target has room");
}

fn budget_keeps_its_invariants(steps: Vec<(u8, u8)>) -> bool {
    let mut budget = budget(6, 7);
    let mut now_us = 0;
    let mut opening = 0;
    for (action, value) in steps {
        now_us += u64::from(value) * 1_000;
        match action % 7 {
            0 => budget.set_waiting(u32::from(value) % 10),
            1 => {
                budget.take(now_us);
            }
            2 if budget.used() > 0 => budget.returned(),
            3 if budget.used() > 0 => budget.used_closed(),
            4 if opening > 0 => {
                opening -= 1;
                budget.opened();
            }
            5 if opening > 0 => {
                opening -= 1;
                let kinds = [ConnectFailure::TooMany, ConnectFailure::Failed];
                budget.open_failed(kinds[usize::from(value) % 2], now_us);
            }
            _ => opening += budget.plan(now_us).open,
        }
        if budget.total() > 6 || !budget.verify().is_empty() {
            return false;
        }
    }
    true
}

#[test]
fn share_is_never_exceeded() {
    for seed in 1..=4 {
        QuickCheck::new()
            .tests(400)
            .rng(Gen::from_size_and_seed(80, seed))
            .quickcheck(budget_keeps_its_invariants as fn(Vec<(u8, u8)>) -> bool);
    }
}
