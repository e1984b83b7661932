//! Reports: a Markdown table of means over seeds, and an SVG plot of the miss rate against a target's
//! connection limit.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

use crate::connection_cache::STRATEGIES;
use crate::connection_cache::Setup;
use crate::connection_cache::Strategy;
use crate::connection_cache::simulation;
use crate::connection_cache::simulation::Outcome;

const SIZE: (u32, u32) = (960, 480);
const MARGIN: u32 = 12;
const CAPTION: (&str, u32) = ("sans-serif", 16);
const LABEL_AREA: u32 = 48;

/// The connection limits of a target on the x axis of the plot.
const PLOTTED_CONNECTIONS: [u32; 11] = [8, 16, 24, 32, 40, 48, 56, 64, 72, 80, 88];

/// The header rows of the Markdown table.
pub const TABLE_HEAD: &str = "\
| strategy | misses (least to most) | refused | mean wait, ms | replaced, a second | opening: primary, replicas | busier replica |
|---|---|---|---|---|---|---|";

/// Runs the simulation once for each seed in `0..seeds`.
pub fn outcomes(setup: &Setup, strategy: Strategy, seeds: u64) -> Vec<Outcome> {
    (0..seeds).map(|seed| simulation::run(setup, strategy, seed)).collect()
}

/// Formats a strategy's outcomes as a row of the table.
pub fn table_row(strategy: Strategy, outcomes: &[Outcome]) -> String {
    let percent = |field: fn(&Outcome) -> f64| format!("{:.1} %", 100.0 * mean(outcomes, field));
    let misses = || outcomes.iter().map(|outcome| 100.0 * outcome.misses);
    format!(
        "| {} | {} ({:.1} to {:.1}) | {} | {:.1} | {:.1} | {}, {} | {:.2} |",
        strategy.name,
        percent(|outcome| outcome.misses),
        misses().fold(f64::INFINITY, f64::min),
        misses().fold(0.0, f64::max),
        percent(|outcome| outcome.refused),
        mean(outcomes, |outcome| outcome.mean_wait_us) / 1_000.0,
        mean(outcomes, |outcome| outcome.replaced_per_s),
        percent(|outcome| outcome.opening_at_primary),
        percent(|outcome| outcome.opening_at_replicas),
        mean(outcomes, |outcome| outcome.imbalance),
    )
}

/// Returns the mean of one field over all outcomes, or 0 without outcomes.
pub fn mean(outcomes: &[Outcome], field: fn(&Outcome) -> f64) -> f64 {
    outcomes.iter().map(field).sum::<f64>() / outcomes.len().max(1) as f64
}

/// Plots the miss rate of each strategy against a target's connection limit into an SVG file.
///
/// # Errors
///
/// Returns an error if the plot can't be drawn or the file can't be written.
pub fn draw(setup: &Setup, seeds: u64, path: &Path) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let max_connections = f64::from(PLOTTED_CONNECTIONS[PLOTTED_CONNECTIONS.len() - 1]);
    let mut chart = ChartBuilder::on(&root)
        .caption("statements without a connection of their organisation, percent, over connections of a target", CAPTION)
        .margin(MARGIN)
        .x_label_area_size(LABEL_AREA / 2)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..max_connections, 0.0..100.0)?;
    chart.configure_mesh().disable_x_mesh().draw()?;
    for (index, strategy) in STRATEGIES.into_iter().enumerate() {
        let points = PLOTTED_CONNECTIONS.map(|connections| {
            let outcomes = outcomes(&Setup { connections, ..*setup }, strategy, seeds);
            (f64::from(connections), 100.0 * mean(&outcomes, |outcome| outcome.misses))
        });
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(strategy.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
    root.present()?;
    Ok(())
}
