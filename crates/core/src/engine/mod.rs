//! State and decisions of one entry instance.
//!
//! The engine does no I/O. The process hands it [`Event`]s and the time, and carries out the [`Command`]s that it
//! returns. Entities live in tables (`requests`, `runs`, `upstreams`, `peers`, `appends`, `shares`, `holds`); the systems in
//! `systems` run over the tables on each tick and when work ends.

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

/// Interval of ticks, in milliseconds.
pub const TICK_MS: u64 = 50;

/// Longest time until sent bytes have arrived or their connection has failed, in milliseconds. The process bounds it by
/// the time limit for unacknowledged bytes.
pub const DELIVERY_TIMEOUT_MS: u64 = 2_000;

slotmap::new_key_type! {
    /// Key of a waiting or running request.
    pub struct RequestKey;
}

/// Time since the start of the process on its monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Millis(pub u64);

impl Millis {
    /// This time plus a number of milliseconds.
    #[must_use]
    pub const fn plus(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms))
    }

    /// Milliseconds since an earlier time; 0 if it is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Number of a proposal of this process, from 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Life cycle of this incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Reads the log or a snapshot; has not joined.
    Starting,
    /// Its join is on its way into the log; the time is that of the next append of it.
    Joining(Millis),
    /// Acts as this member.
    Member(MemberId),
    /// Ended in the log.
    Ended,
}

/// State of one entry instance and the systems that run over it.
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
    /// Reads of the list so far.
    list_reads: u64,
    list_diff: systems::ListDiff,
    capacities: systems::PoolCapacities,
    /// When this process first saw each member and each ended member.
    first_seen: BTreeMap<MemberId, Millis>,
    gone_since: BTreeMap<MemberId, Millis>,
    /// When each worker entered maintenance and when its reboot was last ordered.
    reboots: BTreeMap<WorkerId, (Millis, Option<Millis>)>,
    /// When each shared duty became due; see `systems::duty`.
    duties: BTreeMap<systems::Duty, Millis>,
    /// When each team last lacked slots here.
    last_need: BTreeMap<TeamId, Millis>,
    /// Since when the list does not show a worker.
    absent_since: BTreeMap<WorkerId, Millis>,
    log_end: Option<Millis>,
    last_snapshot: Option<Offset>,
    last_gossip: Millis,
    /// Last digest with the time at which it was sent.
    sent_digest: Option<(Millis, event::Digest)>,
    sent_loads: Vec<Load>,
    digest_count: u64,
    last_ticket: u64,
    last_task: u32,
    counters: Counters,
    commands: Vec<Command>,
}

impl Engine {
    /// Creates an engine that has neither state nor membership. `seed` feeds its random choices.
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
            log_end: None,
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

    /// Settings of the engine.
    #[must_use]
    pub const fn options(&self) -> &Options {
        &self.options
    }

    /// Replica of the shared state.
    #[must_use]
    pub const fn fleet(&self) -> &Fleet {
        &self.fleet
    }

    /// Counts of refusals, retries and exposures since the start.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Takes in a request. A `Send` or a `Refuse` command with its key follows, often at once.
    pub fn submit(&mut self, now: Millis, submission: Submission) -> RequestKey {
        self.admit_request(now, submission)
    }

    /// Takes in a task. `Resolve` follows once the record has an offset.
    ///
    /// # Errors
    ///
    /// Fails if the task is refused at once; it did not run and will not run.
    pub fn submit_task(&mut self, now: Millis, submission: TaskSubmission) -> Result<Ticket, NotRun> {
        self.admit_task(now, submission)
    }

    /// Proposes a record on behalf of an operator. `Resolve` follows.
    pub fn propose(&mut self, now: Millis, record: Record) -> Ticket {
        self.propose_for(now, record)
    }

    /// Team of a request that waits or runs.
    #[must_use]
    pub fn team_of(&self, request: RequestKey) -> Option<TeamId> {
        self.requests.rows.get(request).map(|row| row.team)
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Millis, event: Event) {
        match event {
            Event::RequestEnded { request, outcome } => self.end_attempt(now, request, outcome),
            Event::RequestCancelled(request) => self.cancel_request(now, request),
            Event::LogBatch { offset, batch } => self.apply_batch(now, offset, &batch),
            Event::LogCorrupt(offset) => self.skip_corrupt(offset),
            Event::LogEnd => self.reach_log_end(now),
            Event::AppendEnded { sequence, outcome } => self.end_append(now, sequence, outcome),
            Event::Restored(fleet) => self.restore(now, *fleet),
            Event::List(list) => self.read_list(now, list),
            Event::Digest(digest) => self.receive_digest(now, digest),
            Event::TaskReport(report) => self.handle_report(now, report),
            Event::Probed { worker, alive } => self.end_probe(now, worker, alive),
            Event::Rebooted(worker) => self.end_reboot(now, worker),
            Event::Stop => self.stopping = true,
        }
    }

    /// Runs every system once. The process calls it each [`TICK_MS`].
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

    /// Returns the commands since the last call, in order.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// What the instance knows and does now.
    #[must_use]
    pub fn view(&self, now: Millis) -> View {
        self.make_view(now)
    }

    /// Member id while this incarnation may act.
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
