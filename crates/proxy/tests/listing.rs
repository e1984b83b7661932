//! Differences between VM lists: applied to the old list, they yield the new one.

use std::collections::BTreeMap;

use quickcheck::quickcheck;
use skylark_core::store_revision::StoreRevision;
use skylark_core::version::list_digest::ListDigest;
use skylark_proxy::sessions::process::feed::listing::VmList;
use skylark_proxy::sessions::store::VmAddress;

/// Returns a list of the VMs, given as a map from VM number to port.
fn list(revision: u64, vms: &BTreeMap<u8, u16>) -> VmList {
    let vm = |(name, port): (&u8, &u16)| VmAddress {
        name: format!("vm-{name}").into(),
        zone: "zone-1".into(),
        peer_address: ([127, 0, 0, 1], *port).into(),
        link_mbps: 0,
        admits_by_class: false,
    };
    VmList::new(StoreRevision::new(0, revision), vms.iter().map(vm).collect())
}

quickcheck! {
    fn changes_transform_a_list_into_the_next(before: BTreeMap<u8, u16>, after: BTreeMap<u8, u16>) -> bool {
        let (before, after) = (list(4, &before), list(9, &after));
        before.with(before.changes_to(&after)) == after
    }

    /// A subscriber sends the digest of its list, and replaces the buckets that differ.
    fn buckets_transform_a_list_into_the_next(before: BTreeMap<u8, u16>, after: BTreeMap<u8, u16>) -> bool {
        let (before, after) = (list(4, &before), list(9, &after));
        let text = before.digest().to_text();
        let Some(known) = ListDigest::parse(&text) else { return false };
        let buckets = after.in_buckets(after.digest().differing(&known));
        let is_empty = buckets.buckets.is_empty();
        is_empty == (before.entries == after.entries) && before.with_buckets(buckets) == after
    }

    /// A difference contains only the added or changed VM, so that the update of a large fleet stays small.
    fn unchanged_vms_are_not_sent(vms: BTreeMap<u8, u16>, name: u8, port: u16) -> bool {
        let before = list(4, &vms);
        let mut next = vms.clone();
        let is_new = next.insert(name, port) != Some(port);
        let changes = before.changes_to(&list(9, &next));
        changes.gone.is_empty() && changes.listed.len() == usize::from(is_new)
    }
}
