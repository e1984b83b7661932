//! Tests of the claim, which decides which proxy may drive a takeover.

use skylark_core::process::takeover_claim;
use skylark_core::process::takeover_claim::Claim;
use skylark_core::process::takeover_claim::ClaimState;
use skylark_core::process::takeover_claim::ClaimStep;
use skylark_core::process::takeover_claim::DRIVER_SILENCE_US;
use skylark_core::process::takeover_claim::HOLDER_GRACE_US;
use skylark_core::process::takeover_claim::HeldClaim;
use skylark_core::process::takeover_claim::LATE_EFFECT_US;
use skylark_core::process::takeover_claim::LEASE_US;
use skylark_core::process::takeover_claim::PROMOTE_CALL_US;
use skylark_core::process::takeover_claim::RENEW_US;
use skylark_core::process::takeover_claim::SeenClaim;

fn seen(holder: &str, state: ClaimState, seen_us: u64) -> SeenClaim {
    let holder = holder.to_owned();
    let claim = Claim { holder, token: 7, state, chosen: String::new(), unsettled: false };
    SeenClaim { claim, revision: 40, seen_us }
}

#[test]
fn the_first_claim_has_the_first_token() {
    let step = takeover_claim::next_claim(None, "vm-1", 0, 0);
    assert_eq!(step, ClaimStep::Write { token: 1 });
}

#[test]
fn the_last_driver_goes_first_with_a_higher_token() {
    for state in [ClaimState::Moving, ClaimState::Settled] {
        let seen = seen("vm-1", state, 0);
        let step = takeover_claim::next_claim(Some(&seen), "vm-1", 0, 0);
        assert_eq!(step, ClaimStep::Write { token: 8 });
    }
}

#[test]
fn others_wait_for_the_last_driver() {
    let seen = seen("vm-2", ClaimState::Settled, 0);
    let step = takeover_claim::next_claim(Some(&seen), "vm-1", 500, 600);
    assert_eq!(step, ClaimStep::WaitUntil { at_us: 500 + HOLDER_GRACE_US });
    let step = takeover_claim::next_claim(Some(&seen), "vm-1", 500, 500 + HOLDER_GRACE_US);
    assert_eq!(step, ClaimStep::Write { token: 8 });
}

#[test]
fn active_driver_is_replaced_only_after_its_silence() {
    let seen = seen("vm-2", ClaimState::Moving, 1_000);
    let step = takeover_claim::next_claim(Some(&seen), "vm-1", 0, 2_000);
    assert_eq!(step, ClaimStep::WaitUntil { at_us: 1_000 + DRIVER_SILENCE_US });
}

fn held(unsettled: bool, unsettled_since_us: u64) -> HeldClaim {
    let (holder, state) = ("vm-1".to_owned(), ClaimState::Moving);
    let claim = Claim { holder, token: 7, state, chosen: "a".to_owned(), unsettled };
    HeldClaim { claim, revision: 40, written_us: 0, unsettled_since_us }
}

/// Two drivers promoted targets in turn: the superseded one made its call 15 ms after its
/// successor. A call must be answered or given up before any other process can have taken the
/// claim.
#[test]
fn holder_calls_only_during_its_lease() {
    let held = held(false, 0);
    assert!(held.may_send_promote(LEASE_US - PROMOTE_CALL_US));
    assert!(!held.may_send_promote(LEASE_US - PROMOTE_CALL_US + 1));
    let claim = SeenClaim { claim: held.claim.clone(), revision: 40, seen_us: 0 };
    for now_us in 0..=LEASE_US {
        let step = takeover_claim::next_claim(Some(&claim), "vm-2", 0, now_us);
        assert!(matches!(step, ClaimStep::WaitUntil { .. }));
    }
}

#[test]
fn a_claim_is_renewed_while_a_call_still_fits_into_it() {
    let held = held(false, 0);
    assert!(!held.must_renew(RENEW_US - 1));
    assert!(held.must_renew(RENEW_US));
    assert!(held.may_send_promote(RENEW_US));
}

/// A call without an answer is executed seconds later, after another target was promoted: that
/// target loses its role, and the commits that it acknowledged are lost.
#[test]
fn pending_call_allows_only_the_same_target() {
    let held = held(true, 1_000);
    let late_us = 1_000 + LATE_EFFECT_US;
    assert!(held.may_promote("a", false, 1_000));
    assert!(!held.may_promote("b", false, late_us - 1));
    assert!(held.may_promote("b", false, late_us));
    // The platform refuses the late call because of the higher token.
    assert!(held.may_promote("b", true, 1_000));
}

#[test]
fn successor_claim_keeps_the_pending_call() {
    let held = held(true, 0);
    let next = Claim::next(Some(&held.claim), "vm-2", 8);
    assert_eq!((&*next.chosen, next.unsettled), ("a", true));
    assert_eq!((&*next.holder, next.state), ("vm-2", ClaimState::Moving));
}
