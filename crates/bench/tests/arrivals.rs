//! Arrivals follow their seed, their rates and their weights.

use skylark_bench::load::arrivals;
use skylark_bench::load::arrivals::Phase;
use skylark_bench::load::mix::Action;
use skylark_bench::load::mix::OperationSpec;

const SEED: u64 = 7;
const GROUPS: usize = 3;

fn operation(name: &str, weight: u32, surge_weight: Option<u32>) -> OperationSpec {
    let name = name.to_owned();
    let (class, read_kind) = (String::new(), String::new());
    OperationSpec { name, action: Action::Read, class, read_kind, weight, surge_weight }
}

fn mix() -> Vec<OperationSpec> {
    vec![operation("lookup", 9, None), operation("reservation", 1, Some(27))]
}

const MORNING: Phase = Phase { for_ms: 20_000, per_s: 500.0, surge: false, even: false };
const SURGE: Phase = Phase { for_ms: 20_000, per_s: 5_000.0, surge: true, even: false };

#[test]
fn one_seed_gives_one_sequence() {
    let drawn = arrivals::draw(SEED, &[MORNING, SURGE], &mix(), GROUPS);
    assert_eq!(drawn, arrivals::draw(SEED, &[MORNING, SURGE], &mix(), GROUPS));
    assert_ne!(drawn, arrivals::draw(SEED + 1, &[MORNING, SURGE], &mix(), GROUPS));
    assert!(drawn.is_sorted_by_key(|arrival| arrival.at_us));
}

#[test]
fn rates_weights_and_skew_follow_the_phase() {
    let drawn = arrivals::draw(SEED, &[MORNING, SURGE], &mix(), GROUPS);
    let (morning, surge) = drawn.split_at(drawn.partition_point(|a| a.at_us < 20_000_000));
    let share = |of: &[arrivals::Arrival], holds: fn(&arrivals::Arrival) -> bool| {
        of.iter().filter(|arrival| holds(arrival)).count() as f64 / of.len() as f64
    };
    assert!((9_500..10_500).contains(&morning.len()), "{}", morning.len());
    assert!((98_000..102_000).contains(&surge.len()), "{}", surge.len());
    assert!((0.08..0.12).contains(&share(morning, |a| a.operation == 1)));
    assert!((0.73..0.77).contains(&share(surge, |a| a.operation == 1)));
    assert!((0.30..0.37).contains(&share(morning, |a| a.group == 0)));
    assert!((0.92..0.95).contains(&share(surge, |a| a.group == 0)));
}

#[test]
fn silent_phase_has_no_arrivals() {
    let silent = Phase { for_ms: 1_000, per_s: 0.0, surge: false, even: false };
    assert_eq!(arrivals::draw(SEED, &[silent], &mix(), GROUPS), []);
}

#[test]
fn even_phase_is_spaced_evenly() {
    let probe = Phase { for_ms: 100, per_s: 200.0, surge: false, even: true };
    let drawn = arrivals::draw(SEED, &[probe], &mix(), GROUPS);
    let times: Vec<u64> = drawn.iter().map(|arrival| arrival.at_us).collect();
    let expected: Vec<u64> = (1..20).map(|count| count * 5_000).collect();
    assert_eq!(times, expected);
}
