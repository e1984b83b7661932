//! A cost and the size that it grows with.

use serde::Deserialize;
use serde::Serialize;

use crate::slopes::line::Line;
use crate::slopes::measure::Spread;

/// What is measured, and in which unit.
#[derive(Clone, Copy, PartialEq, Eq, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Unit {
    /// Nanoseconds.
    Ns,
    /// Microseconds.
    Us,
    /// Bytes.
    Bytes,
    /// A number of things.
    Count,
}

/// One cost.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// The name, by which a case is chosen.
    pub name: &'static str,
    /// What is measured.
    pub what: &'static str,
    /// What the size counts.
    pub size_of: &'static str,
    /// The sizes.
    pub sizes: &'static [u64],
    /// The unit of the values.
    pub unit: Unit,
    /// Measures at one size.
    pub run: fn(u64) -> Spread,
}

/// A value at one size.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct Point {
    /// The size.
    pub size: u64,
    /// What was measured there.
    pub value: Spread,
}

/// A case's values and the line through their medians.
#[derive(Clone, PartialEq, Debug, Serialize, Deserialize)]
pub struct Slope {
    /// The case's name.
    pub name: String,
    /// What is measured.
    pub what: String,
    /// What the size counts.
    pub size_of: String,
    /// The unit.
    pub unit: Unit,
    /// The values.
    pub points: Vec<Point>,
    /// The line.
    pub line: Line,
}

impl Case {
    /// Measures at all sizes.
    pub fn measure(&self) -> Slope {
        let points: Vec<Point> =
            self.sizes.iter().map(|&size| Point { size, value: (self.run)(size) }).collect();
        let medians: Vec<(f64, f64)> =
            points.iter().map(|point| (point.size as f64, point.value.median)).collect();
        Slope {
            name: self.name.to_owned(),
            what: self.what.to_owned(),
            size_of: self.size_of.to_owned(),
            unit: self.unit,
            points,
            line: Line::through(&medians),
        }
    }
}
