//! State that the dispatcher keeps about one worker and its runs.

use std::collections::BTreeMap;

use slotmap::new_key_type;

use super::event::WorkerRecord;
use super::names::{PoolKey, TeamKey};
use crate::ids::TaskId;
use crate::spec::Resources;

new_key_type! {
    /// Key of a worker in the dispatcher's table.
    pub struct WorkerKey;
}

/// Largest drift of a worker's clock, in percent, as stated by the interface of the workers. A lease may last
/// this much longer.
const DRIFT_PERCENT: u64 = 2;
/// Time added to a lease before it counts as expired, in milliseconds. Covers the age of the clock estimate.
const LEASE_MARGIN_MS: u64 = 500;
/// Weight of the latest outcome in the moving average of failed runs, in percent.
const OUTCOME_PERCENT: u64 = 20;
/// Average of failed runs above which a worker gets no new tasks, in thousandths.
const FAILING_PERMILLE: u64 = 500;
/// Time after which a failing worker gets tasks again, in milliseconds.
const RETRY_MS: u64 = 5_000;

/// Run of a task on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the run within its task.
    pub number: u32,
    /// Resources that it occupies on the worker.
    pub reserved: Resources,
    /// Resources that count against the team's limit.
    pub need: Resources,
    /// Team that it is accounted to, if the job has one.
    pub team: Option<TeamKey>,
    /// Time of the placement.
    pub placed: u64,
    /// True once a start was sent.
    pub sent: bool,
    /// Time at which the worker was first known to have the start or to refuse it from then on.
    pub confirmed: Option<u64>,
    /// True once a stop was ordered.
    pub stopping: bool,
    /// Whether a stop ordered by a former owner may still take effect.
    pub former_stop: FormerStop,
    /// True once the task may be placed again while this run continues.
    pub superseded: bool,
    /// Time at which the last order is to be repeated; none if its outcome is known.
    pub next_order: Option<u64>,
    /// Consecutive starts without an answer.
    pub unanswered: u32,
    /// Consecutive starts that found no connection.
    pub failed_connects: u32,
    /// Consecutive polls whose answer did not list the run.
    pub unlisted_polls: u32,
    /// Completed share of the work, in percent. A long-running task reports 100 once it is up.
    pub progress: u8,
    /// Time at which the listed progress last changed.
    pub progress_at: u64,
    /// Processor share that was last ordered, in percent of full speed.
    pub speed_percent: u8,
    /// True if the task runs until its job is cancelled.
    pub long_running: bool,
    /// Newest checkpoint that the worker listed; empty if there is none.
    pub checkpoint: String,
    /// Response time target of a serving task, in milliseconds.
    pub target_ms: Option<u64>,
    /// True if the task uses only processor time that others leave.
    pub best_effort: bool,
    /// Time of the placement, of the last change of speed or of the last stop order, whichever is latest.
    pub last_change: u64,
    /// Ticket of the queue's policy; none if the queue has no policy.
    pub ticket: Option<String>,
}

impl Run {
    /// True if its start waits for the store, for its turn in this process or for a first answer.
    #[must_use]
    pub const fn awaits_answer(&self) -> bool {
        self.confirmed.is_none() && !self.stopping && self.unanswered == 0 && self.failed_connects == 0
    }

    /// Time that the run will take by its listed progress, in milliseconds; none without progress.
    #[must_use]
    pub fn projected_ms(&self, now: u64) -> Option<u64> {
        let elapsed = now.saturating_sub(self.confirmed?.max(self.placed));
        (elapsed * 100).checked_div(u64::from(self.progress.min(100)))
    }

    /// True if a long-running task is up here and no stop may be under way.
    #[must_use]
    pub fn available(&self) -> bool {
        self.confirmed.is_some()
            && !self.stopping
            && self.former_stop == FormerStop::Impossible
            && self.progress >= 100
    }
}

/// Whether a stop ordered by a former owner may still take effect on a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FormerStop {
    /// The worker has not listed the run yet and may still accept orders of the former owner.
    Possible,
    /// If the worker still lists the run after this time, no stop of the former owner is under way.
    Until(u64),
    /// Only orders of this owner take effect.
    Impossible,
}

impl FormerStop {
    /// State after the worker listed the run under this owner.
    #[must_use]
    pub const fn after_listing(self, now: u64, stop_ms: u64) -> Self {
        match self {
            Self::Possible => Self::Until(now + stop_ms + stop_ms * DRIFT_PERCENT / 100),
            Self::Until(end) if now > end => Self::Impossible,
            same => same,
        }
    }
}

/// State of the polls of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollState {
    /// The next poll may be sent at this time.
    Idle(u64),
    /// The poll sent at this time has no answer yet.
    Waiting(u64),
}

/// Worker with its runs.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its latest record in the directory.
    pub record: WorkerRecord,
    /// Pool in that record.
    pub pool: PoolKey,
    /// Time at which this process of the worker was first seen.
    pub known_since: u64,
    /// True while the directory lists it.
    pub listed: bool,
    /// True once it answered under the present epoch; it refuses orders of former owners from then on.
    pub fenced: bool,
    /// When it is polled next, or since when an answer is missing.
    pub poll_state: PollState,
    /// Consecutive polls without an answer.
    pub missed_polls: u32,
    /// The worker's clock and the local time at which it was read.
    pub clock: Option<(u64, u64)>,
    /// Time after which all leases have surely expired.
    pub lease_end: u64,
    /// Highest number of an end that is stored.
    pub acknowledged: u64,
    /// Highest stored end that the worker knows to be stored.
    pub ack_received: u64,
    /// Highest stored end that the poll under way acknowledges.
    pub ack_sent: u64,
    /// Ends that wait for the store: number of the write that contains them and number of the last one.
    pub pending_ack: Option<(u64, u64)>,
    /// Time since which it has listed runs or ends of unknown jobs.
    pub unknown_since: Option<u64>,
    /// Runs that hold resources on it, by task.
    pub runs: BTreeMap<TaskId, Run>,
    /// Resources that its runs occupy.
    pub used: Resources,
    /// Moving average of failed runs, in thousandths.
    pub failure_permille: u64,
    /// Time until which it gets no new tasks, after a refusal, a failure or a slow run.
    pub excluded_until: u64,
    /// True while its machine is emptied for upkeep or a move.
    pub emptying: bool,
}

impl Worker {
    /// Creates a worker without runs.
    #[must_use]
    pub fn new(record: WorkerRecord, pool: PoolKey, now: u64) -> Self {
        let clock = (record.clock_ms > 0).then_some((record.clock_ms, now));
        Self {
            record,
            pool,
            known_since: now,
            listed: true,
            fenced: false,
            poll_state: PollState::Idle(now),
            missed_polls: 0,
            clock,
            lease_end: 0,
            acknowledged: 0,
            ack_received: 0,
            ack_sent: 0,
            pending_ack: None,
            unknown_since: None,
            runs: BTreeMap::new(),
            used: Resources::default(),
            failure_permille: 0,
            excluded_until: 0,
            emptying: false,
        }
    }

    /// Estimate of the worker's clock at a local time.
    #[must_use]
    pub fn clock_at(&self, now: u64) -> Option<u64> {
        self.clock.map(|(clock, read)| clock + now.saturating_sub(read))
    }

    /// Extends the end of the leases by a lease of this length that is sent now.
    pub fn grant(&mut self, now: u64, length: u64) {
        let end = now + length + length * DRIFT_PERCENT / 100 + LEASE_MARGIN_MS;
        self.lease_end = self.lease_end.max(end);
    }

    /// True if it answered the last poll, under the present epoch.
    #[must_use]
    pub const fn responds(&self) -> bool {
        self.fenced && self.missed_polls == 0
    }

    /// True if tasks may be placed on it.
    #[must_use]
    pub fn accepts_tasks(&self, now: u64) -> bool {
        self.listed
            && self.responds()
            && !self.record.draining
            && !self.emptying
            && self.excluded_until <= now
    }

    /// Capacity that no run occupies.
    #[must_use]
    pub fn free_resources(&self) -> Resources {
        let mut free = self.record.capacity;
        free.subtract(self.used);
        free
    }

    /// True if a task with these needs fits beside its runs.
    #[must_use]
    pub fn fits(&self, need: Resources) -> bool {
        self.used.plus(need).fits(self.record.capacity)
    }

    /// Rack, the second of its labels.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.record.labels.get(1).map(String::as_str)
    }

    /// Adds a run and reserves its resources.
    pub fn add(&mut self, task: TaskId, run: Run) {
        self.used.add(run.reserved);
        self.runs.insert(task, run);
    }

    /// Removes a run and releases its resources.
    pub fn remove(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.used.subtract(run.reserved);
        Some(run)
    }

    /// Updates the average of failed runs. A worker on which most runs fail gets no new tasks for some time.
    pub fn record_outcome(&mut self, now: u64, failed: bool) {
        let newest = if failed { 1_000 } else { 0 };
        self.failure_permille =
            (self.failure_permille * (100 - OUTCOME_PERCENT) + newest * OUTCOME_PERCENT) / 100;
        if failed && self.failure_permille > FAILING_PERMILLE {
            self.excluded_until = now + RETRY_MS;
            log::warn!(worker = self.record.worker.as_str(), failing_permille = self.failure_permille; "the worker fails most runs; no new tasks for a while");
        }
    }
}
