//! Tests that the configuration version of a proxy never decreases.

use quickcheck::Gen;
use quickcheck::QuickCheck;
use skylark_core::version::spreading;
use skylark_core::version::spreading::OfferVerdict;
use skylark_core::version::spreading::PeerAction;
use skylark_core::version::spreading::Source;
use skylark_core::version::spreading::Spreading;
use skylark_core::version::spreading::StartChoice;
use skylark_core::version::spreading::StartVerdict;

fn at(revision: u64) -> Spreading {
    let mut spreading = Spreading::new();
    assert_eq!(spreading.judge_offer(revision, Source::Platform), OfferVerdict::Take);
    spreading
}

// Failure: an operator's confirmed change is reverted. The platform answers from a lagging replica of the
// store, or from a restored backup, with a lower revision than the one in force.
#[test]
fn a_lower_revision_is_rejected_from_every_source() {
    for source in [Source::Platform, Source::Watcher, Source::Peer] {
        let mut spreading = at(9);
        assert_eq!(spreading.judge_offer(8, source), OfferVerdict::IgnoreOlder);
        assert_eq!(spreading.revision(), 9);
    }
}

#[test]
fn the_vm_list_of_the_same_revision_is_taken_from_fresh_sources_only() {
    let mut spreading = at(9);
    assert_eq!(spreading.judge_offer(9, Source::Watcher), OfferVerdict::TakeVmsOnly);
    assert_eq!(spreading.judge_offer(9, Source::Platform), OfferVerdict::TakeVmsOnly);
    assert_eq!(spreading.judge_offer(9, Source::Peer), OfferVerdict::IgnoreOlder);
}

#[test]
fn one_pull_at_a_time() {
    let mut spreading = at(3);
    assert_eq!(spreading.on_peer_revision(2, 0), PeerAction::SendRevision);
    assert_eq!(spreading.on_peer_revision(3, 0), PeerAction::Nothing);
    assert_eq!(spreading.on_peer_revision(4, 0), PeerAction::Pull);
    assert_eq!(spreading.on_peer_revision(5, 1), PeerAction::Nothing);
    assert_eq!(spreading.on_peer_revision(5, spreading::PULL_TIMEOUT_US), PeerAction::Pull);
    spreading.pull_failed();
    assert_eq!(spreading.on_peer_revision(5, spreading::PULL_TIMEOUT_US + 1), PeerAction::Pull);
    assert_eq!(spreading.judge_offer(5, Source::Peer), OfferVerdict::Take);
    assert_eq!(spreading.on_peer_revision(6, spreading::PULL_TIMEOUT_US + 2), PeerAction::Pull);
    assert_eq!(spreading.verify(), Vec::<String>::new());
}

#[test]
fn an_empty_store_makes_the_proxy_ready() {
    let mut spreading = Spreading::new();
    assert!(!spreading.is_ready());
    assert_eq!(spreading.judge_offer(0, Source::Platform), OfferVerdict::Take);
    assert!(spreading.is_ready());
}

fn never_reverts(offers: Vec<(u64, bool)>) -> bool {
    let mut spreading = Spreading::new();
    let mut in_force = 0;
    for (index, (revision, is_offer)) in offers.into_iter().enumerate() {
        if is_offer {
            spreading.judge_offer(revision, Source::Peer);
        } else {
            spreading.on_peer_revision(revision, index as u64 * 300_000);
        }
        if spreading.revision() < in_force || !spreading.verify().is_empty() {
            return false;
        }
        in_force = spreading.revision();
    }
    true
}

#[test]
fn no_order_of_offers_reverts_a_version() {
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(30, 1))
        .quickcheck(never_reverts as fn(Vec<(u64, bool)>) -> bool);
}

// Failure: a VM that starts while the platform is down asks a single peer, which was partitioned away for
// hours, and puts an outdated version in force. So the highest of several answers is taken.
#[test]
fn a_start_takes_the_highest_of_several_peers() {
    let mut choice = StartChoice::new(3, 1_000);
    choice.answered(0, 7);
    assert_eq!(choice.verdict(10), StartVerdict::Wait);
    choice.answered(1, 9);
    choice.answered(2, 8);
    assert_eq!(choice.verdict(11), StartVerdict::Take(1));
}

#[test]
fn a_start_takes_the_best_answer_at_the_deadline() {
    let mut choice = StartChoice::new(3, 1_000);
    assert_eq!(choice.verdict(1_000), StartVerdict::AskAgain);
    choice.failed();
    choice.answered(2, 4);
    assert_eq!(choice.verdict(999), StartVerdict::Wait);
    assert_eq!(choice.verdict(1_000), StartVerdict::Take(2));
}

#[test]
fn start_peers_are_distinct_and_differ_by_seed() {
    let first = spreading::choose_start_peers(50, spreading::START_PEERS, 1);
    let mut sorted = first.clone();
    sorted.sort_unstable();
    sorted.dedup();
    assert_eq!(sorted.len(), spreading::START_PEERS);
    assert_ne!(first, spreading::choose_start_peers(50, spreading::START_PEERS, 2));
    assert_eq!(spreading::choose_start_peers(2, spreading::START_PEERS, 1).len(), 2);
    assert!(spreading::choose_start_peers(0, spreading::START_PEERS, 1).is_empty());
}
