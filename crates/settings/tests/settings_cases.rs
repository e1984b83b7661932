//! Runs the text cases under `tests/cases`, each with a settings file and the expected mistakes.
//!
//! A case is a file `KIND-NAME.case`. It contains the settings, a line `---- mistakes`, and one line for
//! each mistake, or none for valid settings.

use std::fs;
use std::path::Path;

use skylark_settings::Settings;
use skylark_settings::deployment::DeploymentSettings;
use skylark_settings::deployment::Group;
use skylark_settings::proxy::ProxySettings;

const SEPARATOR: &str = "---- mistakes\n";

fn run<S>(name: &str)
where
    S: Settings,
{
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/cases").join(name);
    let case = fs::read_to_string(path).expect("the case can be read");
    let (input, expected) = case.split_once(SEPARATOR).expect("the case has a separator");
    let found = match skylark_settings::parse::<S>(input) {
        Ok(_) => String::new(),
        Err(mistakes) => format!("{mistakes}\n"),
    };
    assert_eq!(found, expected, "mistakes of {name}");
}

macro_rules! cases {
    ($settings:ty: $($name:ident = $file:literal;)+) => {
        $(#[test]
        fn $name() {
            run::<$settings>($file);
        })+
    };
}

cases! { ProxySettings:
    proxy_minimal = "proxy-minimal.case";
    proxy_many_mistakes = "proxy-many-mistakes.case";
    proxy_relations = "proxy-relations.case";
    proxy_not_json = "proxy-not-json.case";
    proxy_empty = "proxy-empty.case";
    proxy_not_an_object = "proxy-not-an-object.case";
}

cases! { DeploymentSettings:
    deployment_names = "deployment-names.case";
    deployment_shapes_and_relations = "deployment-shapes-and-relations.case";
}

cases! { Group:
    group_repeated = "group-repeated.case";
}
