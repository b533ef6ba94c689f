//! Audit: compares the responses that callers got with the starts in the workers' journals.

mod fetch;

pub use fetch::{Journals, fetch};

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::flow::Flow;
use crate::send::{Outcome, Violation};
use crate::tally::{ItemResult, Tally};

/// State of a run in a worker's journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The run has not ended.
    Running,
    /// The work was completed.
    Done,
    /// The work failed.
    Failed,
    /// The worker was told to stop the run.
    Stopped,
    /// The run ended because the worker rebooted.
    Rebooted,
}

/// Journal entry of a worker for one started run.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct StartedRun {
    /// Token of the work item: the prefix of the load run, a dash and the item's number.
    pub token: String,
    /// Start time, in microseconds since the Unix epoch.
    pub started_us: u64,
    /// End time, in microseconds since the Unix epoch; 0 while the work runs.
    pub ended_us: u64,
    /// How the run ended, or `Running`.
    pub end: RunState,
}

/// Result of the audit, part of the JSON report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Journal entries for work of this load run.
    pub starts: u64,
    /// Workers whose journal could not be read or has lost its oldest entries. Work that ran only there is not checked.
    pub incomplete: Vec<String>,
    /// Highest number of concurrent runs per team, over all workers.
    pub peaks: BTreeMap<String, u32>,
}

/// Checks the outcome of each work item against the journals and counts the violations in `tally`.
pub fn check(tally: &mut Tally, flows: &[Flow], prefix: &str, journals: &Journals) -> Audit {
    let mut starts: BTreeMap<u64, Vec<&StartedRun>> = BTreeMap::new();
    for start in &journals.starts {
        if let Some(number) = number(prefix, &start.token) {
            starts.entry(number).or_default().push(start);
        }
    }
    let complete = journals.incomplete.is_empty();
    let found = tally.results.iter().map(|(number, result)| {
        let runs = starts.get(number).map_or(&[][..], Vec::as_slice);
        violation(result, runs, complete)
    });
    for violation in found.flatten().collect::<Vec<_>>() {
        tally.add_violation(violation);
    }
    Audit {
        starts: starts.values().map(|runs| runs.len() as u64).sum(),
        incomplete: journals.incomplete.clone(),
        peaks: peaks(&starts, tally, flows),
    }
}

fn number(prefix: &str, token: &str) -> Option<u64> {
    token.strip_prefix(prefix)?.strip_prefix('-')?.parse().ok()
}

/// Violation that the journals show for one work item. `complete` is false if a journal is missing; work without a
/// start is then no violation, since it may have run at that worker.
#[must_use]
pub fn violation(result: &ItemResult, runs: &[&StartedRun], complete: bool) -> Option<Violation> {
    if !result.item.idempotent && ran_twice(result.item.task, runs) {
        return Some(Violation::RanTwice);
    }
    match &result.outcome {
        Outcome::NotRun(_) if !runs.is_empty() => Some(Violation::NotRunRan),
        Outcome::Done { .. } if runs.is_empty() && complete => Some(Violation::DoneNotStarted),
        _ => None,
    }
}

// A task may start again after an attempt that ended without a result; a request may not.
fn ran_twice(task: bool, runs: &[&StartedRun]) -> bool {
    let mut runs = runs.to_vec();
    runs.sort_by_key(|start| start.started_us);
    let again = |pair: &[&StartedRun]| {
        let stopped = matches!(pair[0].end, RunState::Failed | RunState::Stopped | RunState::Rebooted);
        !(task && stopped && pair[0].ended_us <= pair[1].started_us)
    };
    runs.windows(2).any(again)
}

fn peaks(starts: &BTreeMap<u64, Vec<&StartedRun>>, tally: &Tally, flows: &[Flow]) -> BTreeMap<String, u32> {
    let mut changes: BTreeMap<Arc<str>, Vec<(u64, i32)>> = BTreeMap::new();
    for (number, runs) in starts {
        let Some(result) = tally.results.get(number) else { continue };
        let changes = changes.entry(flows[result.item.flow].team.clone()).or_default();
        for run in runs {
            let ended = if run.end == RunState::Running { u64::MAX } else { run.ended_us };
            changes.extend([(run.started_us, 1), (ended, -1)]);
        }
    }
    changes.into_iter().map(|(team, changes)| (team.to_string(), peak(changes))).collect()
}

// At the same microsecond, ends sort before starts, since the slot is free by then.
fn peak(mut changes: Vec<(u64, i32)>) -> u32 {
    changes.sort_unstable();
    let sums = changes.iter().scan(0, |sum, (_, change)| {
        *sum += change;
        Some(*sum)
    });
    u32::try_from(sums.max().unwrap_or(0)).unwrap_or(0)
}
