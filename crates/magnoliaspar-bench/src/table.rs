//! Renders reports as Markdown tables.

use std::fmt::Write;

use crate::report::Report;

/// Renders reports as one Markdown table per deployment.
pub fn table(reports: &[Report]) -> String {
    let mut text = String::new();
    let mut deployment = "";
    for report in reports {
        if *report.deployment != *deployment {
            deployment = &report.deployment;
            push_header(&mut text, deployment);
        }
        push_row(&mut text, report);
    }
    text
}

/// Maximum number of violations that are shown per run.
const MAX_VIOLATIONS: usize = 3;

/// The column headers. `kt` stands for thousands of wasted prefill tokens.
const COLUMNS: [&str; 16] = [
    "scenario",
    "policy",
    "offered",
    "goodput",
    "of offered",
    "of limit",
    "refused",
    "late",
    "no slot kt",
    "hold kt",
    "cancel kt",
    "lost kt",
    "given up kt",
    "TTFT p50/p95",
    "ITL p50/p95",
    "fairness",
];

fn push_header(text: &mut String, deployment: &str) {
    let mut line = String::from("|");
    let mut rule = String::from("|");
    for column in COLUMNS {
        let _ = write!(line, " {column} |");
        rule.push_str("---|");
    }
    let _ = writeln!(text, "\n### {deployment}\n\n{line}\n{rule}");
}

fn push_row(text: &mut String, report: &Report) {
    let waste = &report.waste;
    let late = report.answered - report.goodput;
    let _ = write!(text, "| {} | {} |", report.scenario, report.policy);
    let _ = write!(text, " {} | {} |", report.offered, report.goodput);
    let _ = write!(text, " {:.3} | {:.3} |", report.share_of_offered, report.share_of_limit);
    let _ = write!(text, " {} | {late} |", report.refusals() + report.deadline_passed);
    let causes = [
        waste.no_decode_slot,
        waste.hold_expired,
        waste.cancelled,
        waste.engine_lost,
        waste.given_up,
    ];
    for tokens in causes {
        let _ = write!(text, " {:.1} |", tokens as f64 / 1_000.0);
    }
    let _ = write!(text, " {:.0}/{:.0} ms |", report.ttft.p50, report.ttft.p95);
    let _ = write!(text, " {:.0}/{:.0} ms |", report.itl.p50, report.itl.p95);
    let _ = writeln!(text, " {:.3} |", report.fairness);
    for violation in report.untrue_refusals.iter().chain(&report.violations).take(MAX_VIOLATIONS) {
        let _ = writeln!(text, "| | violation: {violation} |");
    }
}
