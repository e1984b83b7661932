//! Whether each VM connects to each target, or a few homes do so for all.
//!
//! A target accepts a few connections from all VMs together. While there are few VMs, each has some
//! of its own: no hop, and a target is reached as long as anybody reaches it. With many VMs the parts
//! become too small to be of use, and together they pass the limit, so that most statements find none.
//! Then each target has a few homes that divide its connections, and the other VMs send their statements
//! through one of them.
//!
//! VMs that reach none of the homes must not each connect instead: many that are cut off from the others
//! would take the connections of the homes, which serve everybody else. So some VMs of other availability
//! zones may act as fallbacks, with connections that the homes leave, and the rest go through those.
//! Homes and fallbacks together never pass the limit, whichever of them reach each other.

/// How many homes a target has: one that is lost leaves enough, and each has several connections.
pub const HOMES: usize = 4;

/// How many fallbacks the homes of a target have, at least and at most. With ten VMs that may connect
/// one is left where any two thirds are lost.
const MIN_FALLBACKS: u32 = 2;
const MAX_FALLBACKS: u32 = 12;

/// After which time without any way to a target twice as many VMs may connect by themselves, in
/// microseconds. A cut that ends soon has few of them do so; where nearly all VMs are gone, those that are left
/// serve their callers in the end.
const FALLBACK_DOUBLING_US: u64 = 3_000_000;

/// How often that number is doubled at most.
const MAX_DOUBLINGS: u64 = 10;

/// What each fallback takes of a target's connections: one for statements, and one more for questions that
/// pass its queue.
const FALLBACK_CONNECTIONS: u32 = 2;

/// The part of a target's connections that homes keep open, in hundredths. The rest is for the
/// questions of takeovers, and for homes that see the list of VMs differently for a moment.
const HOME_PERCENT: u32 = 75;

/// The connections that each VM needs at a primary of its own accord: one for a transaction that
/// rests, and one beside it.
const CONNECTIONS_PER_VM: u32 = 2;

/// How many organisations' connections a VM needs room for to connect by itself. With less it would open one for
/// most statements, and close another organisation's.
const MIN_CONNECTIONS_BY_ORGANISATION: usize = 12;

/// By how much the needs of all VMs together may pass a target's limit, in hundredths: not all of
/// them need theirs at once.
const OVERSUBSCRIBED_PERCENT: u32 = 125;

/// How one VM comes to a target's connections.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum ConnectionPlan {
    /// Each VM connects, with at most so many connections to a primary and to a replica.
    Direct {
        /// To a primary.
        primary: u32,
        /// To a replica.
        replica: u32,
    },
    /// [`HOMES`] VMs connect, each with at most so many connections.
    Homes {
        /// Of each home.
        share: u32,
        /// How many others may connect where the homes can't be reached, with one connection each.
        fallbacks: usize,
    },
}

/// What a target's connections are divided by.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct Demand {
    /// How many connections the target accepts from all VMs together.
    pub max_connections: u32,
    /// How many VMs there are.
    pub vms: usize,
    /// How many organisations need connections of their own; zero if connections serve anybody.
    pub organisations: usize,
}

/// The plan for a target.
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

/// How many VMs, the highest ranked ones, may connect by themselves after so long without any way to a target.
pub fn fallback_count(fallbacks: usize, unreachable_us: u64) -> usize {
    match (unreachable_us / FALLBACK_DOUBLING_US).min(MAX_DOUBLINGS) {
        0 => 0,
        doublings => fallbacks << doublings,
    }
}
