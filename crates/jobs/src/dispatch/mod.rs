//! Scheduling decisions of the instance that owns the accepted jobs.
//!
//! One instance owns the jobs at a time, under an epoch that the store and the workers use as fencing token.
//! The dispatcher is a deterministic state machine without I/O: it is given events and the time, updates the
//! table of jobs, and returns writes, each with the whole progress of the jobs that changed, and commands. A
//! command that depends on a change is held back until the write with that change is stored, so that a
//! successor always knows where each task may be running.

pub mod admission;
pub mod command;
pub mod estimates;
pub mod event;
mod names;
pub mod options;
mod parts;
mod systems;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use slotmap::{KeyData, SecondaryMap, SlotMap};

use crate::catalog::{Catalog, Queue, Team};
use crate::ids::{JobId, TaskId};
use crate::record::{self, Entry, next_epoch};
use crate::spec::Resources;
use crate::table::{Phase, Table};
use admission::{Declines, Reservations};
use command::{Command, MachineOrder};
use names::{Names, PoolKey, TeamKey};
use options::Options;
use parts::StoredParts;
use systems::{
    Accounts, BegunTasks, Capacity, Durations, Fleet, GangCheckpoints, Interference, Losses, PolicyTickets,
    Removals, StaleJobs, Stragglers, Track, Usage,
};
pub use systems::{Exclusions, Known, PoolLoad, Sampled, Watch, WaveProgress};
use worker::{Moment, PollState, Worker, WorkerKey};

/// Sequence number of a write, from 1.
pub type WriteNumber = u64;

/// Records that are stored together.
#[derive(Clone, Debug)]
pub struct Write {
    /// Sequence number.
    pub number: WriteNumber,
    /// Records, at most one for each key.
    pub entries: Vec<Entry>,
    /// Time at which the write was created. It is stored later, so its success proves contact with the store
    /// at this time only.
    created: u64,
    /// Jobs in the write, with the state that callers see once it is stored.
    states: Vec<(JobId, bool, Phase)>,
}

impl Write {
    /// Jobs whose state callers see once the write is stored.
    pub fn jobs(&self) -> impl Iterator<Item = JobId> {
        self.states.iter().map(|(id, ..)| *id)
    }
}

/// Counters of the owner's decisions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counters {
    /// Start orders sent, including repeated ones.
    pub starts: u64,
    /// Start orders without an answer, which are repeated.
    pub repeats: u64,
    /// Start orders refused for lack of resources.
    pub refused_room: u64,
    /// Start orders refused for another reason.
    pub refused_other: u64,
    /// Runs that ended as done or failed.
    pub ends: u64,
    /// Runs given up as lost.
    pub lost: u64,
    /// Runs that a worker listed after they had been given up.
    pub outlived: u64,
    /// Stop orders sent.
    pub stops: u64,
    /// Polls sent.
    pub polls: u64,
    /// Workers examined while placing tasks.
    pub examined: u64,
    /// Machines and workers examined while deciding on orders to machines.
    pub searched: u64,
    /// Requests to the queues' policy.
    pub policy_requests: u64,
    /// Requests to the queues' policy without a usable answer.
    pub policy_failures: u64,
    /// Jobs that completed.
    pub completed: u64,
    /// Jobs that failed.
    pub failed: u64,
    /// Submissions that were admitted, those of known jobs not included.
    pub admitted: u64,
    /// Those of them that were in surplus.
    pub surplus: u64,
    /// Submissions declined since their team sends more than it is owed.
    pub declined_share: u64,
    /// Submissions declined since their objective can't be met.
    pub declined_deadline: u64,
    /// Tasks placed on another worker because of a neighbour that harms.
    pub moved_apart: u64,
    /// Tasks placed beside a neighbour that harms for lack of another worker.
    pub left_beside: u64,
    /// Changes of speed of neighbours that harm, while others kept theirs.
    pub throttled_single: u64,
    /// Times at which slowing the neighbours that harm did not help and all best-effort tasks were slowed.
    pub throttled_all: u64,
}

/// Use of the fleet by a team.
#[derive(Clone, Copy, Debug, Default)]
struct TeamUsage {
    /// Resources that its runs use.
    used: Resources,
    /// Number of its active jobs.
    jobs: u64,
}

/// State machine of the owner. Times are milliseconds of the process's monotonic clock, unless they are given
/// as time of day.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    options: Options,
    epoch: u64,
    /// Fencing token of the worker process that was seen last.
    newest_token: u64,
    /// Jobs with their progress.
    pub table: Table,
    catalog: Arc<Catalog>,
    index: Arc<CatalogIndex>,
    pools: Names<PoolKey>,
    teams: Names<TeamKey>,
    evacuated: BTreeSet<String>,
    workers: SlotMap<WorkerKey, Worker>,
    keys_by_id: BTreeMap<String, WorkerKey>,
    /// Runs on all workers, by task.
    placed: BTreeSet<(TaskId, WorkerKey)>,
    /// Runs whose last order may have no outcome yet.
    unsettled: BTreeSet<(WorkerKey, TaskId)>,
    team_usage: SecondaryMap<TeamKey, TeamUsage>,
    /// Active jobs.
    tracks: BTreeMap<JobId, Track>,
    /// Ended jobs with the time of their end, oldest first.
    ended: VecDeque<(u64, JobId)>,
    /// Jobs whose progress is not part of a write yet.
    dirty_jobs: BTreeSet<JobId>,
    stored_parts: StoredParts,
    stale_jobs: StaleJobs,
    /// Job up to which the estimates of the backlogs were compared with what is learned; none at the beginning.
    compared: Option<JobId>,
    dirty_waves: BTreeSet<u64>,
    /// Last write with the progress of each wave.
    wave_writes: BTreeMap<u64, WriteNumber>,
    /// True if the owner's record is to be written again. The store refuses that write if there is a newer
    /// owner.
    owner_dirty: bool,
    /// Machines whose last order is not part of a write yet, with the number of that order.
    dirty_orders: BTreeMap<String, u64>,
    /// Orders to machines that are sent once a write is stored.
    unstored_orders: VecDeque<(WriteNumber, MachineOrder)>,
    /// Placed tasks whose start is sent once a write is stored, with the number of the run.
    unstored_starts: VecDeque<(WriteNumber, TaskId, u32, WorkerKey)>,
    /// Tasks placed since the last write was created, with the number of the run.
    new_placements: Vec<(TaskId, u32, WorkerKey)>,
    /// Number of the last write that was created.
    last_write: WriteNumber,
    /// Number of the last write that is stored.
    stored_write: WriteNumber,
    commands: Vec<Command>,
    /// True if nothing that affects placement has changed since the last placement pass.
    unchanged: bool,
    /// Time of the last placement pass.
    last_pass: u64,
    /// Number of placement passes so far.
    pass_count: u64,
    /// Earliest time of the next placement pass.
    next_pass: u64,
    /// Active jobs with occurrences that have not started.
    scheduled: BTreeSet<JobId>,
    /// Time of the last search for ended jobs whose retention is over.
    last_sweep: u64,
    /// Time of the last log lines about the load of the pools.
    last_load: u64,
    /// Time up to which all accepted jobs and cancellations are known.
    intake_until: u64,
    /// Time at which this owner started, when it had read the intake.
    begun: u64,
    /// Time up to which all changes are stored.
    settled: u64,
    /// Jobs removed since the last call of [`Self::take_dropped`].
    dropped: Vec<JobId>,
    /// Removed jobs whose records could not be deleted from the intake.
    undeleted: Vec<JobId>,
    /// Cancellations of jobs that are not stored, with the times at which they were read.
    early_cancellations: BTreeMap<JobId, u64>,
    /// Cancellations removed since the last call of [`Self::take_dropped_cancellations`].
    dropped_cancellations: Vec<JobId>,
    /// Jobs that workers have begun since the last call of [`Self::take_started`].
    started_jobs: Vec<JobId>,
    /// Lateness of the jobs that completed since the last call, in milliseconds.
    lateness: Vec<u64>,
    /// Time of day minus local time, in milliseconds.
    unix_offset: i64,
    /// Time of day that was last set, in milliseconds since 1970.
    wall_clock: u64,
    /// Time at which the store was last known to have no newer owner.
    last_contact: u64,
    losses: Losses,
    durations: Durations,
    stragglers: Stragglers,
    interference: Interference,
    gang_checkpoints: GangCheckpoints,
    begun_work: BegunTasks,
    declines: Declines,
    reservations: Reservations,
    policy_tickets: PolicyTickets,
    removals: Removals,
    fleet: Fleet,
    accounts: Accounts,
    capacity: Capacity,
    usage: Usage,
    /// Counters since this owner started.
    pub counters: Counters,
    fenced_out: bool,
}

impl Dispatcher {
    /// Creates the dispatcher of a new owner and takes over the jobs in the table.
    ///
    /// `unix_ms` is the time of day at `now`, in milliseconds since 1970.
    #[must_use]
    pub fn new(
        options: Options,
        epoch: u64,
        table: Table,
        catalog: Arc<Catalog>,
        now: u64,
        unix_ms: u64,
    ) -> Self {
        let mut dispatcher = Self {
            options,
            epoch,
            newest_token: epoch,
            table,
            index: Arc::new(CatalogIndex::new(&catalog)),
            pools: Names::default(),
            teams: Names::default(),
            catalog,
            evacuated: BTreeSet::new(),
            workers: SlotMap::with_key(),
            keys_by_id: BTreeMap::new(),
            placed: BTreeSet::new(),
            unsettled: BTreeSet::new(),
            team_usage: SecondaryMap::new(),
            tracks: BTreeMap::new(),
            ended: VecDeque::new(),
            dirty_jobs: BTreeSet::new(),
            stored_parts: StoredParts::default(),
            stale_jobs: StaleJobs::default(),
            compared: None,
            dirty_waves: BTreeSet::new(),
            wave_writes: BTreeMap::new(),
            owner_dirty: false,
            dirty_orders: BTreeMap::new(),
            unstored_orders: VecDeque::new(),
            unstored_starts: VecDeque::new(),
            new_placements: Vec::new(),
            last_write: 0,
            stored_write: 0,
            commands: Vec::new(),
            unchanged: false,
            last_pass: 0,
            pass_count: 0,
            next_pass: 0,
            scheduled: BTreeSet::new(),
            last_sweep: 0,
            last_load: 0,
            intake_until: 0,
            begun: now,
            settled: now,
            dropped: Vec::new(),
            undeleted: Vec::new(),
            early_cancellations: BTreeMap::new(),
            dropped_cancellations: Vec::new(),
            started_jobs: Vec::new(),
            lateness: Vec::new(),
            unix_offset: 0,
            wall_clock: unix_ms,
            last_contact: now,
            losses: Losses::default(),
            durations: Durations::default(),
            stragglers: Stragglers::default(),
            interference: Interference::default(),
            gang_checkpoints: GangCheckpoints::default(),
            begun_work: BegunTasks::default(),
            declines: Declines::default(),
            reservations: Reservations::default(),
            policy_tickets: PolicyTickets::default(),
            removals: Removals::default(),
            fleet: Fleet::default(),
            accounts: Accounts::default(),
            capacity: Capacity::default(),
            usage: Usage::default(),
            counters: Counters::default(),
            fenced_out: false,
        };
        dispatcher.set_unix(now, unix_ms);
        dispatcher.adopt_jobs(now);
        dispatcher
    }

    /// Sets the last contact with the store to the time at which the claim was sent. Another owner may have
    /// claimed the jobs between then and now.
    #[must_use]
    pub const fn with_contact(mut self, asked: u64) -> Self {
        self.last_contact = asked;
        self
    }

    /// Epoch of this owner, the lowest fencing token of its orders.
    #[must_use]
    pub const fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Fencing token for a process of a worker that was not seen before, or not for some time. Ownership is given up once
    /// none is left below the next epoch.
    fn raise_token(&mut self) -> u64 {
        if self.newest_token + 1 < next_epoch(self.epoch) {
            self.newest_token += 1;
        } else {
            log::warn!(epoch = self.epoch; "all fencing tokens of this epoch are used up");
            self.fenced_out = true;
        }
        self.newest_token
    }

    /// True once a worker or the store has reported a newer owner.
    #[must_use]
    pub const fn fenced_out(&self) -> bool {
        self.fenced_out
    }

    /// Sets the time of day at a local time.
    pub fn set_unix(&mut self, now: u64, unix_ms: u64) {
        self.wall_clock = unix_ms;
        self.unix_offset = i64::try_from(unix_ms).unwrap_or(0) - i64::try_from(now).unwrap_or(0);
    }

    /// Records contact with the store: at the time `asked` there was no newer owner. The time of the request
    /// counts, since the answer may be read long after it was given.
    pub fn contacted(&mut self, asked: u64) {
        self.last_contact = self.last_contact.max(asked);
    }

    /// Records that the intake was read up to the end that it had at the time `asked`: all jobs accepted
    /// before then are known.
    pub fn intake_read(&mut self, asked: u64) {
        self.intake_until = self.intake_until.max(asked);
    }

    /// Requests a write that proves that there is no newer owner. It is needed when another instance may have
    /// seen this one leave the group.
    pub const fn prove_ownership(&mut self) {
        self.owner_dirty = true;
    }

    /// Local time with the time of day.
    fn moment(&self, now: u64) -> Moment {
        let wall = i64::try_from(now).unwrap_or(i64::MAX).saturating_add(self.unix_offset);
        Moment { steady: now, wall: u64::try_from(wall).unwrap_or(0) }
    }

    /// True while no other owner can have waited until this owner's leases expired.
    const fn in_contact(&self, now: u64) -> bool {
        now.saturating_sub(self.last_contact) <= self.options.store_timeout_ms
    }

    /// Length of a lease of at most `longest` milliseconds that is granted now, so that it ends before a new owner counts on its end.
    fn lease_length(&self, now: u64, longest: u64) -> u64 {
        longest.min((self.last_contact + self.options.contact_lease_ms).saturating_sub(now))
    }

    /// Replaces the options.
    pub fn set_options(&mut self, options: Options) {
        self.options = options;
    }

    /// Replaces the configuration.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        if Arc::ptr_eq(&self.catalog, &catalog) {
            return;
        }
        self.index = Arc::new(CatalogIndex::new(&catalog));
        self.catalog = catalog;
        for worker in self.workers.values_mut() {
            worker.served = self.catalog.pool(&worker.record.pool).is_some();
        }
        self.refresh_terms();
        self.unchanged = false;
    }

    /// Replaces the set of evacuated availability zones, which get no new tasks.
    pub fn set_evacuated(&mut self, zones: BTreeSet<String>) {
        self.evacuated = zones;
        self.unchanged = false;
    }

    /// Advances all systems to a time.
    pub fn tick(&mut self, now: u64) {
        if self.is_clean() && self.stored_write == self.last_write {
            self.settled = now;
        }
        self.begin_occurrences(now);
        self.expire_leases(now);
        self.send_due_orders(now);
        self.refresh_backlogs();
        self.refresh_capacity(now);
        self.run_fleet(now);
        self.update_usage(now);
        self.place_tasks(now);
        self.poll_workers(now);
        self.drop_ended(now);
        self.expire_declines(now);
        self.log_load(now);
        self.review_interference(now);
    }

    /// Commands issued since the last call.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Jobs that workers have begun since the last call, whose state is to be published.
    pub fn take_started(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.started_jobs)
    }

    /// Lateness of the jobs that completed since the last call, in milliseconds; 0 for those on time.
    pub fn take_lateness(&mut self) -> Vec<u64> {
        std::mem::take(&mut self.lateness)
    }

    /// True if nothing has changed since the last write was created.
    fn is_clean(&self) -> bool {
        self.dirty_jobs.is_empty()
            && self.dirty_waves.is_empty()
            && self.dirty_orders.is_empty()
            && !self.owner_dirty
    }

    /// Creates the next write; none if nothing changed.
    pub fn take_write(&mut self, now: u64) -> Option<Write> {
        if self.is_clean() {
            return None;
        }
        self.last_write += 1;
        let mut entries = Vec::new();
        if std::mem::take(&mut self.owner_dirty) {
            entries.push(record::owner(&self.table.owner));
        }
        let mut states = Vec::new();
        for id in std::mem::take(&mut self.dirty_jobs) {
            match self.table.get(id) {
                Some(job) => {
                    self.stored_parts.store(job, self.options.whole_bytes, &mut entries);
                    states.push((id, job.progress.started, job.progress.phase));
                }
                None => self.stored_parts.delete(id, &mut entries),
            }
        }
        for number in std::mem::take(&mut self.dirty_waves) {
            let wave = self.table.waves.get(&number);
            if wave.is_some() {
                self.wave_writes.insert(number, self.last_write);
            } else {
                self.wave_writes.remove(&number);
            }
            entries
                .push(wave.map_or_else(|| record::dropped_wave(number), |wave| record::wave(number, wave)));
        }
        for (machine, number) in std::mem::take(&mut self.dirty_orders) {
            if let Some(order) = self.table.orders.get(&machine) {
                entries.push(record::order(&machine, order));
                self.unstored_orders.push_back((self.last_write, MachineOrder { machine, number }));
            }
        }
        for (task, run, key) in std::mem::take(&mut self.new_placements) {
            self.unstored_starts.push_back((self.last_write, task, run, key));
        }
        Some(Write { number: self.last_write, entries, created: now, states })
    }

    /// Handles that a write is stored: callers see the new states, starts and machine orders are sent, and
    /// ends are acknowledged.
    pub fn stored(&mut self, now: u64, write: &Write) {
        self.stored_write = write.number;
        self.settled = self.settled.max(write.created);
        self.contacted(write.created);
        for &(id, started, phase) in &write.states {
            if let Some(job) = self.table.get_mut(id) {
                job.mark_stored(started, phase);
            }
        }
        while let Some(&(number, task, placed, key)) = self.unstored_starts.front() {
            if number > write.number {
                break;
            }
            self.unstored_starts.pop_front();
            let run = self.workers.get(key).and_then(|worker| worker.runs.get(&task));
            if run.is_some_and(|run| !run.sent && run.number == placed) {
                self.send_start(now, key, task);
            }
        }
        let mut unnamed = None;
        while self.unstored_orders.front().is_some_and(|(number, _)| *number <= write.number) {
            if let Some((_, order)) = self.unstored_orders.pop_front() {
                self.send_order(now, order, &mut unnamed);
            }
        }
        for worker in self.workers.values_mut() {
            if let Some((number, end)) = worker.pending_ack
                && number <= write.number
            {
                worker.pending_ack = None;
                worker.acknowledged = worker.acknowledged.max(end);
                if let PollState::Idle(due) = worker.poll_state {
                    worker.poll_state = PollState::Idle(due.min(now + self.options.poll_gap_ms));
                }
            }
        }
    }

    /// Number that the next write will have.
    const fn next_write(&self) -> WriteNumber {
        self.last_write + 1
    }

    /// Workers that the directory lists or that may still have runs.
    pub fn workers(&self) -> impl Iterator<Item = &Worker> {
        self.workers.values()
    }

    /// Queue with a name.
    fn queue(&self, name: &str) -> Option<&Queue> {
        self.index.queues.get(name).and_then(|&position| self.catalog.queues.get(position))
    }

    /// Team with a name.
    fn team(&self, name: &str) -> Option<&Team> {
        self.index.teams.get(name).and_then(|&position| self.catalog.teams.get(position))
    }

    fn worker_key(&self, id: &str) -> Option<WorkerKey> {
        self.keys_by_id.get(id).copied()
    }

    /// Runs of a range of tasks, with their workers.
    fn placed_runs(&self, first: TaskId, last: TaskId) -> impl Iterator<Item = (TaskId, WorkerKey)> {
        let (lowest, highest) = (KeyData::from_ffi(0).into(), KeyData::from_ffi(u64::MAX).into());
        self.placed.range((first, lowest)..=(last, highest)).copied()
    }
}

/// Positions in a catalog, by name.
#[derive(Debug)]
struct CatalogIndex {
    queues: BTreeMap<String, usize>,
    teams: BTreeMap<String, usize>,
}

impl CatalogIndex {
    fn new(catalog: &Catalog) -> Self {
        Self {
            queues: positions(catalog.queues.iter().map(|queue| &queue.name)),
            teams: positions(catalog.teams.iter().map(|team| &team.name)),
        }
    }
}

/// Positions of names in a list. If several are the same, the first one counts.
fn positions<'a>(names: impl Iterator<Item = &'a String>) -> BTreeMap<String, usize> {
    let mut positions = BTreeMap::new();
    for (position, name) in names.enumerate() {
        positions.entry(name.clone()).or_insert(position);
    }
    positions
}
