//! Lookups of read floors for sessions that roam between proxies without a token: the pending requesters,
//! and the barrier in progress.
//!
//! The floors are decided by `skylark_core::process::session_floors`. A lookup that is not answered
//! within its timeout is dropped; the reader then needs a floor that it can prove itself, or is refused.

use skylark_core::FastMap;
use skylark_core::log_position::LogPosition;
use skylark_core::member_status::MemberStatus;
use skylark_core::process::member_set::MemberSet;
use skylark_core::process::session_floors;
use skylark_core::process::session_floors::SessionFloors;
use tokio::sync::oneshot;

use crate::process::peer::api;
use crate::process::peer::server;
use crate::process::peer::server::Refusal;

/// The timeout of a lookup.
const LOOKUP_TIMEOUT_US: u64 = 1_000_000;

/// The time after which a barrier is restarted, because a member may have failed meanwhile.
const BARRIER_TIMEOUT_US: u64 = 200_000;

/// The requester of a session's read floor, with the sender of the answer.
#[derive(Debug)]
pub enum FloorRequester {
    /// A traffic thread of this process.
    Traffic(oneshot::Sender<LogPosition>),
    /// Another proxy.
    Peer(server::Answer<api::FloorAnswer>),
}

#[derive(Debug)]
struct PendingLookup {
    requester: FloorRequester,
    until_us: u64,
}

#[derive(Clone, Copy, Debug)]
struct PendingBarrier {
    id: session_floors::BarrierId,
    began_us: u64,
}

/// The floor lookups and the barrier of one group.
#[derive(Debug)]
pub struct FloorLookups {
    floors: SessionFloors,
    barrier: Option<PendingBarrier>,
    pending: FastMap<session_floors::LookupId, PendingLookup>,
    next_lookup: u64,
    status_request_due: bool,
    revision: u64,
}

impl FloorLookups {
    /// Creates the state without any recorded write or lookup.
    pub fn new(members: MemberSet) -> FloorLookups {
        let settings = session_floors::SessionFloorsSettings::default();
        FloorLookups {
            floors: SessionFloors::new(settings, members),
            barrier: None,
            pending: FastMap::default(),
            next_lookup: 0,
            status_request_due: false,
            revision: 0,
        }
    }

    /// Sets the revision that is sent in answers to other proxies.
    pub fn set_revision(&mut self, revision: u64) {
        self.revision = revision;
    }

    /// Replaces the member set, and drops the barrier in progress.
    pub fn change_members(&mut self, members: MemberSet) {
        self.barrier = None;
        self.floors.change_members(members);
    }

    /// Ends the joint phase of the member set.
    pub fn settle_members(&mut self) {
        self.floors.settle_members();
    }

    /// Records a write that this process executed or that another home of the primary reported.
    pub fn record(&mut self, session: Option<&str>, position: LogPosition) {
        self.floors.record(session_floors::SessionWrite { session, position });
    }

    /// Starts a lookup of a session's floor for the requester.
    pub fn look_up(&mut self, now_us: u64, session: &str, requester: FloorRequester) {
        self.next_lookup += 1;
        let id = session_floors::LookupId(self.next_lookup);
        self.pending.insert(id, PendingLookup { requester, until_us: now_us + LOOKUP_TIMEOUT_US });
        self.floors.look_up(id, session);
        self.begin_barrier(now_us);
    }

    /// Handles a member's report. It counts for the barrier only if it was requested after the barrier
    /// began. A request in the same microsecond may have been earlier, so it does not count.
    pub fn handle_report(
        &mut self,
        now_us: u64,
        member_index: usize,
        status: &MemberStatus,
        sent_us: Option<u64>,
    ) {
        let asked_since =
            |barrier: &PendingBarrier| sent_us.is_some_and(|at| at > barrier.began_us);
        let Some(barrier) = self.barrier.filter(asked_since) else {
            self.floors.note_status(member_index, status);
            return;
        };
        let answers = self.floors.barrier_status(barrier.id, member_index, status);
        if answers.is_empty() {
            return;
        }
        for answer in answers {
            self.answer(answer);
        }
        self.barrier = None;
        self.begin_barrier(now_us);
    }

    /// Drops lookups that have timed out, and restarts a barrier that has.
    pub fn expire(&mut self, now_us: u64) {
        let timed_out = |(id, pending): (&session_floors::LookupId, &PendingLookup)| {
            (pending.until_us <= now_us).then_some(*id)
        };
        let timed_out: Vec<session_floors::LookupId> =
            self.pending.iter().filter_map(timed_out).collect();
        for id in timed_out {
            self.floors.cancel_lookup(id);
            if let Some(PendingLookup { requester: FloorRequester::Peer(answer), .. }) =
                self.pending.remove(&id)
            {
                let _ = answer.send(Err(Refusal::Unavailable));
            }
        }
        if let Some(barrier) = self.barrier.take_if(|it| it.began_us + BARRIER_TIMEOUT_US <= now_us)
        {
            self.floors.abandon_barrier(barrier.id);
            self.begin_barrier(now_us);
        }
    }

    /// Returns whether the members' status has to be requested, and clears the flag, which each barrier sets
    /// once.
    pub fn take_status_request(&mut self) -> bool {
        std::mem::take(&mut self.status_request_due)
    }

    fn begin_barrier(&mut self, now_us: u64) {
        if self.barrier.is_some() {
            return;
        }
        if let Some(id) = self.floors.begin_barrier() {
            self.barrier = Some(PendingBarrier { id, began_us: now_us });
            self.status_request_due = true;
        }
    }

    fn answer(&mut self, answer: session_floors::FloorAnswer) {
        let Some(pending) = self.pending.remove(&answer.lookup) else { return };
        let position = answer.floor;
        match pending.requester {
            FloorRequester::Traffic(answer) => {
                let _ = answer.send(position);
            }
            FloorRequester::Peer(answer) => {
                let revision = self.revision;
                let _ = answer.send(Ok(api::FloorAnswer { position, revision }));
            }
        }
    }
}
