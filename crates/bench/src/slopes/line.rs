//! The least-squares line through measured points.

use serde::Deserialize;
use serde::Serialize;

/// `base + slope × size`.
#[derive(Clone, Copy, PartialEq, Debug, Serialize, Deserialize)]
pub struct Line {
    /// The value at size zero.
    pub base: f64,
    /// The growth for each unit of size.
    pub slope: f64,
}

impl Line {
    /// The line through points of size and value, of which two at least have different sizes.
    pub fn through(points: &[(f64, f64)]) -> Line {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|(size, _)| size).sum::<f64>() / count;
        let mean_value = points.iter().map(|(_, value)| value).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        assert!(spread > 0.0, "a line needs two sizes");
        let joint: f64 =
            points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let slope = joint / spread;
        Line { base: mean_value - slope * mean_size, slope }
    }

    /// The value at a size.
    pub fn at(&self, size: f64) -> f64 {
        self.base + self.slope * size
    }
}
