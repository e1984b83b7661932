//! Tests of the bound on the age of members' data: it never claims data to be newer than it is.

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::process::member_set::MemberSet;
use skylark_core::process::read_age;
use skylark_core::process::read_age::ReadAge;

fn status(role: Role, raised: u64, log: (u64, u64), applied: (u64, u64)) -> MemberStatus {
    MemberStatus {
        role,
        raised_term: Term(raised),
        raised_by: String::new(),
        log: LogPosition::new(log.0, log.1),
        applied: LogPosition::new(applied.0, applied.1),
        leaving: false,
    }
}

fn primary(term: u64, index: u64) -> MemberStatus {
    status(Role::Primary, term, (term, index), (term, index))
}

fn replica(term: u64, index: u64) -> MemberStatus {
    status(Role::Replica, term, (term, index), (term, index))
}

#[test]
fn a_sample_needs_a_majority() {
    let mut age = ReadAge::new(3);
    age.probe_answered(0, 100, 110, &primary(1, 5));
    assert_eq!(age.fresh_as_of_us(0), None, "one member is no majority");
    age.probe_answered(1, 90, 120, &replica(1, 5));
    assert_eq!(age.fresh_as_of_us(0), Some(90), "the older of the two probes counts");
    assert_eq!(age.fresh_as_of_us(1), Some(90));
    age.probe_answered(1, 130, 140, &replica(1, 5));
    assert_eq!(age.fresh_as_of_us(1), Some(100), "the primary's own probe bounds it");
}

#[test]
fn sending_time_of_the_probe_counts() {
    let mut age = ReadAge::new(1);
    age.probe_answered(0, 100, 9_000, &primary(1, 5));
    assert_eq!(age.fresh_as_of_us(0), Some(100));
}

#[test]
fn a_replica_is_as_fresh_as_the_newest_sample_that_it_covers() {
    let mut age = ReadAge::new(2);
    for (at_us, index) in [(100, 5), (200, 6), (300, 9)] {
        age.probe_answered(1, at_us, at_us + 1, &replica(1, 3));
        age.probe_answered(0, at_us, at_us + 1, &primary(1, index));
    }
    age.notified(1, 310, LogPosition::new(1, 4));
    assert_eq!(age.fresh_as_of_us(1), None);
    age.notified(1, 310, LogPosition::new(1, 8));
    assert_eq!(age.fresh_as_of_us(1), Some(200));
    assert_eq!(age.lag_us(1), Some(110));
    age.notified(1, 310, LogPosition::new(1, 9));
    assert_eq!(age.fresh_as_of_us(1), Some(300));
}

#[test]
fn catch_up_time_differs_from_the_lag() {
    let mut age = ReadAge::new(2);
    age.probe_answered(0, 100, 101, &primary(1, 5));
    age.probe_answered(1, 100, 101, &replica(1, 5));
    assert_eq!(age.catch_up_us(1), Some(0));
    for step in 1..200 {
        let now_us = 1_000 * step;
        age.notified(0, now_us, LogPosition::new(1, 5 + step));
        age.notified(1, now_us + 40, LogPosition::new(1, 5 + step));
    }
    let catch_up_us = age.catch_up_us(1).expect("it was measured");
    assert!((30..=40).contains(&catch_up_us), "{catch_up_us}");
    assert!(age.lag_us(1).expect("it was measured") > 1_000, "no probe shows a younger age");
}

// Guards against a read with a limit of 1 s that gets data of minutes ago. The primary is isolated
// from the other members and still believes that it leads; only this process's probes reach it, and
// are answered immediately with an unchanged log end. Meanwhile the others have promised themselves
// to a new term, whose primary acknowledges writes. Probes of the old primary alone must not count.
#[test]
fn an_isolated_old_primary_gives_no_samples() {
    let mut age = ReadAge::new(3);
    for member in 0..3 {
        let report = if member == 0 { primary(1, 5) } else { replica(1, 5) };
        age.probe_answered(member, 100, 101, &report);
    }
    for sent_us in [200, 300, 400] {
        age.probe_answered(0, sent_us, sent_us + 1, &primary(1, 5));
    }
    assert_eq!(age.fresh_as_of_us(0), Some(100), "no others answered since");

    age.probe_answered(1, 450, 451, &status(Role::Fenced, 2, (1, 5), (1, 5)));
    age.probe_answered(2, 450, 451, &status(Role::Fenced, 2, (1, 5), (1, 5)));
    age.probe_answered(0, 500, 501, &primary(1, 5));
    assert_eq!(age.fresh_as_of_us(0), Some(100), "the others promised themselves to term 2");
    assert_eq!(age.fresh_as_of_us(1), Some(100), "what was shown stays shown");
}

// Guards against reads that miss a write acknowledged long ago. The group shrinks from four members
// to three, and this process knows the new set. A process that knows only the old set may promote
// and acknowledge with the removed member and two others, so the answers must form a quorum of the
// old set too.
#[test]
fn a_joint_member_set_needs_both_quorums() {
    let names = |members: &[&str]| members.iter().map(|&name| name.to_owned()).collect();
    let first = MemberSet::new(1, names(&["a", "b", "c", "d"])).expect("four members");
    let second = first.successor(2, names(&["a", "b", "c"])).expect("one left");
    let mut joint = ReadAge::with_member_set(second);
    joint.probe_answered(0, 100, 101, &primary(1, 5));
    joint.probe_answered(1, 100, 101, &replica(1, 5));
    assert_eq!(joint.fresh_as_of_us(0), None, "two of three are two of four");
    joint.probe_answered(2, 100, 101, &replica(1, 5));
    assert_eq!(joint.fresh_as_of_us(0), Some(100), "three of four");

    joint.probe_answered(1, 150, 151, &replica(1, 5));
    joint.settle_members();
    joint.probe_answered(0, 200, 201, &primary(1, 6));
    assert_eq!(joint.fresh_as_of_us(0), Some(100), "answers from before the settling don't count");
    joint.probe_answered(1, 200, 201, &replica(1, 6));
    assert_eq!(joint.fresh_as_of_us(0), Some(200), "two of three are enough now");
}

#[test]
fn an_older_answer_changes_nothing() {
    let mut age = ReadAge::new(1);
    age.probe_answered(0, 200, 201, &primary(2, 8));
    age.probe_answered(0, 100, 202, &primary(1, 5));
    assert_eq!(age.fresh_as_of_us(0), Some(200));
}

#[test]
fn the_ring_is_bounded_and_keeps_a_long_span() {
    let mut age = ReadAge::new(2);
    for step in 1..=10_000 {
        age.probe_answered(1, step * 10, step * 10, &replica(1, 1));
        age.probe_answered(0, step * 10, step * 10, &primary(1, step));
    }
    assert!(age.samples().count() <= read_age::MAX_SAMPLES);
    assert_eq!(age.verify(), Vec::<String>::new());
    for (covered, at_least_us) in [(9_990, 99_800), (9_000, 85_000), (5_000, 35_000)] {
        age.notified(1, 100_000, LogPosition::new(1, covered));
        let shown_us = age.fresh_as_of_us(1).expect("a sample of that age is kept");
        assert!((at_least_us..=covered * 10).contains(&shown_us), "{shown_us} for {covered}");
    }
}

/// A step of the random history of a group.
#[derive(Clone, Copy, Debug)]
enum Step {
    Write,
    Replicate(usize),
    Failover(usize),
    Probe(usize),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Step {
        let member = usize::arbitrary(g) % 3;
        match u8::arbitrary(g) % 8 {
            0 | 1 => Step::Write,
            2 | 3 => Step::Replicate(member),
            4 => Step::Failover(member),
            _ => Step::Probe(member),
        }
    }
}

/// A group of three members that acknowledges every write once a majority holds it.
struct Group {
    members: [MemberStatus; 3],
    /// The acknowledged positions with their times.
    acknowledged: Vec<(u64, LogPosition)>,
}

impl Group {
    fn new() -> Group {
        Group {
            members: [primary(1, 1), replica(1, 1), replica(1, 1)],
            acknowledged: vec![(0, LogPosition::new(1, 1))],
        }
    }

    fn write(&mut self, now_us: u64) {
        // Every member that believes it leads accepts writes, including a replaced primary.
        for member in &mut self.members {
            if member.role == Role::Primary {
                member.log.index += 1;
                member.applied = member.log;
            }
        }
        self.acknowledge(now_us);
    }

    fn leader(&self) -> usize {
        let leads = |member: &usize| self.members[*member].role == Role::Primary;
        let leaders = (0..3).filter(leads);
        leaders.max_by_key(|member| self.members[*member].raised_term).expect("somebody leads")
    }

    fn replicate(&mut self, member: usize, now_us: u64) {
        let leader = self.members[self.leader()].clone();
        let follower = &mut self.members[member];
        if follower.raised_term > leader.raised_term || follower.log == leader.log {
            return;
        }
        *follower = MemberStatus { role: Role::Replica, ..leader };
        self.acknowledge(now_us);
    }

    /// Raises the term at `driver` and one other member, and promotes the one with the higher log.
    fn failover(&mut self, driver: usize) {
        let other = (driver + 1) % 3;
        let term = Term(self.members.iter().map(|it| it.raised_term.0).max().expect("three") + 1);
        for member in [driver, other] {
            self.members[member].raised_term = term;
            self.members[member].role = Role::Fenced;
        }
        let most = if self.members[other].log > self.members[driver].log { other } else { driver };
        let promoted = &mut self.members[most];
        promoted.role = Role::Primary;
        promoted.log = LogPosition { term, index: promoted.log.index + 1 };
        promoted.applied = promoted.log;
    }

    fn acknowledge(&mut self, now_us: u64) {
        let position = self.members[self.leader()].log;
        let confirming = self.members.iter().filter(|member| member.confirms(position)).count();
        if confirming >= 2 {
            self.acknowledged.push((now_us, position));
        }
    }

    /// Returns the highest position acknowledged by `time_us`.
    fn acknowledged_by(&self, time_us: u64) -> LogPosition {
        let earlier = self.acknowledged.iter().filter(|(at_us, _)| *at_us <= time_us);
        earlier.map(|(_, position)| *position).max().expect("the first record")
    }
}

fn claims_hold(steps: Vec<Step>) -> bool {
    let mut group = Group::new();
    let mut age = ReadAge::new(3);
    for (index, step) in steps.into_iter().enumerate() {
        let now_us = index as u64 * 10 + 10;
        match step {
            Step::Write => group.write(now_us),
            Step::Replicate(member) => group.replicate(member, now_us),
            Step::Failover(driver) => group.failover(driver),
            Step::Probe(member) => {
                age.probe_answered(member, now_us, now_us + 5, &group.members[member]);
            }
        }
        for member in 0..3 {
            let Some(fresh_us) = age.fresh_as_of_us(member) else { continue };
            if !group.members[member].applied.covers(group.acknowledged_by(fresh_us)) {
                return false;
            }
        }
        if !age.verify().is_empty() {
            return false;
        }
    }
    true
}

#[test]
fn claimed_age_is_never_too_low() {
    for seed in 1..=4 {
        QuickCheck::new()
            .tests(500)
            .rng(Gen::from_size_and_seed(60, seed))
            .quickcheck(claims_hold as fn(Vec<Step>) -> bool);
    }
}
