//! State that the dispatcher keeps about one worker and its runs.

use std::collections::BTreeMap;

use slotmap::new_key_type;

use super::event::WorkerRecord;
use super::names::{ImageKey, PoolKey, TeamKey};
use super::systems::{Sampled, Watch};
use crate::DECISIONS;
use crate::ids::TaskId;
use crate::spec::{Resources, Step};
use crate::table::Placement;

new_key_type! {
    /// Key of a worker in the dispatcher's table.
    pub struct WorkerKey;
}

/// Largest drift of a worker's clock, in percent, as stated by the interface of the workers. A lease may last
/// this much longer.
const DRIFT_PERCENT: u64 = 2;
/// Time added to a lease before it counts as expired, in milliseconds. Covers the drift of the clock estimate within
/// [`CONTACT_MS`] and a held poll.
const LEASE_MARGIN_MS: u64 = 500;
/// Latest reading of a worker's clock that is believed, in milliseconds, so that the end of a lease doesn't overflow.
const MAX_CLOCK_MS: u64 = u64::MAX / 2;
/// Time after a worker's answer in which no restart is expected and its clock has hardly drifted, in milliseconds. Within
/// it a worker gets starts and leases without another poll.
const CONTACT_MS: u64 = 700;
/// Time since a worker's answer in which it takes tasks although a later poll timed out while the fleet loses answers, in
/// milliseconds. A third of the lease that a poll grants.
const EXCUSE_MS: u64 = 1_500;
/// Weight of the latest outcome in the moving average of failed runs, in percent.
const OUTCOME_PERCENT: u64 = 20;
/// Average of failed runs above which a worker gets no new tasks, in thousandths.
const FAILING_PERMILLE: u64 = 500;
/// Time after which a failing worker gets tasks again, in milliseconds.
const RETRY_MS: u64 = 5_000;

/// Error of the time at which a run began that doesn't matter, in milliseconds, and in percent of the time since.
const START_ERROR_MS: u64 = 250;
const START_ERROR_PERCENT: u64 = 25;

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
    /// Starts that were sent and may still be carried out: those under way, and those without an answer.
    pub open_starts: u32,
    /// True once the worker's present process has listed the run.
    pub listed: bool,
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
    /// False if that order may be lost, or if a former owner may have ordered another share.
    pub speed_known: bool,
    /// True if the task runs until its job is cancelled.
    pub long_running: bool,
    /// Newest checkpoint that the worker listed; empty if there is none.
    pub checkpoint: String,
    /// Time of the last list that has the run; 0 before the first.
    pub listed_at: u64,
    /// Response time target of a serving task, in milliseconds.
    pub target_ms: Option<u64>,
    /// True if the task uses only processor time that others leave.
    pub best_effort: bool,
    /// Time of the placement, of the last change of speed or of the last stop order, whichever is latest.
    pub last_change: u64,
    /// Ticket of the queue's policy; none if the queue has no policy.
    pub ticket: Option<String>,
    /// Image that the task runs; none if the step names none or interference isn't measured.
    pub image: Option<ImageKey>,
    /// Last observation of the run for the measure of interference.
    pub sampled: Option<Sampled>,
}

impl Run {
    /// True if a start is under way or may be carried out late.
    #[must_use]
    pub const fn may_start(&self) -> bool {
        self.open_starts > 0
    }

    /// True if a process of the worker may have begun it.
    #[must_use]
    pub const fn may_have_begun(&self) -> bool {
        self.may_start() || self.confirmed.is_some() || self.listed
    }

    /// True if its start waits for the store, for its turn in this process or for a first answer.
    #[must_use]
    pub const fn awaits_answer(&self) -> bool {
        self.confirmed.is_none() && !self.stopping && self.unanswered == 0 && self.failed_connects == 0
    }

    /// Time at which the run began; none if it may have begun long before the worker was known to have it.
    #[must_use]
    pub fn begun(&self, now: u64) -> Option<u64> {
        let confirmed = self.confirmed?;
        // A run of a former owner counts as confirmed at 0.
        let error = confirmed.checked_sub(self.placed)?;
        let elapsed = now.saturating_sub(confirmed);
        (error <= START_ERROR_MS || error * 100 <= elapsed * START_ERROR_PERCENT).then_some(confirmed)
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

/// Point in time by two clocks. The steady clock stands still while the machine is suspended; the time of day may jump.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Moment {
    /// Steady clock, in milliseconds.
    pub steady: u64,
    /// Time of day, in milliseconds since 1970.
    pub wall: u64,
}

impl Moment {
    /// Time since an earlier moment in milliseconds, the longer one by the two clocks. A jump of the time of day counts as
    /// time, too.
    #[must_use]
    pub fn since(self, earlier: Self) -> u64 {
        self.wall.abs_diff(earlier.wall).max(self.steady.saturating_sub(earlier.steady))
    }
}

/// Answer of a worker to a poll.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Contact {
    /// Steady clock at the first answer of its process, in milliseconds.
    pub since: u64,
    /// Latest time at which the worker is known to have been up.
    pub at: Moment,
    /// The worker's clock, in milliseconds.
    pub clock_ms: u64,
    /// Steady clock at which that was received, in milliseconds.
    pub read: u64,
}

/// State of the polls of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollState {
    /// The next poll may be sent at this time.
    Idle(u64),
    /// The poll sent at this time with this fencing token has no answer yet.
    Waiting(Moment, u64),
}

/// Worker with its runs.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its latest record in the directory.
    pub record: WorkerRecord,
    /// Start of the process that answered last, or before an answer of the one on which tasks were placed or that the
    /// directory shows, in milliseconds since 1970; 0 if unknown. The directory shows a new process some time after it
    /// takes orders.
    pub process_start: u64,
    /// Pool in that record.
    pub pool: PoolKey,
    /// Time at which this process of the worker was first seen.
    pub known_since: u64,
    /// True while the directory lists it.
    pub listed: bool,
    /// True while the configuration names its pool.
    pub served: bool,
    /// Fencing token of the orders to its present process.
    pub token: u64,
    /// True once it answered a poll with this token; it refuses orders of former owners and orders to its former processes
    /// from then on.
    pub fenced: bool,
    /// When it is polled next, or since when an answer is missing.
    pub poll_state: PollState,
    /// Number of the last poll.
    pub poll_number: u64,
    /// Consecutive polls without an answer.
    pub missed_polls: u32,
    /// True if it gets no tasks, starts or leases until it answers a poll.
    pub silent: bool,
    /// Requests without an answer since its last answer to one.
    pub unanswered: u32,
    /// Its last answer to an order with its present token.
    pub heard: Option<Moment>,
    /// Its last answer to a poll; none from its present process.
    pub contact: Option<Contact>,
    /// Time for which the worker may hold the poll under way until a run ends, in milliseconds.
    pub poll_wait_ms: u64,
    /// Time at which the last lease was granted; 0 if there was none.
    pub last_lease: u64,
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
    /// True if its last list of ends may not have been complete.
    pub more_ended: bool,
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
    /// True while lists lack its machine, which is due for upkeep.
    pub missing: bool,
    /// Request of the first list of machines that didn't name it; none if the last one did or if it answers.
    pub unnamed_since: Option<u64>,
    /// Consecutive polls that another worker answered at its address.
    pub replaced_polls: u32,
    /// Response times of its serving tasks above their target.
    pub watch: Watch,
}

impl Worker {
    /// Creates a worker without runs.
    #[must_use]
    pub fn new(record: WorkerRecord, pool: PoolKey, token: u64, now: u64) -> Self {
        Self {
            process_start: record.started_ms,
            record,
            pool,
            known_since: now,
            listed: true,
            served: false,
            token,
            fenced: false,
            poll_state: PollState::Idle(now),
            poll_number: 0,
            missed_polls: 0,
            silent: false,
            unanswered: 0,
            heard: None,
            contact: None,
            poll_wait_ms: 0,
            last_lease: 0,
            lease_end: 0,
            acknowledged: 0,
            ack_received: 0,
            ack_sent: 0,
            pending_ack: None,
            more_ended: false,
            unknown_since: None,
            runs: BTreeMap::new(),
            used: Resources::default(),
            failure_permille: 0,
            excluded_until: 0,
            emptying: false,
            missing: false,
            unnamed_since: None,
            replaced_polls: 0,
            watch: Watch::default(),
        }
    }

    /// Estimate of the worker's clock; none unless its process and clock are known from an answer that is recent enough.
    ///
    /// Without one the worker may have restarted meanwhile: the new process can be of another kind and does not know the
    /// ends that were acknowledged to the former one.
    #[must_use]
    pub fn clock_at(&self, at: Moment) -> Option<u64> {
        let contact = self.contact.filter(|_| self.usable() && self.record_is_current())?;
        // A poll that the worker holds fails as soon as its process ends.
        (at.since(contact.at) <= CONTACT_MS + self.poll_wait_ms).then(|| {
            contact.clock_ms.saturating_add(at.steady.saturating_sub(contact.read)).min(MAX_CLOCK_MS)
        })
    }

    /// Records an answer to a poll that the worker could hold for `wait_ms`. One that took longer may have waited in this
    /// process, so only the time at which it was asked for counts.
    pub fn record_contact(&mut self, sent: Moment, at: Moment, wait_ms: u64, clock_ms: u64) {
        let prompt = at.since(sent) <= wait_ms + CONTACT_MS;
        let since = self.contact.map_or(at.steady, |contact| contact.since);
        self.contact = Some(Contact { since, at: if prompt { at } else { sent }, read: at.steady, clock_ms });
    }

    /// Has it polled at once, or as soon as the poll under way has an outcome.
    pub const fn poll_soon(&mut self, now: u64) {
        if matches!(self.poll_state, PollState::Idle(_)) {
            self.poll_state = PollState::Idle(now);
        }
    }

    /// Has the answer to the poll under way ignored, since it is sent to a former address.
    pub const fn disown_poll(&mut self) {
        if let PollState::Waiting(_, token) = &mut self.poll_state {
            *token = 0;
        }
    }

    /// Has it get no tasks until it answers a poll that is sent from now on, which shows what it really runs.
    pub fn require_answer(&mut self, now: u64) {
        self.missed_polls = self.missed_polls.max(1);
        self.silent = true;
        self.disown_poll();
        self.poll_soon(now);
    }

    /// Time of the last answer of its present process, or at which that was first seen.
    #[must_use]
    pub fn last_answer(&self) -> u64 {
        self.contact.map_or(self.known_since, |contact| contact.at.steady.max(self.known_since))
    }

    /// Placement of a task on its newest process.
    #[must_use]
    pub fn placement(&self) -> Placement {
        Placement { worker: self.record.worker.clone(), started_ms: self.process_start }
    }

    /// True if the directory shows the process that answered last.
    const fn record_is_current(&self) -> bool {
        self.record.started_ms == 0 || self.process_start == 0 || self.record.started_ms == self.process_start
    }

    /// Extends the end of the leases by a lease of this length that is sent now.
    pub fn grant(&mut self, now: u64, length: u64) {
        let end = now + length + length * DRIFT_PERCENT / 100 + LEASE_MARGIN_MS;
        self.last_lease = now;
        self.lease_end = self.lease_end.max(end);
    }

    /// True if it answered the last poll, with its present token.
    #[must_use]
    pub const fn responds(&self) -> bool {
        self.fenced && self.missed_polls == 0
    }

    /// True if it answered the last poll, or one shortly before while the fleet loses answers.
    #[must_use]
    pub const fn usable(&self) -> bool {
        self.fenced && !self.silent
    }

    /// True if a poll that timed out while the fleet loses answers doesn't make it silent.
    #[must_use]
    pub fn excused(&self, at: Moment) -> bool {
        let recent = |answer: Moment| at.since(answer) <= EXCUSE_MS;
        self.contact.is_some_and(|contact| recent(contact.at) || self.heard.is_some_and(recent))
    }

    /// Number of requests without an answer since the last answer to one; counts anew from now on.
    pub const fn take_unanswered(&mut self) -> u32 {
        std::mem::replace(&mut self.unanswered, 0)
    }

    /// True if tasks may be placed on it.
    #[must_use]
    pub fn accepts_tasks(&self, now: u64) -> bool {
        self.listed
            && self.usable()
            && self.record_is_current()
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

    /// True if it has a label, or if none is asked for.
    #[must_use]
    pub fn has_label(&self, label: Option<&str>) -> bool {
        label.is_none_or(|label| self.record.labels.iter().any(|own| own == label))
    }

    /// True if it is of the kind and size for a task of a step that is counted among its runs.
    #[must_use]
    pub fn suits(&self, step: &Step) -> bool {
        self.has_label(step.label.as_deref()) && self.used.fits(self.record.capacity)
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
            log::warn!(target: DECISIONS, worker = self.record.worker.as_str(), failing_permille = self.failure_permille; "the worker fails most runs; no new tasks for a while");
        }
    }
}
