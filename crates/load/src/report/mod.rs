//! Report of a run, as text tables, JSON, CSV or a plot.

mod csv_file;
mod plot;
mod table;

pub use csv_file::write_csv;
pub use plot::write_plot;
pub use table::render;

use std::collections::BTreeMap;

use serde::Serialize;

use crate::audit::Audit;
use crate::flow::Flow;
use crate::idle::IdleReport;
use crate::send::Violation;
use crate::share::{ShareDeviation, TeamDemand, WorkPerSecond, fair_shares, share_deviation};
use crate::tally::{Row, Tally};

/// Results of a run, serialised as the JSON report.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Time from the start to the last completion, in seconds.
    pub seconds: f64,
    /// Completed requests and tasks per second.
    pub done_per_second: f64,
    /// Average number of worker slots in use, from the durations of completed work.
    pub slots_used: f64,
    /// One row for each team and class.
    pub rows: Vec<RowReport>,
    /// One row for each team, by name.
    pub teams: Vec<TeamReport>,
    /// Largest deviation from the fair shares over windows of full load.
    #[serde(rename = "closeness")]
    pub share_deviation: ShareDeviation,
    /// Counts of violated guarantees, by kind.
    #[serde(rename = "breaches")]
    pub violations: BTreeMap<Violation, u64>,
    /// Audit of the workers' journals; absent without a platform.
    pub audit: Option<Audit>,
    /// Connections that were kept open; absent if none were requested.
    pub idle: Option<IdleReport>,
    /// Comparison with the same load sent directly to the workers; absent without `--direct`.
    pub direct: Option<Comparison>,
}

/// Results of one team and class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RowReport {
    /// Team.
    pub team: String,
    /// Class, or `task`.
    pub class: String,
    /// Requests and tasks sent.
    pub sent: u64,
    /// Requests and tasks that ran to their end, also with a failure.
    pub done: u64,
    /// Work counted in `done` whose worker reported a failure.
    pub failed: u64,
    /// Work that did not run, by reason.
    pub not_run: BTreeMap<String, u64>,
    /// Work that may have run, by reason.
    pub unknown: BTreeMap<String, u64>,
    /// Median latency of done work, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of done work, in milliseconds.
    pub p99_ms: f64,
}

/// Results of one team.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamReport {
    /// Team.
    pub team: String,
    /// Weight in the fair shares.
    pub weight: u32,
    /// Fraction of all completed work, 0 to 1.
    pub held: f64,
    /// Fair share by weight and demand, 0 to 1.
    pub owed: f64,
    /// Highest number of concurrent runs over all workers; absent without an audit.
    pub peak: Option<u32>,
    /// Duration of the work done in each second of the run, in milliseconds.
    pub done_ms: Vec<u64>,
}

/// Latency through the entry instances compared with latency of direct calls to the workers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Median through the entry instances, in milliseconds.
    pub entry_p50_ms: f64,
    /// 99th percentile through the entry instances, in milliseconds.
    pub entry_p99_ms: f64,
    /// Median of direct calls, in milliseconds.
    pub direct_p50_ms: f64,
    /// 99th percentile of direct calls, in milliseconds.
    pub direct_p99_ms: f64,
}

impl Report {
    /// Builds the report from the totals of a run whose load lasted for `load_seconds`.
    #[must_use]
    pub fn new(tally: &Tally, flows: &[Flow], load_seconds: usize, audit: Option<Audit>) -> Self {
        let seconds = tally.elapsed.as_secs_f64();
        let per_second = |sum: f64| if seconds > 0.0 { sum / seconds } else { 0.0 };
        let done: u64 = tally.rows.values().map(|row| row.done).sum();
        let done_ms: u64 = tally.rows.values().map(|row| row.done_ms).sum();
        Self {
            seconds,
            done_per_second: per_second(done as f64),
            slots_used: per_second(done_ms as f64 / 1_000.0),
            rows: tally.rows.iter().map(|((team, class), row)| row_report(team, class, row)).collect(),
            teams: teams(tally, flows, audit.as_ref()),
            share_deviation: windows(tally, flows, load_seconds),
            violations: tally.violations.clone(),
            audit,
            idle: None,
            direct: None,
        }
    }

    /// True if no guarantee was violated.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.violations.values().all(|count| *count == 0)
    }
}

impl Comparison {
    /// Compares two runs of the same load.
    #[must_use]
    pub fn new(entry: &Tally, direct: &Tally) -> Self {
        let (entry, direct) = (entry.latency(), direct.latency());
        Self {
            entry_p50_ms: millis(entry.value_at_quantile(0.5)),
            entry_p99_ms: millis(entry.value_at_quantile(0.99)),
            direct_p50_ms: millis(direct.value_at_quantile(0.5)),
            direct_p99_ms: millis(direct.value_at_quantile(0.99)),
        }
    }
}

fn row_report(team: &str, class: &str, row: &Row) -> RowReport {
    RowReport {
        team: team.into(),
        class: class.into(),
        sent: row.sent,
        done: row.done,
        failed: row.failed,
        not_run: row.not_run.clone(),
        unknown: row.unknown.clone(),
        p50_ms: millis(row.latency.value_at_quantile(0.5)),
        p99_ms: millis(row.latency.value_at_quantile(0.99)),
    }
}

fn millis(micros: u64) -> f64 {
    micros as f64 / 1_000.0
}

fn weights(flows: &[Flow]) -> BTreeMap<&str, u32> {
    flows.iter().map(|flow| (&*flow.team, flow.share)).collect()
}

fn windows(tally: &Tally, flows: &[Flow], load_seconds: usize) -> ShareDeviation {
    let none = WorkPerSecond::default();
    let seconds = |team: &str| tally.seconds.get(team).unwrap_or(&none);
    let teams = weights(flows).into_iter().map(|(team, weight)| (weight, seconds(team)));
    share_deviation(&teams.collect::<Vec<_>>(), load_seconds)
}

fn teams(tally: &Tally, flows: &[Flow], audit: Option<&Audit>) -> Vec<TeamReport> {
    let weights = weights(flows);
    let sum = |team: &str, value: fn(&Row) -> u64| -> f64 {
        let rows = tally.rows.iter().filter(|((name, _), _)| &**name == team);
        rows.map(|(_, row)| value(row)).sum::<u64>() as f64
    };
    let done: Vec<f64> = weights.keys().map(|team| sum(team, |row| row.done_ms)).collect();
    let total: f64 = done.iter().sum();
    let demands = weights.iter().map(|(team, weight)| TeamDemand {
        weight: f64::from(*weight),
        demand: sum(team, |row| row.sent_ms),
    });
    let owed = fair_shares(&demands.collect::<Vec<_>>(), total);
    let part = |value: f64| if total > 0.0 { value / total } else { 0.0 };
    let rows = weights.iter().zip(done.iter().zip(&owed));
    rows.map(|((team, weight), (done, owed))| TeamReport {
        team: (*team).into(),
        weight: *weight,
        held: part(*done),
        owed: part(*owed),
        peak: audit.and_then(|audit| audit.peaks.get(*team).copied()),
        done_ms: tally.seconds.get(*team).map_or_else(Vec::new, |seconds| seconds.done.clone()),
    })
    .collect()
}
