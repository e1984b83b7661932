//! Replicates records from the primary to a replica, each after the configured delay.
//!
//! The replica's task reads the records that follow its own last one from the primary's memory. It
//! stops while either side is partitioned, paused or down.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::watch;

use crate::timer;

use super::Target;
use super::apply_up_to;
use super::member::Followed;
use super::member::Supply;

/// Replicates into a target for as long as the task runs.
pub async fn run(target: Arc<Target>) {
    let mut own = target.subscribe();
    let mut faults = target.network.subscribe();
    let mut lag = target.lag.subscribe();
    loop {
        // Marked as seen before the check, so that a change after it wakes the task.
        own.mark_unchanged();
        faults.mark_unchanged();
        lag.mark_unchanged();
        let upstream = target.upstream();
        let upstream_status = upstream.as_ref().map(|(_, primary)| primary.subscribe());
        let received_by = upstream.and_then(|(followed, primary)| target.pull(followed, &primary));
        let applied_by = target.apply_due();
        let due = [received_by, applied_by].into_iter().flatten().min();
        tokio::select! {
            _ = own.changed() => {}
            _ = faults.changed() => {}
            _ = lag.changed() => {}
            () = changed(upstream_status) => {}
            () = wait_until(due) => {}
        }
    }
}

async fn changed<T>(receiver: Option<watch::Receiver<T>>) {
    // An error means that the sender is gone.
    if let Some(mut receiver) = receiver
        && receiver.changed().await.is_ok()
    {
        return;
    }
    std::future::pending().await
}

async fn wait_until(due: Option<Instant>) {
    match due {
        Some(due) => timer::sleep_until(due).await,
        None => std::future::pending().await,
    }
}

impl Target {
    /// Returns the primary that this target follows, if the network is not partitioned between them.
    fn upstream(&self) -> Option<(Followed, Arc<Target>)> {
        let followed = self.member.lock().following()?;
        let primary = self.network.target_at(followed.address)?;
        let connects = self.network.faults().connects(&self.options, &primary.options);
        connects.then_some((followed, primary))
    }

    /// Receives the records that are due. Returns the time at which the next one is.
    fn pull(&self, followed: Followed, primary: &Target) -> Option<Instant> {
        loop {
            // The lock is held during the transfer. Otherwise a fault could be injected after the check,
            // and a record written after the fault would still be replicated.
            let faults = self.network.faults();
            if !faults.connects(&self.options, &primary.options) {
                return None;
            }
            let last = self.member.lock().status().log;
            let supply = primary.member.lock().supply(followed.term, last);
            match supply {
                Supply::NotLeading => return None,
                Supply::Differs => {
                    let terms = self.member.lock().terms();
                    let fork = primary.member.lock().fork(&terms);
                    self.rewind(followed, fork);
                }
                Supply::Records(records) => {
                    let hold = Duration::from_micros(self.lag.borrow().hold_us);
                    let now = Instant::now();
                    let due = records.partition_point(|record| record.written_at + hold <= now);
                    if due > 0 && self.receive(followed, &records[..due]) {
                        continue;
                    }
                    return records.get(due).map(|record| record.written_at + hold);
                }
            }
        }
    }

    /// Stores received records. They are applied in the same step if there is no further delay.
    fn receive(&self, followed: Followed, records: &[Arc<super::record::Record>]) -> bool {
        if self.lag.borrow().apply_us > 0 {
            let mut member = self.member.lock();
            let taken = member.receive(followed, records);
            self.publish(&member);
            return taken;
        }
        let mut visible = self.visible.lock();
        let mut member = self.member.lock();
        let taken = member.receive(followed, records);
        if taken {
            let held = member.log_length();
            apply_up_to(&mut visible, &mut member, held);
        }
        self.publish(&member);
        drop(member);
        drop(visible);
        // Kept close behind, so that a promotion has little left to run. An old transaction that
        // still has the working copy is about to fail at its commit.
        if let Ok(mut working) = self.working.try_lock() {
            self.catch_up(&mut working);
        }
        taken
    }

    /// Applies the received records that are due. Returns the time at which the next one is.
    fn apply_due(&self) -> Option<Instant> {
        let lag = *self.lag.borrow();
        let delay = Duration::from_micros(lag.hold_us + lag.apply_us);
        let now = Instant::now();
        {
            let member = self.member.lock();
            if member.applied() == member.log_length() {
                return None;
            }
        }
        let mut visible = self.visible.lock();
        let mut member = self.member.lock();
        let applied = member.applied();
        let waiting = member.records_after(applied);
        let due = waiting.partition_point(|record| record.written_at + delay <= now);
        let next = waiting.get(due).map(|record| record.written_at + delay);
        if due > 0 {
            apply_up_to(&mut visible, &mut member, applied + due as u64);
            self.publish(&member);
        }
        next
    }

    /// Truncates the log to what it has in common with the primary's.
    fn rewind(&self, followed: Followed, fork: u64) {
        let mut visible = self.visible.lock();
        let mut member = self.member.lock();
        if member.following() != Some(followed) || fork >= member.log_length() {
            return;
        }
        let shown = fork < member.applied();
        member.rewind(fork);
        if shown {
            visible.rewind(member.records_up_to(fork));
        }
        self.counters.rewinds.add();
        self.publish(&member);
    }
}
