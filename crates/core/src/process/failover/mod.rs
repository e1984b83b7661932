//! Replacement of a group's primary, after a failure or at the request of an operator.
//!
//! Each home of a group runs a [`FailoverDriver`]. It takes in events and returns [`Action`]s,
//! which the embedder carries out. A change of primary has these steps:
//!
//! 1. *Quorum check.* The driver starts when it has a [`Cause`] and its turn has come: candidates
//!    wait according to their rank, and longer if another driver was recently active. A quorum of
//!    members must answer first, so that a process without a path to a quorum does not raise terms
//!    on the few members that it reaches.
//! 2. *Claim.* A conditional update of the group's lead record names the driver. This prevents
//!    candidates from competing and is not needed for safety, so a platform that doesn't answer
//!    within a short time limit is skipped. After a lost answer the record is read.
//! 3. *Fence.* The driver raises a term higher than all that it has seen on a quorum of members. A
//!    member gives its vote of a term to one driver only. A driver that loses backs off and takes a
//!    higher term.
//! 4. *Promote.* The member of the fenced quorum with the highest log is promoted: it holds every
//!    acknowledged record (see [`acknowledgement`](super::acknowledgement)). A term is never used
//!    for a second member.
//! 5. *Open.* The other members follow. The new primary is announced once a quorum has confirmed
//!    the record that opens its term.
//!
//! The driver may die or pause at any point. Its unfinished work needs no recovery: any candidate
//! completes the change in a higher term, and a late call finds the term raised. A late promotion
//! can succeed only at a member outside the later fence, which then leads a term in which no quorum
//! will ever confirm a record.
//!
//! A planned move holds back writes at every process that sees the claim, waits until the log of
//! the wanted member equals the primary's, and continues with step 3; past its time limit it
//! releases the writes and removes the request from the record.
//!
//! The driver's name identifies its votes and must be unique to one [`FailoverDriver`], also among
//! those that one process creates one after the other. Otherwise a driver without knowledge of the
//! promotion by its predecessor would take over the predecessor's votes and could promote a second
//! member in the same term.
//!
//! The scheme is the leader change of Raft (Ongaro and Ousterhout 2014) and of Viewstamped
//! Replication (Liskov and Cowling 2012), with the votes collected by a third party because members
//! are databases that do not communicate about elections.

use crate::log_position::Term;
use crate::member_status::MemberStatus;
use crate::member_status::Role;
use crate::process::acknowledgement::Acknowledgement;
use crate::process::member_set::MemberSet;
use crate::version::objects::LeadRecord;

mod campaign;
mod claim;
mod event;
mod fence;
mod maintenance;
mod planned_move;
mod record;
mod settings;
mod verify;
mod view;

pub use event::Action;
pub use event::Cause;
pub use event::Event;
pub use event::Leader;
pub use event::MemberCall;
pub use event::MemberProfile;
pub use event::PlatformAnswer;
pub use event::PlatformCall;
pub use event::Step;
pub use settings::FailoverSettings;
pub use verify::FailoverViolation;

use record::LeadView;

/// The phase of a change of primary.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Phase {
    /// No change is in progress at this process.
    Idle,
    /// Waiting for answers of a quorum of members.
    CheckingQuorum { cause: Cause, since_us: u64 },
    /// Waiting for the platform to name this driver.
    Claiming { cause: Cause, term: Term, deadline_us: u64 },
    /// Holding back writes until the log of the wanted member equals the primary's.
    Holding { term: Term, wanted: usize, since_us: u64 },
    /// Collecting votes.
    Fencing { cause: Cause, term: Term, since_us: u64 },
    /// Waiting for one member to become primary.
    Promoting { term: Term, member: usize, since_us: u64 },
}

/// The last call to a member, kept to space repetitions.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct SentCall {
    call: MemberCall,
    sent_us: u64,
}

/// The failover driver of one group at one process.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct FailoverDriver {
    settings: FailoverSettings,
    name: String,
    rank: u32,
    profiles: Vec<MemberProfile>,
    /// The seed of the back-off's jitter.
    seed: u64,
    /// The reports of the members and the positions that they confirm.
    reports: Acknowledgement,
    leader: Option<Leader>,
    announced: Option<Leader>,
    suspected: Option<Term>,
    /// When another driver was last seen to raise a member's term.
    rival_seen_us: Option<u64>,
    /// The present cause of a change, and the time since which it has existed.
    cause: Option<(Cause, u64)>,
    /// The time before which no new change starts.
    not_before_us: u64,
    lost_changes: u32,
    /// The last requested promotion. No other member may be promoted in the same term.
    promoted: Option<Leader>,
    /// The term of the last change that this driver started.
    driven_term: Option<Term>,
    lead: LeadView,
    phase: Phase,
    sent: Vec<Option<SentCall>>,
    next_call: u64,
    holding: bool,
    /// The time since which this process has known the leader.
    leader_since_us: u64,
    /// The version of the lead record whose requested move was abandoned.
    abandoned_version: Option<u64>,
    /// The time since which the lead record has differed from what the members decided.
    record_stale_since_us: Option<u64>,
    /// The time before which the lead record is not corrected again.
    platform_retry_us: u64,
    wake_us: Option<u64>,
    timer_us: Option<u64>,
}

impl FailoverDriver {
    /// Creates a driver without any knowledge of the group. `name` must never have been used by
    /// another driver, and the seed should differ between processes.
    pub fn new(
        settings: FailoverSettings,
        name: &str,
        members: MemberSet,
        profiles: &[MemberProfile],
        rank: u32,
        seed: u64,
    ) -> FailoverDriver {
        let count = members.count();
        FailoverDriver {
            settings,
            name: name.to_owned(),
            rank,
            profiles: padded_profiles(profiles, count),
            seed,
            reports: Acknowledgement::new(members, settings.stall),
            leader: None,
            announced: None,
            suspected: None,
            rival_seen_us: None,
            cause: None,
            not_before_us: 0,
            lost_changes: 0,
            promoted: None,
            driven_term: None,
            lead: LeadView::default(),
            phase: Phase::Idle,
            sent: vec![None; count],
            next_call: 0,
            holding: false,
            leader_since_us: 0,
            abandoned_version: None,
            record_stale_since_us: None,
            platform_retry_us: 0,
            wake_us: None,
            timer_us: None,
        }
    }

    /// Returns the name in which the driver raises and promotes members and claims the lead record.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the member set that the driver works with.
    pub fn members(&self) -> &MemberSet {
        self.reports.members()
    }

    /// Returns the primary of the highest term that any member reported, announced or not.
    pub fn leader(&self) -> Option<Leader> {
        self.leader
    }

    /// Returns the primary that was last announced.
    pub fn announced(&self) -> Option<Leader> {
        self.announced
    }

    /// Returns the confirmation tracker, which holds the reports passed to this driver.
    pub fn acknowledgement(&self) -> &Acknowledgement {
        &self.reports
    }

    /// Returns whether new writes must be held back now.
    pub fn holding(&self) -> bool {
        self.holding
    }

    /// Handles one event and appends the resulting actions.
    pub fn on_event(&mut self, now_us: u64, event: &Event, actions: &mut Vec<Action>) {
        self.wake_us = None;
        if *event == Event::Timer {
            self.timer_us = None;
        }
        self.apply_event(now_us, event, actions);
        self.announce(actions);
        self.advance(now_us, actions);
        self.run_maintenance(now_us, actions);
        self.update_hold(now_us, actions);
        self.set_timer(actions);
    }

    fn apply_event(&mut self, now_us: u64, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Report { member, status } => self.record_report(now_us, *member, status),
            Event::MemberAnswer { member, status, .. } => {
                self.record_report(now_us, *member, status);
                self.clear_suspicion(*member, status);
            }
            // The effect of the call is unknown; it is repeated after its interval.
            Event::MemberFailed { .. } => {}
            Event::LeadSeen { version, record } => {
                self.lead.observe_version(now_us, *version, record.as_ref());
                self.update_leader(now_us);
            }
            Event::Platform { call, answer } => {
                self.handle_platform_answer(now_us, *call, answer, actions);
            }
            Event::Suspected { term } => self.suspected = Some(*term),
            Event::Trusted => self.suspected = None,
            Event::Members { members, profiles } => {
                self.change_members(now_us, members, profiles);
            }
            Event::MembersSettled => {
                self.reports.settle_members();
            }
            Event::Rank { rank } => self.rank = *rank,
            Event::Timer => {}
        }
    }

    /// Moves through the phases as far as the known state allows.
    fn advance(&mut self, now_us: u64, actions: &mut Vec<Action>) {
        loop {
            let next = match self.phase.clone() {
                Phase::Idle => self.advance_idle(now_us, actions),
                Phase::CheckingQuorum { cause, since_us } => {
                    self.advance_quorum_check(now_us, cause, since_us, actions)
                }
                Phase::Claiming { cause, term, deadline_us } => {
                    self.advance_claim(now_us, cause, term, deadline_us, actions)
                }
                Phase::Holding { term, wanted, since_us } => {
                    self.advance_hold(now_us, term, wanted, since_us, actions)
                }
                Phase::Fencing { cause, term, since_us } => {
                    self.advance_fence(now_us, cause, term, since_us, actions)
                }
                Phase::Promoting { term, member, since_us } => {
                    self.advance_promotion(now_us, term, member, since_us, actions)
                }
            };
            match next {
                Some(phase) => self.phase = phase,
                None => return,
            }
        }
    }

    /// Calls a member unless the same call was sent less than `every_us` ago.
    fn call_member(
        &mut self,
        now_us: u64,
        member: usize,
        call: MemberCall,
        every_us: u64,
        actions: &mut Vec<Action>,
    ) {
        if let Some(sent) = self.sent[member]
            && sent.call == call
            && now_us < sent.sent_us.saturating_add(every_us)
        {
            self.wake_at(sent.sent_us.saturating_add(every_us));
            return;
        }
        self.sent[member] = Some(SentCall { call, sent_us: now_us });
        self.wake_at(now_us.saturating_add(every_us));
        actions.push(Action::CallMember { member, call });
    }

    fn trace(step: Step, term: Term, actions: &mut Vec<Action>) {
        actions.push(Action::Trace { step, term });
    }

    fn wake_at(&mut self, at_us: u64) {
        self.wake_us = Some(self.wake_us.map_or(at_us, |known_us| known_us.min(at_us)));
    }

    fn set_timer(&mut self, actions: &mut Vec<Action>) {
        let Some(at_us) = self.wake_us else { return };
        if self.timer_us != Some(at_us) {
            self.timer_us = Some(at_us);
            actions.push(Action::SetTimer { at_us });
        }
    }

    fn change_members(&mut self, now_us: u64, members: &MemberSet, profiles: &[MemberProfile]) {
        let known = self.reports.members();
        if members.version() < known.version() {
            return;
        }
        self.profiles = padded_profiles(profiles, members.count());
        if members.version() == known.version() {
            return;
        }
        let old_names = known.names().to_vec();
        let moved = |leader: Leader| {
            let member = members.index_of(&old_names[leader.member])?;
            Some(Leader { term: leader.term, member })
        };
        self.announced = self.announced.and_then(moved);
        self.promoted = self.promoted.and_then(moved);
        self.reports.change_members(members.clone());
        self.sent = vec![None; members.count()];
        // The votes and member indexes of a change in progress belong to the old set.
        if self.phase != Phase::Idle {
            self.phase = Phase::Idle;
            self.not_before_us = now_us;
        }
        self.update_leader(now_us);
    }

    /// Returns the latest report of a member.
    fn status(&self, member: usize) -> Option<&MemberStatus> {
        self.reports.latest(member).map(|(_, status)| status)
    }

    /// Drops the suspicion of a primary that answers a call as such during the quorum check.
    fn clear_suspicion(&mut self, member: usize, status: &MemberStatus) {
        let is_checking = matches!(self.phase, Phase::CheckingQuorum { .. });
        let leads = self
            .leader
            .is_some_and(|leader| leader.member == member && leader.term == status.raised_term);
        if is_checking && leads && status.role == Role::Primary {
            self.suspected = None;
        }
    }

    fn member_name(&self, member: usize) -> String {
        self.members().names()[member].clone()
    }

    fn record(&self) -> Option<&LeadRecord> {
        self.lead.record()
    }
}

fn padded_profiles(profiles: &[MemberProfile], count: usize) -> Vec<MemberProfile> {
    let mut padded_profiles = profiles.to_vec();
    padded_profiles.resize(count, MemberProfile::default());
    padded_profiles
}
