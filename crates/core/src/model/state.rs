//! State of the model: processes, log, network and workers; and the steps that change it.

use super::arena::FleetId;
use super::entry::{Action, Entry};
use super::setup::{Bounds, Setup};
use crate::ids::{Offset, PoolId, TaskId, WorkerId};

/// State of the model: everything that a step may change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Replicated states after the entries of the log, from the oldest that a process is still in to the newest.
    pub(super) log: Vec<FleetId>,
    /// All processes that were started, ended ones included; the index plus 1 is the nonce.
    pub processes: Vec<Process>,
    /// Appends on the network, sorted so that equal states compare equal.
    pub delayed: Vec<Entry>,
    /// Starts on the network, sorted.
    pub messages: Vec<Start>,
    /// Workers; the index plus 1 is the worker's id.
    pub hosts: Vec<Host>,
    /// False during an outage of the platform.
    pub platform_up: bool,
    /// How often each event may still occur.
    pub remaining: Bounds,
    /// Number of executions of the task.
    pub executions: u8,
    /// True once the acceptance of the task was reported to the caller.
    pub accepted: bool,
    /// Invariant that the last step violated.
    pub violation: Option<Violation>,
}

/// One process of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    /// Index of its instance name.
    pub name: u8,
    /// Whether it runs.
    pub phase: Phase,
    /// False while it cannot reach the log.
    pub connected: bool,
    /// Replicated state that it has reached.
    pub(super) replica: FleetId,
    /// Last offset that it applied, to check that it never goes back.
    pub(super) applied: Offset,
    /// Sequence number of its last batch.
    pub(super) sequence: u64,
    /// Batch that it has appended and not yet seen in the log.
    pub(super) pending: Option<Entry>,
    /// Number of requests in flight to each worker, as it counts them.
    pub(super) requests: [u8; 2],
    /// Start that has passed the checks but is not yet sent; the process may freeze in between.
    pub(super) checked_start: Option<Start>,
    /// Attempt of the task whose start record it wrote and that it has not dispatched yet; 0 if there is none.
    pub(super) recorded_attempt: u32,
    /// Number of times that its leases have expired. Work of an earlier epoch is not leased any more.
    pub(super) epoch: u8,
}

/// Execution state of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Takes steps.
    Running,
    /// Takes no step until it resumes.
    Frozen,
    /// Has ended for good.
    Ended,
}

/// A start that is sent to a worker, or the work that runs there after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Start {
    /// Index of the process that owns the work.
    pub process: u8,
    /// Lease epoch of that process at the start.
    pub epoch: u8,
    /// Index of the worker.
    pub host: u8,
    /// Pool of the worker according to the sender's replica.
    pub pool: PoolId,
    /// What is started.
    pub work: Work,
}

/// Kind of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Work {
    /// A request; requests are interchangeable.
    Request,
    /// An attempt of the task, from 1.
    Task(u32),
}

/// Actual state of a worker, as opposed to its row in a replica.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    /// Nonce of its process; a reboot or crash increments it.
    pub nonce: u8,
    /// Pool that its process was started in.
    pub pool: PoolId,
    /// Running work, sorted.
    pub running: Vec<Start>,
    /// Attempt of the task that this process started, and whether it has completed.
    pub ran: Option<(u32, bool)>,
}

/// Violated invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Violation {
    /// More work of the team runs than its limit.
    LimitExceeded,
    /// The non-idempotent task ran twice.
    DuplicateRun,
    /// Work runs on a worker that is in another pool.
    PoolMismatch,
    /// Work was started on a worker under maintenance.
    StartInMaintenance,
    /// A planned reboot interrupted running work.
    WorkInterrupted,
    /// The accepted task is lost: it is not in the replicated state, or has no live owner although a member is live.
    TaskLost,
    /// A repeated delivery changed the replicated state, or a replica went back to an older offset.
    StateRegressed,
}

/// One step, as shown in counterexamples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the names describe the steps; the fields are indices and records")]
pub enum Step {
    Apply(usize),
    Restore { process: usize, peer: usize },
    Append(usize, Action),
    Delay(usize, Action),
    Repeat(usize, Action),
    AppendArrives(Entry),
    Check(usize, Start),
    Send(usize, Start),
    StartArrives(Start),
    Finish(Start),
    TakeOver(usize, TaskId),
    ExpireLeases(usize),
    Kill(usize),
    Exit(usize),
    Freeze(usize),
    Resume(usize),
    Disconnect(usize),
    Reconnect(usize),
    Outage,
    OutageEnds,
    Crash(u8),
    Reboot(usize, WorkerId),
}

impl State {
    pub(super) fn new(setup: &Setup, fleet: FleetId, offset: Offset) -> Self {
        let process = |name, slots: &u32| Process {
            name,
            phase: Phase::Running,
            connected: true,
            replica: fleet,
            applied: Offset(offset.0 - 1),
            // The batch of the setup and the claims have used the first sequence numbers.
            sequence: if *slots > 0 { 2 } else { 1 },
            pending: None,
            requests: [0; 2],
            checked_start: None,
            recorded_attempt: 0,
            epoch: 0,
        };
        let host = Host { nonce: 1, pool: PoolId(1), running: Vec::new(), ran: None };
        Self {
            log: vec![fleet],
            processes: (0..).zip(&setup.holds).map(|(name, slots)| process(name, slots)).collect(),
            delayed: Vec::new(),
            messages: Vec::new(),
            hosts: vec![host; usize::from(setup.hosts)],
            platform_up: true,
            remaining: setup.bounds,
            executions: 0,
            accepted: false,
            violation: None,
        }
    }

    /// Replicated state after the newest entry.
    pub(super) fn head(&self) -> FleetId {
        self.log[self.log.len() - 1]
    }

    /// Drops the replicated states that every process has passed, so that states with equal futures compare equal.
    pub(super) fn prune_log(&mut self) {
        let active =
            |id: &FleetId| self.processes.iter().any(|p| p.phase != Phase::Ended && p.replica == *id);
        let first = self.log.iter().position(active).unwrap_or(self.log.len() - 1);
        self.log.drain(..first);
    }

    pub(super) fn send(&mut self, start: Start) {
        self.messages.push(start);
        self.messages.sort_unstable();
    }
}

impl Step {
    /// Name of the step; for an append that is not delayed, the name of the record.
    #[must_use]
    pub fn name(&self) -> String {
        let text = match self {
            Self::Append(_, action) => format!("{action:?}"),
            step => format!("{step:?}"),
        };
        let end = text.find(|c: char| !c.is_alphanumeric()).unwrap_or(text.len());
        text[..end].to_owned()
    }
}

impl Host {
    pub(super) fn run(&mut self, start: Start) {
        self.running.push(start);
        self.running.sort_unstable();
    }
}
