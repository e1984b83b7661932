//! Reports: text tables of the figures of all seeds together, and an SVG plot of the share served within the
//! objective against the load factor.

use std::error::Error;
use std::fmt;
use std::path::Path;

use plotters::prelude::*;

use crate::admission::Arrangement;
use crate::admission::CLASSES;
use crate::admission::Setup;
use crate::admission::TAKE_OVER_US;
use crate::admission::load;
use crate::admission::outcome::Outcome;
use crate::admission::simulation;

const SIZE: (u32, u32) = (960, 900);
const MARGIN: u32 = 12;
const CAPTION: (&str, u32) = ("sans-serif", 16);
const LABEL_AREA: u32 = 48;

/// The head of the table of classes. Percentages are of all requests, and `ref/unsrv` is the number of refusals for
/// each request that was not served. `none` are requests without an answer within the time limit, `at once` is the
/// highest number of statements at the target, and `least org` is the served part of the requests of the
/// organisation for which it is lowest.
const HEAD: &str = "\
arrangement               load class requests in time% late % refused% none % ref/unsrv   p50 ms   p99 ms at once rejected least org";

/// The head of the table of recovery.
const RECOVERY_HEAD: &str = "
served within objective around the loss of the admitting VM, percent, all classes
 load  level before    until taken second from then on  second after";

const US_PER_MS: f64 = 1e3;
const US_PER_S: u64 = 1_000_000;

/// The outcome of an arrangement at a load factor.
#[derive(Clone, PartialEq, Debug)]
pub struct Cell {
    /// The arrangement.
    pub arrangement: Arrangement,
    /// The offered load relative to what the target's slots can run.
    pub factor: f64,
    /// The figures of all seeds together.
    pub outcome: Outcome,
}

/// The outcomes of all arrangements at several load factors.
#[derive(Clone, PartialEq, Debug)]
pub struct Report {
    /// The parameters of all runs.
    pub setup: Setup,
    /// The outcomes, by arrangement and load factor.
    pub cells: Vec<Cell>,
}

impl Report {
    /// Runs each arrangement at each load factor, once for each seed in `0..seeds`. All arrangements get the
    /// same requests.
    pub fn run(setup: Setup, factors: &[f64], seeds: u64) -> Report {
        let mut cells: Vec<Cell> = Vec::new();
        for arrangement in Arrangement::ALL {
            let empty = Outcome::new(setup.organisations);
            cells.extend(factors.iter().map(|factor| Cell {
                arrangement,
                factor: *factor,
                outcome: empty.clone(),
            }));
        }
        for (index, factor) in factors.iter().enumerate() {
            for seed in 0..seeds {
                let requests = load::draw(&setup, *factor, seed);
                for cell in cells.iter_mut().skip(index).step_by(factors.len()) {
                    cell.outcome.add(&simulation::run(&setup, cell.arrangement, &requests));
                }
            }
        }
        Report { setup, cells }
    }

    /// Plots the shares served within the objective into an SVG file.
    ///
    /// # Errors
    ///
    /// Returns an error if the plot can't be drawn or the file can't be written.
    pub fn draw(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        let root = SVGBackend::new(path, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let highest = self.cells.iter().map(|cell| cell.factor).fold(0.0, f64::max);
        for (class, area) in root.split_evenly((CLASSES.len(), 1)).iter().enumerate() {
            let caption = format!("class {class}: served within objective, percent, over the load");
            let mut chart = ChartBuilder::on(area)
                .caption(caption, CAPTION)
                .margin(MARGIN)
                .x_label_area_size(LABEL_AREA / 2)
                .y_label_area_size(LABEL_AREA)
                .build_cartesian_2d(0.0..highest, 0.0..105.0)?;
            chart.configure_mesh().disable_x_mesh().draw()?;
            for (index, arrangement) in Arrangement::ALL.into_iter().enumerate() {
                let cells = self.cells.iter().filter(|cell| cell.arrangement == arrangement);
                let points = cells.map(|Cell { factor, outcome, .. }| {
                    let class = &outcome.classes[class];
                    (*factor, 100.0 * class.share(class.in_time))
                });
                let color = Palette99::pick(index).to_rgba();
                let style = color.stroke_width(2);
                chart
                    .draw_series(LineSeries::new(points, style))?
                    .label(arrangement.name())
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
            }
            chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        }
        root.present()?;
        Ok(())
    }

    fn write_classes(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{HEAD}")?;
        for Cell { arrangement, factor, outcome } in &self.cells {
            for (index, class) in outcome.classes.iter().enumerate() {
                let percent = |count| 100.0 * class.share(count);
                let wait_ms = |part| class.waits_us.value_at_quantile(part) as f64 / US_PER_MS;
                writeln!(
                    f,
                    "{:<24} {:>5} {:>5} {:>8} {:>8.2} {:>6.2} {:>8.2} {:>6.2} {:>9} {:>8.1} {:>8.1} {:>7} {:>8} {:>9}",
                    arrangement.name(),
                    factor,
                    index,
                    class.offered,
                    percent(class.in_time),
                    percent(class.late),
                    percent(class.refused),
                    percent(class.unanswered),
                    optional(class.refusals_per_unserved()),
                    wait_ms(0.5),
                    wait_ms(0.99),
                    outcome.highest_running,
                    outcome.rejected,
                    optional(class.least_served().map(|share| 100.0 * share)),
                )?;
            }
        }
        Ok(())
    }

    /// The level before is taken a second earlier, since the loss concerns requests that arrived shortly before.
    fn write_recovery(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lost_us = self.setup.lost_us();
        let taken_over_us = lost_us + TAKE_OVER_US;
        writeln!(f, "{RECOVERY_HEAD}")?;
        let lost = |cell: &&Cell| cell.arrangement == Arrangement::OneAdmitsAndIsLost;
        for Cell { factor, outcome, .. } in self.cells.iter().filter(lost) {
            let percent = |from_us, until_us| {
                format!("{:.2}", 100.0 * outcome.arrived_between(from_us, until_us).share())
            };
            writeln!(
                f,
                "{:>5} {:>13} {:>14} {:>19} {:>13}",
                factor,
                percent(lost_us - 2 * US_PER_S, lost_us - US_PER_S),
                percent(lost_us, taken_over_us),
                percent(taken_over_us, taken_over_us + US_PER_S),
                percent(taken_over_us + US_PER_S, taken_over_us + 2 * US_PER_S),
            )?;
        }
        Ok(())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_classes(f)?;
        self.write_recovery(f)
    }
}

fn optional(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.2}"))
}
