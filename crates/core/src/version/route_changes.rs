//! What one who knows an earlier version of a configuration has to be sent.
//!
//! A configuration may have thousands of routes while versions mostly change one, so who knows one of
//! the last versions is sent what changed since. With 2,800 routes that is 280 bytes instead of
//! 457 KB for one route more (counted by the bytes that watchers send).

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

/// How many versions are remembered to tell changes since. Who is told is one or two behind, and who is
/// further behind is sent the whole. Each may take 1 MB and more.
const MAX_VERSIONS: usize = 4;

/// What changed from one version to a later one.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct RouteChanges {
    /// The version that the changes are counted from.
    pub base_version: u64,
    /// The version that they lead to.
    pub version: u64,
    /// The routes that are new or changed.
    pub written: Vec<Arc<Route>>,
    /// The database names that have no route any more.
    pub removed: Vec<Arc<str>>,
    /// All services: they are few.
    pub services: FastMap<Arc<str>, ServiceLimits>,
    /// How long a caller may rest inside a transaction, in milliseconds; zero for no bound.
    pub transaction_idle_ms: u64,
    /// What changed of the organisations; none where callers need no key.
    #[serde(deserialize_with = "organisations::present")]
    pub organisations: Option<OrganisationChanges>,
}

impl RouteChanges {
    /// The changes that lead from `base` to `next`.
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

    /// The version that they lead to; none if `base` is not the version that they are counted from.
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

/// What has to be sent to one who knows some version.
#[derive(Clone, PartialEq, Eq, Debug)]
pub enum RoutesUpdate {
    /// It knows the newest version, or a later one.
    UpToDate,
    /// What changed since.
    Changes(RouteChanges),
    /// All, since its version is not remembered.
    Full(Arc<RouteTable>),
}

/// The last versions of a configuration.
#[derive(Clone, Debug, Default)]
pub struct RecentVersions {
    tables: VecDeque<Arc<RouteTable>>,
}

impl RecentVersions {
    /// The number of the newest version; zero if there is none.
    pub fn newest_version(&self) -> u64 {
        self.tables.back().map_or(0, |newest| newest.version)
    }

    /// Takes in a version, unless a later one is known. Returns whether it is the newest now.
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

    /// The version that changes are told since to one who knows this version; zero if it is sent the whole.
    pub fn base_version_for(&self, known_version: u64) -> u64 {
        match self.tables.iter().any(|table| table.version == known_version) {
            true => known_version,
            false => 0,
        }
    }

    /// What has to be sent to one who knows this version; zero for one who knows none.
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
