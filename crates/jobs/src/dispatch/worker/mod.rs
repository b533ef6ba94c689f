//! One worker as its owner sees it.

use std::collections::BTreeMap;

use slotmap::new_key_type;

use super::event::WorkerRecord;
use crate::ids::TaskId;
use crate::spec::Resources;

new_key_type! {
    /// Worker in the owner's table.
    pub struct WorkerKey;
}

/// Slowest clock of a worker against a true one, in percent: a lease may last this much longer. From the interface
/// of the workers.
const DRIFT_PERCENT: u64 = 2;
/// Time added to a lease before it counts as over, in milliseconds. Covers the age of the clock estimate.
const LEASE_MARGIN_MS: u64 = 500;
/// Weight of the newest outcome in the share of failed runs, in percent.
const OUTCOME_PERCENT: u64 = 20;
/// Share of failed runs above which a worker gets no new tasks, in thousandths.
const FAILING_PERMILLE: u64 = 500;
/// Time after which a failing worker is tried again, in milliseconds.
const RETRY_MS: u64 = 5_000;

/// Run on a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// Number of the run.
    pub number: u32,
    /// Room that it takes.
    pub reserved: Resources,
    /// Resources that count against the team's limit.
    pub need: Resources,
    /// Team.
    pub team: Option<String>,
    /// Time of the placement.
    pub placed: u64,
    /// True once a start was sent.
    pub sent: bool,
    /// Time from which the worker surely had the start or refuses it.
    pub confirmed: Option<u64>,
    /// True once a stop was ordered.
    pub stopping: bool,
    /// Whether a former owner's stop may be under way.
    pub former_stop: FormerStop,
    /// True once the task may run elsewhere beside this run.
    pub superseded: bool,
    /// Time of the next order for this run, if one is due.
    pub next_order: Option<u64>,
    /// Orders sent without an answer.
    pub unanswered: u32,
    /// Starts in a row that found no connection.
    pub failed_connects: u32,
    /// Looks in a row that did not list it.
    pub unlisted_polls: u32,
    /// Share of the work that is done, in percent; 100 once a lasting task is at work.
    pub progress: u8,
    /// Share of full speed that was ordered, in percent.
    pub speed: u8,
    /// True if the task lasts until its job is cancelled.
    pub long_running: bool,
    /// Newest checkpoint that the worker listed.
    pub checkpoint: String,
    /// Bound of the response time of a serving task, in milliseconds.
    pub target_ms: Option<u64>,
    /// True for a filling task.
    pub best_effort: bool,
    /// Time of the last change of pace or of the last stop.
    pub last_change: u64,
    /// Ticket of the queue's policy.
    pub ticket: Option<String>,
}

impl Run {
    /// True if its start waits for the store, for its turn in this process or for a first answer.
    #[must_use]
    pub const fn awaits_answer(&self) -> bool {
        self.confirmed.is_none() && !self.stopping && self.unanswered == 0 && self.failed_connects == 0
    }

    /// True if a lasting task is at work here and nobody stops it.
    #[must_use]
    pub fn available(&self) -> bool {
        self.confirmed.is_some()
            && !self.stopping
            && self.former_stop == FormerStop::Impossible
            && self.progress >= 100
    }
}

/// Whether a former owner's order may still act on a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FormerStop {
    /// Its worker has not listed the run yet, and may still take orders of the former owner.
    Possible,
    /// A run that is listed after this time is not being stopped by a former owner.
    Until(u64),
    /// Only this owner's orders act on it.
    Impossible,
}

impl FormerStop {
    /// Notes that the worker listed the run.
    #[must_use]
    pub const fn after_listing(self, now: u64, stop_ms: u64) -> Self {
        match self {
            Self::Possible => Self::Until(now + stop_ms + stop_ms * DRIFT_PERCENT / 100),
            Self::Until(end) if now > end => Self::Impossible,
            same => same,
        }
    }
}

/// State of the looks at a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollState {
    /// The next look may go out at this time.
    Idle(u64),
    /// A look that was sent at this time has not been answered.
    Waiting(u64),
}

/// Worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// What it last said of itself.
    pub record: WorkerRecord,
    /// Time from which it is known.
    pub known: u64,
    /// True while the directory lists it.
    pub listed: bool,
    /// True once it answered under the present epoch.
    pub fenced: bool,
    /// Looks.
    pub poll_state: PollState,
    /// Looks in a row without an answer.
    pub missed_polls: u32,
    /// Worker's clock and the time at which it was read.
    pub clock: Option<(u64, u64)>,
    /// Time by which all leases are surely over.
    pub lease_end: u64,
    /// Last end that is stored.
    pub acknowledged: u64,
    /// Last end that was told to the worker as stored.
    pub ack_received: u64,
    /// Last end that the look under way tells.
    pub ack_sent: u64,
    /// Ends that wait for the store: number of the write and of the end.
    pub pending_ack: Option<(u64, u64)>,
    /// Time from which it has listed runs or ends of jobs that are not known.
    pub unknown: Option<u64>,
    /// Runs.
    pub runs: BTreeMap<TaskId, Run>,
    /// Room taken by runs.
    pub used: Resources,
    /// Share of runs that failed lately, in thousandths.
    pub failure_permille: u64,
    /// Time until which it gets no new tasks after refusals or failures.
    pub excluded_until: u64,
    /// True while it is emptied for upkeep or a move.
    pub emptying: bool,
}

impl Worker {
    /// Creates a worker without runs.
    #[must_use]
    pub fn new(record: WorkerRecord, now: u64) -> Self {
        let clock = (record.clock_ms > 0).then_some((record.clock_ms, now));
        Self {
            record,
            known: now,
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
            unknown: None,
            runs: BTreeMap::new(),
            used: Resources::default(),
            failure_permille: 0,
            excluded_until: 0,
            emptying: false,
        }
    }

    /// Estimate of the worker's clock.
    #[must_use]
    pub fn clock_at(&self, now: u64) -> Option<u64> {
        self.clock.map(|(clock, read)| clock + now.saturating_sub(read))
    }

    /// Notes a lease of a length that was sent.
    pub fn grant(&mut self, now: u64, length: u64) {
        let end = now + length + length * DRIFT_PERCENT / 100 + LEASE_MARGIN_MS;
        self.lease_end = self.lease_end.max(end);
    }

    /// True if it answered the last look.
    #[must_use]
    pub const fn responds(&self) -> bool {
        self.fenced && self.missed_polls == 0
    }

    /// True if it may get new tasks.
    #[must_use]
    pub fn accepts_tasks(&self, now: u64) -> bool {
        self.listed
            && self.responds()
            && !self.record.draining
            && !self.emptying
            && self.excluded_until <= now
    }

    /// Room that is left.
    #[must_use]
    pub fn free_resources(&self) -> Resources {
        let mut free = self.record.capacity;
        free.subtract(self.used);
        free
    }

    /// True if a task fits.
    #[must_use]
    pub fn fits(&self, need: Resources) -> bool {
        self.used.plus(need).fits(self.record.capacity)
    }

    /// Rack, which is the last of its labels.
    #[must_use]
    pub fn rack(&self) -> Option<&str> {
        self.record.labels.get(1).map(String::as_str)
    }

    /// Adds a run.
    pub fn add(&mut self, task: TaskId, run: Run) {
        self.used.add(run.reserved);
        self.runs.insert(task, run);
    }

    /// Removes a run.
    pub fn remove(&mut self, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        self.used.subtract(run.reserved);
        Some(run)
    }

    /// Notes how a run ended. A worker on which most runs fail is left alone for a while.
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
