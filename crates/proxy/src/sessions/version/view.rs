//! One version of what the process knows of routes and targets, as the control thread publishes it.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use skylark_core::FastMap;
use skylark_core::version::organisations::Organisations;
use skylark_core::version::routes::RouteTable;
use skylark_core::version::routes::TargetRecord;
use skylark_core::version::routes::TargetRole;

/// A listed target.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Member {
    /// What the target registered.
    pub record: Arc<TargetRecord>,
    /// The platform's revision at which it was first seen in its present role: of two that call
    /// themselves primary the later one leads, since a primary that lost its lead while it was cut
    /// off can't correct its entry.
    pub role_since: u64,
}

impl Member {
    /// Whether it calls itself primary.
    pub fn is_primary(&self) -> bool {
        self.record.role == TargetRole::Primary
    }
}

/// One version.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Grows with each publication of this process.
    pub number: u64,
    /// The configuration; none before the first one was read.
    pub routes: Option<Arc<RouteTable>>,
    /// The listed targets of each service, in the order of their ids.
    pub services: FastMap<Arc<str>, Vec<Member>>,
}

impl View {
    /// The listed targets of a service.
    pub fn members(&self, service: &str) -> &[Member] {
        self.services.get(service).map_or(&[], Vec::as_slice)
    }

    /// The organisations; none where callers need no key, or before the first configuration.
    pub fn organisations(&self) -> Option<&Organisations> {
        self.routes.as_ref()?.organisations.as_ref()
    }

    /// The target that was the last to call itself primary.
    pub fn listed_primary(&self, service: &str) -> Option<&Member> {
        let primaries = self.members(service).iter().filter(|member| member.is_primary());
        primaries.max_by_key(|member| member.role_since)
    }
}
