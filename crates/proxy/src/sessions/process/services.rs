//! What the traffic showed of one service.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use skylark_core::request::lead_proof::LeadWords;
use skylark_core::request::lead_proof::Word;
use skylark_core::request::primary_positions::PrimaryPositions;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::sessions::process::leader::LeaderBelief;
use crate::sessions::process::limits;

/// What the traffic showed of one service.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Positions of the primary.
    pub positions: Mutex<PrimaryPositions>,
    /// Which target leads.
    pub leader: Mutex<LeaderBelief>,
    /// What the members said of themselves.
    pub words: Mutex<LeadWords>,
    /// How many members left without whom nothing can be promoted yet.
    departed: AtomicUsize,
    /// Whether members may have left before this process heard of the service.
    past_is_known: AtomicBool,
    /// Whether members are being asked for a proof.
    asking: AtomicBool,
    /// Tells those who wait for a proof that the questions ended.
    asked: Notify,
    /// When questions ended last that nobody answered; zero if they never did.
    asked_in_vain_us: AtomicU64,
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

/// A request that asks members for a proof.
#[derive(Debug)]
pub struct Asking<'a>(&'a ServiceState);

impl Drop for Asking<'_> {
    fn drop(&mut self) {
        self.0.asking.store(false, Ordering::Relaxed);
        self.0.asked.notify_waiters();
    }
}

impl ServiceState {
    /// Takes on to ask members for a proof, unless another request does so already.
    pub fn begin_asking(&self) -> Option<Asking<'_>> {
        let was_asking = self.asking.swap(true, Ordering::Relaxed);
        (!was_asking).then(|| Asking(self))
    }

    /// Waits until the questions that are under way have ended.
    pub fn words_heard(&self) -> Notified<'_> {
        self.asked.notified()
    }

    /// A member said how it stands.
    pub fn heard(&self, member: &Arc<str>, word: Word) {
        self.words.lock().heard(member, word);
        self.asked_in_vain_us.store(0, Ordering::Relaxed);
    }

    /// Questions ended at this time that nobody answered.
    pub fn set_asked_in_vain(&self, ended_us: u64) {
        self.asked_in_vain_us.store(ended_us, Ordering::Relaxed);
    }

    /// Whether questions had ended just before `came_us` that nobody answered.
    pub fn was_asked_in_vain(&self, came_us: u64) -> bool {
        let ended_us = self.asked_in_vain_us.load(Ordering::Relaxed);
        (1..=came_us).contains(&ended_us) && came_us < ended_us + limits::NO_WORD_US
    }

    /// What is known of members that left.
    pub fn set_departed(&self, departed: usize, past_is_known: bool) {
        self.departed.store(departed, Ordering::Relaxed);
        self.past_is_known.store(past_is_known, Ordering::Relaxed);
    }

    /// How many members left without whom nothing can be promoted yet.
    pub fn departed(&self) -> usize {
        self.departed.load(Ordering::Relaxed)
    }

    /// Whether no member can have left before this process heard of the service that still matters.
    pub fn past_is_known(&self) -> bool {
        self.past_is_known.load(Ordering::Relaxed)
    }

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
