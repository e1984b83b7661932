//! Tasks that call the platform: the watch of the configuration, and reads of the list of VMs.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use skylark_objects::ObjectStore;
use skylark_settings::proxy::ProxySettings;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::time;

use crate::process::control::Control;
use crate::process::control::first_version::FirstVersion;
use crate::process::control::input::Input;
use crate::process::member::client::MemberClient;

/// The control thread's order to the watch task.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct WatchOrder {
    /// Whether this process is a watcher of its availability zone.
    pub watching: bool,
    /// The revision in force.
    pub revision: u64,
}

impl<S, C> Control<S, C>
where
    S: ObjectStore,
    C: MemberClient,
{
    pub(super) fn start_platform_tasks(&self) {
        let first = FirstVersion {
            store: self.store.clone(),
            settings: Arc::clone(&self.settings),
            orders: self.watch_orders.subscribe(),
            inputs: self.senders.inputs.clone(),
            seed: self.seed,
        };
        tokio::spawn(first.run());
        let watch = WatchTask {
            store: self.store.clone(),
            settings: Arc::clone(&self.settings),
            orders: self.watch_orders.subscribe(),
            inputs: self.senders.inputs.clone(),
        };
        tokio::spawn(watch.run());
    }

    pub(super) fn read_vm_list(&self) {
        if !self.watch_orders.borrow().watching {
            return;
        }
        let (store, inputs) = (self.store.clone(), self.senders.inputs.clone());
        tokio::spawn(async move {
            let _ = inputs.send(Input::VmList(store.vms().await));
        });
    }
}

/// The task that watches the platform while this process is a watcher of its availability zone.
struct WatchTask<S> {
    store: S,
    settings: Arc<ProxySettings>,
    orders: watch::Receiver<WatchOrder>,
    inputs: mpsc::UnboundedSender<Input>,
}

impl<S> WatchTask<S>
where
    S: ObjectStore,
{
    async fn run(mut self) {
        let wait = Duration::from_millis(self.settings.timing.watch_wait_ms);
        let retry = Duration::from_millis(self.settings.timing.platform_retry_ms);
        let mut seen_revision = 0;
        loop {
            let order = *self.orders.borrow_and_update();
            if !order.watching {
                if self.orders.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let after_revision = order.revision.max(seen_revision);
            let result = self.store.watch(after_revision, wait).await;
            let failed = result.is_err();
            if let Ok(answer) = &result {
                seen_revision = answer.revision.max(after_revision);
            }
            if self.inputs.send(Input::Watched { after_revision, result }).is_err() {
                return;
            }
            if failed {
                time::sleep(jittered(retry)).await;
            }
        }
    }
}

/// Returns a random duration between half of `wait` and all of it, so that the calls of all processes
/// do not coincide when the platform recovers.
pub(super) fn jittered(wait: Duration) -> Duration {
    wait.mul_f64(rand::rng().random_range(0.5..1.0))
}
