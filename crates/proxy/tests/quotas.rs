//! What a VM grants of limits when the list of VMs changes.

use std::sync::Arc;

use skylark_core::process::quota::QuotaTolerance;
use skylark_core::version::organisations::RateLimit;
use skylark_proxy::process::clock::MonotonicClock;
use skylark_proxy::sessions::process::quota::Quotas;
use skylark_proxy::sessions::store::VmAddress;

const LIMIT: RateLimit = RateLimit { rate_milli_per_s: 50_000, burst_milli: 50_000 };

fn vm(name: &str) -> VmAddress {
    let peer_address = "127.0.0.1:1".parse().expect("it is an address");
    VmAddress { name: name.into(), zone: "zone-1".into(), peer_address }
}

/// A VM grants a part of a limit. The list changes twice with nothing granted in between: the VM stays an allocator,
/// then it is none. It keeps no bucket: its successor grants that part, and a bucket that was kept would grant it a
/// second time should this VM come back.
#[test]
fn a_former_allocator_drops_its_bucket() {
    let own: Arc<str> = "vm-1".into();
    let tolerance = QuotaTolerance { window_ms: 5_000, excess_milli: 100, slack: 20 };
    let clock = MonotonicClock::start();
    let quotas = Quotas::new(&own, &"zone-1".into(), tolerance, clock, &Arc::default());
    quotas.set_vms(&[vm("vm-1")]);
    assert!(quotas.grant(&"lake".into(), LIMIT, 1).is_some());
    quotas.set_vms(&[vm("vm-1"), vm("vm-2")]);
    assert_eq!(quotas.usage().len(), 1);
    quotas.set_vms(&[vm("vm-2"), vm("vm-3")]);
    assert_eq!(quotas.usage(), []);
}
