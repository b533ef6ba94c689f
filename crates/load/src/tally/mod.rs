//! Totals of a run by team and class and by second, and the outcome of each work item for the audit.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::flow::{Flow, WorkItem};
use crate::send::{Completion, Outcome, Violation};
use crate::share::WorkPerSecond;

/// Upper bound of the histograms, in microseconds; longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Team and class of a row; tasks of any class have the class `task`.
pub type RowKey = (Arc<str>, &'static str);

/// Totals of one team and class.
#[derive(Clone, Debug)]
pub struct Row {
    /// Latency of work that succeeded, in microseconds.
    pub latency: Histogram<u64>,
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
    /// Total duration of the work sent, in milliseconds.
    pub sent_ms: u64,
    /// Total duration of the work that succeeded, in milliseconds.
    pub done_ms: u64,
}

/// Outcome of one work item, kept for the audit.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemResult {
    /// The work item.
    pub item: WorkItem,
    /// Outcome that its caller saw.
    pub outcome: Outcome,
}

/// Totals of a run.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Totals by team and class.
    pub rows: BTreeMap<RowKey, Row>,
    /// Counts of violated guarantees.
    pub violations: BTreeMap<Violation, u64>,
    /// Outcomes by the number of the work item.
    pub results: BTreeMap<u64, ItemResult>,
    /// Work of each team by second of the run.
    pub seconds: BTreeMap<Arc<str>, WorkPerSecond>,
    /// Time of the last completion since the start of the run.
    pub elapsed: Duration,
}

impl Default for Row {
    fn default() -> Self {
        let latency = Histogram::new_with_max(MAX_LATENCY_US, 3).expect("the bounds are constant and valid");
        Self {
            latency,
            sent: 0,
            done: 0,
            failed: 0,
            not_run: BTreeMap::new(),
            unknown: BTreeMap::new(),
            sent_ms: 0,
            done_ms: 0,
        }
    }
}

impl Tally {
    /// Adds the completion of a work item.
    pub fn add(&mut self, flows: &[Flow], completion: Completion) {
        let Completion { item, at, latency, outcome } = completion;
        let flow = &flows[item.flow];
        let class = if item.task { "task" } else { crate::send::class_name(flow.class) };
        let row = self.rows.entry((flow.team.clone(), class)).or_default();
        row.sent += 1;
        row.sent_ms += u64::from(item.work_ms);
        match &outcome {
            Outcome::Done { failed: false } => {
                row.done += 1;
                row.done_ms += u64::from(item.work_ms);
                row.latency.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
            }
            Outcome::Done { failed: true } => {
                row.done += 1;
                row.failed += 1;
            }
            Outcome::NotRun(reason) => *row.not_run.entry(reason.to_string()).or_default() += 1,
            Outcome::Unknown(reason) => *row.unknown.entry(reason.to_string()).or_default() += 1,
            Outcome::Broken(violation) => self.add_violation(*violation),
        }
        let seconds = self.seconds.entry(flow.team.clone()).or_default();
        WorkPerSecond::add(&mut seconds.sent, at.saturating_sub(latency).as_secs(), item.work_ms);
        WorkPerSecond::add(&mut seconds.ended, at.as_secs(), item.work_ms);
        if outcome == (Outcome::Done { failed: false }) {
            WorkPerSecond::add(&mut seconds.done, at.as_secs(), item.work_ms);
        }
        self.elapsed = self.elapsed.max(at);
        self.results.insert(item.number, ItemResult { item, outcome });
    }

    /// Counts a violated guarantee.
    pub fn add_violation(&mut self, violation: Violation) {
        *self.violations.entry(violation).or_default() += 1;
    }

    /// Latency of all requests that succeeded, without tasks, in microseconds.
    #[must_use]
    pub fn latency(&self) -> Histogram<u64> {
        let mut all = Row::default().latency;
        let rows = self.rows.iter().filter(|((_, class), _)| *class != "task");
        for (_, row) in rows {
            let added = all.add(&row.latency);
            debug_assert!(added.is_ok(), "all histograms have the same bounds");
        }
        all
    }
}
