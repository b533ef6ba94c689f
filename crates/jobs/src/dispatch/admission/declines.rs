//! Log lines about declined jobs: one for each, and one when a pool or the memory budget begins and ceases to decline.

use std::collections::BTreeMap;

use super::super::Dispatcher;
use super::Decline;
use crate::spec::Submission;

/// Time without a declined job after which a pool or the budget counts as having ceased to decline, in milliseconds. Longer
/// than a surge pauses, so that one overload is one pair of lines.
const CEASE_MS: u64 = 5_000;

/// Series of declined jobs.
#[derive(Clone, Copy, Debug)]
struct Series {
    since: u64,
    last: u64,
    jobs: u64,
}

/// Pools that decline jobs, and whether the memory budget does.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct Declines {
    pools: BTreeMap<String, Series>,
    memory: Option<Series>,
}

impl Series {
    const fn new(now: u64) -> Self {
        Self { since: now, last: now, jobs: 0 }
    }

    const fn add(&mut self, now: u64) {
        self.last = now;
        self.jobs += 1;
    }

    const fn is_over(&self, now: u64) -> bool {
        now >= self.last + CEASE_MS
    }
}

impl Dispatcher {
    /// Logs a declined job.
    pub fn note_decline(&mut self, now: u64, submission: &Submission, reason: Decline, retry_ms: u64) {
        let pool = self.terms(submission).pool;
        log::info!(
            job:% = submission.id, queue = submission.queue.as_str(), team = submission.team.as_deref().unwrap_or(""),
            pool = pool.as_str(), reason = reason.name(), retry_ms = retry_ms;
            "a job was declined"
        );
        if reason == Decline::Memory {
            let (held, budget) = self.accepted_bytes();
            let team_held = self.team_bytes(submission);
            let series = self.declines.memory.get_or_insert_with(|| {
                let team = submission.account();
                log::warn!(held = held, budget = budget.unwrap_or(0), team = team, team_held = team_held; "the accepted jobs take all the memory that they may");
                Series::new(now)
            });
            series.add(now);
        }
        let series = self.declines.pools.entry(pool).or_insert_with_key(|pool| {
            log::info!(pool = pool.as_str(), reason = reason.name(); "the pool begins to decline jobs");
            Series::new(now)
        });
        series.add(now);
    }

    /// Logs which pools have ceased to decline jobs, and whether the memory budget has.
    pub(in super::super) fn expire_declines(&mut self, now: u64) {
        self.reservations.expire(now);
        self.declines.pools.retain(|pool, series| {
            if series.is_over(now) {
                let declined_ms = series.last - series.since;
                log::info!(pool = pool.as_str(), jobs = series.jobs, declined_ms = declined_ms; "the pool no longer declines jobs");
            }
            !series.is_over(now)
        });
        let binds = self.memory_binds();
        if let Some(series) = self.declines.memory.take_if(|series| !binds && series.is_over(now)) {
            let (held, budget) = self.accepted_bytes();
            log::info!(
                held = held, budget = budget.unwrap_or(0), jobs = series.jobs, declined_ms = series.last - series.since;
                "there is memory for accepted jobs again"
            );
        }
    }
}
