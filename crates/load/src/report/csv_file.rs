//! CSV output: one line for each team and class.

use std::io::Write;

use super::Report;

/// Writes the rows of a report.
///
/// # Errors
///
/// Fails if `output` cannot be written.
pub fn write_csv<W: Write>(report: &Report, output: W) -> csv::Result<()> {
    let mut writer = csv::Writer::from_writer(output);
    writer.write_record([
        "team", "class", "sent", "done", "failed", "not_run", "unknown", "p50_ms", "p99_ms", "held", "owed",
    ])?;
    for row in &report.rows {
        let team = report.teams.iter().find(|team| team.team == row.team);
        writer.write_record([
            row.team.clone(),
            row.class.clone(),
            row.sent.to_string(),
            row.done.to_string(),
            row.failed.to_string(),
            row.not_run.values().sum::<u64>().to_string(),
            row.unknown.values().sum::<u64>().to_string(),
            row.p50_ms.to_string(),
            row.p99_ms.to_string(),
            team.map_or(0.0, |team| team.held).to_string(),
            team.map_or(0.0, |team| team.owed).to_string(),
        ])?;
    }
    Ok(writer.flush()?)
}
