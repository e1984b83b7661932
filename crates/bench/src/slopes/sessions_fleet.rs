//! A made-up fleet of typed sessions: VMs of two sizes in five availability zones, and as many services as
//! VMs, each with a primary and two replicas in three of the zones.

use std::sync::Arc;

use skylark_core::process::quota::QuotaTolerance;
use skylark_core::store_revision::StoreRevision;
use skylark_core::version::routes::ReadRule;
use skylark_core::version::routes::Route;
use skylark_core::version::routes::RouteTable;
use skylark_core::version::routes::ServiceLimits;
use skylark_core::version::routes::TargetRecord;
use skylark_core::version::routes::TargetRole;
use skylark_proxy::sessions::process::feed::listing::TargetList;
use skylark_proxy::sessions::process::feed::listing::VmList;
use skylark_proxy::sessions::process::gateway::Gateway;
use skylark_proxy::sessions::process::member_table::MemberTable;
use skylark_proxy::sessions::process::settings::SessionSettings;
use skylark_proxy::sessions::store::VmAddress;
use skylark_proxy::sessions::version::view::Member;
use skylark_proxy::sessions::version::view::View;

use crate::slopes::no_protocol::NoProtocol;

/// The availability zones. Targets are in the first three.
const ZONES: u64 = 5;
const TARGET_ZONES: u64 = 3;

/// One VM in so many has a fast link.
const FAST_EVERY: u64 = 20;

/// The bandwidth of most VMs' links, in Mbit/s.
pub const SLOW_LINK_MBPS: u32 = 20;

/// The bandwidth of the fast links, in Mbit/s.
pub const FAST_LINK_MBPS: u32 = 1_000;

/// A number without visible order, as the names of targets and databases have.
fn mixed(number: u64) -> u64 {
    number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23)
}

fn zone(number: u64) -> Arc<str> {
    format!("region-zone{number}").into()
}

/// Returns the VMs. Their links are stated only if `states_links`.
pub fn vms(count: u64, states_links: bool) -> Vec<VmAddress> {
    let vm = |number: u64| VmAddress {
        name: format!("entry-zone{}-{number}", number % ZONES).into(),
        zone: zone(number % ZONES),
        peer_address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 7_440).into(),
        link_mbps: match (states_links, number / ZONES % FAST_EVERY) {
            (false, _) => 0,
            (true, 0) => FAST_LINK_MBPS,
            (true, _) => SLOW_LINK_MBPS,
        },
        admits_by_class: true,
    };
    (0..count).map(vm).collect()
}

/// Returns one target of a service. `role_since` grows with each change of its role.
pub fn member(service: u64, place: u64, role_since: u64) -> Member {
    let number = service * TARGET_ZONES + place;
    let id: Arc<str> = format!("i-{:08x}", mixed(number) as u32).into();
    let record = TargetRecord {
        id: Arc::clone(&id),
        name: id,
        service: service_name(service),
        address: ([10, 50, (number / 250) as u8, (number % 250) as u8], 8_784).into(),
        zone: zone(place),
        slots: 2,
        leaving: false,
        role: if place == 0 { TargetRole::Primary } else { TargetRole::Replica },
    };
    Member { record: Arc::new(record), role_since: StoreRevision::new(0, role_since) }
}

fn service_name(service: u64) -> Arc<str> {
    format!("svc-{:08x}", mixed(service + 1_000_000) as u32).into()
}

/// Returns the targets of all services.
pub fn members(services: u64) -> Vec<Member> {
    let places = |service| (0..TARGET_ZONES).map(move |place| member(service, place, 1));
    (0..services).flat_map(places).collect()
}

/// Returns a table of the targets of all services.
pub fn member_table(services: u64) -> MemberTable {
    let mut table = MemberTable::default();
    for member in members(services) {
        table.insert(&member);
    }
    table
}

/// Returns a configuration with a route for each service and another quarter of unused ones.
pub fn routes(services: u64) -> RouteTable {
    let route = |number: u64| {
        let database: Arc<str> = format!("db{:08x}", mixed(number + 2_000_000) as u32).into();
        let route = Route {
            database: Arc::clone(&database),
            service: service_name(number % services),
            reads: ReadRule::ReadYourWrites { max_age_ms: 2_500 },
            timeout_ms: 800,
            objective_ms: 200,
            priority: 2,
            is_public: false,
        };
        (database, Arc::new(route))
    };
    let limits = ServiceLimits { max_connections: 185, sync_replicas: 1 };
    RouteTable {
        version: 7,
        routes: (0..services + services / 4).map(route).collect(),
        services: (0..services).map(|service| (service_name(service), limits)).collect(),
        transaction_idle_ms: 400,
        organisations: None,
    }
}

/// Returns the list of targets as it is sent.
pub fn target_list(services: u64) -> TargetList {
    TargetList::new(StoreRevision::new(0, 1), members(services))
}

/// Returns the list of VMs as it is sent.
pub fn vm_list(count: u64) -> VmList {
    VmList::new(StoreRevision::new(0, 1), vms(count, true))
}

/// Returns a view of these targets.
pub fn view(number: u64, routes: &Arc<RouteTable>, table: &MemberTable) -> View {
    View { number, routes: Some(Arc::clone(routes)), services: table.services().clone() }
}

/// Returns the state of one VM's process without callers, and the VM's fleet of the same size.
pub fn process(size: u64) -> Gateway<NoProtocol> {
    let own = &vms(1, true)[0];
    let settings = SessionSettings {
        vm: own.name.to_string(),
        zone: own.zone.to_string(),
        callers_address: ([127, 0, 0, 1], 0).into(),
        peer_address: own.peer_address,
        link_mbps: own.link_mbps,
        drain_ms: 15_000,
        grace_ms: 6_000,
        quota: QuotaTolerance::default(),
    };
    let gateway = Gateway::new(&settings, slog::Logger::root(slog::Discard, slog::o!()));
    gateway.set_vms(&vms(size, true));
    gateway.publish(view(1, &Arc::new(routes(size)), &member_table(size)));
    gateway.maintain_pools();
    gateway
}
