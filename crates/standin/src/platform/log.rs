//! Append-only log with offsets from 1, limited retention and a limited rate.

use std::collections::VecDeque;
use std::time::Instant;

/// Log entries in memory.
#[derive(Debug)]
pub struct Log {
    entries: VecDeque<String>,
    earliest: u64,
    tokens: f64,
    refilled: Option<Instant>,
}

/// Part of the log, or why there is none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Page {
    /// Entries from the wanted offset on; empty if it is at the end.
    Entries(Vec<String>),
    /// The offset is no longer kept.
    Gone,
}

impl Default for Log {
    fn default() -> Self {
        Self { entries: VecDeque::new(), earliest: 1, tokens: 0.0, refilled: None }
    }
}

impl Log {
    /// Lowest offset that is kept.
    #[must_use]
    pub const fn earliest(&self) -> u64 {
        self.earliest
    }

    /// Offset after the last entry.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.earliest + self.entries.len() as u64
    }

    /// Counts an append against the rate; false if it is above.
    pub fn admit(&mut self, now: Instant, rate: u32) -> bool {
        // A fifth of a second's appends may come at once, as from eight writers that commit in the same moment.
        let burst = f64::from(rate / 5).max(1.0);
        let passed = self.refilled.map_or(f64::MAX, |at| now.duration_since(at).as_secs_f64());
        self.tokens = (self.tokens + passed * f64::from(rate)).min(burst);
        self.refilled = Some(now);
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }

    /// Appends entries and returns the offset of the first.
    pub fn append(&mut self, entries: Vec<String>, retention: usize) -> u64 {
        let first = self.end();
        self.entries.extend(entries);
        self.trim(retention);
        first
    }

    /// Drops the oldest entries above the retention.
    pub fn trim(&mut self, retention: usize) {
        while self.entries.len() > retention {
            self.entries.pop_front();
            self.earliest += 1;
        }
    }

    /// Reads from an offset on. Offset 0 means offset 1.
    #[must_use]
    pub fn read(&self, from: u64, max: usize) -> Page {
        let from = from.max(1);
        if from < self.earliest {
            return Page::Gone;
        }
        let skip = usize::try_from(from - self.earliest).unwrap_or(usize::MAX);
        Page::Entries(self.entries.iter().skip(skip).take(max).cloned().collect())
    }
}
