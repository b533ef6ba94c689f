//! Sliding window of the outcomes of one worker.

use std::collections::{BTreeMap, VecDeque};

use super::Outcome;
use crate::engine::Millis;
use crate::ids::TeamId;

/// Length of one bucket, in milliseconds.
const BUCKET_MS: u64 = 1_000;

/// Buckets of a window, which covers 10 s.
pub(super) const BUCKETS: u64 = 10;

/// Buckets of the short span, including the current one.
pub(super) const SHORT_BUCKETS: u64 = 2;

/// Maximum failed jobs that are remembered for deduplication. This bounds the memory for a worker that fails all work
/// immediately; failures beyond it are counted without deduplication, since so many distinct jobs are evidence enough.
const MAX_FAILED_JOBS: usize = 256;

/// Outcomes of one team's jobs on one worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Count {
    /// Successes and distinct failed jobs.
    pub(super) jobs: u32,
    /// Distinct failed jobs.
    pub(super) failed: u32,
}

impl Count {
    pub(super) fn rate(self) -> f64 {
        f64::from(self.failed) / f64::from(self.jobs.max(1))
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    number: u64,
    counts: BTreeMap<TeamId, Count>,
}

/// Outcomes of the last 10 s.
#[derive(Clone, Debug, Default)]
pub(super) struct Window {
    buckets: VecDeque<Bucket>,
    /// Failed jobs, with the bucket of their first failure.
    failed: BTreeMap<(TeamId, u64), u64>,
}

impl Window {
    pub(super) fn add(&mut self, now: Millis, outcome: Outcome) {
        self.expire(now);
        let number = now.0 / BUCKET_MS;
        if outcome.failed && !self.is_first_failure(number, outcome) {
            return;
        }
        if self.buckets.back().is_none_or(|bucket| bucket.number < number) {
            self.buckets.push_back(Bucket { number, counts: BTreeMap::new() });
        }
        if let Some(bucket) = self.buckets.back_mut() {
            let count = bucket.counts.entry(outcome.team).or_default();
            count.jobs += 1;
            count.failed += u32::from(outcome.failed);
        }
    }

    /// Removes outcomes that are older than the window.
    pub(super) fn expire(&mut self, now: Millis) {
        let number = now.0 / BUCKET_MS;
        let is_old = |first: u64| first + BUCKETS <= number;
        if self.buckets.front().is_some_and(|bucket| is_old(bucket.number)) {
            self.buckets.retain(|bucket| !is_old(bucket.number));
            self.failed.retain(|_, first| !is_old(*first));
        }
    }

    /// Sums the outcomes of the newest buckets by team.
    pub(super) fn tally(&self, now: Millis, buckets: u64) -> BTreeMap<TeamId, Count> {
        let number = now.0 / BUCKET_MS;
        let recent = self.buckets.iter().filter(|bucket| bucket.number + buckets > number);
        let mut tally: BTreeMap<TeamId, Count> = BTreeMap::new();
        for (team, count) in recent.flat_map(|bucket| &bucket.counts) {
            let sum = tally.entry(*team).or_default();
            sum.jobs += count.jobs;
            sum.failed += count.failed;
        }
        tally
    }

    /// True unless the job has already failed within the window.
    fn is_first_failure(&mut self, number: u64, outcome: Outcome) -> bool {
        let key = (outcome.team, outcome.job);
        if self.failed.contains_key(&key) {
            return false;
        }
        if self.failed.len() < MAX_FAILED_JOBS {
            self.failed.insert(key, number);
        }
        true
    }
}
