//! Text tables for the terminal.

use std::collections::BTreeMap;

use comfy_table::presets::ASCII_MARKDOWN;
use comfy_table::{CellAlignment, Table};

use super::{Comparison, Report, RowReport, TeamReport};
use crate::share::WINDOW_S;

/// Renders a report as Markdown tables and summary lines.
#[must_use]
pub fn render(report: &Report) -> String {
    let mut parts = vec![rows(&report.rows), teams(&report.teams), totals(report)];
    if let Some(direct) = &report.direct {
        parts.push(comparison(direct));
    }
    parts.push(guarantees(report));
    parts.join("\n\n")
}

fn rows(rows: &[RowReport]) -> String {
    let mut table =
        table(&["team", "class", "sent", "done", "failed", "not run", "unknown", "p50 ms", "p99 ms"]);
    for row in rows {
        table.add_row([
            row.team.clone(),
            row.class.clone(),
            row.sent.to_string(),
            row.done.to_string(),
            row.failed.to_string(),
            counts(&row.not_run),
            counts(&row.unknown),
            format!("{:.2}", row.p50_ms),
            format!("{:.2}", row.p99_ms),
        ]);
    }
    align(table, 2)
}

fn teams(teams: &[TeamReport]) -> String {
    let mut table = table(&["team", "weight", "share held %", "share owed %", "peak slots"]);
    for team in teams {
        table.add_row([
            team.team.clone(),
            team.weight.to_string(),
            format!("{:.1}", team.held * 100.0),
            format!("{:.1}", team.owed * 100.0),
            team.peak.map_or_else(|| "-".into(), |peak| peak.to_string()),
        ]);
    }
    align(table, 1)
}

fn totals(report: &Report) -> String {
    let mut lines = vec![format!(
        "{:.1} s, {:.1} done per second, {:.1} slots used on average",
        report.seconds, report.done_per_second, report.slots_used
    )];
    lines.push(share_line(report));
    if let Some(idle) = report.idle {
        let (opened, refused, answered) = (idle.opened, idle.refused, idle.answered);
        lines.push(format!(
            "idle connections: {opened} opened, {refused} refused, {answered} answered at the end"
        ));
    }
    lines.join("\n")
}

fn share_line(report: &Report) -> String {
    let share_deviation = report.share_deviation;
    if share_deviation.windows == 0 {
        return format!("shares: no {WINDOW_S} s of full load");
    }
    let team = report.teams.get(share_deviation.team).map_or("", |team| &team.team);
    format!(
        "shares: {} windows of {WINDOW_S} s of full load, at worst {:.1}% of the work off the share owed ({team}, from {} s)",
        share_deviation.windows,
        share_deviation.max_deviation * 100.0,
        share_deviation.second
    )
}

fn comparison(direct: &Comparison) -> String {
    let mut table = table(&["", "entry ms", "direct ms", "added ms", "ratio"]);
    let lines = [
        ("p50", direct.entry_p50_ms, direct.direct_p50_ms),
        ("p99", direct.entry_p99_ms, direct.direct_p99_ms),
    ];
    for (name, entry, direct) in lines {
        table.add_row([
            name.into(),
            format!("{entry:.3}"),
            format!("{direct:.3}"),
            format!("{:.3}", entry - direct),
            format!("{:.2}", entry / direct),
        ]);
    }
    align(table, 1)
}

fn guarantees(report: &Report) -> String {
    let names = report.violations.iter().map(|(violation, count)| {
        let name = serde_json::to_value(violation).unwrap_or_default();
        (name.as_str().unwrap_or_default().to_owned(), *count)
    });
    let mut lines = vec![format!("promises broken: {}", counts(&names.collect()))];
    match &report.audit {
        None => lines.push("audit: not done; no platform was named".into()),
        Some(audit) if audit.incomplete.is_empty() => {
            lines.push(format!("audit: {} starts, all journals whole", audit.starts));
        }
        Some(audit) => {
            let missing = audit.incomplete.join(", ");
            lines.push(format!("audit: {} starts, partial; no whole journal of {missing}", audit.starts));
        }
    }
    lines.join("\n")
}

fn counts(counts: &BTreeMap<String, u64>) -> String {
    let total: u64 = counts.values().sum();
    if total == 0 {
        return "0".into();
    }
    let parts = counts.iter().map(|(reason, count)| format!("{reason} {count}"));
    format!("{total} ({})", parts.collect::<Vec<_>>().join(", "))
}

fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(ASCII_MARKDOWN).set_header(header.to_vec());
    table
}

fn align(mut table: Table, from: usize) -> String {
    for column in table.column_iter_mut().skip(from) {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table.trim_fmt()
}
