//! Distribution of the configuration, the targets and the VMs between proxies.
//!
//! Each change wakes every watch at the store, and each answer is billed. In a large fleet only a few VMs of
//! each availability zone, the watchers, therefore watch the store, and publish what they receive to the
//! other VMs of their zone ([`publisher`]). They also report whether the store is available, so that the
//! others need not probe it. A subscriber that receives nothing for a while tries the next watcher, then
//! those of other zones, and watches the store itself while it finds none ([`subscriber`]).
//!
//! A watcher has the same bandwidth as its subscribers, and its link also carries its own callers and
//! watches. A subscriber therefore states what it knows and receives only the differences, and only a few
//! subscribers at a time receive large messages. [`frame`] defines the wire format, and [`outbox`] holds what
//! is to be published.

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

/// Interval between heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The command that subscribes to a watcher's feed. The known version of the configuration follows it.
const SUBSCRIBE: &str = "SUBSCRIBE";

/// A message of the feed.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// A heartbeat. It precedes the other messages.
    Alive {
        /// Version of the publisher's configuration; zero if it has none.
        version: u64,
        /// Whether the store answers the publisher, or the process that the publisher subscribes to.
        store_answers: bool,
        /// Whether the publisher knows only from another process that the store answers.
        #[serde(default)]
        relayed: bool,
        /// Whether every target that is missing from the list is gone.
        is_settled: bool,
        /// Whether the publisher's availability zone is partitioned from the others.
        #[serde(default)]
        zone_is_cut: bool,
    },
    /// Changes of the configuration since the version that was sent before.
    Changes(RouteChanges),
    /// A complete configuration.
    Routes(Arc<RouteTable>),
    /// Changes of the list of targets since it was sent before; all targets in the first message.
    TargetChanges(ListChanges<Member>),
    /// Changes of the list of VMs since it was sent before; all VMs in the first message.
    Vms(ListChanges<VmAddress>),
}

/// Returns the line that subscribes to a feed. `known_version` is the subscriber's configuration; zero if it
/// has none.
fn subscription(known_version: u64) -> String {
    format!("{SUBSCRIBE} {known_version}\n")
}

/// Parses a subscription and returns the configuration version that the subscriber knows. Returns `None` for
/// any other message.
pub fn parse_subscription(message: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(message).ok()?;
    let (command, version) = text.trim_end().split_once(' ')?;
    if command != SUBSCRIBE {
        return None;
    }
    version.parse().ok()
}
