//! The state of one service, as observed by requests and status queries.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use parking_lot::Mutex;
use skylark_core::process::departures::Departures;
use skylark_core::request::lead_proof::LeadReport;
use skylark_core::request::lead_proof::LeadReports;
use skylark_core::request::position_demand::PositionDemand;
use skylark_core::request::primary_positions::PrimaryPositions;

use crate::sessions::process::confirming_members::ConfirmingMembers;
use crate::sessions::process::leader::LeaderBelief;
use crate::sessions::process::limits;
use crate::sessions::process::single_flight::SingleFlight;

/// The state of one service, as observed by requests and status queries.
#[derive(Debug, Default)]
pub struct ServiceState {
    /// Known positions of the primary.
    pub positions: Mutex<PrimaryPositions>,
    /// Whether the service's routes have different priorities.
    pub has_precedences: AtomicBool,
    /// The presumed primary.
    pub leader: Mutex<LeaderBelief>,
    /// What the members reported about their role and term.
    pub lead_reports: Mutex<LeadReports>,
    /// Number of departed members that a promotion still depends on.
    departed: AtomicUsize,
    /// Whether a promotion no longer depends on members that left before this process learned of the service.
    past_is_known: AtomicBool,
    /// The status queries to members that are to prove who the primary is. One round serves all requests.
    pub proof_flight: SingleFlight,
    /// The status queries to members that are to show what they received. One round serves all commits.
    pub confirmation_flight: SingleFlight,
    /// The members that confirmed commits in the newest term.
    pub confirming_members: Mutex<ConfirmingMembers>,
    /// The confirmation of a commit that this process forwarded as a home.
    pub forwarded_flight: SingleFlight,
    /// When the last round of status queries without any answer ended, in microseconds; zero if an answer
    /// came since.
    unanswered_round_us: AtomicU64,
    /// The demand of reads and peers for positions of the primary.
    pub demand: Mutex<PositionDemand>,
    /// The sampling of the primary's position. One sample serves all reads.
    pub sampling_flight: SingleFlight,
}

impl ServiceState {
    /// Records what a member reported about its role.
    pub fn record_report(&self, member: &Arc<str>, report: LeadReport) {
        self.lead_reports.lock().record(member, report);
        self.unanswered_round_us.store(0, Ordering::Relaxed);
    }

    /// Records that a round of status queries ended without any answer.
    pub fn record_unanswered_round(&self, ended_us: u64) {
        self.unanswered_round_us.store(ended_us, Ordering::Relaxed);
    }

    /// Whether a round of status queries without any answer had ended shortly before `arrived_us`.
    pub fn has_recent_unanswered_round(&self, arrived_us: u64) -> bool {
        let ended_us = self.unanswered_round_us.load(Ordering::Relaxed);
        (1..=arrived_us).contains(&ended_us) && arrived_us < ended_us + limits::UNPROVED_BACKOFF_US
    }

    /// Updates what is known of departed members.
    pub fn set_departed<R>(&self, departures: &Departures<R>) {
        self.departed.store(departures.required().count(), Ordering::Relaxed);
        self.past_is_known.store(departures.start_floor_known(), Ordering::Relaxed);
    }

    /// Number of departed members that a promotion still depends on.
    pub fn departed(&self) -> usize {
        self.departed.load(Ordering::Relaxed)
    }

    /// Whether a promotion no longer depends on members that left before this process learned of the service.
    pub fn past_is_known(&self) -> bool {
        self.past_is_known.load(Ordering::Relaxed)
    }
}
