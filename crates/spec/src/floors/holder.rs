//! A holder of session floors as a state machine with numbered states.
//!
//! The transitions are those of [`SessionFloors`] in `skylark-core`. They are memoised, and a model state
//! stores only the number of the holder state.

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

/// The session whose reads the model checks.
const OWN_SESSION: &str = "own";
/// A session that represents all other sessions.
const OTHER_SESSION: &str = "other";
const LOOKUP: LookupId = LookupId(1);
/// Id of a holder's first barrier. A holder starts at most one barrier in the model.
const BARRIER: BarrierId = BarrierId(1);

/// An input of a holder.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub enum HolderEvent {
    /// A write ran.
    Wrote {
        /// Log position of the write.
        position: LogPosition,
        /// Whether the observed session made the write.
        own: bool,
    },
    /// The holder accounts for a record at this position that belongs to no session.
    Account(LogPosition),
    /// A term was opened by the record at this position.
    Opened(LogPosition),
    /// The status of a member, given by index, arrives outside a barrier.
    Report(usize, MemberStatus),
    /// The floor of the observed session is looked up, which starts a barrier.
    LookUp,
    /// The status of a member, given by index and read for the barrier, arrives.
    BarrierStatus(usize, MemberStatus),
}

/// Result of an event.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct HolderStep {
    /// Number of the holder state after the event.
    pub holder: u16,
    /// Answer to the lookup; `None` if the event completes no barrier.
    pub floor: Option<LogPosition>,
}

/// Numbered holder states and the memoised transitions between them.
#[derive(Clone, Debug)]
pub struct Holders {
    states: RefCell<Interner<SessionFloors>>,
    steps: RefCell<FastMap<(u16, HolderEvent), HolderStep>>,
}

impl Holders {
    /// Number of the state of a holder that has recorded nothing.
    pub const FRESH: u16 = 0;

    /// Creates the holder states for a group with `members` members.
    pub fn new(members: usize) -> Holders {
        let names = (0..members).map(|member| format!("member{member}")).collect();
        let set = MemberSet::new(1, names).expect("a small set");
        let mut states = Interner::default();
        let fresh = states.number(SessionFloors::new(SessionFloorsSettings::default(), set));
        assert_eq!(fresh, Holders::FRESH, "the first value has the first number");
        Holders { states: RefCell::new(states), steps: RefCell::default() }
    }

    /// Applies an event to a holder state and checks the invariants of the core's table.
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
