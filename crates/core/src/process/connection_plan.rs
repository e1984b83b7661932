//! Decides whether every VM connects to a target or only a few homes do.
//!
//! A target accepts a limited number of connections from all VMs together. While there are few VMs,
//! each of them connects to every target: statements need no hop through another proxy, and a
//! target is reachable as long as any VM reaches it. With many VMs the shares become too small to
//! be useful, and together they exceed the limit, so that most statements find no connection. Then
//! each target has a few homes that divide its connections, and the other VMs send their statements
//! through one of them.
//!
//! VMs that reach none of the homes must not all connect instead: a large partition of them would
//! take the connections of the homes, which serve all other VMs. So a limited number of VMs of
//! other availability zones may act as fallbacks, using connections that the homes leave free, and
//! the remaining VMs send their statements through those. Homes and fallbacks together never exceed
//! the limit, whichever of them reach each other.

/// The number of homes of a target: the loss of one leaves enough, and each has several
/// connections.
pub const HOMES: usize = 4;

/// The minimum and maximum number of fallbacks of a target. Of ten VMs that may connect, at least
/// one is left if any two thirds are lost.
const MIN_FALLBACKS: u32 = 2;
const MAX_FALLBACKS: u32 = 12;

/// The time without any path to a target after which the number of fallbacks that may connect
/// doubles, in microseconds. After a short partition few VMs have connected; if nearly all VMs are
/// lost, the remaining ones can serve their callers in the end.
const FALLBACK_DOUBLING_US: u64 = 3_000_000;

/// The maximum number of such doublings.
const MAX_DOUBLINGS: u64 = 10;

/// The connections that each fallback takes from a target's limit: one for statements, and one for
/// status queries that bypass its queue.
const FALLBACK_CONNECTIONS: u32 = 2;

/// The percentage of a target's connections that homes keep open. The rest is left for the status
/// queries of takeovers, and for homes whose lists of VMs differ for a moment.
const HOME_PERCENT: u32 = 75;

/// The connections that each VM needs to a primary to connect directly: one for a transaction that
/// is idle between statements, and one for other statements.
const CONNECTIONS_PER_VM: u32 = 2;

/// The maximum number of organisations for which a VM that connects directly needs a connection
/// each. With fewer connections it would open one for most statements, and close that of another
/// organisation.
const MIN_CONNECTIONS_BY_ORGANISATION: usize = 12;

/// The percentage of a target's limit that the demand of all VMs together may reach. It is above
/// 100 because the VMs do not use all their connections at the same time.
const OVERSUBSCRIBED_PERCENT: u32 = 125;

/// The connections left for each other home while one home admits the statements of all VMs: one
/// for statements of VMs that do not reach the admitting home, and one for status queries.
const STANDBY_CONNECTIONS: u32 = 2;

/// How VMs connect to a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectionPlan {
    /// Every VM connects directly.
    Direct {
        /// The maximum number of connections of one VM to a primary.
        primary: u32,
        /// The maximum number of connections of one VM to a replica.
        replica: u32,
    },
    /// Only [`HOMES`] VMs connect; the others send their statements through them.
    Homes {
        /// The maximum number of connections of one home.
        share: u32,
        /// The number of other VMs that may connect if they reach no home, with one connection each
        /// for statements.
        fallbacks: usize,
    },
}

/// How many VMs decide what runs at a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum AdmissionScope {
    /// Each VM that connects to the target admits as many statements as the target has slots.
    PerVm,
    /// The first reachable home admits the statements of all VMs, so that a class of higher
    /// precedence is served first whichever VMs its callers use.
    PerTarget,
}

/// Returns how many VMs decide what runs at a target.
///
/// The load it answers: with [`HOMES`] homes that each let the slots of a target run, the target
/// itself runs several times its slots in the order of arrival, and urgent statements wait behind
/// lookups. One home is enough to order them if the service has several precedences and all VMs
/// understand the messages that carry these.
///
/// Organisations stay divided among the homes: each of their connections serves one organisation,
/// and a single home would evict and open connections for all of them.
pub fn admission_scope(
    demand: Demand,
    has_precedences: bool,
    is_announced: bool,
) -> AdmissionScope {
    let is_asked_for = has_precedences && is_announced && demand.organisations == 0;
    match plan(demand) {
        ConnectionPlan::Homes { .. } if is_asked_for => AdmissionScope::PerTarget,
        ConnectionPlan::Homes { .. } | ConnectionPlan::Direct { .. } => AdmissionScope::PerVm,
    }
}

/// The quantities that determine the plan of a target.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Demand {
    /// The number of connections that the target accepts from all VMs together.
    pub max_connections: u32,
    /// The number of VMs; zero, while none is known, counts as one.
    pub vms: usize,
    /// The number of organisations that need connections of their own; zero if any caller may use
    /// any connection.
    pub organisations: usize,
}

/// Returns the plan for a target.
pub fn plan(demand: Demand) -> ConnectionPlan {
    let Demand { max_connections, vms, organisations } = demand;
    let vms = vms.max(1) as u32;
    if organisations > 0 {
        let per_vm = max_connections / vms;
        if per_vm as usize >= organisations.min(MIN_CONNECTIONS_BY_ORGANISATION) {
            return ConnectionPlan::Direct { primary: per_vm, replica: per_vm };
        }
        return homes(max_connections);
    }
    let needed = vms.saturating_mul(CONNECTIONS_PER_VM);
    if needed.saturating_mul(100) <= max_connections.saturating_mul(OVERSUBSCRIBED_PERCENT) {
        let primary = (max_connections / 8).max(CONNECTIONS_PER_VM);
        return ConnectionPlan::Direct { primary, replica: (primary / 2).max(1) };
    }
    homes(max_connections)
}

fn homes(max_connections: u32) -> ConnectionPlan {
    let usable = max_connections * HOME_PERCENT / 100;
    let share = (usable / HOMES as u32).max(1);
    let remaining = max_connections.saturating_sub((share + 1) * HOMES as u32);
    let fallbacks = (remaining / FALLBACK_CONNECTIONS).clamp(MIN_FALLBACKS, MAX_FALLBACKS);
    ConnectionPlan::Homes { share, fallbacks: fallbacks as usize }
}

/// Returns the maximum number of connections of the home that admits the statements of all VMs.
pub fn admitting_share(max_connections: u32) -> u32 {
    let usable = max_connections * HOME_PERCENT / 100;
    usable.saturating_sub((HOMES as u32 - 1) * STANDBY_CONNECTIONS).max(1)
}

/// Returns the maximum number of connections of a home that serves VMs which do not reach the
/// admitting home. The homes together do not exceed the limit, whichever of them are reached.
pub fn standby_share(max_connections: u32) -> u32 {
    let left = max_connections.saturating_sub(admitting_share(max_connections) + 1);
    (left / (HOMES as u32 - 1)).saturating_sub(1).max(1)
}

/// Returns how many of the highest ranked VMs may connect directly after `unreachable_us`
/// microseconds without any path to a target; zero at first.
pub fn fallback_count(fallbacks: usize, unreachable_us: u64) -> usize {
    match (unreachable_us / FALLBACK_DOUBLING_US).min(MAX_DOUBLINGS) {
        0 => 0,
        doublings => fallbacks << doublings,
    }
}
