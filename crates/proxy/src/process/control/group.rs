//! The control state of one group: its members' reports, and the decisions that follow from them.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use skylark_core::log_position::LogPosition;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use skylark_core::process::detection;
use skylark_core::process::detection::PrimaryDetector;
use skylark_core::process::failover;
use skylark_core::process::read_age::ReadAge;
use tokio::sync::watch;

use crate::process::control::tracking::Report;
use crate::process::control::tracking::Tracking;
use crate::process::decisions::Decision;
use crate::process::decisions::DecisionLog;
use crate::process::peer::api;
use crate::version::published::GroupLive;
use crate::version::published::MemberLive;

/// The control state of one group.
#[derive(Debug)]
pub struct Group {
    /// The group's name.
    pub name: String,
    /// The store's version of the group's object.
    pub version: u64,
    /// The state shared with traffic threads and updated in place.
    pub live: Arc<GroupLive>,
    /// The latest decisions.
    pub decisions: DecisionLog,
    /// The state of tracking; `None` if this process does not track the members.
    pub tracking: Option<Tracking>,
    /// The primary with the highest term reported by a lead record or a peer.
    hinted_leader: Option<(String, Term)>,
    /// Acknowledged writes of sessions with an identity, not yet sent to the primary's other homes.
    pub unsent_writes: Vec<api::SessionWrite>,
    /// The positions of acknowledged writes of other sessions, not yet sent to the primary's other homes.
    pub unsent_plain: Vec<LogPosition>,
    /// Whether a new version has to be published, because state outside `live` has changed.
    pub changed: bool,
}

impl Group {
    /// Creates an untracked group with this number of members.
    pub fn new(name: &str, version: u64, members: usize) -> Group {
        let (confirmed, _) = watch::channel(LogPosition::default());
        Group {
            name: name.to_owned(),
            version,
            live: Arc::new(new_live(confirmed, members)),
            decisions: DecisionLog::default(),
            tracking: None,
            hinted_leader: None,
            unsent_writes: Vec::new(),
            unsent_plain: Vec::new(),
            changed: true,
        }
    }

    /// Resets the members' live state for a new number of members. The channel of the confirmed position is
    /// kept, so that writes waiting for a confirmation are not affected.
    pub fn resize(&mut self, members: usize) {
        self.live = Arc::new(new_live(self.live.confirmed.clone(), members));
        self.changed = true;
    }

    /// Returns the primary's name and its term, if a primary is known.
    pub fn leader(&self) -> Option<(&str, Term)> {
        match &self.tracking {
            Some(tracking) => {
                let leader = tracking.driver.announced()?;
                let member = tracking.members.get(leader.member)?;
                Some((member.target.as_str(), leader.term))
            }
            None => {
                let (target, term) = self.hinted_leader.as_ref()?;
                Some((target.as_str(), *term))
            }
        }
    }

    /// Records the primary named by a lead record or a peer. The highest term wins, since each term has
    /// one primary; outdated information has no effect.
    pub fn hint_leader(&mut self, target: &str, term: Term) {
        if self.hinted_leader.as_ref().is_some_and(|(_, known)| *known >= term) {
            return;
        }
        self.hinted_leader = Some((target.to_owned(), term));
        self.changed |= self.tracking.is_none();
    }

    /// Passes an event to the failover driver, and publishes the confirmed position.
    pub fn drive(&mut self, now_us: u64, event: &failover::Event) {
        let Some(tracking) = &mut self.tracking else { return };
        tracking.driver.on_event(now_us, event, &mut tracking.actions);
        publish_confirmed(&self.live, tracking.driver.acknowledgement().confirmed());
        self.update_detector(now_us);
    }

    /// Handles a member's report. The confirmed position is published before anything else is updated,
    /// because writes may be waiting for it.
    pub fn report(&mut self, now_us: u64, report: Report) {
        let Report { member_index, status, sent_us, call } = report;
        let Some(tracking) = &mut self.tracking else { return };
        let event = match call {
            Some(call) => failover::Event::MemberAnswer { member: member_index, call, status },
            None => failover::Event::Report { member: member_index, status },
        };
        tracking.driver.on_event(now_us, &event, &mut tracking.actions);
        publish_confirmed(&self.live, tracking.driver.acknowledgement().confirmed());
        let (failover::Event::MemberAnswer { status, .. } | failover::Event::Report { status, .. }) =
            &event
        else {
            return;
        };
        let role_or_term_changed = self.record_member_status(member_index, status);
        self.record_read_age(now_us, member_index, status, sent_us);
        self.record_detection(now_us, member_index, status, sent_us);
        if let Some(tracking) = &mut self.tracking {
            tracking.floors.handle_report(now_us, member_index, status, sent_us);
        }
        self.update_detector(now_us);
        self.update_verdict(now_us);
        if role_or_term_changed {
            self.update_stalled(now_us);
        }
    }

    /// Handles the loss of a member's control connection.
    pub fn connection_lost(
        &mut self,
        now_us: u64,
        member_index: usize,
        evidence: detection::Evidence,
    ) {
        self.live.members[member_index].reachable.store(false, Ordering::Relaxed);
        self.primary_evidence(now_us, member_index, evidence);
    }

    /// Passes evidence about a member to the failure detector if the member is the primary.
    pub fn primary_evidence(
        &mut self,
        now_us: u64,
        member_index: usize,
        evidence: detection::Evidence,
    ) {
        let Some(tracking) = &mut self.tracking else { return };
        if let Some(detector) = tracking.detector.as_mut().filter(|it| it.primary() == member_index)
        {
            detector.evidence(now_us, evidence);
            self.update_verdict(now_us);
        }
    }

    /// Handles the failure detector's timer, which was due at `due_us`.
    pub fn detector_timer(&mut self, now_us: u64, due_us: u64) {
        let Some(tracking) = &mut self.tracking else { return };
        tracking.detector_armed = false;
        if let Some(detector) = &mut tracking.detector {
            detector.timer(now_us, due_us);
            self.update_verdict(now_us);
        }
    }

    /// Updates whether a majority can confirm writes.
    pub fn update_stalled(&mut self, now_us: u64) {
        let Some(tracking) = &mut self.tracking else { return };
        let reports = tracking.driver.acknowledgement();
        let leader = tracking.driver.announced();
        let stalled =
            leader.is_some_and(|leader| reports.stalled(now_us, leader.member, leader.term));
        if stalled != tracking.stalled {
            tracking.stalled = stalled;
            self.log_decision(now_us, Decision::StallChanged { stalled });
            self.changed = true;
        }
    }

    /// Adds a decision to the group's decision log.
    pub fn log_decision(&mut self, now_us: u64, decision: Decision) {
        self.decisions.add(now_us, decision);
    }

    /// Excludes a member from new requests or includes it again. A member that reports itself as leaving
    /// stays excluded regardless.
    pub fn set_excluded(&mut self, now_us: u64, member_index: usize, target: &str, excluded: bool) {
        let live = &self.live.members[member_index];
        let before = live.leaving.load(Ordering::Relaxed);
        let mut leaving = excluded;
        if let Some(tracking) = &mut self.tracking {
            tracking.members[member_index].excluded = excluded;
            leaving |= tracking.members[member_index].reports_leaving;
        }
        live.leaving.store(leaving, Ordering::Relaxed);
        if leaving != before {
            let target = target.to_owned();
            self.log_decision(now_us, Decision::TargetStanding { target, leaving });
        }
    }

    /// Updates the member's state from its report. Returns whether its role or term changed.
    fn record_member_status(&mut self, member_index: usize, status: &MemberStatus) -> bool {
        let live = &self.live.members[member_index];
        live.reachable.store(true, Ordering::Relaxed);
        *live.applied.lock() = status.applied;
        let Some(tracking) = &mut self.tracking else { return false };
        let member = &mut tracking.members[member_index];
        member.reports_leaving = status.leaving;
        live.leaving.store(member.reports_leaving || member.excluded, Ordering::Relaxed);
        member.seen.replace((status.role, status.raised_term))
            != Some((status.role, status.raised_term))
    }

    fn record_read_age(
        &mut self,
        now_us: u64,
        member_index: usize,
        status: &MemberStatus,
        sent_us: Option<u64>,
    ) {
        let Some(tracking) = &mut self.tracking else { return };
        let ages = &mut tracking.ages;
        match sent_us {
            Some(sent_us) => {
                ages.probe_answered(member_index, sent_us, now_us, status);
                for member in 0..self.live.members.len() {
                    publish_age(&self.live.members[member], ages, member);
                }
            }
            None => {
                ages.notified(member_index, now_us, status.applied);
                publish_age(&self.live.members[member_index], ages, member_index);
            }
        }
    }

    fn record_detection(
        &mut self,
        now_us: u64,
        member_index: usize,
        status: &MemberStatus,
        sent_us: Option<u64>,
    ) {
        let Some(tracking) = &mut self.tracking else { return };
        let Some(detector) = &mut tracking.detector else { return };
        detector.report(now_us, member_index, status);
        if let Some(sent_us) = sent_us.filter(|_| detector.primary() == member_index) {
            let round_trip_us = now_us.saturating_sub(sent_us);
            detector.evidence(now_us, detection::Evidence::Answered { round_trip_us });
        }
    }

    /// Replaces the failure detector if the reports show another primary or term.
    fn update_detector(&mut self, now_us: u64) {
        let Some(tracking) = &mut self.tracking else { return };
        let watched = tracking
            .detector
            .as_ref()
            .map(|detector| failover::Leader { term: detector.term(), member: detector.primary() });
        let leader = tracking.driver.leader();
        if leader == watched {
            return;
        }
        let members = tracking.members.len();
        let detection = tracking.detection;
        tracking.detector = leader.map(|leader| {
            PrimaryDetector::new(detection, now_us, leader.member, leader.term, members)
        });
        tracking.verdict = detection::Verdict::Trusted;
    }

    fn update_verdict(&mut self, now_us: u64) {
        let Some(tracking) = &mut self.tracking else { return };
        let Some(detector) = &tracking.detector else { return };
        let verdict = detector.verdict(now_us, tracking.driver.members());
        if verdict == tracking.verdict {
            return;
        }
        tracking.verdict = verdict;
        let term = detector.term();
        let target = tracking.members[detector.primary()].target.clone();
        let event = match verdict {
            detection::Verdict::Suspected(_) => failover::Event::Suspected { term },
            detection::Verdict::Trusted | detection::Verdict::Withheld(_) => {
                failover::Event::Trusted
            }
        };
        self.log_decision(now_us, Decision::Judged { target, term, verdict });
        self.drive(now_us, &event);
    }
}

fn new_live(confirmed: watch::Sender<LogPosition>, members: usize) -> GroupLive {
    GroupLive { confirmed, members: (0..members).map(|_| MemberLive::default()).collect() }
}

fn publish_confirmed(live: &GroupLive, confirmed: LogPosition) {
    live.confirmed.send_if_modified(|published| {
        let grew = confirmed > *published;
        if grew {
            *published = confirmed;
        }
        grew
    });
}

fn publish_age(live: &MemberLive, ages: &ReadAge, member: usize) {
    let fresh_us = ages.fresh_as_of_us(member).unwrap_or(0);
    live.fresh_as_of_us.store(fresh_us, Ordering::Relaxed);
    live.lag_us.store(ages.lag_us(member).unwrap_or(0), Ordering::Relaxed);
    // Zero means unknown in the shared state.
    let catch_up_us = ages.catch_up_us(member).map_or(0, |catch_up_us| catch_up_us.max(1));
    live.catch_up_us.store(catch_up_us, Ordering::Relaxed);
}
