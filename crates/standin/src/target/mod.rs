//! The stand-in of one target database.
//!
//! A [`Target`] holds the member's terms and log ([`member`]), and two copies of the data in an
//! embedded engine: the visible copy, which reads see, and the working copy ([`writer`]), which one
//! writing transaction at a time uses. A commit checks the term, appends the record and
//! changes the visible copy in one step. [`replication`] receives records from the primary.
//! [`server`] listens, and [`connection`] speaks the protocol.
//!
//! Both copies are private in-memory databases. A database shared by several connections of the
//! engine locks readers out while a transaction writes, or shows them what is not committed; its
//! write-ahead mode needs files and shared memory.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use parking_lot::Mutex;
use skylark_core::log_position::Term;
use skylark_core::member_status::MemberStatus;
use tokio::sync;
use tokio::sync::watch;

use crate::network::Network;

use self::error::TargetError;
use self::member::Followed;
use self::member::Member;
use self::options::Lag;
use self::options::TargetOptions;
use self::visible::Visible;
use self::writer::Working;

pub mod connection;
pub mod counters;
pub mod database;
pub mod error;
pub mod member;
pub mod options;
pub mod record;
pub mod replication;
pub mod server;
pub mod sql;
pub mod statement;
pub mod visible;
pub mod writer;

/// The result of `SELECT version()`.
pub const VERSION_TEXT: &str = "PostgreSQL 16.0 (skylark-standin)";

/// One target's state, shared by its connections and its replication.
///
/// Locks are taken in the order: working copy, visible copy, member.
#[derive(Debug)]
pub struct Target {
    options: TargetOptions,
    network: Arc<Network>,
    member: Mutex<Member>,
    visible: Mutex<Visible>,
    working: Arc<sync::Mutex<Working>>,
    status: watch::Sender<MemberStatus>,
    lag: watch::Sender<Lag>,
    slots: sync::Semaphore,
    callers: AtomicU32,
    cancels: connection::cancel::Cancels,
    counters: counters::Counters,
    seeds: AtomicU64,
}

impl Target {
    /// Creates a target with an empty log that follows no primary.
    pub fn new(options: TargetOptions, network: Arc<Network>) -> Arc<Target> {
        let member = Member::default();
        let status = watch::Sender::new(member.status());
        Arc::new(Target {
            lag: watch::Sender::new(options.lag),
            slots: sync::Semaphore::new(options.slots as usize),
            options,
            network,
            member: Mutex::new(member),
            visible: Mutex::default(),
            working: Arc::default(),
            status,
            callers: AtomicU32::new(0),
            cancels: connection::cancel::Cancels::default(),
            counters: counters::Counters::default(),
            seeds: AtomicU64::new(0),
        })
    }

    /// Returns the options with which it was started.
    pub fn options(&self) -> &TargetOptions {
        &self.options
    }

    /// Returns its counters.
    pub fn counters(&self) -> &counters::Counters {
        &self.counters
    }

    /// Returns the current status report.
    pub fn status(&self) -> MemberStatus {
        self.member.lock().status()
    }

    /// Subscribes to status reports.
    pub fn subscribe(&self) -> watch::Receiver<MemberStatus> {
        self.status.subscribe()
    }

    /// Returns the number of callers' open connections.
    pub fn callers(&self) -> u32 {
        self.callers.load(Ordering::Relaxed)
    }

    /// Changes the delays of the replication to this target.
    pub fn set_lag(&self, lag: Lag) {
        self.lag.send_replace(lag);
    }

    /// Starts or ends leaving: no new connections of callers, no new transactions.
    pub fn set_leaving(&self, leaving: bool) -> MemberStatus {
        let mut member = self.member.lock();
        member.set_leaving(leaving);
        self.publish(&member)
    }

    /// `group_raise_term`.
    pub fn raise_term(&self, term: Term, driver: &str) -> MemberStatus {
        let mut member = self.member.lock();
        member.raise_term(term, driver);
        self.publish(&member)
    }

    /// `group_promote`.
    pub fn promote(&self, term: Term, driver: &str) -> MemberStatus {
        let mut visible = self.visible.lock();
        let mut member = self.member.lock();
        if member.can_promote(term, driver) {
            let held = member.log_length();
            apply_up_to(&mut visible, &mut member, held);
            member.promote(now_us());
        }
        self.publish(&member)
    }

    /// `group_follow`.
    pub fn follow(&self, term: Term, address: SocketAddr) -> MemberStatus {
        let mut member = self.member.lock();
        member.follow(Followed { term, address });
        self.publish(&member)
    }

    /// Returns the term in which writes are accepted.
    fn writable_term(&self) -> Result<Term, TargetError> {
        self.member.lock().writable_term().ok_or(TargetError::NotPrimary)
    }

    fn leaving(&self) -> bool {
        self.status.borrow().leaving
    }

    /// Publishes the status report. Called with the member locked, so that reports are published in the
    /// order of the changes.
    fn publish(&self, member: &Member) -> MemberStatus {
        let status = member.status();
        self.status.send_if_modified(|last| {
            let changed = *last != status;
            if changed {
                last.clone_from(&status);
            }
            changed
        });
        status
    }

    /// Applies the log to its end to the working copy.
    fn catch_up(&self, working: &mut Working) {
        let member = self.member.lock();
        if working.generation == member.generation() {
            let records = member.records_after(working.applied).to_vec();
            drop(member);
            for record in &records {
                working.database.apply(record);
            }
            working.applied += records.len() as u64;
            return;
        }
        drop(member);
        let visible = self.visible.lock();
        let member = self.member.lock();
        working.database.copy_from(&visible.database);
        working.applied = member.applied();
        working.generation = member.generation();
        for record in member.records_after(working.applied) {
            working.database.apply(record);
        }
        working.applied = member.log_length();
    }

    /// Waits while the target is paused.
    async fn awake(&self) {
        if self.network.faults().paused.is_empty() {
            return;
        }
        let mut faults = self.network.subscribe();
        // The network outlives its targets, so the sender exists.
        let _ = faults.wait_for(|faults| !faults.paused.contains(&self.options.name)).await;
    }

    fn next_seed(&self) -> u64 {
        /// The distance between the seeds of two transactions. Each statement takes the next number.
        const STEP: u64 = 1 << 32;
        self.seeds.fetch_add(STEP, Ordering::Relaxed)
    }
}

/// Applies the records up to an index to the visible copy.
fn apply_up_to(visible: &mut Visible, member: &mut Member, index: u64) {
    let applied = member.applied();
    let count = index.saturating_sub(applied) as usize;
    for record in &member.records_after(applied)[..count] {
        visible.apply(record);
    }
    member.set_applied(index.max(applied));
}

/// Returns the time in microseconds since the Unix epoch.
fn now_us() -> i64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_micros() as i64
}
