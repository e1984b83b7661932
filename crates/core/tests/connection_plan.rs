//! Who connects to a target.

use quickcheck::QuickCheck;
use skylark_core::process::connection_plan;
use skylark_core::process::connection_plan::ConnectionPlan;
use skylark_core::process::connection_plan::HOMES;

macro_rules! plans {
    ($($name:ident: $connections:literal, $vms:literal => $plan:pat,)*) => {
        $(#[test]
        fn $name() {
            let plan = connection_plan::plan($connections, $vms);
            assert!(matches!(plan, $plan), "{plan:?}");
        })*
    };
}

plans! {
    the_small_site_of_sfax_connects: 16, 6 => ConnectionPlan::Direct { primary: 2, replica: 1 },
    with_its_spare_vms_too: 16, 9 => ConnectionPlan::Direct { .. },
    the_small_site_of_mittelland_connects: 32, 8 => ConnectionPlan::Direct { primary: 4, replica: 2 },
    the_grown_site_of_sfax_has_homes: 26, 86 => ConnectionPlan::Homes { share: 4 },
    the_grown_site_of_mittelland_has_homes: 98, 68 => ConnectionPlan::Homes { share: 18 },
    a_vm_that_knows_no_other_connects: 16, 0 => ConnectionPlan::Direct { .. },
}

#[test]
fn homes_never_pass_a_targets_connections() {
    fn property(connections: u16, vms: u16) -> bool {
        match connection_plan::plan(u32::from(connections), usize::from(vms)) {
            ConnectionPlan::Direct { .. } => true,
            ConnectionPlan::Homes { share } => {
                share == 1 || share * HOMES as u32 <= u32::from(connections)
            }
        }
    }
    QuickCheck::new().quickcheck(property as fn(u16, u16) -> bool);
}
