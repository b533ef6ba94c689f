//! Audit: compares what callers were told with what the workers' journals say.

mod fetch;

pub use fetch::{Journals, fetch};

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::flow::Flow;
use crate::send::{Breach, Outcome};
use crate::tally::{Tally, Trace};

/// How a run at a worker ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It runs.
    Running,
    /// It ran to its end.
    Done,
    /// It failed.
    Failed,
    /// It was stopped.
    Stopped,
    /// The worker rebooted.
    Rebooted,
}

/// One start in a worker's journal.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Start {
    /// Token of the caller.
    pub token: String,
    /// Time of the start in microseconds since 1970.
    pub started_us: u64,
    /// Time of the end in microseconds since 1970; 0 while it runs.
    pub ended_us: u64,
    /// How it ended.
    pub end: RunEnd,
}

/// Result of the audit.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Audit {
    /// Starts of this run's work.
    pub starts: u64,
    /// Workers whose journal could not be read or is no longer whole. Work that ran only there is not checked.
    pub incomplete: Vec<String>,
    /// Highest number of concurrent runs per team, over all workers.
    pub peaks: BTreeMap<String, u32>,
}

/// Checks each piece of work against the journals and adds broken promises to the sums.
pub fn check(tally: &mut Tally, flows: &[Flow], prefix: &str, journals: &Journals) -> Audit {
    let mut starts: BTreeMap<u64, Vec<&Start>> = BTreeMap::new();
    for start in &journals.starts {
        if let Some(number) = number(prefix, &start.token) {
            starts.entry(number).or_default().push(start);
        }
    }
    let whole = journals.incomplete.is_empty();
    let found = tally.traces.iter().map(|(number, trace)| {
        let runs = starts.get(number).map_or(&[][..], Vec::as_slice);
        breach(trace, runs, whole)
    });
    for breach in found.flatten().collect::<Vec<_>>() {
        tally.add_breach(breach);
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

/// Broken promise that the journals show for one piece of work.
#[must_use]
pub fn breach(trace: &Trace, runs: &[&Start], whole: bool) -> Option<Breach> {
    if !trace.order.idempotent && ran_twice(trace.order.task, runs) {
        return Some(Breach::RanTwice);
    }
    match &trace.outcome {
        Outcome::NotRun(_) if !runs.is_empty() => Some(Breach::NotRunRan),
        Outcome::Done { .. } if runs.is_empty() && whole => Some(Breach::DoneNotStarted),
        _ => None,
    }
}

// A task may start again after an attempt that provably ended without a result; a request may not.
fn ran_twice(task: bool, runs: &[&Start]) -> bool {
    let mut runs = runs.to_vec();
    runs.sort_by_key(|start| start.started_us);
    let again = |pair: &[&Start]| {
        let stopped = matches!(pair[0].end, RunEnd::Failed | RunEnd::Stopped | RunEnd::Rebooted);
        !(task && stopped && pair[0].ended_us <= pair[1].started_us)
    };
    runs.windows(2).any(again)
}

fn peaks(starts: &BTreeMap<u64, Vec<&Start>>, tally: &Tally, flows: &[Flow]) -> BTreeMap<String, u32> {
    let mut changes: BTreeMap<Arc<str>, Vec<(u64, i32)>> = BTreeMap::new();
    for (number, runs) in starts {
        let Some(trace) = tally.traces.get(number) else { continue };
        let changes = changes.entry(flows[trace.order.flow].team.clone()).or_default();
        for run in runs {
            let ended = if run.end == RunEnd::Running { u64::MAX } else { run.ended_us };
            changes.extend([(run.started_us, 1), (ended, -1)]);
        }
    }
    changes.into_iter().map(|(team, changes)| (team.to_string(), peak(changes))).collect()
}

// An end sorts before a start at the same microsecond, since the slot was free by then.
fn peak(mut changes: Vec<(u64, i32)>) -> u32 {
    changes.sort_unstable();
    let sums = changes.iter().scan(0, |sum, (_, change)| {
        *sum += change;
        Some(*sum)
    });
    u32::try_from(sums.max().unwrap_or(0)).unwrap_or(0)
}
