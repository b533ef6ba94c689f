//! State machine of one entry instance.
//!
//! The engine does no I/O and reads no clock. The process passes in [`Event`]s with the current time and executes the
//! [`Command`]s that the engine returns. State is kept in tables (`requests`, `runs`, `upstreams`, `peers`, `appends`,
//! `shares`, `holds`); the functions in `systems` update them on each tick and when an event arrives.

pub mod command;
pub mod event;
pub mod options;
pub mod view;

mod appends;
mod holds;
mod peers;
mod requests;
mod runs;
mod shares;
mod systems;
mod upstreams;

use std::collections::BTreeMap;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};

use crate::fleet::{Fleet, MemberState, SnapshotAssembler};
use crate::ids::{MemberId, Offset, PoolId, TeamId, WorkerId};
use crate::policy::outlier::OutlierDetector;
use crate::policy::rebalance::Planner;
use crate::policy::retry::RetryBudget;
use crate::record::Record;
use appends::Appends;
use command::NotRun;
use event::{List, Load, Submission, TaskSubmission};
use holds::SlotUsage;
use peers::Peers;
use requests::Requests;
use runs::Runs;
use shares::Shares;
use upstreams::Upstreams;

pub use command::Command;
pub use event::Event;
pub use options::Options;
pub use view::{Counters, View};

/// Interval between calls of [`Engine::tick`], in milliseconds.
pub const TICK_MS: u64 = 50;

/// Upper bound on the time until sent bytes arrive or their connection fails, in milliseconds. The process enforces it
/// with a limit on unacknowledged bytes (TCP user timeout).
pub const DELIVERY_TIMEOUT_MS: u64 = 2_000;

slotmap::new_key_type! {
    /// Key of a request from its submission to its end; never reused.
    pub struct RequestKey;
}

/// Milliseconds since the start of the process, on its monotonic clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Millis(pub u64);

impl Millis {
    /// Returns the time `ms` milliseconds later.
    #[must_use]
    pub const fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Returns the milliseconds since `earlier`, or 0 if `earlier` is in the future.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Identifies a proposed record until [`Command::Resolve`] reports its result. Numbered from 1 in each process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Membership of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Reading the log or a snapshot; has not joined.
    Starting,
    /// The join record was sent but not yet read back; it is appended again at this time.
    Joining(Millis),
    /// Joined under this member id.
    Member(MemberId),
    /// Left, or was declared gone by another member.
    Ended,
}

/// State machine of one entry instance.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    rng: SmallRng,
    phase: Phase,
    stopping: bool,
    fleet: Fleet,
    collector: SnapshotAssembler,
    requests: Requests,
    runs: Runs,
    upstreams: Upstreams,
    peers: Peers,
    appends: Appends,
    slot_usage: SlotUsage,
    shares: Shares,
    budgets: BTreeMap<TeamId, RetryBudget>,
    detectors: BTreeMap<PoolId, OutlierDetector>,
    planner: Planner,
    list: Option<(Millis, List)>,
    /// Number of platform lists accepted so far.
    list_reads: u64,
    list_diff: systems::ListDiff,
    capacities: systems::PoolCapacities,
    /// When this process first read of each member in the log.
    first_seen: BTreeMap<MemberId, Millis>,
    /// When this process first read that a member is gone.
    gone_since: BTreeMap<MemberId, Millis>,
    /// When each worker entered maintenance, and when this member last requested its reboot.
    reboots: BTreeMap<WorkerId, (Millis, Option<Millis>)>,
    /// When each duty became due; see `systems::duty`.
    duties: BTreeMap<systems::Duty, Millis>,
    /// When each team last had waiting work without a free slot at this member.
    last_need: BTreeMap<TeamId, Millis>,
    /// Since when a known worker is missing from the platform's list.
    absent_since: BTreeMap<WorkerId, Millis>,
    /// When a read last reached the end of the log.
    caught_up: Option<Millis>,
    /// Offset covered by the newest complete snapshot in the log.
    last_snapshot: Option<Offset>,
    last_gossip: Millis,
    /// Last digest and when it was sent.
    sent_digest: Option<(Millis, event::Digest)>,
    sent_loads: Vec<Load>,
    digest_count: u64,
    last_ticket: u64,
    last_task: u32,
    counters: Counters,
    commands: Vec<Command>,
}

impl Engine {
    /// Creates an engine that has not joined. `seed` initialises the random choices, such as that of a worker.
    #[must_use]
    pub fn new(options: Options, seed: u64) -> Self {
        Self {
            options,
            rng: SmallRng::seed_from_u64(seed),
            phase: Phase::Starting,
            stopping: false,
            fleet: Fleet::default(),
            collector: SnapshotAssembler::default(),
            requests: Requests::default(),
            runs: Runs::default(),
            upstreams: Upstreams::default(),
            peers: Peers::default(),
            appends: Appends::default(),
            slot_usage: SlotUsage::default(),
            shares: Shares::default(),
            budgets: BTreeMap::new(),
            detectors: BTreeMap::new(),
            planner: Planner::default(),
            list: None,
            list_reads: 0,
            list_diff: systems::ListDiff::default(),
            capacities: systems::PoolCapacities::default(),
            first_seen: BTreeMap::new(),
            gone_since: BTreeMap::new(),
            reboots: BTreeMap::new(),
            duties: BTreeMap::new(),
            last_need: BTreeMap::new(),
            absent_since: BTreeMap::new(),
            caught_up: None,
            last_snapshot: None,
            last_gossip: Millis(0),
            sent_digest: None,
            sent_loads: Vec::new(),
            digest_count: 0,
            last_ticket: 0,
            last_task: 0,
            counters: Counters::default(),
            commands: Vec::new(),
        }
    }

    /// Settings that the engine was created with.
    #[must_use]
    pub const fn options(&self) -> &Options {
        &self.options
    }

    /// Replica of the fleet state, built from the log.
    #[must_use]
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Counters since the start of the process.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Submits a request. A [`Command::Send`] or [`Command::Refuse`] with its key follows, often immediately.
    pub fn submit(&mut self, now: Millis, submission: Submission) -> RequestKey {
        self.admit_request(now, submission)
    }

    /// Submits a task. [`Command::Resolve`] follows once its record is in the log.
    ///
    /// # Errors
    ///
    /// Returns the reason if the task is refused immediately; it did not run and will not run.
    pub fn submit_task(&mut self, now: Millis, submission: TaskSubmission) -> Result<Ticket, NotRun> {
        self.admit_task(now, submission)
    }

    /// Proposes a record on behalf of an operator. [`Command::Resolve`] follows.
    pub fn propose(&mut self, now: Millis, record: Record) -> Ticket {
        self.propose_for(now, record)
    }

    /// Team of a waiting or running request; `None` once it has ended.
    #[must_use]
    pub fn team_of(&self, request: RequestKey) -> Option<TeamId> {
        self.requests.rows.get(request).map(|row| row.team)
    }

    /// Processes an event that occurred at `now`.
    pub fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::RequestEnded { request, outcome } => self.end_attempt(now, request, outcome),
            Event::RequestCancelled(request) => self.cancel_request(now, request),
            Event::LogBatch { offset, batch } => self.apply_batch(now, offset, &batch),
            Event::LogCorrupt(offset) => self.skip_corrupt(offset),
            Event::LogEnd => self.reach_log_end(now),
            Event::AppendEnded { sequence, outcome } => self.end_append(now, sequence, outcome),
            Event::Restored(fleet) => self.restore(now, *fleet),
            Event::List(list) => self.accept_list(now, list),
            Event::Digest(digest) => self.receive_digest(now, digest),
            Event::TaskReport(report) => self.handle_report(now, report),
            Event::Probed { worker, alive } => self.end_probe(now, worker, alive),
            Event::Rebooted(worker) => self.end_reboot(now, worker),
            Event::Stop => self.stopping = true,
        }
    }

    /// Runs every system once. To be called every [`TICK_MS`].
    pub fn tick(&mut self, now: Millis) {
        self.run_membership(now);
        self.expire(now);
        self.run_shares(now);
        self.run_holds(now);
        self.run_workers(now);
        self.run_tasks(now);
        self.run_maintenance(now);
        self.run_outliers(now);
        self.run_moves(now);
        self.run_snapshots(now);
        self.schedule_all(now);
        self.run_gossip(now);
        self.run_shutdown(now);
        self.run_appends(now);
    }

    /// Removes and returns the pending commands, in the order in which they were issued.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Readiness, load and worker state for metrics and status pages.
    #[must_use]
    pub fn view(&self, now: Millis) -> View {
        self.make_view(now)
    }

    /// Own member id, if this process has joined and the log does not say that it ended.
    fn member(&self) -> Option<MemberId> {
        let Phase::Member(id) = self.phase else {
            return None;
        };
        let live = self.fleet.members.get(&id).is_some_and(|m| m.state == MemberState::Live);
        live.then_some(id)
    }

    fn emit(&mut self, command: Command) {
        self.commands.push(command);
    }
}
