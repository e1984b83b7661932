//! Checks that the tables in the operators' settings page match the keys that the settings accept. They
//! differ if a key or its documentation changes and the page is not generated again.

use std::fs;
use std::path::Path;

use skylark_settings::reference;

/// The line before the tables in the page.
const MARKER: &str = "<!-- tables -->\n";

#[test]
fn page_matches_the_keys() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/settings.md");
    let page = fs::read_to_string(page).expect("the page can be read");
    let (_, tables) = page.split_once(MARKER).expect("the page has the marker");
    let hint = "put the output of `cargo run -p skylark-settings --example settings_reference` \
                after the marker";
    assert_eq!(tables.trim_start(), reference::all(), "{hint}");
}
