//! The replicated log of one group of targets.
//!
//! All members share one state, so replication is a copy and a promotion a truncation. What was
//! acknowledged is kept aside: a promotion that loses some of it is counted.
//!
//! A primary that is replaced may go on as one, in its old term and with its old log, until it is told to
//! step down or has reached its successor for a while. Replicas follow the newest term that they know.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use skylark_core::log_position::LogPosition;
use tokio::sync::watch;
use tokio::time;

/// How often a commit without an acknowledgement looks whether its member still leads.
const LEAD_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What a group is made of.
#[derive(Clone, Debug)]
pub struct GroupOptions {
    /// The service's name.
    pub service: Arc<str>,
    /// Its members: id and availability zone. The first one leads.
    pub members: Vec<(Arc<str>, Arc<str>)>,
    /// How many replicas must have received a commit before it is acknowledged.
    pub sync_replicas: usize,
    /// How long replicas take to apply what they received.
    pub apply_lag: Duration,
    /// How long a promotion takes to take effect.
    pub promotion_delay: Duration,
    /// How many connections a member accepts.
    pub max_connections: usize,
    /// How long a primary that was replaced goes on once it reaches its successor; none if it becomes a
    /// replica in the moment in which it is replaced.
    pub old_primary_grace: Option<Duration>,
}

/// One commit.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Record {
    /// Its place in the log.
    pub position: LogPosition,
    /// The items and the data written.
    pub writes: Vec<(String, String)>,
    received: Instant,
}

/// One member's part of the state.
#[derive(Clone, Debug)]
pub struct MemberState {
    /// What it received.
    pub log: Vec<Record>,
    /// The term under which it was paused; zero if it is not.
    pub paused_term: u64,
    /// Whether it runs.
    pub alive: bool,
    /// Whether it neither reads nor writes any bytes of callers.
    pub silent: bool,
    /// Whether it receives nothing from the primary, and sends nothing.
    pub cut: bool,
    /// Whether its entry lapsed and it does not reach the store to write it again.
    pub unlisted: bool,
    /// Whether it announced its stop.
    pub leaving: bool,
    /// How many of the next statements it runs without an answer getting out.
    pub lose_answers: u32,
    /// How many connections it has.
    pub connections: usize,
    /// Grows with each start, so that connections of an earlier one end.
    pub start: u32,
    /// When it started under the name that it had, in milliseconds; none before it started again.
    pub born_ms: Option<u64>,
    /// The newest term that it heard of.
    known_term: u64,
    /// The old term in which it goes on as primary although another leads.
    stale_lead_term: Option<u64>,
    /// Since when it has reached its successor meanwhile.
    successor_reachable_since: Option<Instant>,
}

/// What a member ran for somebody.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Run {
    /// The member.
    pub target: Arc<str>,
    /// The caller's id of the statement; empty for one of the proxy's own.
    pub id: String,
    /// As whom the connection was opened.
    pub user: String,
    /// The statement.
    pub text: String,
    /// The session values on the connection, sorted.
    pub values: Vec<(String, String)>,
    /// When it began.
    pub at: Instant,
}

#[derive(Debug)]
struct State {
    term: u64,
    leader: Option<usize>,
    members: Vec<MemberState>,
    acknowledged: Vec<Record>,
    lost: Vec<Record>,
    runs: Vec<Run>,
}

/// One group.
#[derive(Debug)]
pub struct Group {
    /// What it is made of.
    pub options: GroupOptions,
    state: Mutex<State>,
    changed: watch::Sender<u64>,
}

/// What became of a commit.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Committed {
    /// Enough replicas received it.
    Acknowledged(LogPosition),
    /// The member does not lead, or lost its lead before enough replicas received it.
    NotLeading,
}

impl Group {
    /// A group whose first member leads the first term.
    pub fn new(options: GroupOptions) -> Group {
        let member = MemberState {
            log: Vec::new(),
            paused_term: 0,
            alive: true,
            silent: false,
            cut: false,
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
        };
        Group { options, state: Mutex::new(state), changed: watch::Sender::new(0) }
    }

    /// Changes a member, for a fault or its end.
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

    /// A member's state.
    pub fn member(&self, member: usize) -> MemberState {
        self.state.lock().members[member].clone()
    }

    /// The member that leads.
    pub fn leader(&self) -> Option<usize> {
        self.state.lock().leader
    }

    /// The newest term.
    pub fn term(&self) -> u64 {
        self.state.lock().term
    }

    /// The term in which a member acts as primary, if it does.
    pub fn term_led_by(&self, member: usize) -> Option<u64> {
        let mut state = self.state.lock();
        self.end_expired_lead(&mut state, member);
        term_led_by(&state, member)
    }

    /// The newest term that a member knows of.
    pub fn term_known_to(&self, member: usize) -> u64 {
        let led = self.term_led_by(member);
        led.unwrap_or_else(|| self.state.lock().members[member].known_term)
    }

    /// A member starts again under its name, and holds and knows nothing of before.
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

    /// Has a member that leads a term below `term` lead no more.
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

    /// A primary that was replaced ends its lead once it has reached its successor for long enough.
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

    /// Notices of changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// What the member that leads has in its log.
    pub fn leader_log(&self) -> Vec<Record> {
        let state = self.state.lock();
        state.leader.map_or_else(Vec::new, |leader| state.members[leader].log.clone())
    }

    /// The acknowledged commits that a promotion lost.
    pub fn lost(&self) -> Vec<Record> {
        self.state.lock().lost.clone()
    }

    /// What members ran.
    pub fn runs(&self) -> Vec<Run> {
        self.state.lock().runs.clone()
    }

    /// A member ran a statement. Returns whether its answer gets out.
    pub fn record_run(&self, member: usize, run: Run) -> bool {
        let mut state = self.state.lock();
        state.runs.push(run);
        let lose_answers_left = &mut state.members[member].lose_answers;
        let answers = *lose_answers_left == 0;
        *lose_answers_left = lose_answers_left.saturating_sub(1);
        answers
    }

    /// The last position that reads at a member see.
    pub fn applied(&self, member: usize) -> LogPosition {
        let state = self.state.lock();
        let is_leader = term_led_by(&state, member).is_some();
        let now = Instant::now();
        let lag = self.options.apply_lag;
        let is_applied = |record: &&Record| is_leader || now >= record.received + lag;
        let applied = state.members[member].log.iter().take_while(is_applied).last();
        applied.map_or_else(LogPosition::default, |record| record.position)
    }

    /// The last position that a member received.
    pub fn received(&self, member: usize) -> LogPosition {
        let state = self.state.lock();
        state.members[member].log.last().map_or_else(LogPosition::default, |last| last.position)
    }

    /// What a member that has applied up to a position says of an item.
    pub fn read(&self, member: usize, item: &str) -> String {
        let applied = self.applied(member);
        let state = self.state.lock();
        let seen = state.members[member].log.iter().filter(|record| record.position <= applied);
        let mut writes = seen.flat_map(|record| &record.writes);
        writes.rfind(|(name, _)| name == item).map_or(String::new(), |(_, data)| data.clone())
    }

    /// Commits at a member, and waits until enough replicas received it or the lead is lost.
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
            let record = Record { position, writes, received: Instant::now() };
            state.members[member].log.push(record);
            replicate(&mut state);
            position
        };
        self.notify();
        loop {
            if let Some(outcome) = self.commit_outcome(member, position) {
                return outcome;
            }
            // A primary that was replaced also ends by itself.
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
            // A promise that nothing is kept must be true: what the next primary has received stays. Which one
            // that is decides the commit of a primary that stepped down before there was another.
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

    /// Has a member lead the next term, with what it received. Its pause ends; the others' last.
    pub fn promote(&self, member: usize) {
        {
            let mut state = self.state.lock();
            if state.leader == Some(member) || !state.members[member].alive {
                return;
            }
            let (old, old_term) = (state.leader, state.term);
            state.term += 1;
            state.leader = Some(member);
            state.members[member].paused_term = 0;
            state.members[member].stale_lead_term = None;
            state.members[member].known_term = state.term;
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

    /// Pauses a member under a term above the newest. Returns whether it took the order.
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

/// The term in which a member acts as primary, if it does.
fn term_led_by(state: &State, member: usize) -> Option<u64> {
    match state.leader == Some(member) {
        true => Some(state.term),
        false => state.members[member].stale_lead_term,
    }
}

/// A member leads no longer. What its successor lacks of its log is gone.
fn become_replica(state: &mut State, member: usize) {
    state.members[member].stale_lead_term = None;
    if let Some(leader) = state.leader {
        let log = state.members[leader].log.clone();
        truncate_to_common(&mut state.members[member], &log);
    }
}

fn truncate_to_common(member: &mut MemberState, log: &[Record]) {
    let common = member.log.iter().zip(log).take_while(|(a, b)| a.position == b.position);
    let common = common.count();
    member.log.truncate(common);
}

/// Copies the primary's log to all who receive.
fn replicate(state: &mut State) {
    let Some(leader) = state.leader else { return };
    let sender = &state.members[leader];
    if !sender.alive || sender.cut {
        return;
    }
    let (log, term) = (sender.log.clone(), state.term);
    for (index, member) in state.members.iter_mut().enumerate() {
        let is_unreachable = !member.alive || member.cut || member.paused_term > 0;
        if index == leader || is_unreachable || member.stale_lead_term.is_some() {
            continue;
        }
        member.known_term = term;
        for record in log.iter().skip(member.log.len()) {
            member.log.push(Record { received: Instant::now(), ..record.clone() });
        }
    }
}
