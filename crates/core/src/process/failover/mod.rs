//! Replacing a group's primary, unplanned or by an operator's wish.
//!
//! Each home of a group runs a [`FailoverDriver`]. Events go in, [`Action`]s come out; the embedder
//! makes the calls. A change of primary has these steps:
//!
//! 1. *Canvass.* The driver starts when it has a [`Cause`] and its turn has come: candidates wait by
//!    rank, and longer when another driver was seen at work. A quorum of members must answer first,
//!    so that a process cut off from the quorum does not raise terms on the few that it reaches.
//! 2. *Claim.* A conditional update of the group's lead record names the driver. This keeps
//!    candidates from duelling and has no part in safety, so a platform that doesn't answer within
//!    a short bound is left aside. A lost answer is read back.
//! 3. *Fence.* The driver raises a term above all that it has seen on a quorum of members. A member
//!    gives one driver its vote of a term. A driver that loses backs off and takes a higher term.
//! 4. *Promote.* The highest log of the fenced quorum leads: it holds every acknowledged record
//!    (see [`acknowledgement`](super::acknowledgement)). A term is never used for a second member.
//! 5. *Open.* The others follow. The new primary is announced once a quorum confirms the record that
//!    opens its term.
//!
//! The driver may die or pause anywhere. Nothing that it leaves behind needs to be taken over: any
//! candidate completes the change in a higher term, and a call that comes late finds the term
//! raised. A late promotion can succeed only at a member outside the later fence, which then leads
//! a term in which no quorum will ever confirm.
//!
//! A planned move holds writes back at every process that sees the claim, waits until the wanted
//! member's log equals the primary's, and goes on from step 3; past its bound it releases the writes
//! and clears the wish.
//!
//! The driver's name is its vote's identity and must be unique to one [`FailoverDriver`], also among
//! those that one process makes one after the other. Otherwise a driver that has forgotten its former
//! self's promotion would take up its votes and could promote a second member in the same term.
//!
//! The scheme is the leader change of Raft (Ongaro and Ousterhout 2014) and of Viewstamped
//! Replication (Liskov and Cowling 2012), with the vote collected by a third party because members
//! are databases that do not talk to each other about elections.

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

/// Where a change of primary stands.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
enum Phase {
    /// No change is under way here.
    Idle,
    /// Waiting for a quorum of members to answer.
    CheckingQuorum { cause: Cause, since_us: u64 },
    /// Waiting for the platform to name this driver.
    Claiming { cause: Cause, term: Term, deadline_us: u64 },
    /// Writes are held back until the wanted member is level with the primary.
    Holding { term: Term, wanted: usize, since_us: u64 },
    /// Collecting votes.
    Fencing { cause: Cause, term: Term, since_us: u64 },
    /// Waiting for one member to become primary.
    Promoting { term: Term, member: usize, since_us: u64 },
}

/// A call last made to a member, kept to space repeats.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Debug)]
struct SentCall {
    call: MemberCall,
    sent_us: u64,
}

/// The driver of one group's changes of primary at one process.
#[derive(Clone, PartialEq, Eq, Hash, Debug)]
pub struct FailoverDriver {
    settings: FailoverSettings,
    name: String,
    rank: u32,
    profiles: Vec<MemberProfile>,
    /// Where the back-off's randomness comes from.
    seed: u64,
    /// The members' reports, and what they prove.
    reports: Acknowledgement,
    leader: Option<Leader>,
    announced: Option<Leader>,
    suspected: Option<Term>,
    /// When another driver was last seen to raise a member's term.
    rival_seen_us: Option<u64>,
    /// The present reason for a change, and since when it stands.
    cause: Option<(Cause, u64)>,
    /// No new change before this time.
    not_before_us: u64,
    losses: u32,
    /// The last promotion asked for, which no other of the same term may follow.
    promoted: Option<Leader>,
    /// The term of the last change driven here, for its trace.
    driven_term: Option<Term>,
    lead: LeadView,
    phase: Phase,
    sent: Vec<Option<SentCall>>,
    next_call: u64,
    holding: bool,
    /// Since when the leader has been known here.
    leader_since_us: u64,
    /// The version of the lead record whose wish was given up.
    abandoned_version: Option<u64>,
    /// Since when the lead record has differed from what the members decided.
    record_stale_since_us: Option<u64>,
    /// The lead record is not corrected again before this time.
    platform_retry_us: u64,
    wake_us: Option<u64>,
    timer_us: Option<u64>,
}

impl FailoverDriver {
    /// A driver that knows nothing yet. `name` must never have been used by another driver, and the
    /// seed should differ between processes.
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
            losses: 0,
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

    /// The name in which members are raised and promoted and the lead record is claimed.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The member set that the driver works with.
    pub fn members(&self) -> &MemberSet {
        self.reports.members()
    }

    /// The primary of the highest term that any member reported, announced or not.
    pub fn leader(&self) -> Option<Leader> {
        self.leader
    }

    /// The primary that was last announced.
    pub fn announced(&self) -> Option<Leader> {
        self.announced
    }

    /// What the reports given to this driver prove.
    pub fn acknowledgement(&self) -> &Acknowledgement {
        &self.reports
    }

    /// Whether new writes are to be held back now.
    pub fn holding(&self) -> bool {
        self.holding
    }

    /// Takes in one event and appends what is to be done.
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
            // The call is repeated when its time has come; nothing is known of its effect.
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

    /// Goes through the steps as far as the known facts carry.
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

    /// Makes a call to a member unless the same call went out a moment ago.
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
        // The votes and places of a change under way belong to the old set.
        if self.phase != Phase::Idle {
            self.phase = Phase::Idle;
            self.not_before_us = now_us;
        }
        self.update_leader(now_us);
    }

    /// The latest report of a member.
    fn status(&self, member: usize) -> Option<&MemberStatus> {
        self.reports.latest(member).map(|(_, status)| status)
    }

    /// A suspected primary that answers a call is not gone.
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
