//! Runs cases and writes their slopes as JSON lines or as a Markdown table.

use std::fmt::Write;

use crate::slopes::case::Case;
use crate::slopes::case::Slope;
use crate::slopes::case::Unit;
use crate::slopes::control;
use crate::slopes::measure::Spread;
use crate::slopes::sessions;
use crate::slopes::spread;
use crate::slopes::versions;

/// Every case, or those whose names contain `filter`.
pub fn cases(filter: &str) -> Vec<Case> {
    let all = [versions::CASES, spread::CASES, control::CASES, sessions::CASES];
    all.into_iter().flatten().copied().filter(|case| case.name.contains(filter)).collect()
}

/// The head of the table.
pub const TABLE_HEAD: &str =
    "| slope | what | size | values (min…max) | line |\n|---|---|---|---|---|";

/// A row of the table.
pub fn table_row(slope: &Slope) -> String {
    let mut values = String::new();
    for point in &slope.points {
        let _ = write!(values, "{}: {}; ", point.size, range(point.value, slope.unit));
    }
    let line = slope.line;
    format!(
        "| `{}` | {} | {} | {} | {} + {} × size |",
        slope.name,
        slope.what,
        slope.size_of,
        values.trim_end_matches("; "),
        quantity(line.base, slope.unit),
        quantity(line.slope, slope.unit),
    )
}

fn range(value: Spread, unit: Unit) -> String {
    let median = quantity(value.median, unit);
    if value.min == value.max {
        return median;
    }
    format!("{median} ({}…{})", quantity(value.min, unit), quantity(value.max, unit))
}

/// A quantity with a unit that suits its size.
pub fn quantity(value: f64, unit: Unit) -> String {
    let steps: &[(f64, &str)] = match unit {
        Unit::Ns => &[(1e9, "s"), (1e6, "ms"), (1e3, "µs"), (1.0, "ns")],
        Unit::Us => &[(1e6, "s"), (1e3, "ms"), (1.0, "µs")],
        Unit::Bytes => &[(1e9, "GB"), (1e6, "MB"), (1e3, "KB"), (1.0, "B")],
        Unit::Count => &[(1.0, "")],
    };
    let suits = |step: &&(f64, &str)| value.abs() >= step.0;
    let (scale, name) = steps.iter().find(suits).unwrap_or(&steps[steps.len() - 1]);
    format!("{:.3} {name}", value / scale).trim_end().to_owned()
}
