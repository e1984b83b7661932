//! An immutable snapshot of routes and targets, published by the control thread.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use skylark_core::FastMap;
use skylark_core::store_revision::StoreRevision;
use skylark_core::version::organisations::Organisations;
use skylark_core::version::routes::RouteTable;
use skylark_core::version::routes::TargetRecord;
use skylark_core::version::routes::TargetRole;

/// A target in a snapshot.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Member {
    /// The target's registration.
    pub record: Arc<TargetRecord>,
    /// The platform's revision at which the target was first listed in its present role. Of two targets
    /// listed as primary the one with the higher revision leads, because a primary that was replaced while it
    /// was partitioned can't correct its entry.
    pub role_since: StoreRevision,
}

impl Member {
    /// Returns whether the target's entry has the role of primary.
    pub fn is_primary(&self) -> bool {
        self.record.role == TargetRole::Primary
    }
}

/// The targets of one service, ordered by id. Successive snapshots share those of unchanged services.
pub type ServiceMembers = Arc<Vec<Member>>;

/// A snapshot of the configuration and the list of targets.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The number of the snapshot, increased with each publication in this process.
    pub number: u64,
    /// The configuration; `None` before the first one was read.
    pub routes: Option<Arc<RouteTable>>,
    /// The targets of each service.
    pub services: FastMap<Arc<str>, ServiceMembers>,
}

impl View {
    /// Returns the targets of a service; empty if it has none.
    pub fn members(&self, service: &str) -> &[Member] {
        self.services.get(service).map_or(&[], |members| members.as_slice())
    }

    /// Returns the services whose targets differ from those of an earlier snapshot, and with them the
    /// targets in this one; none for a service that no longer has any.
    pub fn changes_since<'a>(&'a self, before: &'a View) -> Vec<(&'a Arc<str>, &'a [Member])> {
        let is_shared = |service: &str, members: &ServiceMembers| {
            before.services.get(service).is_some_and(|known| Arc::ptr_eq(known, members))
        };
        let changed =
            self.services.iter().filter(|(service, members)| !is_shared(service, members));
        let gone = before.services.keys().filter(|service| !self.services.contains_key(*service));
        let changed = changed.map(|(service, members)| (service, members.as_slice()));
        changed.chain(gone.map(|service| (service, &[][..]))).collect()
    }

    /// Returns the organisations; `None` if callers need no key, or before the first configuration was read.
    pub fn organisations(&self) -> Option<&Organisations> {
        self.routes.as_ref()?.organisations.as_ref()
    }

    /// Returns the target that was most recently listed as primary.
    pub fn listed_primary(&self, service: &str) -> Option<&Member> {
        let primaries = self.members(service).iter().filter(|member| member.is_primary());
        primaries.max_by_key(|member| member.role_since)
    }
}
