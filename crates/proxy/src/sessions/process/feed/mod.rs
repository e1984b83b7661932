//! Distribution of the configuration, the targets and the VMs between proxies.
//!
//! Each change wakes every watch at the store, and each answer is billed. In a large fleet only a few VMs of
//! each availability zone, the watchers, therefore watch the store, and publish what they receive to the
//! other VMs of their zone ([`publisher`]). They also report whether the store is available, so that the
//! others need not probe it. A subscriber that receives nothing for a while tries the next watcher, then
//! those of other zones, and watches the store itself while it finds none ([`subscriber`]).
//!
//! A watcher's link also carries its own callers and watches. A subscriber therefore states what it knows, the
//! configuration by its version and the lists by digests, and receives only the differences, and only a few
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
use skylark_core::version::list_digest::ListDigest;
use skylark_core::version::route_changes::RouteChanges;
use skylark_core::version::routes::RouteTable;

use crate::sessions::process::feed::listing::ListBuckets;
use crate::sessions::process::feed::listing::ListChanges;
use crate::sessions::store::VmAddress;
use crate::sessions::version::view::Member;

/// Interval between heartbeats while nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_000);

/// The command that subscribes to a watcher's feed. The known version of the configuration follows it.
const SUBSCRIBE: &str = "SUBSCRIBE";

/// The line that may follow a subscription, with the digests of the lists that the subscriber knows. Earlier
/// versions send and read only the first line.
const KNOWN_LISTS: &str = "KNOWN";

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
    /// The difference between the list of targets that the subscriber knew and the publisher's. Only
    /// subscribers that sent their digests receive it.
    TargetBuckets(ListBuckets<Member>),
    /// The same of the list of VMs.
    VmBuckets(ListBuckets<VmAddress>),
}

/// The digests of the lists that a subscriber knows.
#[derive(Clone, PartialEq, Eq, Debug)]
pub struct KnownLists {
    /// The digest of its list of targets.
    pub targets: ListDigest,
    /// The digest of its list of VMs.
    pub vms: ListDigest,
}

/// Returns the lines that subscribe to a feed. `known_version` is the subscriber's configuration; zero if it
/// has none. `known_lists` is `None` if it has no lists.
pub fn subscription(known_version: u64, known_lists: Option<&KnownLists>) -> String {
    let mut lines = format!("{SUBSCRIBE} {known_version}\n");
    if let Some(KnownLists { targets, vms }) = known_lists {
        let digests = format!("{KNOWN_LISTS} {} {}\n", targets.to_text(), vms.to_text());
        lines.push_str(&digests);
    }
    lines
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

/// Parses what follows the first line of a subscription. Returns `None` unless the line with the digests is
/// complete: the whole lists are then sent, which is correct as well.
pub fn parse_known_lists(input: &[u8]) -> Option<KnownLists> {
    let line = std::str::from_utf8(input).ok()?.strip_suffix('\n')?;
    let mut words = line.split(' ');
    if words.next() != Some(KNOWN_LISTS) {
        return None;
    }
    let targets = ListDigest::parse(words.next()?)?;
    let vms = ListDigest::parse(words.next()?)?;
    Some(KnownLists { targets, vms })
}
