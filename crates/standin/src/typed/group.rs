//! The replicated log of one group of targets.
//!
//! All members share one state, so replication copies the primary's log, and a promotion truncates the
//! logs of the other members. Acknowledged commits are recorded separately, so that those that a
//! promotion loses are found.
//!
//! A replaced primary may continue to act as primary, in its old term and with its old log, until it is
//! ordered to step down or could reach its successor for a configured time. Replicas follow the newest
//! term that they know.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use parking_lot::Mutex;
use skylark_core::log_position::LogPosition;
use tokio::sync::watch;
use tokio::time;

use crate::typed::call_delays::CallDelays;
use crate::typed::platform::PromoteCall;

/// The interval at which a pending commit checks whether its member still leads.
const LEAD_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The members and timing of a group.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// The name of the service that the group provides.
    pub service: Arc<str>,
    /// The members' ids and availability zones. The first member leads the first term.
    pub members: Vec<(Arc<str>, Arc<str>)>,
    /// The number of replicas that must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// The delay from receiving a record to applying it on replicas.
    pub apply_lag: Duration,
    /// The delay from an accepted promote call until the promotion takes effect.
    pub promotion_delay: Duration,
    /// The maximum number of connections of a member.
    pub max_connections: usize,
    /// How long a replaced primary continues to act as primary once it can reach its successor; none if
    /// it becomes a replica as soon as it is replaced.
    pub old_primary_grace: Option<Duration>,
}

/// A committed transaction in the log.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Record {
    /// The position in the log: the term and the index.
    pub position: LogPosition,
    /// The written items and their new data, in order. Shared, since the log of a member is copied often.
    pub writes: Arc<[(String, String)]>,
    received: Instant,
}

/// The state of one member, including its active faults.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// The records that the member has received, in order.
    pub log: Vec<Record>,
    /// The term for which replication to the member was paused; zero if it is not paused.
    pub paused_term: u64,
    /// Whether the member's process runs.
    pub alive: bool,
    /// Whether the member exchanges no bytes with callers; their connections stay open.
    pub silent: bool,
    /// Whether the member is partitioned from the other members and the store.
    pub cut: bool,
    /// The members with which this one exchanges no records, as a bit set of their indexes. Unlike one that is
    /// cut, the member reaches the store.
    pub cut_from: u64,
    /// Whether the member's entry in the store has expired and it can't reach the store to renew it.
    pub unlisted: bool,
    /// Whether the member has announced that it is about to stop.
    pub leaving: bool,
    /// The number of further statements that the member runs and whose answers are lost.
    pub lose_answers: u32,
    /// The number of open connections.
    pub connections: usize,
    /// The number of the member's current start. It increases with each restart, which ends the
    /// connections of earlier starts.
    pub start: u32,
    /// The start time of the member's last restart under the same name, in milliseconds; none before the
    /// first restart.
    pub born_ms: Option<u64>,
    /// The newest term that the member has learned of.
    known_term: u64,
    /// The old term in which a replaced primary still acts as primary; none for other members.
    stale_lead_term: Option<u64>,
    /// The time since which a replaced primary can reach its successor without interruption.
    successor_reachable_since: Option<Instant>,
}

/// A statement that a member ran.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Run {
    /// The id of the member that ran the statement.
    pub target: Arc<str>,
    /// The statement's id as chosen by the caller; empty for a statement of the proxy itself.
    pub id: String,
    /// The user that opened the connection.
    pub user: String,
    /// The statement's text; for a prepared statement, with its shape and arguments.
    pub text: String,
    /// The names and values of the connection's session values, sorted by name.
    pub values: Vec<(String, String)>,
    /// When the run was recorded: for a commit or a single write, after its acknowledgement.
    pub at: Instant,
}

/// A promotion that took effect.
#[derive(Clone, Debug)]
pub struct Promotion {
    /// The accepted call and the time at which the platform accepted it; none for one that a test made.
    pub call: Option<(PromoteCall, SystemTime)>,
    /// When the promotion took effect.
    pub effective: SystemTime,
    /// The id of the primary that was replaced; none if it had stepped down.
    pub replaced: Option<Arc<str>>,
    /// The term that the promoted member leads.
    pub term: u64,
    /// The end of the promoted member's log.
    pub log_end: LogPosition,
    /// The paused members before the promotion, and the terms for which they were paused.
    pub paused: Vec<(Arc<str>, u64)>,
    /// The writes that the promoted log lacks although a caller received a success.
    pub missing: Vec<MissingWrite>,
}

/// A write that a promoted log lacks although a caller received a success.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct MissingWrite {
    /// The write's data.
    pub data: String,
    /// The write's position; none if no member had it any more.
    pub position: Option<LogPosition>,
    /// The ids of the members that had the write before the promotion.
    pub holders: Vec<Arc<str>>,
}

#[derive(Debug)]
struct State {
    term: u64,
    leader: Option<usize>,
    members: Vec<MemberState>,
    acknowledged: Vec<Record>,
    lost: Vec<Record>,
    runs: Vec<Run>,
    /// The data of writes for which a caller received a success, without those that a promotion lost.
    confirmed: BTreeSet<String>,
    promotions: Vec<Promotion>,
}

/// A group of targets that replicate one log.
#[derive(Debug)]
pub struct Group {
    /// The members and timing.
    pub options: GroupOptions,
    state: Mutex<State>,
    call_delays: Mutex<Option<CallDelays>>,
    changed: watch::Sender<u64>,
}

/// The outcome of a commit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Committed {
    /// Enough replicas received the record, or the next primary has it; holds its position.
    Acknowledged(LogPosition),
    /// The member doesn't lead, or lost its lead and the next primary doesn't have the record.
    NotLeading,
}

impl Group {
    /// Creates a group whose first member leads term 1.
    pub fn new(options: GroupOptions) -> Group {
        let member = MemberState {
            log: Vec::new(),
            paused_term: 0,
            alive: true,
            silent: false,
            cut: false,
            cut_from: 0,
            unlisted: false,
            leaving: false,
            lose_answers: 0,
            connections: 0,
            start: 0,
            born_ms: None,
            known_term: 1,
            stale_lead_term: None,
            successor_reachable_since: None,
        };
        let state = State {
            term: 1,
            leader: Some(0),
            members: vec![member; options.members.len()],
            acknowledged: Vec::new(),
            lost: Vec::new(),
            runs: Vec::new(),
            confirmed: BTreeSet::new(),
            promotions: Vec::new(),
        };
        let (state, call_delays) = (Mutex::new(state), Mutex::default());
        Group { options, state, call_delays, changed: watch::Sender::new(0) }
    }

    /// Changes a member's state, such as to inject or end a fault, and then replicates.
    pub fn change<F>(&self, member: usize, change: F)
    where
        F: FnOnce(&mut MemberState),
    {
        {
            let mut state = self.state.lock();
            change(&mut state.members[member]);
            replicate(&mut state);
        }
        self.notify();
    }

    /// Returns a copy of a member's state.
    pub fn member(&self, member: usize) -> MemberState {
        self.state.lock().members[member].clone()
    }

    /// Returns the index of the member that leads the newest term; none after it stepped down.
    pub fn leader(&self) -> Option<usize> {
        self.state.lock().leader
    }

    /// Returns the newest term of the group.
    pub fn term(&self) -> u64 {
        self.state.lock().term
    }

    /// Returns the term in which a member acts as primary, if it does.
    pub fn term_led_by(&self, member: usize) -> Option<u64> {
        let mut state = self.state.lock();
        self.end_expired_lead(&mut state, member);
        term_led_by(&state, member)
    }

    /// Returns the newest term that a member knows of; for one that acts as primary, its own term.
    pub fn term_known_to(&self, member: usize) -> u64 {
        let led = self.term_led_by(member);
        led.unwrap_or_else(|| self.state.lock().members[member].known_term)
    }

    /// Restarts a member under the same name with an empty log and no known term.
    pub fn restart_empty(&self, member: usize, born_ms: u64) {
        self.change(member, |state| {
            state.log.clear();
            state.paused_term = 0;
            state.known_term = 0;
            state.stale_lead_term = None;
            state.born_ms = Some(born_ms);
            state.start += 1;
        });
    }

    /// Makes a member that acts as primary in a term below `term` a replica; does nothing to others.
    pub fn step_down(&self, member: usize, term: u64) {
        {
            let mut state = self.state.lock();
            if term_led_by(&state, member).is_none_or(|led| led >= term) {
                return;
            }
            if state.leader == Some(member) {
                state.leader = None;
            }
            become_replica(&mut state, member);
            replicate(&mut state);
        }
        self.notify();
    }

    /// Makes a replaced primary a replica once it could reach its successor for `old_primary_grace`.
    fn end_expired_lead(&self, state: &mut State, member: usize) {
        let (Some(_), Some(old_primary_grace)) =
            (state.members[member].stale_lead_term, self.options.old_primary_grace)
        else {
            return;
        };
        let leader = state.leader.map(|leader| &state.members[leader]);
        let is_reachable =
            leader.is_some_and(|leader| leader.alive && !leader.cut) && !state.members[member].cut;
        let old = &mut state.members[member];
        old.successor_reachable_since = match is_reachable {
            true => old.successor_reachable_since.or_else(|| Some(Instant::now())),
            false => None,
        };
        if old.successor_reachable_since.is_some_and(|since| since.elapsed() >= old_primary_grace) {
            become_replica(state, member);
            replicate(state);
        }
    }

    /// Subscribes to changes of the group's state; the value itself only counts them.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Returns the log of the member that leads the newest term; empty if none leads.
    pub fn leader_log(&self) -> Vec<Record> {
        let state = self.state.lock();
        state.leader.map_or_else(Vec::new, |leader| state.members[leader].log.clone())
    }

    /// Returns the acknowledged commits that promotions lost.
    pub fn lost(&self) -> Vec<Record> {
        self.state.lock().lost.clone()
    }

    /// Returns the statements that members ran, in the order in which they were recorded.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// Delays further promotion calls and orders, and loses answers to them.
    pub fn delay_calls(&self, call_delays: CallDelays) {
        *self.call_delays.lock() = Some(call_delays);
    }

    /// Draws the time from the acceptance of a promotion call to its effect.
    pub fn promotion_delay(&self) -> Duration {
        let mut call_delays = self.call_delays.lock();
        call_delays.as_mut().map_or(self.options.promotion_delay, CallDelays::promotion_delay)
    }

    /// Draws the delay of a promotion call that gets no answer; none if the call is served at once.
    pub fn late_promotion(&self) -> Option<Duration> {
        self.call_delays.lock().as_mut().and_then(CallDelays::late_promotion)
    }

    /// Draws the delay of an order that gets no answer; none if the order is served at once.
    pub fn late_order(&self) -> Option<Duration> {
        self.call_delays.lock().as_mut().and_then(CallDelays::late_order)
    }

    /// Records that a caller received a success for a write. Reports the write with the last promotion if the
    /// primary's log lacks it.
    pub fn confirm(&self, data: &str) {
        let mut state = self.state.lock();
        let is_kept =
            state.leader.is_none_or(|leader| position_of(&state.members[leader], data).is_some());
        match state.promotions.last_mut().filter(|_| !is_kept) {
            Some(promotion) => {
                let data = data.to_owned();
                promotion.missing.push(MissingWrite { data, position: None, holders: Vec::new() });
            }
            None => drop(state.confirmed.insert(data.to_owned())),
        }
    }

    /// Returns the number of writes for which a caller received a success and that no promotion lost.
    pub fn confirmed(&self) -> usize {
        self.state.lock().confirmed.len()
    }

    /// Returns the promotions that took effect.
    pub fn promotions(&self) -> Vec<Promotion> {
        self.state.lock().promotions.clone()
    }

    /// Records a statement that a member ran. Returns false if its answer is to be lost.
    pub fn record_run(&self, member: usize, run: Run) -> bool {
        let mut state = self.state.lock();
        state.runs.push(run);
        let lose_answers_left = &mut state.members[member].lose_answers;
        let is_answered = *lose_answers_left == 0;
        *lose_answers_left = lose_answers_left.saturating_sub(1);
        is_answered
    }

    /// Returns the last position that reads at a member see: on replicas, those older than the lag.
    pub fn applied(&self, member: usize) -> LogPosition {
        let state = self.state.lock();
        let is_leader = term_led_by(&state, member).is_some();
        let now = Instant::now();
        let lag = self.options.apply_lag;
        let is_applied = |record: &&Record| is_leader || now >= record.received + lag;
        let applied = state.members[member].log.iter().take_while(is_applied).last();
        applied.map_or_else(LogPosition::default, |record| record.position)
    }

    /// Returns the last position that a member received.
    pub fn received(&self, member: usize) -> LogPosition {
        let state = self.state.lock();
        state.members[member].log.last().map_or_else(LogPosition::default, |last| last.position)
    }

    /// Returns the data of an item in a member's applied log; empty if it was never written.
    pub fn read(&self, member: usize, item: &str) -> String {
        let applied = self.applied(member);
        let state = self.state.lock();
        let seen = state.members[member].log.iter().filter(|record| record.position <= applied);
        let mut writes = seen.flat_map(|record| record.writes.iter());
        writes.rfind(|(name, _)| name == item).map_or(String::new(), |(_, data)| data.clone())
    }

    /// Commits at a member, and waits until enough replicas have received the record or the member has
    /// lost its lead.
    pub async fn commit(&self, member: usize, writes: Vec<(String, String)>) -> Committed {
        let mut changes = self.changes();
        let position = {
            let mut state = self.state.lock();
            self.end_expired_lead(&mut state, member);
            let Some(term) = term_led_by(&state, member) else {
                return Committed::NotLeading;
            };
            let index = state.members[member].log.last().map_or(0, |last| last.position.index) + 1;
            let position = LogPosition::new(term, index);
            let record = Record { position, writes: writes.into(), received: Instant::now() };
            state.members[member].log.push(record);
            replicate(&mut state);
            position
        };
        self.notify();
        loop {
            if let Some(outcome) = self.commit_outcome(member, position) {
                return outcome;
            }
            // A replaced primary's lead also expires without a notification, so the wait has a timeout.
            if let Ok(Err(_)) = time::timeout(LEAD_CHECK_INTERVAL, changes.changed()).await {
                return Committed::NotLeading;
            }
        }
    }

    fn commit_outcome(&self, member: usize, position: LogPosition) -> Option<Committed> {
        let mut state = self.state.lock();
        self.end_expired_lead(&mut state, member);
        let holds = |log: &[Record]| log.iter().any(|record| record.position == position);
        if term_led_by(&state, member).is_none() {
            // `NotLeading` promises that the commit has no effect, but a record that the next primary has
            // received is kept. After a step-down the outcome is open until the next primary is known.
            let leader = state.leader?;
            let log = &state.members[leader].log;
            let record = log.iter().find(|kept| kept.position == position);
            return match record.cloned() {
                None => Some(Committed::NotLeading),
                Some(record) => {
                    state.acknowledged.push(record);
                    Some(Committed::Acknowledged(position))
                }
            };
        }
        let holders = state.members.iter().enumerate();
        let replicas = holders.filter(|(other, held)| *other != member && holds(&held.log)).count();
        if replicas < self.options.sync_replicas {
            return None;
        }
        let record = state.members[member].log.iter().find(|record| record.position == position);
        let record = record.cloned()?;
        state.acknowledged.push(record);
        Some(Committed::Acknowledged(position))
    }

    /// Makes a running member the primary of the next term, with the log that it has received. Its pause ends,
    /// and so do pauses for the new term or an earlier one. Does nothing if the member leads already.
    pub fn promote(&self, member: usize) {
        self.promote_for(member, None);
    }

    /// Carries out a promotion call, as [`Group::promote`], and records what it brought about.
    pub fn promote_for(&self, member: usize, call: Option<(PromoteCall, SystemTime)>) {
        {
            let mut state = self.state.lock();
            if state.leader == Some(member) || !state.members[member].alive {
                return;
            }
            let (old, old_term) = (state.leader, state.term);
            let paused = self.paused_members(&state);
            let missing = self.take_missing(&mut state, member);
            state.term += 1;
            let log_end = state.members[member]
                .log
                .last()
                .map_or_else(LogPosition::default, |it| it.position);
            let replaced = old.map(|old| Arc::clone(&self.options.members[old].0));
            let (effective, term) = (SystemTime::now(), state.term);
            let promotion = Promotion { call, effective, replaced, term, log_end, paused, missing };
            state.promotions.push(promotion);
            state.leader = Some(member);
            state.members[member].paused_term = 0;
            state.members[member].stale_lead_term = None;
            state.members[member].known_term = state.term;
            let term = state.term;
            for other in state.members.iter_mut().filter(|other| other.paused_term <= term) {
                other.paused_term = 0;
            }
            let log = state.members[member].log.clone();
            for (index, other) in state.members.iter_mut().enumerate() {
                if Some(index) == old && other.alive && self.options.old_primary_grace.is_some() {
                    other.stale_lead_term = Some(old_term);
                    other.successor_reachable_since = None;
                }
                if other.stale_lead_term.is_none() {
                    truncate_to_common(other, &log);
                }
            }
            let lost = state
                .acknowledged
                .iter()
                .filter(|record| !log.iter().any(|kept| kept.position == record.position));
            let lost: Vec<Record> = lost.cloned().collect();
            state.lost.extend(lost);
            replicate(&mut state);
        }
        self.notify();
    }

    fn paused_members(&self, state: &State) -> Vec<(Arc<str>, u64)> {
        let members = self.options.members.iter().zip(&state.members);
        let paused = members.filter(|(_, member)| member.alive && member.paused_term > 0);
        paused.map(|((id, _), member)| (Arc::clone(id), member.paused_term)).collect()
    }

    /// Removes the confirmed writes that a member's log lacks, and returns them.
    fn take_missing(&self, state: &mut State, member: usize) -> Vec<MissingWrite> {
        let log = state.members[member].log.iter();
        let kept: BTreeSet<&str> =
            log.flat_map(|record| record.writes.iter()).map(|(_, data)| data.as_str()).collect();
        let lacks = |data: &&String| !kept.contains(data.as_str());
        let missing: Vec<String> = state.confirmed.iter().filter(lacks).cloned().collect();
        state.confirmed.retain(|data| !missing.contains(data));
        let report = |data: String| {
            let members = self.options.members.iter().zip(&state.members);
            let holders = members.filter_map(|((id, _), member)| {
                Some((Arc::clone(id), position_of(member, &data)?))
            });
            let (holders, positions): (Vec<Arc<str>>, Vec<LogPosition>) = holders.unzip();
            MissingWrite { data, position: positions.first().copied(), holders }
        };
        missing.into_iter().map(report).collect()
    }

    /// Pauses replication to a member for a term above the newest; ignored for any other term.
    pub fn pause(&self, member: usize, term: u64) {
        let newest = self.term();
        self.change(member, |state| {
            if term > newest {
                state.paused_term = term;
            }
        });
    }

    fn notify(&self) {
        self.changed.send_modify(|number| *number += 1);
    }
}

/// Returns the term in which a member acts as primary, if it does.
fn term_led_by(state: &State, member: usize) -> Option<u64> {
    match state.leader == Some(member) {
        true => Some(state.term),
        false => state.members[member].stale_lead_term,
    }
}

/// Makes a member a replica, and truncates its log to what it has in common with its successor's.
fn become_replica(state: &mut State, member: usize) {
    state.members[member].stale_lead_term = None;
    if let Some(leader) = state.leader {
        let log = state.members[leader].log.clone();
        truncate_to_common(&mut state.members[member], &log);
    }
}

/// Returns the position of a write in a member's log. Searches from the end, since most writes are recent.
fn position_of(member: &MemberState, data: &str) -> Option<LogPosition> {
    let has_write = |record: &&Record| record.writes.iter().any(|(_, written)| written == data);
    member.log.iter().rfind(has_write).map(|record| record.position)
}

/// Truncates a member's log to its longest common prefix with `log`.
fn truncate_to_common(member: &mut MemberState, log: &[Record]) {
    let common = member.log.iter().zip(log).take_while(|(a, b)| a.position == b.position);
    let common = common.count();
    member.log.truncate(common);
}

/// Copies the primary's log to all running, reachable replicas that aren't paused.
fn replicate(state: &mut State) {
    let Some(leader) = state.leader else { return };
    let sender = &state.members[leader];
    if !sender.alive || sender.cut {
        return;
    }
    let (log, term, cut_from) = (sender.log.clone(), state.term, sender.cut_from);
    for (index, member) in state.members.iter_mut().enumerate() {
        let is_cut = member.cut || cut_from >> index & 1 == 1 || member.cut_from >> leader & 1 == 1;
        let is_unreachable = !member.alive || is_cut || member.paused_term > 0;
        if index == leader || is_unreachable || member.stale_lead_term.is_some() {
            continue;
        }
        member.known_term = term;
        for record in log.iter().skip(member.log.len()) {
            member.log.push(Record { received: Instant::now(), ..record.clone() });
        }
    }
}
