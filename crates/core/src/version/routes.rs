//! A configuration that consists of routes, and the records of targets that register themselves.
//!
//! A route maps a database name to a service and defines the consistency of its reads. Targets
//! register themselves with the role that each believes it has. The members of a group are not
//! configured: they are the registered targets of one service.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::FastMap;
use crate::FastSet;
use crate::version::organisations;
use crate::version::organisations::Organisations;

/// The consistency of the reads of a route.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ReadRule {
    /// A read sees everything that was acknowledged before it.
    Primary,
    /// A read sees everything that was acknowledged longer ago than the bound.
    BoundedStaleness {
        /// The bound, in milliseconds.
        max_age_ms: u64,
    },
    /// Bounded staleness; a read also sees all commits acknowledged to the same session.
    ReadYourWrites {
        /// The bound for commits of other sessions, in milliseconds.
        max_age_ms: u64,
    },
}

impl ReadRule {
    /// Returns the maximum age of the data of a read, in milliseconds; zero if no staleness is allowed.
    pub fn max_age_ms(self) -> u64 {
        match self {
            ReadRule::Primary => 0,
            ReadRule::BoundedStaleness { max_age_ms } | ReadRule::ReadYourWrites { max_age_ms } => {
                max_age_ms
            }
        }
    }
}

/// The route of one database name.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Route {
    /// The database name that callers connect to.
    pub database: Arc<str>,
    /// The service whose targets serve the database.
    pub service: Arc<str>,
    /// The consistency of reads.
    pub reads: ReadRule,
    /// The time limit of one statement, in milliseconds.
    pub timeout_ms: u64,
    /// The objective for the latency of an operation, in milliseconds.
    pub objective_ms: u64,
    /// The priority; 0 is the highest.
    pub priority: u32,
    /// Whether callers of this route need no key.
    #[serde(default)]
    pub is_public: bool,
}

/// The limits of all targets of one service.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// The maximum number of connections that a target accepts.
    pub max_connections: u32,
    /// The number of replicas that must receive a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// One version of the configuration.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct RouteTable {
    /// The number of the version, which grows with each change.
    pub version: u64,
    /// The routes by database name.
    pub routes: FastMap<Arc<str>, Arc<Route>>,
    /// The services by name.
    pub services: FastMap<Arc<str>, ServiceLimits>,
    /// The maximum idle time of a caller inside a transaction, in milliseconds; zero for no bound.
    pub transaction_idle_ms: u64,
    /// The organisations; `None` if callers need no key on any route.
    #[serde(deserialize_with = "organisations::present")]
    pub organisations: Option<Organisations>,
}

impl RouteTable {
    /// Returns the services whose routes have different priorities.
    pub fn services_with_precedences(&self) -> FastSet<&str> {
        let mut first: FastMap<&str, u32> = FastMap::default();
        let mut differing = FastSet::default();
        for route in self.routes.values() {
            let known = *first.entry(&route.service).or_insert(route.priority);
            if known != route.priority {
                differing.insert(&*route.service);
            }
        }
        differing
    }
}

/// The replication role that a target believes it has.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TargetRole {
    /// It is the primary of its service.
    Primary,
    /// It replicates from another target.
    Replica,
}

/// The record of a registered target.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct TargetRecord {
    /// The id of this start of the target. A restarted target has lost its data and its knowledge of
    /// terms, so it gets another id and counts as another member.
    pub id: Arc<str>,
    /// The name of the target. A restarted target may have the same name.
    pub name: Arc<str>,
    /// The service that the target belongs to.
    pub service: Arc<str>,
    /// The address on which it listens. Another target may reuse it after this one is removed.
    pub address: SocketAddr,
    /// The availability zone of the target.
    pub zone: Arc<str>,
    /// The maximum number of statements that it runs concurrently.
    pub slots: u32,
    /// Whether it announced that it is about to stop.
    pub leaving: bool,
    /// The role that it believes it has.
    pub role: TargetRole,
}
