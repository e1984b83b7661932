//! The choice of the target that a session tries as the primary.

use std::sync::Arc;

use skylark_core::store_revision::StoreRevision;
use skylark_proxy::sessions::process::leader::LeaderBelief;

fn ids() -> [Arc<str>; 3] {
    ["i-1".into(), "i-2".into(), "i-3".into()]
}

fn chosen_target(belief: &LeaderBelief, now_us: u64) -> Option<String> {
    let ids = ids();
    let listed: Vec<&Arc<str>> = ids.iter().collect();
    belief.pick_target(&listed, |_| false, now_us).map(|id| id.to_string())
}

#[test]
fn an_announced_primary_is_asked() {
    let mut belief = LeaderBelief::default();
    belief.announced(&ids()[1], StoreRevision::new(0, 10));
    assert_eq!(chosen_target(&belief, 0).as_deref(), Some("i-2"));
}

/// A primary that lost its lead while partitioned leaves an outdated announcement behind. An announcement
/// with a higher revision replaces it, and the outdated one is ignored if it arrives again.
#[test]
fn an_older_announcement_changes_nothing() {
    let mut belief = LeaderBelief::default();
    belief.announced(&ids()[1], StoreRevision::new(0, 10));
    belief.announced(&ids()[0], StoreRevision::new(0, 8));
    assert_eq!(chosen_target(&belief, 0).as_deref(), Some("i-2"));
}

#[test]
fn a_target_that_refused_is_asked_last_and_after_a_pause() {
    let mut belief = LeaderBelief::default();
    belief.announced(&ids()[0], StoreRevision::new(0, 10));
    belief.refused(&ids()[0], 1_000);
    assert_eq!(chosen_target(&belief, 1_001).as_deref(), Some("i-2"));
    belief.refused(&ids()[1], 1_002);
    belief.refused(&ids()[2], 1_003);
    assert_eq!(chosen_target(&belief, 1_004), None);
    assert_eq!(chosen_target(&belief, 1_000_000).as_deref(), Some("i-1"));
}

#[test]
fn proof_takes_precedence_over_an_announcement() {
    let mut belief = LeaderBelief::default();
    belief.announced(&ids()[0], StoreRevision::new(0, 10));
    belief.proved(&ids()[2]);
    assert_eq!(chosen_target(&belief, 0).as_deref(), Some("i-3"));
}

/// A leaving target should get no new work, so it is not tried unless it is believed to be the primary.
#[test]
fn a_leaving_target_is_asked_only_if_it_leads() {
    let mut belief = LeaderBelief::default();
    let ids = ids();
    let listed: Vec<&Arc<str>> = ids.iter().collect();
    let leaving = |id: &str| id == "i-1";
    assert_eq!(belief.pick_target(&listed, leaving, 0).as_deref(), Some("i-2"));
    belief.announced(&ids[0], StoreRevision::new(0, 10));
    assert_eq!(belief.pick_target(&listed, leaving, 0).as_deref(), Some("i-1"));
}
