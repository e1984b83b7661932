//! Formats a comparison of two experiment results as Markdown.

use std::fmt::Write;

use crate::experiment::report;
use crate::experiment::result::Line;
use crate::experiment::result::PhaseResult;
use crate::load::series::OperationSummary;

const US_PER_MS: f64 = 1000.0;

/// Compares the phases and operations that are in both results. Others are omitted.
pub fn markdown(old: &[Line], new: &[Line]) -> String {
    let mut text = String::new();
    let _ = writeln!(text, "| phase | operation | p50 ms | p99 ms | refused |");
    let _ = writeln!(text, "|---|---|---|---|---|");
    for (old_phase, new_phase) in phase_pairs(old, new) {
        for old_operation in &old_phase.operations {
            let same = |it: &&OperationSummary| it.name == old_operation.name;
            if let Some(new_operation) = new_phase.operations.iter().find(same) {
                write_operation(&mut text, old_phase.phase, old_operation, new_operation);
            }
        }
    }
    let _ = writeln!(text, "\n| phase | replicas' share of all reads | of eligible reads |");
    let _ = writeln!(text, "|---|---|---|");
    for (old_phase, new_phase) in phase_pairs(old, new) {
        let (old_reads, new_reads) = (&old_phase.reads, &new_phase.reads);
        let _ = writeln!(
            text,
            "| {} | {} → {} | {} → {} |",
            old_phase.phase,
            report::percent(old_reads.of_all()),
            report::percent(new_reads.of_all()),
            report::percent(old_reads.of_eligible()),
            report::percent(new_reads.of_eligible()),
        );
    }
    let _ = writeln!(text, "\nViolations: {} → {}.", violations(old), violations(new));
    text
}

fn phase_pairs<'a>(old: &'a [Line], new: &'a [Line]) -> Vec<(&'a PhaseResult, &'a PhaseResult)> {
    let new_phases = phases(new);
    phases(old)
        .into_iter()
        .filter_map(|old_phase| {
            let same = |it: &&&PhaseResult| it.phase == old_phase.phase;
            Some((old_phase, *new_phases.iter().find(same)?))
        })
        .collect()
}

fn phases(lines: &[Line]) -> Vec<&PhaseResult> {
    lines
        .iter()
        .filter_map(|line| match line {
            Line::Phase(phase) => Some(phase),
            _ => None,
        })
        .collect()
}

fn write_operation(
    text: &mut String,
    phase: usize,
    old: &OperationSummary,
    new: &OperationSummary,
) {
    let change = |old_us: u64, new_us: u64| {
        let ratio = new_us as f64 / old_us.max(1) as f64;
        let (old_ms, new_ms) = (old_us as f64 / US_PER_MS, new_us as f64 / US_PER_MS);
        format!("{old_ms:.1} → {new_ms:.1} (×{ratio:.2})")
    };
    let _ = writeln!(
        text,
        "| {phase} | {} | {} | {} | {} → {} |",
        old.name,
        change(old.answered.p50_us, new.answered.p50_us),
        change(old.answered.p99_us, new.answered.p99_us),
        old.offered - old.answered.count,
        new.offered - new.answered.count,
    );
}

fn violations(lines: &[Line]) -> u64 {
    lines
        .iter()
        .map(|line| match line {
            Line::Verdict(verdict) => verdict.violations.values().sum(),
            _ => 0,
        })
        .sum()
}
