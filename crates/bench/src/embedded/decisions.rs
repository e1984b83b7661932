//! Keeps the decisions that proxies log, with the time of the run's clock.

use std::fmt;
use std::panic::AssertUnwindSafe;
use std::sync::Arc;

use parking_lot::Mutex;
use slog::Drain;
use slog::KV;
use slog::Key;
use slog::Never;
use slog::OwnedKVList;
use slog::Record;
use slog::Serializer;
use tokio::sync::watch;

use crate::load::clock::Clock;

/// One decision of one proxy about one group.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct Decision {
    /// When it was logged.
    pub at_us: u64,
    /// The VM of the proxy.
    pub vm: String,
    /// The group.
    pub group: String,
    /// What was decided.
    pub decision: String,
    /// Why.
    pub reason: String,
}

/// All decisions of a deployment's proxies. Clones share them.
#[derive(Clone, Debug)]
pub struct Decisions {
    clock: Clock,
    kept: Arc<Mutex<Vec<Decision>>>,
    count: watch::Sender<usize>,
}

impl Decisions {
    /// None yet.
    pub fn new(clock: Clock) -> Decisions {
        Decisions { clock, kept: Arc::default(), count: watch::Sender::new(0) }
    }

    /// A log for the proxy of a VM. It keeps decisions and drops everything else.
    pub fn log(&self, vm: &str) -> slog::Logger {
        slog::Logger::root(Keeper(AssertUnwindSafe(self.clone())), slog::o!("vm" => vm.to_owned()))
    }

    /// Waits for a decision from a time on that fits.
    pub async fn wait_for<F>(&self, group: &str, from_us: u64, fits: F) -> Decision
    where
        F: Fn(&Decision) -> bool,
    {
        let mut count = self.count.subscribe();
        loop {
            if let Some(decision) = self.about(group, from_us).into_iter().find(|it| fits(it)) {
                return decision;
            }
            // The sender lives as long as `self`.
            let _ = count.changed().await;
        }
    }

    /// The decisions about a group from a time on, in the order of their times.
    pub fn about(&self, group: &str, from_us: u64) -> Vec<Decision> {
        let kept = self.kept.lock();
        let wanted = |it: &&Decision| it.group == group && it.at_us >= from_us;
        kept.iter().filter(wanted).cloned().collect()
    }
}

/// The drain that keeps decisions. A panic while one is kept leaves the list as it was, so sharing
/// it over an unwinding is safe.
struct Keeper(AssertUnwindSafe<Decisions>);

impl Drain for Keeper {
    type Ok = ();
    type Err = Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), Never> {
        let mut fields = Fields::default();
        // A field that can't be written is left empty, and a decision without its group is dropped.
        let _ = record.kv().serialize(record, &mut fields);
        let _ = values.serialize(record, &mut fields);
        if fields.group.is_empty() || fields.decision.is_empty() {
            return Ok(());
        }
        let decisions = &self.0;
        decisions.kept.lock().push(Decision {
            at_us: decisions.clock.now_us(),
            vm: fields.vm,
            group: fields.group,
            decision: fields.decision,
            reason: fields.reason,
        });
        decisions.count.send_modify(|count| *count += 1);
        Ok(())
    }
}

#[derive(Default)]
struct Fields {
    vm: String,
    group: String,
    decision: String,
    reason: String,
}

impl Serializer for Fields {
    fn emit_arguments(&mut self, key: Key, value: &fmt::Arguments<'_>) -> slog::Result {
        let field = match key {
            "vm" => &mut self.vm,
            "group" => &mut self.group,
            "decision" => &mut self.decision,
            "reason" => &mut self.reason,
            _ => return Ok(()),
        };
        *field = value.to_string();
        Ok(())
    }
}
