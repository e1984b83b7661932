//! Configuration and targets from another proxy instead of the platform's store.
//!
//! Each change wakes every watch at the store, and each answer is paid for. So with many VMs only a few
//! in each availability zone watch the store, and tell the others there as soon as they know ([`publisher`]).
//! They also tell that the store does not answer, and that it does again, so that the others need not try.
//! One that is not told for a while turns to the next watcher, then to those of other zones, and watches
//! the store by itself while it finds none ([`subscriber`]).
//!
//! A watcher has no better link than those that it tells, and its own link also carries its callers and
//! its own watch. So it is told what the others know and sends what changed since, and no more than a
//! few at a time are sent large messages. [`frame`] is how messages look on the wire, and [`outbox`]
//! what there is to tell.

pub mod frame;
pub mod listing;
pub mod outbox;
pub mod publisher;
pub mod subscriber;

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use skylark_core::version::route_changes::RouteChanges;
use skylark_core::version::routes::RouteTable;

use crate::sessions::process::feed::listing::ListChanges;
use crate::sessions::store::VmAddress;
use crate::sessions::version::view::Member;

/// How often a sign of life is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The word by which a proxy asks to be told. The version of the configuration that it knows follows.
const SUBSCRIBE: &str = "SUBSCRIBE";

/// What a watcher tells.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// The watcher lives. Comes before what else there is to tell.
    Alive {
        /// The version of the configuration that is told; zero for none.
        version: u64,
        /// Whether the store answers the watcher, or one that tells it.
        store_answers: bool,
        /// Whether it is only one that tells it that the store answers.
        #[serde(default)]
        relayed: bool,
        /// Whether a target that is not listed is gone.
        is_settled: bool,
        /// Whether the watcher's availability zone is cut off from the others.
        #[serde(default)]
        zone_is_cut: bool,
    },
    /// What changed of the configuration since the version that was told before.
    Changes(RouteChanges),
    /// A whole configuration.
    Routes(Arc<RouteTable>),
    /// What changed of the list of targets since it was told before; all targets at first.
    TargetChanges(ListChanges<Member>),
    /// What changed of the list of VMs since it was told before; all VMs at first.
    Vms(ListChanges<VmAddress>),
}

/// The line by which a proxy that knows a version of the configuration, or zero for none, asks to be told.
fn subscription(known_version: u64) -> String {
    format!("{SUBSCRIBE} {known_version}\n")
}

/// The version that one who asks to be told knows; none if the message asks for something else.
pub fn parse_subscription(message: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(message).ok()?;
    let (command, version) = text.trim_end().split_once(' ')?;
    if command != SUBSCRIBE {
        return None;
    }
    version.parse().ok()
}
