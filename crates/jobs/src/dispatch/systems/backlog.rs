//! Waiting work of the active jobs. It is computed again only for jobs that changed, so that passes over a long queue do
//! not visit each task.

use std::collections::BTreeSet;
use std::fmt;
use std::ops::Bound;

use super::super::Dispatcher;
use super::super::names::{PoolKey, TeamKey};
use super::durations::JobTimes;
use crate::ids::JobId;
use crate::spec::Submission;
use crate::table::{Occurrence, Phase, Progress, TaskState};

/// Waiting tasks of a repeated job from which no further occurrence begins unless a step has none. More than the starts
/// that may be unanswered, so that room is used as soon as it is free.
const MAX_WAITING_TASKS: u64 = 4_096;
/// Largest number of tasks of a repeated job in occurrences that have begun. Bounds the memory for a job of which a step
/// can never run.
const MAX_BEGUN_TASKS: u64 = 100_000;
/// Jobs whose estimates are compared with what is learned in each tick. 10,000 waiting jobs take some seconds, at a cost that is
/// small against that of a placement pass.
const COMPARED_JOBS: usize = 64;
/// Tasks of the jobs whose backlogs are computed again in a tick because of what is learned.
const COMPARED_TASKS: u64 = 4_096;

/// Active job. The terms are those of the present configuration.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct Track {
    /// Time by which the job should complete.
    pub(super) objective: u64,
    /// True once a failed run of the job was counted against a worker.
    pub(super) failure_counted: bool,
    /// Pool that runs it.
    pub(super) pool: PoolKey,
    /// Priority of its queue; 0 goes first.
    pub(super) priority: u32,
    /// Team that it is accounted to.
    pub(super) team: Option<TeamKey>,
    /// True once it was logged that occurrences wait for earlier ones.
    pub(super) wait_logged: bool,
    pub(super) backlog: Backlog,
}

/// Longest chain of steps that an occurrence still has to run.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Chain {
    /// Sum of the typical times, in milliseconds.
    pub(super) length: u64,
    /// Number of steps.
    pub(super) steps: u64,
}

/// What the members of a gang need at once.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct GangNeed {
    /// Number of members.
    count: u64,
    /// Processor that each reserves, in thousandths of a core.
    cpu: u64,
    /// Largest number of them on one worker.
    spread: u64,
    /// Index of the step in the job.
    pub(super) step: usize,
}

impl GangNeed {
    /// The larger one of two.
    pub(super) const fn max(self, other: Self) -> Self {
        if self.count.saturating_mul(self.cpu) >= other.count.saturating_mul(other.cpu) {
            self
        } else {
            other
        }
    }

    /// Number of workers of a size that hold all members, by their processor in thousandths of a core.
    pub(super) fn workers(self, size: u64) -> u64 {
        self.count.div_ceil((size / self.cpu.max(1)).min(self.spread).max(1))
    }
}

/// Active jobs whose backlog is out of date.
#[derive(Clone, Default)]
pub(in super::super) struct StaleJobs(BTreeSet<JobId>);

/// Shows nothing, because the backlogs follow from the progress of the jobs.
impl fmt::Debug for StaleJobs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("StaleJobs").finish_non_exhaustive()
    }
}

/// Waiting work of one job. Processor is given in thousandths of a core.
#[derive(Clone, Copy, Default, Eq, PartialEq)]
pub(in super::super) struct Backlog {
    /// Waiting tasks.
    pub(super) waiting: u64,
    /// Waiting tasks of steps that are ready.
    pub(super) ready: u64,
    /// Processor that the ready tasks reserve.
    pub(super) ready_cpu: u64,
    /// Processor times expected time of the ready tasks that end by themselves, in milliseconds.
    pub(super) ready_work: u64,
    /// Memory times expected time of these tasks, in MB times milliseconds.
    pub(super) ready_memory: u64,
    /// Processor that long-running tasks occupy.
    pub(super) long_running_cpu: u64,
    /// Memory that long-running tasks occupy, in MB.
    pub(super) long_running_memory: u64,
    /// Number of workers over which long-running tasks must be spread.
    pub(super) min_workers: u64,
    /// Largest gang that waits.
    pub(super) gang: GangNeed,
    /// True if a step runs until the job is cancelled.
    pub(super) long_running: bool,
    /// True if a step that depends on no other has no waiting tasks.
    pub(super) exhausted: bool,
    /// Tasks of the occurrences that have begun and are not done.
    pub(super) begun: u64,
    /// Longest chain of steps with waiting tasks.
    pub(super) chain: Chain,
    /// Revision of the queue's expected durations that it is computed from.
    revision: u32,
}

/// Shows nothing, because the backlog follows from the progress of the job.
impl fmt::Debug for Backlog {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Backlog").finish_non_exhaustive()
    }
}

impl Backlog {
    /// Waiting work of a job with this progress.
    fn of(submission: &Submission, progress: &Progress, times: JobTimes<'_>) -> Self {
        let mut backlog = Self { revision: times.revision(), ..Self::default() };
        for occurrence in &progress.occurrences {
            let chain = backlog.add_occurrence(submission, occurrence, times);
            if chain.length > backlog.chain.length {
                backlog.chain = chain;
            }
        }
        backlog.long_running = submission.steps.iter().any(|step| step.long_running);
        backlog.exhausted = submission.steps.iter().enumerate().any(|(number, step)| {
            let waits = |occurrence: &Occurrence| {
                occurrence.step(submission, number).iter().any(|task| task.state == TaskState::Waiting)
            };
            step.after.is_empty() && !progress.occurrences.iter().any(waits)
        });
        backlog.begun = progress.occurrences.iter().map(|occurrence| occurrence.tasks.len() as u64).sum();
        backlog
    }

    /// True if another occurrence with this many tasks may begin, for a job that may have `most` of them. While each step that
    /// depends on no other has waiting tasks, many more of them can't be placed either. One occurrence may always begin.
    pub(super) fn admits(&self, tasks: u64, most: u64) -> bool {
        let useful = self.exhausted || self.waiting < MAX_WAITING_TASKS;
        useful && (self.begun == 0 || self.begun + tasks <= most.min(MAX_BEGUN_TASKS))
    }

    /// Counts an occurrence whose tasks all wait.
    pub(super) const fn add_new_occurrence(&mut self, tasks: u64) {
        self.waiting += tasks;
        self.begun += tasks;
        self.exhausted = false;
    }

    /// Adds the waiting tasks of an occurrence. Returns its longest chain of steps with waiting tasks.
    fn add_occurrence(
        &mut self,
        submission: &Submission,
        occurrence: &Occurrence,
        times: JobTimes<'_>,
    ) -> Chain {
        let mut ends: Vec<Chain> = Vec::with_capacity(submission.steps.len());
        for (number, step) in submission.steps.iter().enumerate() {
            let tasks = occurrence.step(submission, number);
            let waiting = tasks.iter().filter(|task| task.state == TaskState::Waiting).count() as u64;
            let before = step.after.iter().filter_map(|&s| ends.get(usize::from(s)));
            let mut chain = before.max_by_key(|chain| chain.length).copied().unwrap_or_default();
            let expected = (waiting > 0).then(|| times.of_rest(occurrence.number, number, step));
            if let Some(expected) = expected {
                chain.length = chain.length.saturating_add(expected.typical_ms);
                chain.steps += 1;
            }
            ends.push(chain);
            self.waiting += waiting;
            if step.long_running {
                let cpu = u64::from(step.count).saturating_mul(step.reserved().cpu);
                self.long_running_cpu = self.long_running_cpu.saturating_add(cpu);
                let memory = u64::from(step.count).saturating_mul(step.need.memory);
                self.long_running_memory = self.long_running_memory.saturating_add(memory);
                let spread = step.spread.map_or(1, |most| u64::from(step.count.div_ceil(most.max(1))));
                self.min_workers = self.min_workers.max(spread);
            }
            if waiting == 0 || !occurrence.step_ready(submission, number) {
                continue;
            }
            if step.gang && !step.long_running {
                let spread = u64::from(step.spread.unwrap_or(u32::MAX));
                let (count, cpu) = (u64::from(step.count), step.reserved().cpu);
                self.gang = self.gang.max(GangNeed { count, cpu, spread, step: number });
            }
            self.ready += waiting;
            let cpu = waiting.saturating_mul(step.reserved().cpu);
            self.ready_cpu = self.ready_cpu.saturating_add(cpu);
            if !step.long_running {
                let mean_ms = expected.map_or(0, |expected| expected.mean_ms);
                let work = waiting.saturating_mul(step.need.cpu).saturating_mul(mean_ms);
                self.ready_work = self.ready_work.saturating_add(work);
                let work = waiting.saturating_mul(step.need.memory).saturating_mul(mean_ms);
                self.ready_memory = self.ready_memory.saturating_add(work);
            }
        }
        ends.into_iter().max_by_key(|chain| chain.length).unwrap_or_default()
    }
}

/// Tasks of all repeated jobs in occurrences that have begun. They take memory at the owner and at each holder for as long as they
/// can't be done.
#[derive(Clone, Copy, Debug, Default)]
pub(in super::super) struct BegunTasks {
    total: u64,
    /// True while occurrences wait that would begin if other jobs had fewer tasks.
    exceeded: bool,
}

impl BegunTasks {
    /// Number of tasks.
    pub(in super::super) const fn total(self) -> u64 {
        self.total
    }

    pub(super) const fn add(&mut self, tasks: u64) {
        self.total = self.total.saturating_add(tasks);
    }

    pub(super) const fn remove(&mut self, tasks: u64) {
        self.total = self.total.saturating_sub(tasks);
    }

    /// Number of tasks that a job with `own` ones may have: half of what the others leave of the budget, so that no job uses up
    /// what the next one needs.
    pub(super) const fn share(self, own: u64, budget: u64) -> u64 {
        budget.saturating_sub(self.total.saturating_sub(own)) / 2
    }

    /// Records whether occurrences wait for the budget, and logs a change.
    pub(super) fn set_exceeded(&mut self, exceeded: bool, budget: u64) {
        if std::mem::replace(&mut self.exceeded, exceeded) != exceeded {
            log::info!(
                exceeded = exceeded, begun = self.total, budget = budget;
                "whether occurrences wait for the memory of others has changed"
            );
        }
    }
}

impl Dispatcher {
    /// Tasks of repeated jobs in occurrences that have begun, and their budget.
    #[must_use]
    pub const fn begun_tasks(&self) -> (u64, u64) {
        (self.begun_work.total(), self.options.begun_tasks)
    }

    /// Records that a job changed: its progress is written, and its backlog computed again.
    pub(super) fn touch(&mut self, id: JobId) {
        self.dirty_jobs.insert(id);
        self.mark_stale(id);
    }

    /// Has the backlog of a job computed again.
    pub(super) fn mark_stale(&mut self, id: JobId) {
        self.stale_jobs.0.insert(id);
    }

    /// Computes the backlogs of the jobs that changed.
    pub(in super::super) fn refresh_backlogs(&mut self) {
        self.mark_outdated();
        for id in std::mem::take(&mut self.stale_jobs.0) {
            let (Some(job), Some(track)) = (self.table.get(id), self.tracks.get_mut(&id)) else { continue };
            let active = job.progress.phase == Phase::Active && !job.canceled;
            let backlog = if active {
                Backlog::of(&job.submission, &job.progress, self.durations.of_job(&job.submission))
            } else {
                Backlog::default()
            };
            if job.submission.schedule.is_some() {
                self.begun_work.remove(track.backlog.begun);
                self.begun_work.add(backlog.begun);
            }
            track.backlog = backlog;
        }
    }

    /// Has the backlogs of some jobs computed again if what is learned of their queues has moved since. Each call takes the
    /// next ones.
    fn mark_outdated(&mut self) {
        let mut tasks = 0;
        let mut outdated = Vec::new();
        let after = self.compared.take().map_or(Bound::Unbounded, Bound::Excluded);
        for (compared, (&id, track)) in self.tracks.range((after, Bound::Unbounded)).enumerate() {
            if compared == COMPARED_JOBS || tasks > COMPARED_TASKS {
                break;
            }
            self.compared = Some(id);
            let Some(job) = self.table.get(id).filter(|_| track.backlog.waiting > 0) else { continue };
            if track.backlog.revision != self.durations.of_job(&job.submission).revision() {
                outdated.push(id);
                tasks += track.backlog.begun;
            }
        }
        // The next call begins again at the first job.
        if self.compared == self.tracks.keys().next_back().copied() {
            self.compared = None;
        }
        outdated.into_iter().for_each(|id| self.mark_stale(id));
    }

    /// Applies the terms of the present configuration to the active jobs.
    pub(in super::super) fn refresh_terms(&mut self) {
        let ids: Vec<JobId> = self.tracks.keys().copied().collect();
        for id in ids {
            let Some(job) = self.table.get(id) else { continue };
            let terms = self.terms(&job.submission);
            let pool = self.pools.intern(&terms.pool);
            if let Some(track) = self.tracks.get_mut(&id) {
                track.pool = pool;
                track.priority = terms.priority;
            }
        }
    }
}
