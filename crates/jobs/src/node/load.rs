//! Work of the owner's process, logged once a second.

use std::time::Duration;

use tokio::time::Instant;

use crate::dispatch::{Counters, Write};

/// Interval between two log lines.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Work of the owner since the last log line.
#[derive(Debug)]
pub(super) struct OwnerLoad {
    since: Instant,
    /// Counters at the last log line.
    logged: Counters,
    ticks: u64,
    /// Time spent in the scheduler.
    busy: Duration,
    /// Longest tick.
    longest: Duration,
    writes: u64,
    records: u64,
    commands: u64,
}

impl OwnerLoad {
    /// Starts to count at the counters of an owner.
    pub(super) fn new(counters: Counters) -> Self {
        Self {
            since: Instant::now(),
            logged: counters,
            ticks: 0,
            busy: Duration::ZERO,
            longest: Duration::ZERO,
            writes: 0,
            records: 0,
            commands: 0,
        }
    }

    /// Adds a tick that began at `begun`, with its write and the number of its commands.
    pub(super) fn add(&mut self, begun: Instant, write: Option<&Write>, commands: usize) {
        let took = begun.elapsed();
        self.ticks += 1;
        self.busy += took;
        self.longest = self.longest.max(took);
        self.writes += u64::from(write.is_some());
        self.records += write.map_or(0, |write| write.entries.len() as u64);
        self.commands += commands as u64;
    }

    /// Logs the sums if a line is due, and starts anew. False if none is due.
    pub(super) fn log(&mut self, counters: Counters) -> bool {
        let elapsed = self.since.elapsed();
        if elapsed < LOG_INTERVAL {
            return false;
        }
        let logged = self.logged;
        log::info!(
            elapsed_ms = millis(elapsed), ticks = self.ticks, busy_ms = millis(self.busy),
            longest_ms = millis(self.longest), writes = self.writes, records = self.records, commands = self.commands,
            starts = counters.starts - logged.starts, ends = counters.ends - logged.ends,
            polls = counters.polls - logged.polls, examined = counters.examined - logged.examined,
            policy_requests = counters.policy_requests - logged.policy_requests,
            policy_failures = counters.policy_failures - logged.policy_failures;
            "load of the owner"
        );
        *self = Self::new(counters);
        true
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
