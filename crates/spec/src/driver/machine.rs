//! The core's failover drivers as state machines with interned states.
//!
//! Each distinct driver state gets a number, so that a state of the model contains a number instead of a
//! driver. Transitions are cached.

use std::cell::RefCell;

use skylark_core::FastMap;
use skylark_core::process::failover::Action;
use skylark_core::process::failover::Event;
use skylark_core::process::failover::FailoverDriver;
use skylark_core::process::failover::FailoverSettings;
use skylark_core::process::failover::MemberCall;
use skylark_core::process::failover::MemberProfile;
use skylark_core::process::failover::PlatformCall;
use skylark_core::process::member_set::MemberSet;

/// The seed of all drivers. It only affects the back-off after a lost vote, which is irrelevant to safety.
const SEED: u64 = 1;

/// A call to a member that a driver requests.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RequestedCall {
    /// The index of the member.
    pub member: usize,
    /// The call and its arguments.
    pub call: MemberCall,
}

/// The result of an event at a driver.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct DriverStep {
    /// The number of the driver's state after the event.
    pub driver: u32,
    /// The calls to members, in the order in which the driver requests them.
    pub calls: Vec<RequestedCall>,
    /// The last call to the platform, if the event caused any.
    pub platform: Option<PlatformCall>,
}

/// The interned states of drivers, and the cached transitions between them.
#[derive(Clone, Debug, Default)]
pub struct Drivers {
    states: RefCell<Vec<FailoverDriver>>,
    numbers: RefCell<FastMap<FailoverDriver, u32>>,
    steps: RefCell<FastMap<(u32, u64, Event), DriverStep>>,
}

impl Drivers {
    /// Returns the number of a driver's state before its first event. The driver requests votes under `name`.
    pub fn start(&self, name: &str, members: usize) -> u32 {
        let names = (0..members).map(|member| format!("member{member}")).collect();
        let set = MemberSet::new(1, names).expect("the member set is valid");
        let profiles = vec![MemberProfile::default(); members];
        let settings = FailoverSettings::default();
        self.intern(FailoverDriver::new(settings, name, set, &profiles, 0, SEED))
    }

    /// Delivers an event at `now_us` to the driver in the state with the number `driver`.
    ///
    /// # Panics
    ///
    /// Panics if the driver violates its own invariants after the event.
    pub fn step(&self, driver: u32, now_us: u64, event: Event) -> DriverStep {
        let key = (driver, now_us, event);
        if let Some(known) = self.steps.borrow().get(&key) {
            return known.clone();
        }
        let mut after = self.states.borrow()[driver as usize].clone();
        let mut actions = Vec::new();
        after.on_event(now_us, &key.2, &mut actions);
        assert_eq!(after.verify(), Vec::new(), "the driver keeps its invariants");
        let mut step = DriverStep { driver: self.intern(after), calls: Vec::new(), platform: None };
        for action in actions {
            match action {
                Action::CallMember { member, call } => {
                    step.calls.push(RequestedCall { member, call })
                }
                Action::UpdateLead { call, .. } | Action::ReadLead { call } => {
                    step.platform = Some(call);
                }
                _ => {}
            }
        }
        self.steps.borrow_mut().insert(key, step.clone());
        step
    }

    /// Returns the number of a driver's state, and assigns one if the state is new.
    fn intern(&self, driver: FailoverDriver) -> u32 {
        let mut states = self.states.borrow_mut();
        *self.numbers.borrow_mut().entry(driver).or_insert_with_key(|driver| {
            states.push(driver.clone());
            states.len() as u32 - 1
        })
    }
}
