//! What the traffic showed of one service.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use skylark_core::process::departures::Departures;
use skylark_core::request::lead_proof::LeadWords;
use skylark_core::request::lead_proof::Word;
use skylark_core::request::position_demand::PositionDemand;
use skylark_core::request::primary_positions::PrimaryPositions;

use crate::sessions::process::leader::LeaderBelief;
use crate::sessions::process::limits;
use crate::sessions::process::single_flight::SingleFlight;

/// What the traffic showed of one service.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Positions of the primary.
    pub positions: Mutex<PrimaryPositions>,
    /// Which target leads.
    pub leader: Mutex<LeaderBelief>,
    /// What the members said of themselves.
    pub lead_reports: Mutex<LeadWords>,
    /// How many members left without whom nothing can be promoted yet.
    departed: AtomicUsize,
    /// Whether members may have left before this process heard of the service.
    past_is_known: AtomicBool,
    /// Asking members for a proof.
    pub proof_flight: SingleFlight,
    /// When questions ended last that nobody answered; zero if they never did.
    unanswered_round_us: AtomicU64,
    /// Who needs positions.
    pub demand: Mutex<PositionDemand>,
    /// Bringing a position of the primary.
    pub sampling_flight: SingleFlight,
}

impl ServiceState {
    /// A member said how it stands.
    pub fn record_report(&self, member: &Arc<str>, report: Word) {
        self.lead_reports.lock().heard(member, report);
        self.unanswered_round_us.store(0, Ordering::Relaxed);
    }

    /// Questions ended at this time that nobody answered.
    pub fn record_unanswered_round(&self, ended_us: u64) {
        self.unanswered_round_us.store(ended_us, Ordering::Relaxed);
    }

    /// Whether questions had ended just before `came_us` that nobody answered.
    pub fn has_recent_unanswered_round(&self, came_us: u64) -> bool {
        let ended_us = self.unanswered_round_us.load(Ordering::Relaxed);
        (1..=came_us).contains(&ended_us) && came_us < ended_us + limits::UNPROVED_BACKOFF_US
    }

    /// What is known of members that left.
    pub fn set_departed<R>(&self, departures: &Departures<R>) {
        self.departed.store(departures.needed().count(), Ordering::Relaxed);
        self.past_is_known.store(departures.past_is_known(), Ordering::Relaxed);
    }

    /// How many members left without whom nothing can be promoted yet.
    pub fn departed(&self) -> usize {
        self.departed.load(Ordering::Relaxed)
    }

    /// Whether no member can have left before this process heard of the service that still matters.
    pub fn past_is_known(&self) -> bool {
        self.past_is_known.load(Ordering::Relaxed)
    }
}
