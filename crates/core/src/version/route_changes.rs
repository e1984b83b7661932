//! Incremental updates of a configuration for a receiver that has an earlier version.
//!
//! A configuration may have thousands of routes while most versions change a single one, so a receiver that
//! has one of the last versions gets only the changes since. With 2,800 routes, one added route takes
//! 280 bytes instead of 457 KB (bytes sent by a watcher).

use std::collections::VecDeque;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::FastMap;
use crate::version::map_changes;
use crate::version::organisations;
use crate::version::organisations::OrganisationChanges;
use crate::version::organisations::Organisations;
use crate::version::routes::Route;
use crate::version::routes::RouteTable;
use crate::version::routes::ServiceLimits;

/// The number of stored versions that can be the base of changes. Receivers are usually one or two versions
/// behind; one that is further behind gets the full configuration. Each version may take 1 MB or more.
const MAX_VERSIONS: usize = 4;

/// The changes from one version to a later one.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct RouteChanges {
    /// The version that the changes apply to.
    pub base_version: u64,
    /// The version that results from the changes.
    pub version: u64,
    /// The routes that are new or changed.
    pub written: Vec<Arc<Route>>,
    /// The database names of removed routes.
    pub removed: Vec<Arc<str>>,
    /// All services of the new version. There are few, so they are sent in full.
    pub services: FastMap<Arc<str>, ServiceLimits>,
    /// The maximum idle time of a caller inside a transaction, in milliseconds; zero for no bound.
    pub transaction_idle_ms: u64,
    /// The changes of organisations; `None` if callers need no key.
    #[serde(deserialize_with = "organisations::present")]
    pub organisations: Option<OrganisationChanges>,
}

impl RouteChanges {
    /// Returns the changes that turn `base` into `next`.
    pub fn between(base: &RouteTable, next: &RouteTable) -> RouteChanges {
        RouteChanges {
            base_version: base.version,
            version: next.version,
            written: map_changes::written(&base.routes, &next.routes),
            removed: map_changes::removed(&base.routes, &next.routes),
            services: next.services.clone(),
            transaction_idle_ms: next.transaction_idle_ms,
            organisations: next.organisations.as_ref().map(|next| {
                base.organisations.as_ref().unwrap_or(&Organisations::default()).changes_to(next)
            }),
        }
    }

    /// Returns `base` with the changes applied, or `None` if `base` is not the version they apply to.
    pub fn applied_to(&self, base: &RouteTable) -> Option<RouteTable> {
        if base.version != self.base_version {
            return None;
        }
        let routes = map_changes::applied(&base.routes, &self.written, &self.removed, |route| {
            &route.database
        });
        Some(RouteTable {
            version: self.version,
            routes,
            services: self.services.clone(),
            transaction_idle_ms: self.transaction_idle_ms,
            organisations: self.organisations.as_ref().map(|changes| {
                base.organisations.as_ref().unwrap_or(&Organisations::default()).with(changes)
            }),
        })
    }
}

/// The update for a receiver, depending on the version that it has.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RoutesUpdate {
    /// The receiver has the newest version or a later one.
    UpToDate,
    /// The changes since the version of the receiver.
    Changes(RouteChanges),
    /// The full configuration, since the version of the receiver is not stored.
    Full(Arc<RouteTable>),
}

/// The last versions of a configuration, which can be the base of changes.
#[derive(Clone, Debug, Default)]
pub struct RecentVersions {
    tables: VecDeque<Arc<RouteTable>>,
}

impl RecentVersions {
    /// Returns the number of the newest version; zero if there is none.
    pub fn newest_version(&self) -> u64 {
        self.tables.back().map_or(0, |newest| newest.version)
    }

    /// Adds a version if it is newer than all stored ones. Returns whether it was added.
    pub fn push(&mut self, table: &Arc<RouteTable>) -> bool {
        if table.version <= self.newest_version() {
            return false;
        }
        if self.tables.len() == MAX_VERSIONS {
            self.tables.pop_front();
        }
        self.tables.push_back(Arc::clone(table));
        true
    }

    /// Returns the base of the changes for a receiver that has `known_version`; zero if it gets the full
    /// configuration.
    pub fn base_version_for(&self, known_version: u64) -> u64 {
        match self.tables.iter().any(|table| table.version == known_version) {
            true => known_version,
            false => 0,
        }
    }

    /// Returns the update for a receiver that has `known_version`; zero stands for no version.
    pub fn since(&self, known_version: u64) -> RoutesUpdate {
        let Some(newest) = self.tables.back() else { return RoutesUpdate::UpToDate };
        if newest.version <= known_version {
            return RoutesUpdate::UpToDate;
        }
        match self.tables.iter().find(|table| table.version == known_version) {
            Some(base) => RoutesUpdate::Changes(RouteChanges::between(base, newest)),
            None => RoutesUpdate::Full(Arc::clone(newest)),
        }
    }
}
