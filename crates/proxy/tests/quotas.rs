//! Rate limit quotas that a VM grants when the list of VMs changes.

use std::sync::Arc;

use skylark_core::process::quota::QuotaTolerance;
use skylark_core::version::organisations::RateLimit;
use skylark_proxy::process::clock::MonotonicClock;
use skylark_proxy::sessions::process::quota::Quotas;
use skylark_proxy::sessions::store::VmAddress;

const LIMIT: RateLimit = RateLimit { rate_milli_per_s: 50_000, burst_milli: 50_000 };

fn vm(name: &str) -> VmAddress {
    let peer_address = "127.0.0.1:1".parse().expect("the address is valid");
    VmAddress {
        name: name.into(),
        zone: "zone-1".into(),
        peer_address,
        link_mbps: 0,
        admits_by_class: false,
    }
}

/// A VM allocates a part of a rate limit. The VM list then changes twice without a grant in between: the VM
/// is still an allocator after the first change, but not after the second. It has to drop its token bucket,
/// since its successor now grants that part: a kept bucket would grant it a second time if this VM became an
/// allocator again.
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
