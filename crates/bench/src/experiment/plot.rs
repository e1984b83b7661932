//! Draws an experiment result as an SVG plot: p99 latency by operation, and the percentages of reads at
//! replicas and of refused operations over time.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::experiment::result::Line;

const SIZE: (u32, u32) = (960, 640);
const UPPER_HEIGHT: u32 = 340;
const MARGIN: u32 = 12;
const CAPTION: (&str, u32) = ("sans-serif", 16);
const LABEL_AREA: u32 = 48;
const US_PER_MS: f64 = 1000.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Points = Vec<(f64, f64)>;

/// Draws a result into an SVG file.
///
/// # Errors
///
/// Returns an error if the plot can't be drawn or the file can't be written.
pub fn draw(lines: &[Line], path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(UPPER_HEIGHT);
    draw_latency(&upper, lines)?;
    draw_reads(&lower, lines)?;
    root.present()?;
    Ok(())
}

fn draw_latency(area: &Area<'_>, lines: &[Line]) -> Result<(), Box<dyn Error>> {
    let mut by_operation: BTreeMap<&str, Points> = BTreeMap::new();
    for line in lines {
        let Line::Second(second) = line else { continue };
        if second.answered.count > 0 {
            let p99_ms = (second.answered.p99_us as f64 / US_PER_MS).max(0.1);
            let points = by_operation.entry(&second.operation).or_default();
            points.push((second.second as f64, p99_ms));
        }
    }
    let highest = by_operation.values().flatten().map(|(_, ms)| *ms).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption("p99 by operation, ms (logarithmic), over seconds", CAPTION)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..seconds(lines), (0.1..highest * 1.2).log_scale())?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (index, (name, points)) in by_operation.into_iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}

fn draw_reads(area: &Area<'_>, lines: &[Line]) -> Result<(), Box<dyn Error>> {
    let mut share = Points::new();
    let mut refused: BTreeMap<u64, (u64, u64)> = BTreeMap::new();
    for line in lines {
        match line {
            Line::Reads(second) => {
                share
                    .extend(second.reads.of_all().map(|part| (second.second as f64, part * 100.0)));
            }
            Line::Second(second) => {
                let sums = refused.entry(second.second).or_default();
                sums.0 += second.offered;
                sums.1 += second.refused;
            }
            _ => {}
        }
    }
    let refused: Points = refused
        .into_iter()
        .map(|(second, (offered, count))| (second as f64, 100.0 * count as f64 / offered as f64))
        .collect();
    let mut chart = ChartBuilder::on(area)
        .caption("declared reads at replicas, and operations refused, percent", CAPTION)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..seconds(lines), 0.0..105.0)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (name, points, color) in [("reads at replicas", share, BLUE), ("refused", refused, RED)] {
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    Ok(())
}

fn seconds(lines: &[Line]) -> f64 {
    let of = |line: &Line| match line {
        Line::Second(second) => second.second,
        Line::Reads(second) => second.second,
        _ => 0,
    };
    lines.iter().map(of).max().unwrap_or(0) as f64 + 1.0
}
