//! What changed between two lists of VMs leads from the one to the other, whatever they hold.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use skylark_proxy::sessions::process::feed::listing::VmList;
use skylark_proxy::sessions::store::VmAddress;

/// A list with these VMs, each at a port.
fn list(revision: u64, vms: &BTreeMap<u8, u16>) -> VmList {
    let vm = |(name, port): (&u8, &u16)| VmAddress {
        name: format!("vm-{name}").into(),
        zone: "zone-1".into(),
        peer_address: ([127, 0, 0, 1], *port).into(),
    };
    VmList::new(revision, vms.iter().map(vm).collect())
}

quickcheck! {
    fn changes_transform_a_list_into_the_next(before: BTreeMap<u8, u16>, after: BTreeMap<u8, u16>) -> bool {
        let (before, after) = (list(4, &before), list(9, &after));
        before.with(before.changes_to(&after)) == after
    }

    /// Hundreds of VMs are told of one that came without being sent the others again.
    fn unchanged_vms_are_not_sent(vms: BTreeMap<u8, u16>, name: u8, port: u16) -> bool {
        let before = list(4, &vms);
        let mut next = vms.clone();
        let is_new = next.insert(name, port) != Some(port);
        let changes = before.changes_to(&list(9, &next));
        changes.gone.is_empty() && changes.listed.len() == usize::from(is_new)
    }
}
