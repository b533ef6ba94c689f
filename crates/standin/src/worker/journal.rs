//! Journal of everything that a worker started, so that tests can check that nothing ran twice.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunEnd {
    /// It runs.
    Running,
    /// It ran to its end.
    Done,
    /// It failed.
    Failed,
    /// Its deadline passed, its lease lapsed, or it was stopped.
    Stopped,
    /// The worker rebooted.
    Rebooted,
}

/// What is started.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Request id; empty for a task.
    #[serde(default)]
    pub request: String,
    /// Task id; empty for a request.
    #[serde(default)]
    pub task: String,
    /// Attempt of a task; 0 for a request.
    #[serde(default)]
    pub attempt: u32,
    /// Token that the caller gave the work; empty without one.
    #[serde(default)]
    pub token: String,
    /// Team; empty if it is not told.
    #[serde(default)]
    pub team: String,
    /// Pool of the worker at the start.
    #[serde(default)]
    pub pool: String,
}

/// One start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// What was started.
    #[serde(flatten)]
    pub start: Start,
    /// Time of the start in microseconds since 1970.
    pub started_us: u64,
    /// Time of the end in microseconds since 1970; 0 while it runs.
    pub ended_us: u64,
    /// How it ended.
    pub end: RunEnd,
}

/// Part of the journal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalPage {
    /// Worker.
    pub worker: String,
    /// Number of the first entry of this page, from 0.
    pub first: u64,
    /// Number after the last entry of the journal.
    pub end: u64,
    /// Lowest number that is kept.
    pub earliest: u64,
    /// Entries.
    pub entries: Vec<Entry>,
    /// Highest number of concurrent runs per team, from the first start on.
    pub peaks: BTreeMap<String, u32>,
}

/// Journal in memory.
#[derive(Debug)]
pub struct Journal {
    limit: usize,
    earliest: u64,
    entries: VecDeque<Entry>,
    running: HashMap<u64, String>,
    teams: HashMap<String, u32>,
    peaks: BTreeMap<String, u32>,
    origin: (Instant, u64),
}

impl Journal {
    /// Journal that keeps the newest entries up to a limit.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let origin = (Instant::now(), u64::try_from(since.as_micros()).unwrap_or(u64::MAX));
        Self {
            limit,
            earliest: 0,
            entries: VecDeque::new(),
            running: HashMap::new(),
            teams: HashMap::new(),
            peaks: BTreeMap::new(),
            origin,
        }
    }

    /// Records a start and returns its number.
    pub fn start(&mut self, now: Instant, start: Start) -> u64 {
        let number = self.end_number();
        if !start.team.is_empty() {
            let count = self.teams.entry(start.team.clone()).or_default();
            *count += 1;
            let peak = self.peaks.entry(start.team.clone()).or_default();
            *peak = (*peak).max(*count);
            self.running.insert(number, start.team.clone());
        }
        let started_us = self.micros(now);
        self.entries.push_back(Entry { start, started_us, ended_us: 0, end: RunEnd::Running });
        if self.entries.len() > self.limit {
            self.entries.pop_front();
            self.earliest += 1;
        }
        number
    }

    /// Records the end of a run; only the first end counts.
    pub fn end(&mut self, at: Instant, number: u64, end: RunEnd) {
        let ended_us = self.micros(at);
        if let Some(count) = self.running.remove(&number).and_then(|team| self.teams.get_mut(&team)) {
            *count -= 1;
        }
        let index = number.checked_sub(self.earliest).and_then(|i| usize::try_from(i).ok());
        let entry = index.and_then(|i| self.entries.get_mut(i)).filter(|e| e.end == RunEnd::Running);
        if let Some(entry) = entry {
            entry.end = end;
            entry.ended_us = ended_us;
        }
    }

    /// Entries from a number on.
    #[must_use]
    pub fn page(&self, worker: &str, from: u64, max: usize) -> JournalPage {
        let first = from.clamp(self.earliest, self.end_number());
        let skip = usize::try_from(first - self.earliest).unwrap_or(usize::MAX);
        JournalPage {
            worker: worker.to_owned(),
            first,
            end: self.end_number(),
            earliest: self.earliest,
            entries: self.entries.iter().skip(skip).take(max).cloned().collect(),
            peaks: self.peaks.clone(),
        }
    }

    fn end_number(&self) -> u64 {
        self.earliest + self.entries.len() as u64
    }

    fn micros(&self, at: Instant) -> u64 {
        let (base, base_us) = self.origin;
        let since = at.saturating_duration_since(base).as_micros();
        base_us.saturating_add(u64::try_from(since).unwrap_or(u64::MAX))
    }
}
