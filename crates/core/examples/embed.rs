//! Embeds the coordination decisions in an event loop.
//!
//! Run with `cargo run -p skylark-core --example embed`. The loop below owns the clock and all I/O, which
//! is simulated by three members in memory, one of which crashes. It shows how the parts interact: a
//! write is acknowledged once the confirmation tracker has a majority, a failure detector notifies the
//! failover driver, the driver's actions are executed and their results passed back to it, and a session's
//! floor decides which members may serve its next read.

use skylark_core::connection::floor::Floors;
use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::member_status::Role;
use skylark_core::process::detection::DetectionSettings;
use skylark_core::process::detection::Evidence;
use skylark_core::process::detection::PrimaryDetector;
use skylark_core::process::detection::Verdict;
use skylark_core::process::failover::Action;
use skylark_core::process::failover::Event;
use skylark_core::process::failover::FailoverDriver;
use skylark_core::process::failover::FailoverSettings;
use skylark_core::process::failover::Leader;
use skylark_core::process::failover::MemberCall;
use skylark_core::process::failover::MemberProfile;
use skylark_core::process::failover::PlatformAnswer;
use skylark_core::process::member_set::MemberSet;

const GROUP: &str = "loans-a";
/// The virtual time of one iteration of the loop, long enough for one message in each direction.
const TICK_US: u64 = 3_000;
const FIRST_WRITE_TICKS: u64 = 150;
const CRASH_TICK: u64 = 120;
const END_TICK: u64 = 400;

/// A database that answers control calls. A real one is reached over a connection.
struct Member {
    status: MemberStatus,
    alive: bool,
}

impl Member {
    fn new() -> Member {
        let log = LogPosition::default();
        let status = MemberStatus {
            role: Role::Fenced,
            raised_term: Term(0),
            raised_by: String::new(),
            log,
            applied: log,
            leaving: false,
        };
        Member { status, alive: true }
    }

    fn call(&mut self, driver: &str, call: MemberCall) {
        let status = &mut self.status;
        match call {
            MemberCall::Raise { term } if term > status.raised_term => {
                status.raised_term = term;
                status.raised_by = driver.to_owned();
                status.role = Role::Fenced;
            }
            MemberCall::Promote { term } if status.raised_term == term => {
                status.role = Role::Primary;
                self.append(term);
            }
            MemberCall::Follow { term, .. } if status.raised_term <= term => {
                status.raised_term = term;
                status.role = Role::Replica;
            }
            _ => {}
        }
    }

    fn append(&mut self, term: Term) {
        self.status.log = LogPosition { term, index: self.status.log.index + 1 };
        self.status.applied = self.status.log;
    }
}

/// An embedding process with its state for one group.
struct Embedder {
    now_us: u64,
    members: Vec<Member>,
    driver: FailoverDriver,
    detector: Option<PrimaryDetector>,
    timer_us: Option<u64>,
    floors: Floors,
    pending: Vec<LogPosition>,
}

fn main() {
    let names = vec!["a-medina".to_owned(), "a-depot".to_owned(), "a-sakiet".to_owned()];
    let members = MemberSet::new(1, names).expect("three distinct names");
    let profiles = [MemberProfile::default(); 3];
    let settings = FailoverSettings::default();
    let mut embedder = Embedder {
        now_us: 0,
        members: vec![Member::new(), Member::new(), Member::new()],
        // The name must be unique for each start of the process; see the failover module.
        driver: FailoverDriver::new(settings, "vm-1/start-1", members, &profiles, 0, 1),
        detector: None,
        timer_us: None,
        floors: Floors::default(),
        pending: Vec::new(),
    };
    for tick in 0..END_TICK {
        embedder.tick(tick);
    }
    embedder.read();
}

impl Embedder {
    fn tick(&mut self, tick: u64) {
        self.now_us += TICK_US;
        if tick == CRASH_TICK {
            let leader = self.driver.announced().expect("a primary by now");
            self.members[leader.member].alive = false;
            self.print(&format!("the primary, member {}, crashes", leader.member));
        }
        if self.timer_us.is_some_and(|at_us| at_us <= self.now_us) {
            self.timer_us = None;
            self.handle_event(Event::Timer);
        }
        self.replicate();
        self.probe();
        self.detect();
        let write_pause = FIRST_WRITE_TICKS..END_TICK - 50;
        if tick.is_multiple_of(10) && !write_pause.contains(&tick) {
            self.write();
        }
    }

    /// Passes an event to the driver and executes the actions that it returns.
    fn handle_event(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.driver.on_event(self.now_us, &event, &mut actions);
        for action in actions {
            self.carry_out(action);
        }
        self.acknowledge();
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::CallMember { member, call } => {
                let name = self.driver.name().to_owned();
                if !self.members[member].alive {
                    return self.handle_event(Event::MemberFailed { member, call });
                }
                self.members[member].call(&name, call);
                let status = self.members[member].status.clone();
                self.handle_event(Event::MemberAnswer { member, call, status });
            }
            // This example has no platform, so only the members' votes decide.
            Action::UpdateLead { call, .. } | Action::ReadLead { call } => {
                self.handle_event(Event::Platform { call, answer: PlatformAnswer::NoAnswer });
            }
            Action::Announce { leader } => self.announce(leader),
            Action::SetTimer { at_us } => self.timer_us = Some(at_us),
            Action::HoldWrites | Action::ReleaseWrites => {}
            Action::Trace { step, term } => self.print(&format!("  {step:?}, term {term}")),
        }
    }

    fn announce(&mut self, leader: Leader) {
        self.print(&format!("member {} leads term {}", leader.member, leader.term));
        self.detector = Some(PrimaryDetector::new(
            DetectionSettings::default(),
            self.now_us,
            leader.member,
            leader.term,
            self.members.len(),
        ));
    }

    /// Each replica receives one record per tick from its primary.
    fn replicate(&mut self) {
        let Some(leader) = self.driver.leader() else { return };
        let end = self.members[leader.member].status.log;
        if !self.members[leader.member].alive {
            return;
        }
        for member in &mut self.members {
            let follows = member.status.role == Role::Replica
                && member.status.raised_term == leader.term
                && member.status.log < end;
            if follows {
                member.append(leader.term);
            }
        }
    }

    fn probe(&mut self) {
        for member in 0..self.members.len() {
            if !self.members[member].alive {
                continue;
            }
            let status = self.members[member].status.clone();
            if let Some(detector) = &mut self.detector {
                detector.report(self.now_us, member, &status);
            }
            self.handle_event(Event::Report { member, status });
        }
    }

    fn detect(&mut self) {
        let Some(detector) = &mut self.detector else { return };
        if self.members[detector.primary()].alive {
            detector.evidence(self.now_us, Evidence::Answered { round_trip_us: TICK_US });
        }
        let verdict = detector.verdict(self.now_us, self.driver.members());
        let term = detector.term();
        if let Verdict::Suspected(suspicion) = verdict {
            self.print(&format!("the primary is suspected: {suspicion:?}"));
            self.detector = None;
            self.handle_event(Event::Suspected { term });
        }
    }

    fn write(&mut self) {
        let Some(leader) = self.driver.announced() else { return };
        let stalled =
            self.driver.acknowledgement().stalled(self.now_us, leader.member, leader.term);
        if stalled || !self.members[leader.member].alive {
            return self.print("a write is refused, not run");
        }
        self.members[leader.member].append(leader.term);
        self.pending.push(self.members[leader.member].status.log);
    }

    /// Acknowledges the writes that a majority confirmed in their own term. The session's floor is raised
    /// before the acknowledgement.
    fn acknowledge(&mut self) {
        let confirmed = self.driver.acknowledgement().confirmed();
        let (done, waiting): (Vec<LogPosition>, Vec<LogPosition>) = self
            .pending
            .iter()
            .partition(|position| position.term == confirmed.term && **position <= confirmed);
        self.pending = waiting;
        for position in done {
            self.floors.raise(GROUP, position).expect("one group fits a token");
            self.print(&format!("write {position} is acknowledged, token {}", self.floors));
        }
    }

    fn read(&self) {
        let floor = self.floors.get(GROUP);
        for (member, state) in self.members.iter().enumerate() {
            let serves = state.alive && state.status.applied.covers(floor);
            self.print(&format!("member {member} may serve the session's next read: {serves}"));
        }
    }

    #[allow(clippy::print_stdout)]
    fn print(&self, text: &str) {
        println!("{:>7.1} ms  {text}", self.now_us as f64 / 1_000.0);
    }
}
