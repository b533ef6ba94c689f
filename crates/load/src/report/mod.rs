//! Report of a run: table, JSON, CSV and plot.

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

/// Report of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Report {
    /// Duration until the last end, in seconds.
    pub seconds: f64,
    /// Done work per second.
    pub done_per_second: f64,
    /// Slots that the done work took on average.
    pub slots_used: f64,
    /// Rows by team and class.
    pub rows: Vec<RowReport>,
    /// Teams.
    pub teams: Vec<TeamReport>,
    /// Closeness to the share owed over windows of full load.
    #[serde(rename = "closeness")]
    pub share_deviation: ShareDeviation,
    /// Broken promises, by kind.
    #[serde(rename = "breaches")]
    pub violations: BTreeMap<Violation, u64>,
    /// Audit; absent if no platform is named.
    pub audit: Option<Audit>,
    /// Idle connections; absent if none were asked for.
    pub idle: Option<IdleReport>,
    /// Comparison with the same load straight to the workers; absent if it was not asked for.
    pub direct: Option<Comparison>,
}

/// One team and class.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RowReport {
    /// Team.
    pub team: String,
    /// Class, or `task`.
    pub class: String,
    /// Work sent.
    pub sent: u64,
    /// Work done.
    pub done: u64,
    /// Done work that failed at the worker.
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

/// One team.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TeamReport {
    /// Team.
    pub team: String,
    /// Weight.
    pub weight: u32,
    /// Part of all done work, 0 to 1.
    pub held: f64,
    /// Part owed by weight and demand, 0 to 1.
    pub owed: f64,
    /// Highest number of concurrent runs over all workers; absent without an audit.
    pub peak: Option<u32>,
    /// Duration of the work done in each second of the run, in milliseconds.
    pub done_ms: Vec<u64>,
}

/// Latency through the entry instances against latency straight to the workers.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Median through the entry instances, in milliseconds.
    pub entry_p50_ms: f64,
    /// 99th percentile through the entry instances, in milliseconds.
    pub entry_p99_ms: f64,
    /// Median straight to the workers, in milliseconds.
    pub direct_p50_ms: f64,
    /// 99th percentile straight to the workers, in milliseconds.
    pub direct_p99_ms: f64,
}

impl Report {
    /// Report of a run's sums. The load lasted for `load_seconds`.
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

    /// True if no promise was broken.
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
