//! Tests that the changes between two versions of a configuration turn the earlier one into the later one.

use std::sync::Arc;

use quickcheck::quickcheck;
use skylark_core::FastMap;
use skylark_core::version::route_changes::RecentVersions;
use skylark_core::version::route_changes::RouteChanges;
use skylark_core::version::route_changes::RoutesUpdate;
use skylark_core::version::routes::ReadRule;
use skylark_core::version::routes::Route;
use skylark_core::version::routes::RouteTable;
use skylark_core::version::routes::ServiceLimits;

/// Returns a version whose routes have these names and timeouts.
fn table(version: u64, routes: &[(u8, u8)]) -> RouteTable {
    let route = |(name, timeout): &(u8, u8)| {
        let database: Arc<str> = format!("db-{name}").into();
        let route = Route {
            database: Arc::clone(&database),
            service: "loans".into(),
            reads: ReadRule::Primary,
            timeout_ms: u64::from(*timeout),
            objective_ms: 100,
            priority: 1,
            is_public: false,
        };
        (database, Arc::new(route))
    };
    let limits = ServiceLimits { max_connections: version as u32, sync_replicas: 1 };
    RouteTable {
        version,
        routes: routes.iter().map(route).collect(),
        services: FastMap::from_iter([(Arc::from("loans"), limits)]),
        transaction_idle_ms: version,
        organisations: None,
    }
}

quickcheck! {
    fn changes_lead_to_the_later_version(before: Vec<(u8, u8)>, after: Vec<(u8, u8)>) -> bool {
        let (base, next) = (table(4, &before), table(9, &after));
        RouteChanges::between(&base, &next).applied_to(&base) == Some(next)
    }

    /// For any sequence of versions, the update for a receiver of any of them leads to the newest version.
    fn every_update_leads_to_the_newest_version(versions: Vec<Vec<(u8, u8)>>, known: usize) -> bool {
        let tables: Vec<Arc<RouteTable>> = versions
            .iter()
            .enumerate()
            .map(|(index, routes)| Arc::new(table(index as u64 + 1, routes)))
            .collect();
        let mut recent = RecentVersions::default();
        for table in &tables {
            recent.push(table);
        }
        let Some(newest) = tables.last() else { return recent.since(0) == RoutesUpdate::UpToDate };
        let known = &tables[known % tables.len()];
        match recent.since(known.version) {
            RoutesUpdate::UpToDate => known.version == newest.version,
            RoutesUpdate::Changes(changes) => changes.applied_to(known).as_ref() == Some(&**newest),
            RoutesUpdate::Full(whole) => whole == *newest,
        }
    }
}

#[test]
fn changes_from_another_version_are_not_applied() {
    let (base, next) = (table(4, &[(1, 1)]), table(9, &[(2, 2)]));
    let changes = RouteChanges::between(&base, &next);
    assert_eq!(changes.applied_to(&table(5, &[(1, 1)])), None);
}

#[test]
fn an_unchanged_route_is_not_sent() {
    let (base, next) = (table(4, &[(1, 1), (2, 2)]), table(9, &[(1, 1), (3, 3)]));
    let changes = RouteChanges::between(&base, &next);
    assert_eq!(changes.written.len(), 1);
    assert_eq!(changes.removed, [Arc::from("db-2")]);
}

#[test]
fn an_older_version_is_not_added() {
    let mut recent = RecentVersions::default();
    assert!(recent.push(&Arc::new(table(9, &[]))));
    assert!(!recent.push(&Arc::new(table(4, &[]))));
    assert_eq!(recent.newest_version(), 9);
}

#[test]
fn a_receiver_without_a_version_gets_the_full_configuration() {
    let mut recent = RecentVersions::default();
    let newest = Arc::new(table(9, &[(1, 1)]));
    recent.push(&newest);
    assert_eq!(recent.since(0), RoutesUpdate::Full(newest));
}

/// A receiver that claims a version which never existed is treated like one without a version.
#[test]
fn an_unknown_version_is_no_base() {
    let mut recent = RecentVersions::default();
    recent.push(&Arc::new(table(7, &[(1, 1)])));
    recent.push(&Arc::new(table(9, &[(1, 1)])));
    assert_eq!(
        [recent.base_version_for(7), recent.base_version_for(8), recent.base_version_for(0)],
        [7, 0, 0]
    );
}
