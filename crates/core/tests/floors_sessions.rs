//! Tests of the floors of sessions without a token: random interleavings of writes through proxies,
//! some of them unknown to the holders, with lost reports, restarts of holders and changes of
//! primary.

#[path = "failover/member.rs"]
mod member;

use quickcheck::Arbitrary;
use quickcheck::Gen;
use quickcheck::QuickCheck;
use quickcheck::TestResult;

use member::FakeMember;
use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::process::failover::MemberCall;
use skylark_core::process::member_set::MemberSet;
use skylark_core::process::session_floors::BarrierId;
use skylark_core::process::session_floors::FloorAnswer;
use skylark_core::process::session_floors::LookupId;
use skylark_core::process::session_floors::SessionFloors;
use skylark_core::process::session_floors::SessionFloorsSettings;
use skylark_core::process::session_floors::SessionWrite;

const MEMBERS: usize = 3;
const HOLDERS: usize = 2;
const SESSIONS: usize = 5;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// A write through a holder, or through a proxy that no holder knows.
    Write {
        session: usize,
        proxy: usize,
    },
    Replicate(usize),
    /// Raises two members and promotes the one with the higher log.
    Replace(usize),
    Follow(usize),
    LookUp {
        holder: usize,
        session: usize,
    },
    /// A lookup whose barrier reads all members without a delay.
    LookUpNow {
        holder: usize,
        session: usize,
    },
    Begin(usize),
    /// Reads a member's status for a holder. It is delivered by the next `Arrive` that picks it.
    Read {
        holder: usize,
        member: usize,
    },
    Arrive(usize),
    Lose(usize),
    Abandon(usize),
    Restart(usize),
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Op {
        let (a, b) = (usize::from(u8::arbitrary(g)), usize::from(u8::arbitrary(g)));
        match u8::arbitrary(g) % 100 {
            0..16 => Op::Write { session: a, proxy: b },
            16..36 => Op::Replicate(a),
            36..38 => Op::Replace(a),
            38..42 => Op::Follow(a),
            42..48 => Op::LookUp { holder: a, session: b },
            48..54 => Op::LookUpNow { holder: a, session: b },
            54..60 => Op::Begin(a),
            60..78 => Op::Read { holder: a, member: b },
            78..95 => Op::Arrive(a),
            95..97 => Op::Lose(a),
            97..99 => Op::Abandon(a),
            _ => Op::Restart(a),
        }
    }
}

enum Message {
    Status { holder: usize, barrier: Option<BarrierId>, member: usize, status: MemberStatus },
    Writes { holder: usize, session: String, position: LogPosition },
}

/// A lookup in progress, with the last write of its session that was acknowledged when it arrived.
struct PendingLookup {
    holder: usize,
    id: LookupId,
    last_write: Option<LogPosition>,
}

struct World {
    settings: SessionFloorsSettings,
    members: Vec<FakeMember>,
    primary: usize,
    holders: Vec<SessionFloors>,
    barriers: Vec<Option<BarrierId>>,
    messages: Vec<Message>,
    unacknowledged: Vec<(usize, LogPosition)>,
    last_write: [Option<LogPosition>; SESSIONS],
    pending: Vec<PendingLookup>,
    next_lookup: u64,
    answered: usize,
    last_floor: LogPosition,
    fault: Option<String>,
}

fn name(session: usize) -> String {
    format!("session{session}")
}

fn holder(settings: SessionFloorsSettings) -> SessionFloors {
    let names = (0..MEMBERS).map(|member| format!("target{member}")).collect();
    SessionFloors::new(settings, MemberSet::new(1, names).expect("distinct names"))
}

impl World {
    fn new(settings: SessionFloorsSettings) -> World {
        let mut world = World {
            settings,
            members: (0..MEMBERS).map(|_| FakeMember::new()).collect(),
            primary: 0,
            holders: (0..HOLDERS).map(|_| holder(settings)).collect(),
            barriers: vec![None; HOLDERS],
            messages: Vec::new(),
            unacknowledged: Vec::new(),
            last_write: [None; SESSIONS],
            pending: Vec::new(),
            next_lookup: 0,
            answered: 0,
            last_floor: LogPosition::default(),
            fault: None,
        };
        world.replace(0);
        (0..MEMBERS).for_each(|member| world.follow(member));
        world
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Write { session, proxy } => self.write(session % SESSIONS, proxy % (HOLDERS + 1)),
            Op::Replicate(member) => self.replicate(member % MEMBERS),
            Op::Replace(first) => self.replace(first % MEMBERS),
            Op::Follow(member) => self.follow(member % MEMBERS),
            Op::LookUp { holder, session } => self.look_up(holder % HOLDERS, session % SESSIONS),
            Op::LookUpNow { holder, session } => {
                self.look_up_now(holder % HOLDERS, session % SESSIONS)
            }
            Op::Begin(holder) => self.begin(holder % HOLDERS),
            Op::Read { holder, member } => self.read(holder % HOLDERS, member % MEMBERS),
            Op::Arrive(pick) => self.arrive(pick),
            Op::Lose(pick) => {
                if !self.messages.is_empty() {
                    self.messages.swap_remove(pick % self.messages.len());
                }
            }
            Op::Abandon(holder) => {
                if let Some(barrier) = self.barriers[holder % HOLDERS].take() {
                    self.holders[holder % HOLDERS].abandon_barrier(barrier);
                }
            }
            Op::Restart(pick) => {
                self.holders[pick % HOLDERS] = holder(self.settings);
                self.barriers[pick % HOLDERS] = None;
                self.pending.retain(|pending| pending.holder != pick % HOLDERS);
            }
        }
        self.acknowledge();
        for holder in &self.holders {
            if let Some(violation) = holder.verify().first() {
                self.fault = Some(format!("{violation:?}"));
            }
        }
    }

    fn write(&mut self, session: usize, proxy: usize) {
        let Some(position) = self.members[self.primary].write() else { return };
        self.unacknowledged.push((session, position));
        if proxy == HOLDERS {
            return;
        }
        let session = name(session);
        self.holders[proxy].record(SessionWrite { session: Some(&session), position });
        self.messages.push(Message::Writes { holder: 1 - proxy, session, position });
    }

    fn replicate(&mut self, member: usize) {
        let Some((term, primary)) = self.members[member].follows else { return };
        let source = self.members[primary].clone();
        if source.leads(term) {
            self.members[member].take_from(&source.log);
        }
    }

    fn replace(&mut self, first: usize) {
        let second = (first + 1) % MEMBERS;
        let term = self.members.iter().map(|member| member.raised_term).max().expect("members");
        let term = Term(term.0 + 1);
        for member in [first, second] {
            self.members[member].raise(term, "driver");
        }
        let higher = self.members[second].end() > self.members[first].end();
        self.primary = if higher { second } else { first };
        self.members[self.primary].call("driver", MemberCall::Promote { term });
    }

    fn follow(&mut self, member: usize) {
        let term = self.members[self.primary].raised_term;
        self.members[member].call("driver", MemberCall::Follow { term, primary: self.primary });
    }

    fn acknowledge(&mut self) {
        let members = &self.members;
        let last_write = &mut self.last_write;
        self.unacknowledged.retain(|&(session, position)| {
            let holding = members.iter().filter(|member| member.status().confirms(position));
            let acknowledged = holding.count() >= 2;
            if acknowledged {
                last_write[session] = last_write[session].max(Some(position));
            }
            !acknowledged
        });
    }

    fn look_up(&mut self, holder: usize, session: usize) {
        self.next_lookup += 1;
        let id = LookupId(self.next_lookup);
        self.holders[holder].look_up(id, &name(session));
        self.pending.push(PendingLookup { holder, id, last_write: self.last_write[session] });
    }

    fn begin(&mut self, holder: usize) {
        let begun = self.holders[holder].begin_barrier();
        self.barriers[holder] = begun.or(self.barriers[holder]);
    }

    fn look_up_now(&mut self, holder: usize, session: usize) {
        if let Some(barrier) = self.barriers[holder] {
            self.holders[holder].abandon_barrier(barrier);
        }
        self.look_up(holder, session);
        self.begin(holder);
        for member in 0..MEMBERS {
            self.read(holder, member);
            self.arrive(self.messages.len() - 1);
        }
    }

    fn read(&mut self, holder: usize, member: usize) {
        let barrier = self.barriers[holder];
        let status = self.members[member].status();
        self.messages.push(Message::Status { holder, barrier, member, status });
    }

    fn arrive(&mut self, pick: usize) {
        if self.messages.is_empty() {
            return;
        }
        match self.messages.swap_remove(pick % self.messages.len()) {
            Message::Writes { holder, session, position } => {
                self.holders[holder].record(SessionWrite { session: Some(&session), position });
            }
            Message::Status { holder, barrier: None, member, status } => {
                self.holders[holder].note_status(member, &status);
            }
            Message::Status { holder, barrier: Some(barrier), member, status } => {
                let answers = self.holders[holder].barrier_status(barrier, member, &status);
                for answer in answers {
                    self.check(holder, answer);
                }
            }
        }
    }

    /// Checks that every member that covers the floor holds the session's last write, since the
    /// next read may go to any of them.
    fn check(&mut self, holder: usize, answer: FloorAnswer) {
        let found =
            |pending: &PendingLookup| pending.holder == holder && pending.id == answer.lookup;
        let Some(position) = self.pending.iter().position(found) else { return };
        let pending = self.pending.swap_remove(position);
        self.answered += 1;
        self.last_floor = answer.floor;
        let Some(write) = pending.last_write else { return };
        for (member, state) in self.members.iter().enumerate() {
            let index = write.index as usize - 1;
            if state.end().covers(answer.floor) && state.log.get(index) != Some(&write.term) {
                self.fault = Some(format!("target{member} misses {write} at {}", answer.floor));
            }
        }
    }
}

fn reads_own_writes(settings: SessionFloorsSettings, ops: &[Op]) -> TestResult {
    let mut world = World::new(settings);
    for &op in ops {
        world.apply(op);
        if let Some(fault) = &world.fault {
            return TestResult::error(fault.clone());
        }
    }
    TestResult::passed()
}

/// A write is acknowledged through any proxy, and the next read asks a holder that may have
/// restarted, may not know that proxy, or may be in an older term. No member that covers the
/// answered floor may lack the write.
#[test]
fn sessions_read_their_writes_whatever_a_holder_knows() {
    fn roomy(ops: Vec<Op>) -> TestResult {
        reads_own_writes(SessionFloorsSettings::default(), &ops)
    }
    for seed in [1, 2] {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(400, seed))
            .tests(1_000)
            .quickcheck(roomy as fn(Vec<Op>) -> TestResult);
    }
}

/// The same with room for two sessions and two ranges: dropped records may raise answers, but never
/// make them wrong.
#[test]
fn full_tables_stay_safe() {
    fn tight(ops: Vec<Op>) -> TestResult {
        reads_own_writes(SessionFloorsSettings { max_sessions: 2, max_ranges: 2 }, &ops)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 3))
        .tests(1_000)
        .quickcheck(tight as fn(Vec<Op>) -> TestResult);
}

/// A status read before the lookup arrived does not reflect a write between the two. It must not
/// complete the lookup's barrier, even if its answer arrives late.
#[test]
fn reads_sent_before_the_barrier_do_not_count() {
    let mut world = World::new(SessionFloorsSettings::default());
    world.look_up(0, 0);
    world.begin(0);
    (0..MEMBERS).for_each(|member| world.read(0, member));
    world.apply(Op::Abandon(0));
    world.write(0, HOLDERS);
    (0..MEMBERS).for_each(|member| world.apply(Op::Replicate(member)));
    world.look_up(0, 0);
    world.begin(0);
    (0..MEMBERS).for_each(|_| world.arrive(0));
    assert_eq!(world.answered, 0);
}

/// The old primary is isolated together with a holder and still believes that it leads. A write is
/// acknowledged in the new term. The statuses of the old primary and a member of the new term are
/// no quorum of one term, so the lookup waits for the new primary.
#[test]
fn old_primary_completes_no_barrier() {
    let mut world = World::new(SessionFloorsSettings::default());
    world.replace(1);
    world.follow(2);
    (0..4).for_each(|_| world.replicate(2));
    world.write(0, HOLDERS);
    world.apply(Op::Replicate(2));
    assert!(world.last_write[0].is_some());
    world.look_up(0, 0);
    world.begin(0);
    for member in [0, 2, 1] {
        assert_eq!(world.answered, 0);
        world.read(0, member);
        world.arrive(0);
    }
    assert_eq!((world.answered, world.fault), (1, None));
}

/// A holder that knows all writes answers a session without recent writes with the lowest position,
/// and a session that has just written with the position of its own write.
#[test]
fn known_writes_leave_other_sessions_free() {
    let mut world = World::new(SessionFloorsSettings::default());
    let look_up_now = |world: &mut World, session: usize| {
        world.look_up_now(0, session);
        world.last_floor
    };
    assert_eq!(look_up_now(&mut world, 0), LogPosition::new(1, 1));
    (0..MEMBERS).for_each(|member| world.replicate(member));
    assert_eq!(look_up_now(&mut world, 0), LogPosition::new(1, 1));
    assert_eq!(look_up_now(&mut world, 0), LogPosition::default());
    world.write(1, 0);
    world.write(2, 1);
    // The report of the write through the other home has not arrived yet.
    assert_eq!(look_up_now(&mut world, 0), LogPosition::new(1, 3));
    world.arrive(1);
    assert_eq!(look_up_now(&mut world, 0), LogPosition::default());
    assert_eq!(look_up_now(&mut world, 1), LogPosition::new(1, 2));
    assert_eq!(look_up_now(&mut world, 2), LogPosition::new(1, 3));
    (0..MEMBERS).for_each(|member| world.replicate(member));
    look_up_now(&mut world, 0);
    assert_eq!(look_up_now(&mut world, 2), LogPosition::default());
}
