//! State of the model: processes, log, network and workers.

use super::arena::FleetId;
use super::entry::{Act, Entry};
use super::setup::{Bounds, Setup};
use crate::ids::{Offset, PoolId, TaskId, WorkerId};

/// Everything that a step may change.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    /// States after the entries of the log, from the oldest that a process still has to the newest.
    pub(super) log: Vec<FleetId>,
    /// Every process that was started, ended ones included; the index plus 1 is the nonce.
    pub processes: Vec<Process>,
    /// Appends on the network, in a fixed order.
    pub delayed: Vec<Entry>,
    /// Starts on the network, in a fixed order.
    pub messages: Vec<Start>,
    /// Workers.
    pub hosts: Vec<Host>,
    /// True while the platform answers.
    pub platform: bool,
    /// What may still occur.
    pub left: Bounds,
    /// Executions of the task.
    pub runs: u8,
    /// True once the caller was told that the task is accepted.
    pub accepted: bool,
    /// Invariant that the last step broke.
    pub broken: Option<Broken>,
}

/// One process of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Process {
    /// Index of its name.
    pub name: u8,
    /// Life cycle.
    pub phase: Phase,
    /// False while it is cut off from the log.
    pub connected: bool,
    /// Its replica.
    pub(super) replica: FleetId,
    /// Last offset that it applied.
    pub(super) applied: Offset,
    /// Sequence of its last batch.
    pub(super) sequence: u64,
    /// Batch that it has not seen in the log yet.
    pub(super) pending: Option<Entry>,
    /// Requests that it sent and that have not ended, per worker.
    pub(super) requests: [u8; 2],
    /// Start that passed the checks and is not written yet.
    pub(super) checked: Option<Start>,
    /// Attempt of the task that it recorded itself and has not dispatched.
    pub(super) recorded: u32,
    /// Count of times that its leases have lapsed; it obtains new ones after a resume.
    pub(super) epoch: u8,
}

/// Life cycle of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Phase {
    /// Acts.
    Running,
    /// Does nothing until it resumes.
    Frozen,
    /// Has ended.
    Ended,
}

/// A start on its way to a worker, or the work that it became.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Start {
    /// Index of the process.
    pub process: u8,
    /// Epoch of the process's leases that it was made under.
    pub epoch: u8,
    /// Index of the worker.
    pub host: u8,
    /// Pool that the sender believes the worker to be in.
    pub pool: PoolId,
    /// What runs.
    pub work: Work,
}

/// What runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Work {
    /// A request.
    Request,
    /// The attempt of the task.
    Task(u32),
}

/// A worker.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Host {
    /// Random number of its process.
    pub nonce: u8,
    /// Pool that it was started in.
    pub pool: PoolId,
    /// Running work, in a fixed order.
    pub works: Vec<Start>,
    /// Attempt of the task that this process ran, and whether it is done.
    pub ran: Option<(u32, bool)>,
}

/// Invariants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Broken {
    /// More work of the team runs than its limit.
    Limit,
    /// The non-idempotent task ran twice.
    SecondRun,
    /// Work runs on a worker of another pool.
    OldPool,
    /// Work started on a worker under maintenance.
    Maintenance,
    /// A planned reboot interrupted work.
    Interrupted,
    /// The accepted task has no owner, or no replica knows it.
    Lost,
    /// An entry changed a state twice, or a replica went back.
    WentBack,
}

/// One step, for counterexamples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[allow(missing_docs, reason = "the names describe the steps; the fields are indices and records")]
pub enum Step {
    Apply(usize),
    Restore { process: usize, peer: usize },
    Append(usize, Act),
    Delay(usize, Act),
    Repeat(usize, Act),
    AppendArrives(Entry),
    Check(usize, Start),
    Write(usize, Start),
    StartArrives(Start),
    Finish(Start),
    TakeOver(usize, TaskId),
    Lapse(usize),
    Kill(usize),
    Exit(usize),
    Freeze(usize),
    Resume(usize),
    Cut(usize),
    Connect(usize),
    Outage,
    OutageEnds,
    Crash(u8),
    Reboot(usize, WorkerId),
}

impl World {
    pub(super) fn new(setup: &Setup, fleet: FleetId, offset: Offset) -> Self {
        let process = |name, slots: &u32| Process {
            name,
            phase: Phase::Running,
            connected: true,
            replica: fleet,
            applied: Offset(offset.0 - 1),
            // The setup batch and the claims of the setup use the first sequences.
            sequence: if *slots > 0 { 2 } else { 1 },
            pending: None,
            requests: [0; 2],
            checked: None,
            recorded: 0,
            epoch: 0,
        };
        let host = Host { nonce: 1, pool: PoolId(1), works: Vec::new(), ran: None };
        Self {
            log: vec![fleet],
            processes: (0..).zip(&setup.holds).map(|(name, slots)| process(name, slots)).collect(),
            delayed: Vec::new(),
            messages: Vec::new(),
            hosts: vec![host; usize::from(setup.hosts)],
            platform: true,
            left: setup.bounds,
            runs: 0,
            accepted: false,
            broken: None,
        }
    }

    /// State after the newest entry.
    pub(super) fn head(&self) -> FleetId {
        self.log[self.log.len() - 1]
    }

    /// Drops the states that every process has passed, so that worlds with equal futures are equal.
    pub(super) fn forget_applied(&mut self) {
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
    /// Name of the step; for an append that arrives at once, the name of the record.
    #[must_use]
    pub fn name(&self) -> String {
        let text = match self {
            Self::Append(_, act) => format!("{act:?}"),
            step => format!("{step:?}"),
        };
        let end = text.find(|c: char| !c.is_alphanumeric()).unwrap_or(text.len());
        text[..end].to_owned()
    }
}

impl Host {
    pub(super) fn run(&mut self, start: Start) {
        self.works.push(start);
        self.works.sort_unstable();
    }
}
