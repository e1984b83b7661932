//! What goes wrong between callers and the platform.

use std::time::Duration;

use skylark_core::FastSet;
use tokio::sync::watch;

/// The faults that are on.
#[derive(Clone, PartialEq, Eq, Debug, Default)]
pub struct PlatformFaultState {
    /// Whether every call is answered as unavailable.
    pub down: bool,
    /// How long each call waits before it is served.
    pub slow: Duration,
    /// Zones whose calls get no answer, and whose updates don't arrive, until this ends.
    pub refused_zones: FastSet<String>,
    /// How many further updates take effect without their answer arriving.
    pub lose_answers: u32,
}

/// The faults, and who waits for their end.
#[derive(Debug, Default)]
pub struct PlatformFaults {
    state: watch::Sender<PlatformFaultState>,
}

impl PlatformFaults {
    /// Changes the faults.
    pub fn change<F>(&self, change: F)
    where
        F: FnOnce(&mut PlatformFaultState),
    {
        self.state.send_modify(change);
    }

    /// The faults that are on.
    pub fn state(&self) -> PlatformFaultState {
        self.state.borrow().clone()
    }

    /// Waits until calls of a zone pass.
    pub async fn wait_until_zone_is_served(&self, zone: &str) {
        let mut state = self.state.subscribe();
        // The sender lives in `self`, so there is always an answer.
        let _ = state.wait_for(|state| !state.refused_zones.contains(zone)).await;
    }

    /// Waits until the platform is down.
    pub async fn wait_until_down(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| state.down).await;
    }

    /// Takes one of the answers to lose, if any is left.
    pub fn take_lost_answer(&self) -> bool {
        self.state.send_if_modified(|state| {
            let loses = state.lose_answers > 0;
            state.lose_answers = state.lose_answers.saturating_sub(1);
            loses
        })
    }
}
