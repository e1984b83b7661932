//! The core's table of floors as a machine with numbered states.

use std::cell::RefCell;

use skylark_core::FastMap;
use skylark_core::log_position::LogPosition;
use skylark_core::member_status::MemberStatus;
use skylark_core::process::member_set::MemberSet;
use skylark_core::process::session_floors::BarrierId;
use skylark_core::process::session_floors::LookupId;
use skylark_core::process::session_floors::SessionFloors;
use skylark_core::process::session_floors::SessionFloorsSettings;
use skylark_core::process::session_floors::SessionWrite;

use crate::intern::Interner;

/// The session that is observed.
const OWN_SESSION: &str = "own";
/// A session that stands for all others.
const OTHER_SESSION: &str = "other";
const LOOKUP: LookupId = LookupId(1);
/// The first barrier of a holder. Each holder state has had one at most.
const BARRIER: BarrierId = BarrierId(1);

/// What a holder hears.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum HolderEvent {
    /// A write ran.
    Wrote {
        /// Its position.
        position: LogPosition,
        /// Whether the observed session wrote it.
        own: bool,
    },
    /// A write of nobody in particular is counted as accounted for.
    Account(LogPosition),
    /// A term was opened.
    Opened(LogPosition),
    /// A member's status arrives outside a barrier.
    Report(usize, MemberStatus),
    /// The observed session's floor is asked for, and a barrier begins.
    LookUp,
    /// A member's status, read for the barrier, arrives.
    BarrierStatus(usize, MemberStatus),
}

/// What follows from an event.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HolderStep {
    /// The number of the state after it.
    pub holder: u16,
    /// The answer to the lookup.
    pub floor: Option<LogPosition>,
}

/// The numbered states of holders, and the steps between them that were taken before.
#[derive(Clone, Debug)]
pub struct Holders {
    states: RefCell<Interner<SessionFloors>>,
    steps: RefCell<FastMap<(u16, HolderEvent), HolderStep>>,
}

impl Holders {
    /// The number of a holder that knows nothing.
    pub const FRESH: u16 = 0;

    /// Holders of a group with this many members.
    pub fn new(members: usize) -> Holders {
        let names = (0..members).map(|member| format!("member{member}")).collect();
        let set = MemberSet::new(1, names).expect("a small set");
        let mut states = Interner::default();
        let fresh = states.number(SessionFloors::new(SessionFloorsSettings::default(), set));
        assert_eq!(fresh, Holders::FRESH, "the first value has the first number");
        Holders { states: RefCell::new(states), steps: RefCell::default() }
    }

    /// Lets the core take in an event.
    pub fn step(&self, holder: u16, event: HolderEvent) -> HolderStep {
        let key = (holder, event);
        if let Some(&known) = self.steps.borrow().get(&key) {
            return known;
        }
        let mut floors = self.states.borrow().value(holder).clone();
        let floor = apply(&mut floors, &key.1);
        assert_eq!(floors.verify(), Vec::new(), "the table keeps its invariants");
        let step = HolderStep { holder: self.states.borrow_mut().number(floors), floor };
        self.steps.borrow_mut().insert(key, step);
        step
    }
}

fn apply(floors: &mut SessionFloors, event: &HolderEvent) -> Option<LogPosition> {
    match event {
        HolderEvent::Wrote { position, own } => {
            let session = if *own { OWN_SESSION } else { OTHER_SESSION };
            floors.record(SessionWrite { session: Some(session), position: *position });
        }
        HolderEvent::Account(position) => {
            floors.record(SessionWrite { session: None, position: *position });
        }
        HolderEvent::Opened(position) => floors.record_opening(*position),
        HolderEvent::Report(member, status) => floors.note_status(*member, status),
        HolderEvent::LookUp => {
            floors.look_up(LOOKUP, OWN_SESSION);
            assert_eq!(floors.begin_barrier(), Some(BARRIER), "one lookup a holder");
        }
        HolderEvent::BarrierStatus(member, status) => {
            let answers = floors.barrier_status(BARRIER, *member, status);
            return answers.first().map(|answer| answer.floor);
        }
    }
    None
}
