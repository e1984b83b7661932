//! Who may drive a takeover.

use skylark_core::process::takeover_claim;
use skylark_core::process::takeover_claim::Claim;
use skylark_core::process::takeover_claim::ClaimState;
use skylark_core::process::takeover_claim::ClaimStep;
use skylark_core::process::takeover_claim::DRIVER_SILENCE_US;
use skylark_core::process::takeover_claim::HOLDER_GRACE_US;
use skylark_core::process::takeover_claim::SeenClaim;

fn seen(holder: &str, state: ClaimState, seen_us: u64) -> SeenClaim {
    let claim = Claim { holder: holder.to_owned(), token: 7, state, chosen: String::new() };
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
fn others_leave_it_to_the_last_driver_for_a_moment() {
    let seen = seen("vm-2", ClaimState::Settled, 0);
    let step = takeover_claim::next_claim(Some(&seen), "vm-1", 500, 600);
    assert_eq!(step, ClaimStep::LeaveUntil { at_us: 500 + HOLDER_GRACE_US });
    let step = takeover_claim::next_claim(Some(&seen), "vm-1", 500, 500 + HOLDER_GRACE_US);
    assert_eq!(step, ClaimStep::Write { token: 8 });
}

#[test]
fn a_driver_at_work_is_disturbed_only_once_it_counts_as_gone() {
    let seen = seen("vm-2", ClaimState::Moving, 1_000);
    let step = takeover_claim::next_claim(Some(&seen), "vm-1", 0, 2_000);
    assert_eq!(step, ClaimStep::LeaveUntil { at_us: 1_000 + DRIVER_SILENCE_US });
}
