//! Order in which jobs with waiting tasks are served.
//!
//! It answers surges of several times the capacity of a pool. Entitled jobs go before surplus ones. A pass serves jobs of teams
//! below their share before others of the same group. Among them, jobs that can still meet their objective go first, ordered by objective,
//! so that as many as possible are on time.

use crate::dispatch::Dispatcher;
use crate::dispatch::names::TeamKey;
use crate::ids::JobId;

/// Time that a step takes in addition to its tasks, in milliseconds: its placement is stored and its ends are
/// collected.
pub(in crate::dispatch) const STEP_OVERHEAD_MS: u64 = 50;
/// Job with waiting tasks. The order of the fields is the order in which jobs are served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct QueuedJob {
    /// Priority of the queue; 0 goes first.
    priority: u32,
    /// True if its team sent more than it was owed when the job arrived.
    surplus: bool,
    /// True if the objective can no longer be met.
    pub(super) late: bool,
    /// Time by which the job should complete.
    objective: u64,
    /// Job; breaks ties.
    pub(super) id: JobId,
    /// Team that it is accounted to.
    pub(super) team: Option<TeamKey>,
}

impl QueuedJob {
    /// Jobs of a group go before all jobs of the next one, whatever their teams use.
    pub(super) const fn group(&self) -> (u32, bool) {
        (self.priority, self.surplus)
    }
}

impl Dispatcher {
    /// Active jobs with ready tasks, in the order in which they are served.
    pub(super) fn queued_jobs(&self, now: u64) -> Vec<QueuedJob> {
        let queued = self.tracks.iter().filter(|(_, track)| track.backlog.ready > 0).map(|(&id, track)| {
            let backlog = &track.backlog;
            let overhead = backlog.chain.steps * STEP_OVERHEAD_MS;
            let end = now.saturating_add(backlog.chain.length).saturating_add(overhead);
            QueuedJob {
                priority: track.priority,
                surplus: track.surplus,
                late: !backlog.long_running && end > track.objective,
                objective: track.objective,
                id,
                team: track.team,
            }
        });
        let mut queued: Vec<QueuedJob> = queued.collect();
        queued.sort_unstable();
        queued
    }
}
