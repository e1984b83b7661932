//! The path of this process to a target: direct connections, or connections to another VM that relays
//! statements.

use std::net::SocketAddr;
use std::sync::Arc;

use skylark_core::process::connection_budget::BudgetPolicy;
use skylark_core::process::connection_plan::AdmissionScope;
use skylark_core::process::connection_plan::Demand;
use skylark_core::process::jitter;
use skylark_core::version::routes::TargetRecord;

use crate::connection::pool::Pool;
use crate::connection::pool::PoolOptions;
use crate::process::clock::MonotonicClock;
use crate::process::counters::Counters;
use crate::sessions::codec::Codec;
use crate::sessions::connection::link::StatementLink;
use crate::sessions::connection::link::TargetLogin;
use crate::sessions::process::limits;
use crate::sessions::store::VmAddress;

/// A path to a target.
#[derive(Debug)]
pub struct TargetPath<C>
where
    C: Codec,
{
    /// The VM that relays the statements; `None` for direct connections.
    pub via: Option<Arc<str>>,
    /// The connections to the target or to the relaying VM.
    pub pool: Arc<Pool<StatementLink<C>>>,
}

impl<C> TargetPath<C>
where
    C: Codec,
{
    /// Closes the connections as they become idle.
    pub(super) fn close(&self) {
        self.pool.set_share(0);
        self.pool.maintain();
    }
}

/// The inputs that determine the paths to a target while none of them fails.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub struct PathInputs {
    /// What determines how the target's connections are divided.
    pub demand: Demand,
    /// Whether the target is the presumed primary.
    pub is_primary: bool,
    /// How many VMs decide what runs at the target.
    pub admission: AdmissionScope,
}

/// What is needed to open connections to a target.
#[derive(Clone, Debug)]
pub(super) struct PoolParts {
    pub(super) login: TargetLogin,
    pub(super) clock: MonotonicClock,
    pub(super) counters: Arc<Counters>,
}

impl PoolParts {
    /// Creates a path to the target itself, or to a VM that relays to it. The relaying VM has to connect to
    /// the same incarnation, so it gets the target's id; the target itself only knows its name.
    pub(super) fn path<C>(
        &self,
        vm: Option<&VmAddress>,
        record: &TargetRecord,
        has_organisations: bool,
        shares_admission: bool,
    ) -> TargetPath<C>
    where
        C: Codec,
    {
        let (address, id) = match vm {
            Some(vm) => (vm.peer_address, &record.id),
            None => (record.address, &record.name),
        };
        let pool = self.pool(address, id, vm.is_some(), has_organisations, shares_admission);
        TargetPath { via: vm.map(|vm| Arc::clone(&vm.name)), pool }
    }

    fn pool<C>(
        &self,
        address: SocketAddr,
        target_id: &Arc<str>,
        to_proxy: bool,
        has_organisations: bool,
        shares_admission: bool,
    ) -> Arc<Pool<StatementLink<C>>>
    where
        C: Codec,
    {
        let (vm, target) = (&self.login.vm, &self.login.target_id);
        let options = PoolOptions {
            address: address.to_string(),
            login: TargetLogin {
                target_id: Arc::clone(target_id),
                to_proxy,
                tcp_connect_ms: (to_proxy && shares_admission)
                    .then_some(limits::ADMISSION_TCP_CONNECT_MS),
                ..self.login.clone()
            },
            connect_ms: limits::CONNECT_MS,
            budget: policy(to_proxy, has_organisations, shares_admission),
            drain_ms: limits::DRAIN_MS,
            reset_always: false,
            jitter_seed: jitter::seed_of(vm) ^ jitter::seed_of(target),
            clock: self.clock,
        };
        Arc::new(Pool::new(options, Arc::clone(&self.counters)))
    }
}

/// Returns the policy for connections to a target or to another proxy.
pub(super) fn policy(
    to_proxy: bool,
    has_organisations: bool,
    shares_admission: bool,
) -> BudgetPolicy {
    match (shares_admission, to_proxy, has_organisations) {
        (true, true, _) => limits::ADMISSION_PEER_POLICY,
        (true, false, _) => limits::ADMISSION_POLICY,
        (false, true, true) => limits::ORGANISATIONS_PEER_POLICY,
        (false, false, true) => limits::ORGANISATIONS_POLICY,
        (false, _, false) => limits::CONNECTION_POLICY,
    }
}
