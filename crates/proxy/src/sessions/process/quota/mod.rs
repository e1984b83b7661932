//! Enforcement of organisations' limits: which VM is asked for an operation, and what this VM grants to
//! others.
//!
//! `skylark_core::process::quota` defines how a limit is divided among allocators. An operation asks the
//! allocators one after the other, starting with those of its own availability zone ([`ask`]); other VMs are
//! answered by [`answer`]. An allocator's refusal is cached for as long as it holds, so that operations far
//! beyond a limit are refused without a message.

pub mod allocators;
pub mod answer;
pub mod ask;

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use skylark_core::FastMap;
use skylark_core::process::quota::Division;
use skylark_core::process::quota::Grant;
use skylark_core::process::quota::LimitPart;
use skylark_core::process::quota::QuotaTolerance;
use skylark_core::process::quota::TokenBucket;
use skylark_core::request::error_kind::ErrorKind;
use skylark_core::version::organisations::Organisation;
use skylark_core::version::organisations::RateLimit;
use tokio::time;

use crate::process::clock::MonotonicClock;
use crate::process::counters::Counters;
use crate::process::counters::Event;
use crate::request::refusal::Refusal;
use crate::sessions::process::quota::allocators::Allocators;
use crate::sessions::process::quota::ask::Answer;
use crate::sessions::process::quota::ask::GrantClient;
use crate::sessions::store::VmAddress;

/// For how long an allocator that did not answer is ejected, in microseconds.
const SILENT_EJECTION_US: u64 = 500_000;

/// For how long a VM that does not allocate an organisation, since it has no configuration yet, is not asked
/// again, in microseconds.
const NOT_HERE_US: u64 = 50_000;

/// Maximum number of cached refusals before expired ones are removed.
const MAX_EMPTY_ENTRIES: usize = 4_096;

/// How long after a change of the list of VMs a new allocator's buckets begin to earn tokens, in
/// microseconds. Other VMs may ask its predecessor until they have the list as well.
const HANDOVER_DELAY_US: u64 = 1_500_000;

/// Maximum time that an operation waits for room in its organisation's limit, in microseconds. After a longer
/// wait it would often be late anyway, and it would hold up later operations of its organisation.
const MAX_WAIT_US: u64 = 50_000;

/// How long after its start a process lets operations wait until their deadline instead, in microseconds. All
/// processes may have started together, with few tokens at first and all callers returning.
const STARTUP_PERIOD_US: u64 = 5_000_000;

const MS_US: u64 = 1_000;

/// The limits of organisations, as one VM enforces and allocates them.
#[derive(Debug)]
pub struct Quotas {
    own: Arc<str>,
    zone: Arc<str>,
    tolerance: QuotaTolerance,
    clock: MonotonicClock,
    counters: Arc<Counters>,
    client: GrantClient,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    vms: Vec<VmAddress>,
    /// Number of availability zones of these VMs.
    zones: usize,
    /// From when new buckets earn tokens, in microseconds.
    refill_from_us: u64,
    allocators: FastMap<Arc<str>, Arc<Allocators>>,
    /// What this VM allocates, by organisation.
    granting: FastMap<Arc<str>, Granting>,
    /// Until when an allocator has nothing to grant, by organisation and VM, in microseconds.
    empty_until_us: FastMap<(Arc<str>, Arc<str>), u64>,
    /// Until when a VM that did not answer is ejected, in microseconds.
    silent_until_us: FastMap<Arc<str>, u64>,
}

/// The part of an organisation's limit that this VM allocates.
#[derive(Debug)]
struct Granting {
    bucket: TokenBucket,
    usage: Usage,
}

/// An allocator's decisions on an organisation's operations since it became one.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Default)]
pub struct Usage {
    /// Operations that were granted.
    pub granted: u64,
    /// Operations that were requested and not granted. An operation that several allocators refuse counts at
    /// each of them.
    pub denied: u64,
    /// The limit of the organisation over all VMs, in thousandths of an operation a second.
    pub limit_milli_per_s: u64,
}

impl State {
    /// Records that an allocator has nothing to grant to an organisation until `until_us`.
    fn set_empty(&mut self, name: &Arc<str>, vm: &VmAddress, until_us: u64, now_us: u64) {
        if self.empty_until_us.len() >= MAX_EMPTY_ENTRIES {
            self.empty_until_us.retain(|_, until_us| now_us < *until_us);
        }
        let key = (Arc::clone(name), Arc::clone(&vm.name));
        self.empty_until_us.insert(key, until_us);
    }
}

/// The result of asking one or all allocators.
enum AskOutcome {
    Granted,
    Empty { retry_after_us: u64 },
    Silent,
}

impl Quotas {
    /// Creates the state of a VM that knows no other VMs yet.
    pub fn new(
        own: &Arc<str>,
        zone: &Arc<str>,
        tolerance: QuotaTolerance,
        clock: MonotonicClock,
        counters: &Arc<Counters>,
    ) -> Quotas {
        Quotas {
            own: Arc::clone(own),
            zone: Arc::clone(zone),
            tolerance,
            clock,
            counters: Arc::clone(counters),
            client: GrantClient::new(counters),
            state: Mutex::default(),
        }
    }

    /// Applies the list of VMs. Buckets of organisations that this VM no longer allocates are dropped.
    pub fn set_vms(&self, vms: &[VmAddress]) {
        let mut state = self.state.lock();
        if state.vms == vms {
            return;
        }
        let is_first = state.vms.is_empty();
        state.vms = vms.to_vec();
        state.zones = allocators::zone_count(vms);
        let now_us = self.clock.now_us();
        // With the first list a process is an allocator since its start, not a successor.
        state.refill_from_us = if is_first { 0 } else { now_us + HANDOVER_DELAY_US };
        let known = std::mem::take(&mut state.allocators);
        for (name, before) in known {
            let now = Allocators::rank(&name, &state.vms, &self.own, &self.zone, before.division);
            if now.includes_own {
                state.allocators.insert(name, Arc::new(now));
            } else {
                state.granting.remove(&name);
            }
        }
    }

    /// Counts one operation against an organisation's limit. If the limit will have room before `until_us`,
    /// the operation waits for it, since there is little to grant for a moment after all processes have
    /// started.
    ///
    /// # Errors
    ///
    /// A refusal if the limit has no room in time, or if no allocator answers.
    pub async fn admit(&self, organisation: &Organisation, until_us: u64) -> Result<(), Refusal> {
        let Some(limit) = organisation.limit else { return Ok(()) };
        let now_us = self.clock.now_us();
        let until_us = match now_us < STARTUP_PERIOD_US {
            true => until_us,
            false => until_us.min(now_us + MAX_WAIT_US),
        };
        loop {
            let asked = self.ask_in_turn(&organisation.name, limit).await;
            let retry_after_us = match asked {
                AskOutcome::Granted => return Ok(()),
                AskOutcome::Silent => return Err(ErrorKind::LimitUnknown.into()),
                AskOutcome::Empty { retry_after_us } => retry_after_us,
            };
            if self.clock.now_us() + retry_after_us > until_us {
                let retry_after_ms = retry_after_us.div_ceil(MS_US);
                return Err(Refusal::with_retry_after(ErrorKind::OverLimit, retry_after_ms));
            }
            time::sleep(Duration::from_micros(retry_after_us)).await;
        }
    }

    /// Asks one allocator after the other. If none grants, the result has the shortest delay that any of them
    /// named.
    async fn ask_in_turn(&self, name: &Arc<str>, limit: RateLimit) -> AskOutcome {
        let allocators = self.allocators_of(name, limit);
        let mut soonest_us = None;
        for vm in &allocators.ask_order {
            match self.ask(name, limit, vm).await {
                AskOutcome::Granted => return AskOutcome::Granted,
                AskOutcome::Empty { retry_after_us } => {
                    soonest_us = soonest_us.into_iter().chain([retry_after_us]).min();
                }
                AskOutcome::Silent => (),
            }
        }
        soonest_us.map_or(AskOutcome::Silent, |retry_after_us| AskOutcome::Empty { retry_after_us })
    }

    /// Grants operations out of this VM's part of an organisation's limit; `None` if it is no allocator of
    /// the organisation.
    pub fn grant(&self, name: &Arc<str>, limit: RateLimit, wanted: u32) -> Option<Grant> {
        let allocators = self.allocators_of(name, limit);
        if !allocators.includes_own {
            return None;
        }
        let part = LimitPart::of(limit, self.tolerance, allocators.ask_order.len());
        let now_us = self.clock.now_us();
        let mut state = self.state.lock();
        let since_us = state.refill_from_us;
        let new =
            || Granting { bucket: TokenBucket::starting(part, since_us), usage: Usage::default() };
        let Granting { bucket, usage } = state.granting.entry(Arc::clone(name)).or_insert_with(new);
        bucket.set_part(part, now_us);
        let grant = bucket.take(wanted, now_us);
        usage.granted += u64::from(grant.granted);
        usage.denied += u64::from(wanted - grant.granted);
        usage.limit_milli_per_s = limit.rate_milli_per_s;
        Some(grant)
    }

    /// Returns what this VM granted by organisation, sorted by name.
    pub fn usage(&self) -> Vec<(Arc<str>, Usage)> {
        let state = self.state.lock();
        let mut all: Vec<(Arc<str>, Usage)> =
            state.granting.iter().map(|(name, it)| (Arc::clone(name), it.usage)).collect();
        drop(state);
        all.sort_unstable_by(|a, b| a.0.cmp(&b.0));
        all
    }

    async fn ask(&self, name: &Arc<str>, limit: RateLimit, vm: &VmAddress) -> AskOutcome {
        if vm.name == self.own {
            let Some(grant) = self.grant(name, limit, 1) else { return AskOutcome::Silent };
            if grant.granted == 0 {
                return AskOutcome::Empty { retry_after_us: grant.retry_after_us };
            }
            self.counters.event(Event::LimitsGrantedHere);
            return AskOutcome::Granted;
        }
        if let Some(known) = self.known_answer(name, vm) {
            return known;
        }
        let answer = self.client.ask(vm, name).await;
        let now_us = self.clock.now_us();
        let mut state = self.state.lock();
        match answer {
            Answer::Grant(grant) if grant.granted > 0 => AskOutcome::Granted,
            Answer::Grant(Grant { retry_after_us, .. }) => {
                state.set_empty(name, vm, now_us + retry_after_us, now_us);
                AskOutcome::Empty { retry_after_us }
            }
            Answer::NotHere => {
                state.set_empty(name, vm, now_us + NOT_HERE_US, now_us);
                AskOutcome::Empty { retry_after_us: NOT_HERE_US }
            }
            Answer::Nothing => {
                let until_us = now_us + SILENT_EJECTION_US;
                state.silent_until_us.insert(Arc::clone(&vm.name), until_us);
                AskOutcome::Silent
            }
        }
    }

    /// Returns the cached refusal of an allocator, if it still holds.
    fn known_answer(&self, name: &Arc<str>, vm: &VmAddress) -> Option<AskOutcome> {
        let now_us = self.clock.now_us();
        let mut state = self.state.lock();
        if state.silent_until_us.get(&vm.name).is_some_and(|until_us| now_us < *until_us) {
            return Some(AskOutcome::Silent);
        }
        let key = (Arc::clone(name), Arc::clone(&vm.name));
        let until_us = *state.empty_until_us.get(&key)?;
        if now_us < until_us {
            return Some(AskOutcome::Empty { retry_after_us: until_us - now_us });
        }
        state.empty_until_us.remove(&key);
        None
    }

    fn allocators_of(&self, name: &Arc<str>, limit: RateLimit) -> Arc<Allocators> {
        let mut state = self.state.lock();
        let division = Division::of(limit, self.tolerance, state.zones);
        if let Some(known) = state.allocators.get(name).filter(|it| it.division == division) {
            return Arc::clone(known);
        }
        let ranked = Allocators::rank(name, &state.vms, &self.own, &self.zone, division);
        let ranked = Arc::new(ranked);
        state.allocators.insert(Arc::clone(name), Arc::clone(&ranked));
        ranked
    }
}
