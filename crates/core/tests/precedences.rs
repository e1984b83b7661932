//! Tests which services count as having several precedences.

use std::sync::Arc;

use skylark_core::FastMap;
use skylark_core::FastSet;
use skylark_core::version::routes::ReadRule;
use skylark_core::version::routes::Route;
use skylark_core::version::routes::RouteTable;

/// Returns a configuration with a route to each of these services, of this priority.
fn table(routes: &[(&str, u32)]) -> RouteTable {
    let route = |(number, (service, priority)): (usize, &(&str, u32))| {
        let database: Arc<str> = format!("db-{number}").into();
        let route = Route {
            database: Arc::clone(&database),
            service: (*service).into(),
            reads: ReadRule::Primary,
            timeout_ms: 1_000,
            objective_ms: 100,
            priority: *priority,
            is_public: false,
        };
        (database, Arc::new(route))
    };
    let routes: FastMap<_, _> = routes.iter().enumerate().map(route).collect();
    RouteTable { routes, ..RouteTable::default() }
}

macro_rules! services {
    ($($(#[$doc:meta])* $name:ident: $routes:expr => $expected:expr,)*) => {
        $($(#[$doc])*
        #[test]
        fn $name() {
            let table = table(&$routes);
            let expected: FastSet<&str> = $expected.into_iter().collect();
            assert_eq!(table.services_with_precedences(), expected);
        })*
    };
}

services! {
    /// A VM without a configuration must not share the admission to any target.
    no_routes_have_no_precedences: [] => [],
    /// The least urgent priority is compared with other routes, not with zero.
    one_route_has_one_precedence: [("loans", 2)] => [],
    /// Several databases of the same priority need no order between them.
    equal_priorities_are_one_precedence: [("loans", 1), ("loans", 1), ("loans", 1)] => [],
    /// One route of many that differs is enough, whichever of them is seen first.
    one_differing_route_is_found: [("loans", 1), ("loans", 1), ("loans", 0), ("loans", 1)] => ["loans"],
    /// Routes of different services do not compete for a target.
    priorities_of_other_services_do_not_count: [("loans", 0), ("archive", 1)] => [],
    /// Each service is judged by its own routes.
    only_services_with_precedences_are_returned: [
        ("loans", 0),
        ("archive", 1),
        ("loans", 1),
        ("members", 2),
        ("archive", 1),
        ("members", 0),
    ] => ["loans", "members"],
}
