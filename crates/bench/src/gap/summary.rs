//! The figures of all runs of one scenario as a Markdown table row.

use std::fmt::Write;

use crate::gap::phases::Phases;
use crate::gap::scenario::Scenario;
use crate::gap::trial::Trial;
use crate::history::checker::Verdict;
use crate::slopes::measure::Spread;

const US_PER_MS: f64 = 1000.0;

/// The header rows of the Markdown table.
pub const TABLE_HEAD: &str = "| scenario | runs | gap ms: min / median / max | longest without an acknowledgement ms: median / max | median ms: detect / agree / fence / promote / \
     route | operations checked | acknowledged writes | violations |\n|---|---|---|---|---|---|---|---|";

/// Formats the runs of a scenario as a row of the table. Returns `None` without runs.
pub fn table_row(scenario: Scenario, trials: &[Trial]) -> Option<String> {
    if trials.is_empty() {
        return None;
    }
    let gap = Spread::of(trials.iter().map(|it| it.gap_us as f64 / US_PER_MS).collect());
    let longest = Spread::of(trials.iter().map(|it| it.longest_us as f64 / US_PER_MS).collect());
    let mut verdict = Verdict::default();
    trials.iter().for_each(|trial| verdict.add(&trial.verdict));
    Some(format!(
        "| {} | {} | {:.0} / {:.0} / {:.0} | {:.0} / {:.0} | {} | {} | {} | {} |",
        scenario.name(),
        trials.len(),
        gap.min,
        gap.median,
        gap.max,
        longest.median,
        longest.max,
        phase_medians(trials),
        verdict.operations,
        verdict.acknowledged,
        verdict.violations.len(),
    ))
}

fn phase_medians(trials: &[Trial]) -> String {
    let known: Vec<Phases> = trials.iter().filter_map(|trial| trial.phases).collect();
    if known.is_empty() {
        return "not shown by the decisions".to_owned();
    }
    let parts: [fn(&Phases) -> u64; 5] = [
        |it| it.detect_us,
        |it| it.agree_us,
        |it| it.fence_us,
        |it| it.promote_us,
        |it| it.route_us,
    ];
    let mut text = String::new();
    for (index, part) in parts.into_iter().enumerate() {
        let values = known.iter().map(|phases| part(phases) as f64 / US_PER_MS).collect();
        let separator = if index == 0 { "" } else { " / " };
        let _ = write!(text, "{separator}{:.1}", Spread::of(values).median);
    }
    if known.len() < trials.len() {
        let _ = write!(text, " (of {} runs)", known.len());
    }
    text
}
