//! Append-only log with offsets from 1, bounded retention and a rate limit for appends.

use std::collections::VecDeque;
use std::time::Instant;

/// In-memory log; entries are base64 texts.
#[derive(Debug)]
pub struct Log {
    entries: VecDeque<String>,
    earliest: u64,
    /// Appends that the rate limit still allows.
    tokens: f64,
    last_refill: Option<Instant>,
}

/// Result of reading the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Page {
    /// Entries from the requested offset on; empty at or after the end of the log.
    Entries(Vec<String>),
    /// The entry at the offset has been dropped.
    Gone,
}

impl Default for Log {
    fn default() -> Self {
        Self { entries: VecDeque::new(), earliest: 1, tokens: 0.0, last_refill: None }
    }
}

impl Log {
    /// Lowest offset that is still kept.
    #[must_use]
    pub const fn earliest(&self) -> u64 {
        self.earliest
    }

    /// Offset after the last entry.
    #[must_use]
    pub fn end(&self) -> u64 {
        self.earliest + self.entries.len() as u64
    }

    /// Takes a token for an append from the rate limiter; returns false if none is left. `rate` is in appends per second.
    pub fn admit(&mut self, now: Instant, rate: u32) -> bool {
        // The burst is a fifth of a second's appends, because eight writers may commit at the same moment.
        let burst = f64::from(rate / 5).max(1.0);
        let elapsed = self.last_refill.map_or(f64::MAX, |at| now.duration_since(at).as_secs_f64());
        self.tokens = (self.tokens + elapsed * f64::from(rate)).min(burst);
        self.last_refill = Some(now);
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

    /// Drops the oldest entries until at most `retention` are left.
    pub fn trim(&mut self, retention: usize) {
        while self.entries.len() > retention {
            self.entries.pop_front();
            self.earliest += 1;
        }
    }

    /// Reads up to `max` entries from an offset on. Offset 0 is treated as offset 1.
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
