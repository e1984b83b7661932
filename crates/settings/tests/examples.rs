//! Checks that the files under `examples/` are valid and that their deployments have the expected size.
//! Guards against changes of the schema that break the files that operators copy.

use std::path::Path;

use skylark_core::version::objects::Snapshot;
use skylark_core::version::objects::StoredObject;
use skylark_core::version::topology::Topology;
use skylark_settings::Settings;
use skylark_settings::deployment::DeploymentSettings;
use skylark_settings::proxy::ProxySettings;

fn load<S>(name: &str) -> S
where
    S: Settings,
{
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    skylark_settings::load(&path).unwrap_or_else(|error| panic!("{name}:\n{error}"))
}

/// Returns the topology that every proxy builds from a platform with the deployment's initial objects.
fn topology(settings: &DeploymentSettings) -> Topology {
    let stored = settings.seed_objects().into_iter().zip(1..).map(|(object, version)| {
        let (kind, name, body) = (object.kind, object.name, object.body);
        StoredObject { kind, name, version, deleted: false, body }
    });
    let objects: Vec<StoredObject> = stored.collect();
    let revision = objects.len() as u64;
    Topology::build(&Snapshot { revision, objects, vms: settings.vm_records() })
}

macro_rules! deployments {
    ($($name:ident: $file:literal, $vms:literal VMs, $connections:literal connections, $cost:literal ms;)+) => {
        $(#[test]
        fn $name() {
            let settings: DeploymentSettings = load($file);
            let topology = topology(&settings);
            assert_eq!(topology.problems, []);
            assert_eq!(topology.zones.len(), 3);
            assert_eq!(topology.vms.len(), $vms);
            assert_eq!(topology.groups.len(), 3);
            for group in &topology.groups {
                assert_eq!(group.members.len(), 3);
            }
            for target in &topology.targets {
                assert_eq!((target.slots, target.connections), (2, $connections));
            }
            let members = settings.groups.iter().flat_map(|group| &group.members);
            assert!(members.into_iter().all(|member| member.connect_cost_ms == $cost));
        })+
    };
}

deployments! {
    sfax: "sfax.jsonc", 6 VMs, 16 connections, 10 ms;
    mittelland: "mittelland.jsonc", 8 VMs, 32 connections, 30 ms;
}

/// Checks that the settings of a proxy agree with those of its VM in the deployment of Sfax.
fn check_proxy(file: &str, vm: &str) {
    let proxy: ProxySettings = load(file);
    let sfax: DeploymentSettings = load("sfax.jsonc");
    assert_eq!(proxy.vm, vm);
    let vm = sfax.vms.iter().find(|vm| vm.vm == proxy.vm).expect("the VM belongs to Sfax");
    assert_eq!(vm.zone, proxy.zone);
    assert_eq!(vm.listen_address, proxy.listen_address);
    assert_eq!(vm.control_address, proxy.control_address);
    assert_eq!(sfax.platform_address, proxy.platform_address);
    let others = sfax.vms.iter().filter(|other| other.vm != vm.vm);
    let others: Vec<_> = others.map(|other| other.control_address).collect();
    assert!(proxy.peers.iter().all(|peer| others.contains(peer)));
}

#[test]
fn proxies_belong_to_sfax() {
    check_proxy("proxy.jsonc", "sfax-1");
    for number in 1..=6 {
        check_proxy(&format!("sfax/sfax-{number}.jsonc"), &format!("sfax-{number}"));
    }
}
