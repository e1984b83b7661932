//! What the traffic showed of one service.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use skylark_core::request::primary_positions::PrimaryPositions;
use tokio::sync::Notify;

use crate::sessions::process::leader::LeaderBelief;

/// What the traffic showed of one service.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Positions of the primary.
    pub positions: Mutex<PrimaryPositions>,
    /// Which target leads.
    pub leader: Mutex<LeaderBelief>,
    /// When a read last needed a position.
    read_us: AtomicU64,
    /// Whether a read is under way that will bring a position.
    sampling: AtomicBool,
    /// Tells those who wait for a position that one came, or that the read for it ended.
    sampled: Notify,
}

/// A read that will bring a position of the primary.
#[derive(Debug)]
pub struct Sampling<'a>(&'a ServiceState);

impl Drop for Sampling<'_> {
    fn drop(&mut self) {
        self.0.sampling.store(false, Ordering::Relaxed);
        self.0.sampled.notify_waiters();
    }
}

impl ServiceState {
    /// Takes on to bring a position, unless another read does so already.
    pub fn begin_sampling(&self) -> Option<Sampling<'_>> {
        let was_sampling = self.sampling.swap(true, Ordering::Relaxed);
        (!was_sampling).then(|| Sampling(self))
    }

    /// A read needs a position.
    pub fn needs_position(&self, now_us: u64) {
        self.read_us.store(now_us, Ordering::Relaxed);
    }

    /// When a read last needed a position.
    pub fn read_us(&self) -> u64 {
        self.read_us.load(Ordering::Relaxed)
    }

    /// A position came.
    pub fn position_came(&self) {
        self.sampled.notify_waiters();
    }

    /// Waits until a read that brings a position has ended.
    pub async fn sampled(&self) {
        self.sampled.notified().await;
    }
}
