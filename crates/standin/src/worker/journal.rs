//! Journal of every request and task that a worker started. Tests use it to check that nothing ran twice.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// Outcome of a run so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunOutcome {
    /// The run has not ended.
    Running,
    /// The work completed.
    Done,
    /// The work failed: a fault switch or the payload asked for it, or the payload is malformed.
    Failed,
    /// The deadline passed, the lease expired, or a caller stopped the task.
    Stopped,
    /// A reboot of the worker ended the run.
    Rebooted,
}

/// Request or task that was started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartedWork {
    /// Request id; empty for a task.
    #[serde(default)]
    pub request: String,
    /// Task id; empty for a request.
    #[serde(default)]
    pub task: String,
    /// Attempt number of a task; 0 for a request.
    #[serde(default)]
    pub attempt: u32,
    /// Caller's token for the work; empty if none was given.
    #[serde(default)]
    pub token: String,
    /// Team that the work counts for; empty if unknown.
    #[serde(default)]
    pub team: String,
    /// Pool of the worker when the work started.
    #[serde(default)]
    pub pool: String,
}

/// Journal entry of one run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Flattened into the entry's JSON object.
    #[serde(flatten)]
    pub start: StartedWork,
    /// Start time, in microseconds since the Unix epoch.
    pub started_us: u64,
    /// End time, in microseconds since the Unix epoch; 0 while the run continues.
    pub ended_us: u64,
    /// Outcome; [`RunOutcome::Running`] until the run ends.
    pub end: RunOutcome,
}

/// Section of the journal, as `GET /control/journal` returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalPage {
    /// Name of the worker.
    pub worker: String,
    /// Index of the first entry of this page; the first entry of the journal has index 0.
    pub first: u64,
    /// Index after the last entry of the journal.
    pub end: u64,
    /// Lowest index that is still kept.
    pub earliest: u64,
    /// Entries from `first` on, in the order of their starts.
    pub entries: Vec<Entry>,
    /// Highest number of concurrent runs per team since the worker's process started.
    pub peaks: BTreeMap<String, u32>,
}

/// In-memory journal with a bounded number of entries.
#[derive(Debug)]
pub struct Journal {
    capacity: usize,
    earliest: u64,
    entries: VecDeque<Entry>,
    /// Teams of the running entries, by index.
    running_teams: HashMap<u64, String>,
    /// Number of concurrent runs per team.
    team_runs: HashMap<String, u32>,
    peaks: BTreeMap<String, u32>,
    /// The same moment on the monotonic clock and in microseconds since the Unix epoch.
    clock_origin: (Instant, u64),
}

impl Journal {
    /// Creates an empty journal that keeps the newest `capacity` entries.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let clock_origin = (Instant::now(), u64::try_from(since.as_micros()).unwrap_or(u64::MAX));
        Self {
            capacity,
            earliest: 0,
            entries: VecDeque::new(),
            running_teams: HashMap::new(),
            team_runs: HashMap::new(),
            peaks: BTreeMap::new(),
            clock_origin,
        }
    }

    /// Records a start and returns its index.
    pub fn start(&mut self, now: Instant, start: StartedWork) -> u64 {
        let index = self.end_index();
        if !start.team.is_empty() {
            let count = self.team_runs.entry(start.team.clone()).or_default();
            *count += 1;
            let peak = self.peaks.entry(start.team.clone()).or_default();
            *peak = (*peak).max(*count);
            self.running_teams.insert(index, start.team.clone());
        }
        let started_us = self.unix_micros(now);
        self.entries.push_back(Entry { start, started_us, ended_us: 0, end: RunOutcome::Running });
        if self.entries.len() > self.capacity {
            self.entries.pop_front();
            self.earliest += 1;
        }
        index
    }

    /// Records the outcome of a run. Later calls for the same run have no effect.
    pub fn end(&mut self, at: Instant, index: u64, end: RunOutcome) {
        let ended_us = self.unix_micros(at);
        if let Some(count) = self.running_teams.remove(&index).and_then(|team| self.team_runs.get_mut(&team))
        {
            *count -= 1;
        }
        let position = index.checked_sub(self.earliest).and_then(|i| usize::try_from(i).ok());
        let entry = position.and_then(|i| self.entries.get_mut(i)).filter(|e| e.end == RunOutcome::Running);
        if let Some(entry) = entry {
            entry.end = end;
            entry.ended_us = ended_us;
        }
    }

    /// Returns up to `max` entries from index `from` on, or from the earliest one that is kept.
    #[must_use]
    pub fn page(&self, worker: &str, from: u64, max: usize) -> JournalPage {
        let first = from.clamp(self.earliest, self.end_index());
        let skip = usize::try_from(first - self.earliest).unwrap_or(usize::MAX);
        JournalPage {
            worker: worker.to_owned(),
            first,
            end: self.end_index(),
            earliest: self.earliest,
            entries: self.entries.iter().skip(skip).take(max).cloned().collect(),
            peaks: self.peaks.clone(),
        }
    }

    fn end_index(&self) -> u64 {
        self.earliest + self.entries.len() as u64
    }

    fn unix_micros(&self, at: Instant) -> u64 {
        let (base, base_us) = self.clock_origin;
        let since = at.saturating_duration_since(base).as_micros();
        base_us.saturating_add(u64::try_from(since).unwrap_or(u64::MAX))
    }
}
