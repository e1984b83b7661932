//! A configuration by routes, and the targets that register themselves.
//!
//! Here a route names a database for callers and the rules of its reads, and targets announce
//! themselves, with the role that each believes it has. Nobody writes down the members of a group:
//! they are the targets of one service that are listed.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

use crate::FastMap;
use crate::version::organisations;
use crate::version::organisations::Organisations;

/// The rule for the reads of a route.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum ReadRule {
    /// A read sees all that was acknowledged before it.
    Primary,
    /// A read sees all that was acknowledged longer ago than this.
    BoundedStaleness {
        /// The bound, in milliseconds.
        max_age_ms: u64,
    },
    /// As with bounded staleness, and all that the same session was told is committed.
    ReadYourWrites {
        /// The bound for what others wrote, in milliseconds.
        max_age_ms: u64,
    },
}

impl ReadRule {
    /// How old the data of a read may be, in milliseconds; zero where it may not be old at all.
    pub fn max_age_ms(self) -> u64 {
        match self {
            ReadRule::Primary => 0,
            ReadRule::BoundedStaleness { max_age_ms } | ReadRule::ReadYourWrites { max_age_ms } => {
                max_age_ms
            }
        }
    }
}

/// What callers of one database name get.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct Route {
    /// The name that callers connect to.
    pub database: Arc<str>,
    /// The service whose targets answer.
    pub service: Arc<str>,
    /// The rule for reads.
    pub reads: ReadRule,
    /// The time limit of one statement.
    pub timeout_ms: u64,
    /// The time within which an operation should be answered.
    pub objective_ms: u64,
    /// Precedence: 0 is the highest.
    pub priority: u32,
    /// Whether callers need no key.
    #[serde(default)]
    pub is_public: bool,
}

/// What holds for all targets of one service.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct ServiceLimits {
    /// How many connections a target accepts from all callers together.
    pub max_connections: u32,
    /// How many replicas must have received a commit before it is acknowledged.
    pub sync_replicas: u32,
}

/// One version of the configuration.
#[derive(Clone, PartialEq, Eq, Debug, Default, Serialize, Deserialize)]
pub struct RouteTable {
    /// Grows with each version.
    pub version: u64,
    /// Routes by database name.
    pub routes: FastMap<Arc<str>, Arc<Route>>,
    /// Services by name.
    pub services: FastMap<Arc<str>, ServiceLimits>,
    /// How long a caller may rest inside a transaction, in milliseconds; zero for no bound.
    pub transaction_idle_ms: u64,
    /// The organisations; none where callers need no key at all.
    #[serde(deserialize_with = "organisations::present")]
    pub organisations: Option<Organisations>,
}

/// What a target believes it is.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub enum TargetRole {
    /// It leads its service.
    Primary,
    /// It follows another target.
    Replica,
}

/// One registered target.
#[derive(Clone, PartialEq, Eq, Debug, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Names this start of the target and no other: one that starts again holds and knows nothing of
    /// before, so it counts as another member.
    pub id: Arc<str>,
    /// The name that it is listed and called by, which a later start may have again.
    pub name: Arc<str>,
    /// Its service.
    pub service: Arc<str>,
    /// Where it listens. Addresses are used again by others after it has gone.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: Arc<str>,
    /// How many statements it runs at once.
    pub slots: u32,
    /// Whether it announced that it will stop.
    pub leaving: bool,
    /// What it believes it is.
    pub role: TargetRole,
}
