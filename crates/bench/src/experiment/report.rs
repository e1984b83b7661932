//! Formats an experiment result as Markdown.

use std::fmt::Write;

use crate::experiment::reads::ReplicaShare;
use crate::experiment::result::Line;
use crate::experiment::result::PhaseResult;

const US_PER_MS: f64 = 1000.0;

/// Formats a result as Markdown. `plot` is the path of the plot image to link, relative to the report.
pub fn markdown(lines: &[Line], plot: &str) -> String {
    let mut text = String::new();
    for line in lines {
        match line {
            Line::Experiment { name, seed, load_average } => {
                let _ = writeln!(text, "# {name}\n");
                let _ = writeln!(
                    text,
                    "Seed {seed}; load average before the run {load_average}.\n\n![]({plot})\n"
                );
                let _ = writeln!(
                    text,
                    "| phase | operation | offered | answered | p50 ms | p99 ms | max ms | refused |"
                );
                let _ = writeln!(text, "|---|---|---|---|---|---|---|---|");
            }
            Line::Phase(phase) => write_phase(&mut text, phase),
            Line::Second(_) | Line::Reads(_) => {}
            Line::Counters { counters } => {
                let _ = writeln!(text, "\n## Counters of the proxies\n");
                for (name, increase) in counters {
                    let _ = writeln!(text, "- `{name}`: {increase}");
                }
            }
            Line::Verdict(verdict) => {
                let _ = writeln!(
                    text,
                    "\n## Checker\n\n{} operations checked: {} acknowledged writes, {} reads after \
                     a write of their own, {} writes refused as not run, {} of unknown outcome.",
                    verdict.operations,
                    verdict.acknowledged,
                    verdict.reads_after_write,
                    verdict.not_run,
                    verdict.unknown
                );
                match verdict.violations.is_empty() {
                    true => text.push_str("No violation.\n"),
                    false => {
                        let _ = writeln!(text, "Violations: {:?}.", verdict.violations);
                    }
                }
            }
        }
    }
    write_shares(&mut text, lines);
    text
}

fn write_phase(text: &mut String, phase: &PhaseResult) {
    let kind = if phase.surge { ", surge" } else { "" };
    for operation in &phase.operations {
        let answered = &operation.answered;
        let refused: Vec<String> =
            operation.refused.iter().map(|(reason, count)| format!("{reason}: {count}")).collect();
        let _ = writeln!(
            text,
            "| {} ({}/s{kind}) | {} | {} | {} | {:.1} | {:.1} | {:.1} | {} |",
            phase.phase,
            phase.per_s,
            operation.name,
            operation.offered,
            answered.count,
            answered.p50_us as f64 / US_PER_MS,
            answered.p99_us as f64 / US_PER_MS,
            answered.max_us as f64 / US_PER_MS,
            refused.join(", "),
        );
    }
}

fn write_shares(text: &mut String, lines: &[Line]) {
    let _ = writeln!(text, "\n## Declared reads\n");
    let _ = writeln!(text, "| phase | reads | at replicas | of eligible reads | by reason |");
    let _ = writeln!(text, "|---|---|---|---|---|");
    for line in lines {
        let Line::Phase(phase) = line else { continue };
        let reads = &phase.reads;
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} |",
            phase.phase,
            reads.reads,
            percent(reads.of_all()),
            percent(reads.of_eligible()),
            reasons(reads),
        );
    }
}

fn reasons(reads: &ReplicaShare) -> String {
    let each: Vec<String> =
        reads.by_reason.iter().map(|(reason, count)| format!("{reason}: {count}")).collect();
    each.join(", ")
}

/// Formats a fraction in percent, or `None` as a dash.
pub fn percent(share: Option<f64>) -> String {
    share.map_or("-".to_owned(), |share| format!("{:.2}%", share * 100.0))
}
