//! Runs the text cases under `tests/cases/routing`, which map members and a read to the expected verdict.
//!
//! Lines before `----` are `leader NAME term N`, `member NAME KEY VALUE...` and `read KEY VALUE...`;
//! times are in milliseconds, and the read arrives at 10000. The lines after it are the verdict.

use std::fs;
use std::path::Path;

use skylark_core::ids::TargetId;
use skylark_core::log_position::Term;
use skylark_core::request::routing;
use skylark_core::request::routing::LeaderView;
use skylark_core::request::routing::MemberView;
use skylark_core::request::routing::Nearness;
use skylark_core::request::routing::ReadReason;
use skylark_core::request::routing::ReadRequest;
use skylark_core::request::routing::ReadVerdict;
use skylark_core::request::routing::RoutingPolicy;

const NOW_MS: u64 = 10_000;

/// Returns the target for a name. Names are letters that stand for indices: `a` is target 0.
fn target(name: &str) -> TargetId {
    TargetId(u32::from(name.as_bytes()[0] - b'a'))
}

fn name(target: TargetId) -> char {
    (b'a' + target.0 as u8) as char
}

fn us(ms: &str) -> u64 {
    ms.parse::<u64>().expect("a time in milliseconds") * 1_000
}

fn pairs<'a>(fields: &[&'a str]) -> Vec<(&'a str, &'a str)> {
    fields.chunks(2).map(|pair| (pair[0], pair[1])).collect()
}

fn member(fields: &[&str]) -> MemberView {
    let mut member = MemberView {
        target: target(fields[0]),
        applied: "3/10".parse().expect("a position"),
        fresh_as_of_us: (NOW_MS - 10) * 1_000,
        lag_us: None,
        catch_up_us: None,
        reachable: true,
        leaving: false,
        nearness: Nearness::SameZone,
        predicted_wait_us: 0,
    };
    for (key, value) in pairs(&fields[1..]) {
        match key {
            "applied" => member.applied = value.parse().expect("a position"),
            "age" if value == "none" => member.fresh_as_of_us = 0,
            "age" => member.fresh_as_of_us = NOW_MS * 1_000 - us(value),
            "lag" => member.lag_us = Some(us(value)),
            "catch_up" => member.catch_up_us = Some(us(value)),
            "reachable" => member.reachable = value == "yes",
            "leaving" => member.leaving = value == "yes",
            "zone" if value == "other" => member.nearness = Nearness::OtherZone,
            "region" if value == "other" => member.nearness = Nearness::OtherRegion,
            "wait" => member.predicted_wait_us = us(value),
            other => panic!("unknown key {other}"),
        }
    }
    member
}

fn read(fields: &[&str]) -> ReadRequest {
    let mut request = ReadRequest {
        floor: Default::default(),
        max_age_us: 1_000_000,
        deadline_us: (NOW_MS + 1_000) * 1_000,
        waited_us: 0,
        tie_breaker: 0,
    };
    for (key, value) in pairs(fields) {
        match key {
            "floor" => request.floor = value.parse().expect("a position"),
            "max_age" if value == "none" => request.max_age_us = routing::NO_AGE_BOUND,
            "max_age" => request.max_age_us = us(value),
            "left" => request.deadline_us = NOW_MS * 1_000 + us(value),
            "waited" => request.waited_us = us(value),
            "spread" => request.tie_breaker = value.parse().expect("a number"),
            other => panic!("unknown key {other}"),
        }
    }
    request
}

fn print(verdict: ReadVerdict) -> String {
    let reason = verdict.reason().name();
    match verdict {
        ReadVerdict::Send { target, .. } => format!("send {} {reason}\n", name(target)),
        ReadVerdict::Wait { target, wait_us, .. } => {
            format!("wait {} {} ms {reason}\n", name(target), wait_us / 1_000)
        }
        ReadVerdict::Refuse { kind, retry_after_us, .. } => {
            let code = kind.answer().name;
            format!("refuse {code} {reason} retry after {} ms\n", retry_after_us / 1_000)
        }
    }
}

fn run(case: &str) {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases/routing");
    let text = fs::read_to_string(folder.join(case)).expect("the case can be read");
    let (input, expected) = text.split_once("----\n").expect("the case has a separator");
    let (mut leader, mut members, mut request) = (None, Vec::new(), None);
    for line in input.lines().filter(|line| !line.is_empty() && !line.starts_with('#')) {
        let fields: Vec<&str> = line.split(' ').collect();
        match fields[0] {
            "leader" => {
                let term = Term(fields[3].parse().expect("a term"));
                leader = Some(LeaderView { target: target(fields[1]), term });
            }
            "member" => members.push(member(&fields[1..])),
            "read" => request = Some(read(&fields[1..])),
            other => panic!("unknown line {other}"),
        }
    }
    let request = request.expect("the case has a read");
    let policy = RoutingPolicy::default();
    let verdict = routing::route(&policy, &request, leader, &members, NOW_MS * 1_000);
    assert_eq!(print(verdict), expected, "verdict of {case}");
}

macro_rules! cases {
    ($($name:ident = $file:literal;)+) => {
        $(#[test]
        fn $name() {
            run($file);
        })+
    };
}

cases! {
    nearest_replica = "nearest-replica.case";
    shortest_wait = "shortest-wait.case";
    tie_is_spread = "tie-is-spread.case";
    floor_excludes_replica = "floor-excludes-replica.case";
    age_excludes_replica = "age-excludes-replica.case";
    unproved_age = "unshown-age.case";
    no_bound_needs_no_age = "no-bound-needs-no-age.case";
    waits_for_replica = "waits-for-replica.case";
    follows_fast = "follows-fast.case";
    waited_and_served = "waited-and-served.case";
    waited_long_enough = "waited-long-enough.case";
    lag_above_bound = "hopeless-lag.case";
    busy_primary = "busy-primary.case";
    old_primary_and_floor = "old-primary-and-floor.case";
    isolated_old_primary = "isolated-old-primary.case";
    new_primary_and_old_floor = "new-primary-and-old-floor.case";
    leaving_replicas = "leaving-replicas.case";
    leaving_primary = "leaving-primary.case";
    nobody_reachable = "nobody-reachable.case";
    only_primary = "only-primary.case";
    replicas_busy = "replicas-busy.case";
    deadline_unreachable = "deadline-unreachable.case";
    partitioned_zone_too_old = "island-too-old.case";
    no_leader_waits = "no-leader-waits.case";
}

#[test]
fn reasons_have_distinct_names_and_indices() {
    for (index, reason) in ReadReason::ALL.iter().enumerate() {
        assert_eq!(reason.index(), index);
        let same = ReadReason::ALL.iter().filter(|other| other.name() == reason.name()).count();
        assert_eq!(same, 1, "name {}", reason.name());
        assert!(!reason.is_replica() || reason.is_eligible(), "{reason:?}");
    }
}
