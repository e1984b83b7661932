//! Injected faults between callers and the platform.

use std::time::Duration;

use skylark_core::FastSet;
use tokio::sync::watch;

/// The active faults; the default is none.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct PlatformFaultState {
    /// Whether every call is answered with 503.
    pub down: bool,
    /// The delay of each call before it is served.
    pub slow: Duration,
    /// Zones partitioned from the platform: until the fault ends, their calls are held before they take
    /// effect, and the answers to earlier calls are held back.
    pub refused_zones: FastSet<String>,
    /// The number of further updates that take effect and whose answer is lost.
    pub lose_answers: u32,
}

/// The faults, with notification of the calls that wait for a change.
#[derive(Debug, Default)]
pub struct PlatformFaults {
    state: watch::Sender<PlatformFaultState>,
}

impl PlatformFaults {
    /// Changes the faults and wakes waiting calls.
    pub fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut PlatformFaultState),
    {
        self.state.send_modify(change);
    }

    /// Returns a copy of the active faults.
    pub fn state(&self) -> PlatformFaultState {
        self.state.borrow().clone()
    }

    /// Waits until calls from `zone` are served.
    pub async fn wait_until_zone_is_served(&self, zone: &str) {
        let mut state = self.state.subscribe();
        // Waiting can't fail, because `self` owns the sender.
        let _ = state.wait_for(|state| !state.refused_zones.contains(zone)).await;
    }

    /// Waits until the platform is down.
    pub async fn wait_until_down(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.down).await;
    }

    /// Returns whether the answer of an update is to be lost, and decrements the number left.
    pub fn take_lost_answer(&self) -> bool {
        self.state.send_if_modified(|state| {
            let loses = state.lose_answers > 0;
            state.lose_answers = state.lose_answers.saturating_sub(1);
            loses
        })
    }
}
