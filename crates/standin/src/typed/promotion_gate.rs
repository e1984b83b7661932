//! Holds promotions back, so that a test decides in which order they are carried out.

use std::sync::Arc;

use parking_lot::Mutex;

use crate::typed::group::Group;
use crate::typed::platform::PromoteCall;

/// A promotion that passed the check of the token and has not been carried out.
#[derive(Debug)]
struct HeldPromotion {
    group: Arc<Group>,
    member: usize,
}

impl HeldPromotion {
    fn target(&self) -> Arc<str> {
        Arc::clone(&self.group.options.members[self.member].0)
    }
}

#[derive(Debug, Default)]
struct State {
    is_closed: bool,
    held: Vec<HeldPromotion>,
    /// The calls that were not answered, and whose tokens have not been checked.
    late_calls: Vec<PromoteCall>,
}

/// The promotions of a platform that are held back. Without a call of [`PromotionGate::close`] there are none.
#[derive(Debug, Default)]
pub struct PromotionGate {
    state: Mutex<State>,
}

impl PromotionGate {
    /// Holds accepted promotions from now on. A call without an answer waits for the next call: its token is checked
    /// right before that one's.
    pub fn close(&self) {
        self.state.lock().is_closed = true;
    }

    /// Carries out all held promotions in the order in which they were accepted, and holds no further ones.
    pub fn open(&self) {
        let held = {
            let mut state = self.state.lock();
            state.is_closed = false;
            std::mem::take(&mut state.held)
        };
        for promotion in held {
            promotion.group.promote(promotion.member);
        }
    }

    /// Returns whether promotions are held.
    pub fn is_closed(&self) -> bool {
        self.state.lock().is_closed
    }

    /// Adds a call that was not answered.
    pub fn add_late_call(&self, call: PromoteCall) {
        self.state.lock().late_calls.push(call);
    }

    /// Removes and returns the calls for a service that were not answered.
    pub fn take_late_calls(&self, service: &str) -> Vec<PromoteCall> {
        let mut state = self.state.lock();
        state.late_calls.extract_if(.., |call| call.service == service).collect()
    }

    /// Holds an accepted promotion. Returns false if promotions are not held.
    pub fn hold(&self, group: &Arc<Group>, member: usize) -> bool {
        let mut state = self.state.lock();
        if state.is_closed {
            state.held.push(HeldPromotion { group: Arc::clone(group), member });
        }
        state.is_closed
    }

    /// Returns the targets of the held promotions in the order in which they were accepted.
    pub fn held(&self) -> Vec<Arc<str>> {
        self.state.lock().held.iter().map(HeldPromotion::target).collect()
    }

    /// Carries out the first held promotion of a target. Returns whether there was one.
    pub fn carry_out(&self, target: &str) -> bool {
        let found = {
            let mut state = self.state.lock();
            let index = state.held.iter().position(|promotion| *promotion.target() == *target);
            index.map(|index| state.held.remove(index))
        };
        if let Some(promotion) = &found {
            promotion.group.promote(promotion.member);
        }
        found.is_some()
    }
}
