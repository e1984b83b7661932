//! Prints the tables of `docs/operators/settings.md`.
//!
//! Usage: `cargo run -p skylark-settings --example settings_reference`

use std::io;
use std::io::Write;

use skylark_settings::reference;

fn main() -> io::Result<()> {
    io::stdout().write_all(reference::all().as_bytes())
}
