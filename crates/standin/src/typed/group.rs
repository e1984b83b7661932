//! The replicated log of one group of targets.
//!
//! All members share one state, so replication is a copy and a promotion a truncation. What was
//! acknowledged is kept aside: a promotion that loses some of it is counted.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use parking_lot::Mutex;
use skylark_core::log_position::LogPosition;
use tokio::sync::watch;

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
    pub promote_takes: Duration,
    /// How many connections a member accepts.
    pub max_connections: usize,
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
}

/// What a member ran for somebody.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Run {
    /// The member.
    pub target: Arc<str>,
    /// The caller's id of the statement; empty for one of the proxy's own.
    pub id: String,
    /// The statement.
    pub text: String,
    /// The session values on the connection, sorted.
    pub values: Vec<(String, String)>,
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

    /// Notices of changes.
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// What the member that leads has in its log.
    pub fn leaders_log(&self) -> Vec<Record> {
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
    pub fn ran(&self, member: usize, run: Run) -> bool {
        let mut state = self.state.lock();
        state.runs.push(run);
        let losing = &mut state.members[member].lose_answers;
        let answers = *losing == 0;
        *losing = losing.saturating_sub(1);
        answers
    }

    /// The last position that reads at a member see.
    pub fn applied(&self, member: usize) -> LogPosition {
        let state = self.state.lock();
        let is_leader = state.leader == Some(member);
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
            if state.leader != Some(member) {
                return Committed::NotLeading;
            }
            let index = state.members[member].log.last().map_or(0, |last| last.position.index) + 1;
            let position = LogPosition::new(state.term, index);
            let record = Record { position, writes, received: Instant::now() };
            state.members[member].log.push(record);
            replicate(&mut state);
            position
        };
        self.notify();
        loop {
            if let Some(outcome) = self.outcome(member, position) {
                return outcome;
            }
            if changes.changed().await.is_err() {
                return Committed::NotLeading;
            }
        }
    }

    fn outcome(&self, member: usize, position: LogPosition) -> Option<Committed> {
        let mut state = self.state.lock();
        let holds = |log: &[Record]| log.iter().any(|record| record.position == position);
        if state.leader != Some(member) {
            // A promise that nothing is kept must be true: what the new primary had received stays.
            let leader = state.leader.map(|leader| &state.members[leader].log);
            let record = leader.and_then(|log| log.iter().find(|kept| kept.position == position));
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
            state.term += 1;
            state.leader = Some(member);
            state.members[member].paused_term = 0;
            let log = state.members[member].log.clone();
            for other in &mut state.members {
                let common =
                    other.log.iter().zip(&log).take_while(|(a, b)| a.position == b.position);
                let common = common.count();
                other.log.truncate(common);
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

/// Copies the primary's log to all who receive.
fn replicate(state: &mut State) {
    let Some(leader) = state.leader else { return };
    let sender = &state.members[leader];
    if !sender.alive || sender.cut {
        return;
    }
    let log = sender.log.clone();
    for (index, member) in state.members.iter_mut().enumerate() {
        if index == leader || !member.alive || member.cut || member.paused_term > 0 {
            continue;
        }
        for record in log.iter().skip(member.log.len()) {
            member.log.push(Record { received: Instant::now(), ..record.clone() });
        }
    }
}
