//! The core's failover drivers as machines with numbered states.

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

/// One seed for all: the back-off after a lost vote decides nothing about safety.
const SEED: u64 = 1;

/// A call that a driver asks for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct RequestedCall {
    /// The member.
    pub member: usize,
    /// The call.
    pub call: MemberCall,
}

/// What follows from an event.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct DriverStep {
    /// The number of the driver's state after it.
    pub driver: u32,
    /// The calls to members.
    pub calls: Vec<RequestedCall>,
    /// The last call to the platform.
    pub platform: Option<PlatformCall>,
}

/// The numbered states of drivers, and the steps between them that were taken before.
#[derive(Clone, Debug, Default)]
pub struct Drivers {
    states: RefCell<Vec<FailoverDriver>>,
    numbers: RefCell<FastMap<FailoverDriver, u32>>,
    steps: RefCell<FastMap<(u32, u64, Event), DriverStep>>,
}

impl Drivers {
    /// The number of a driver that knows nothing.
    pub fn start(&self, name: &str, members: usize) -> u32 {
        let names = (0..members).map(|member| format!("member{member}")).collect();
        let set = MemberSet::new(1, names).expect("a small set");
        let profiles = vec![MemberProfile::default(); members];
        let settings = FailoverSettings::default();
        self.intern(FailoverDriver::new(settings, name, set, &profiles, 0, SEED))
    }

    /// Lets the core take in an event.
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

    fn intern(&self, driver: FailoverDriver) -> u32 {
        let mut states = self.states.borrow_mut();
        *self.numbers.borrow_mut().entry(driver).or_insert_with_key(|driver| {
            states.push(driver.clone());
            states.len() as u32 - 1
        })
    }
}
