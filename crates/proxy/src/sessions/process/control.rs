//! The control thread, the only one that keeps the platform's state and drives takeovers. Request handling
//! reads the views that it publishes.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;

use skylark_core::process::store_calls::StoreStatus;
use tokio::runtime::Builder;
use tokio::sync::oneshot;
use tokio::time;

use crate::sessions::codec::Codec;
use crate::sessions::process::counted_store::CountedStore;
use crate::sessions::process::feed::subscriber;
use crate::sessions::process::gateway::Gateway;
use crate::sessions::process::isolation::Isolation;
use crate::sessions::process::takeover;
use crate::sessions::process::takeover::Takeovers;
use crate::sessions::process::vms;
use crate::sessions::process::watch::Watcher;
use crate::sessions::process::zone_reach::ReachProber;
use crate::sessions::store::Promoter;
use crate::sessions::store::StateStore;
use crate::sessions::store::VmAddress;

/// Handle of the control thread, which ends when the handle is dropped.
#[derive(Debug)]
pub struct ControlThread {
    _shutdown: oneshot::Sender<()>,
}

/// Starts the control thread.
///
/// # Errors
///
/// The runtime or the thread could not be created.
pub fn start<C, S, P>(
    gateway: &Arc<Gateway<C>>,
    own: VmAddress,
    store: S,
    promoter: P,
) -> std::io::Result<ControlThread>
where
    C: Codec,
    S: StateStore,
    P: Promoter,
{
    let gateway = Arc::clone(gateway);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let (shutdown, shut_down) = oneshot::channel::<()>();
    let run = move || {
        let _ended = EndOfControl { gateway: Arc::clone(&gateway) };
        runtime.block_on(async {
            tokio::select! {
                () = run(gateway, own, store, promoter) => (),
                // Nothing is sent on the channel: dropping the sender ends the thread.
                _ = shut_down => (),
            }
        });
    };
    thread::Builder::new().name("control".to_owned()).spawn(run)?;
    Ok(ControlThread { _shutdown: shutdown })
}

/// Reports to subscribers that the control thread has ended, by a shutdown or a panic. Its state is no longer updated, and
/// heartbeats of connections that are still open would keep them from turning to another watcher or the store.
struct EndOfControl<C>
where
    C: Codec,
{
    gateway: Arc<Gateway<C>>,
}

impl<C> Drop for EndOfControl<C>
where
    C: Codec,
{
    fn drop(&mut self) {
        let feed_state = &self.gateway.outbox.feed_state;
        feed_state.send_modify(|state| state.store_status = StoreStatus::Unavailable);
    }
}

async fn run<C, S, P>(gateway: Arc<Gateway<C>>, own: VmAddress, store: S, promoter: P)
where
    C: Codec,
    S: StateStore,
    P: Promoter,
{
    let store = CountedStore::new(store, &gateway.counters);
    let watcher = Arc::new(Watcher::new(&gateway, store.clone()));
    tokio::spawn(vms::keep_registered(Arc::clone(&watcher), own.clone(), store.clone()));
    tokio::spawn(vms::follow(Arc::clone(&watcher), own, store.clone()));
    let takeovers = Arc::new(Takeovers::new(&gateway, &watcher, store, promoter));
    let (configuration, targets) = (Arc::clone(&watcher), Arc::clone(&watcher));
    tokio::spawn(async move { configuration.follow_configuration().await });
    tokio::spawn(async move { targets.follow_targets().await });
    tokio::spawn(subscriber::run(Arc::clone(&watcher), Arc::clone(&gateway)));
    let mut isolation = Isolation::new(&gateway);
    let mut zone_reach = ReachProber::new(&gateway);
    // All periodic checks share one timer: each wake-up of an idle VM costs processor time.
    let mut ticks = time::interval(takeover::CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        let knows_targets = !gateway.view().services.is_empty() && gateway.knows_vms();
        gateway.can_serve.store(knows_targets, Ordering::Relaxed);
        watcher.drop_expired();
        gateway.list_is_complete.store(watcher.list_is_complete(), Ordering::Relaxed);
        watcher.refresh_feed();
        takeovers.check();
        zone_reach.check();
        isolation.check();
    }
}
