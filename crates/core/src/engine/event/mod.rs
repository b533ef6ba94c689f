//! What an engine is told.

use serde::{Deserialize, Serialize};

use super::{Millis, RequestKey};
use crate::fleet::Fleet;
use crate::ids::{KeyId, MemberId, Offset, PoolId, TaskId, TeamId, WorkerId, ZoneId};
use crate::record::{Batch, Class, KeyHash, WorkerSeen};

/// Message to an engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A request that was sent to a worker ended.
    RequestEnded {
        /// Request.
        request: RequestKey,
        /// How the attempt ended.
        outcome: AttemptOutcome,
    },
    /// The caller hung up or no longer wants the request.
    RequestCancelled(RequestKey),
    /// A batch of the log, in offset order; from the platform or from a peer.
    LogBatch {
        /// Offset of the batch.
        offset: Offset,
        /// Batch.
        batch: Batch,
    },
    /// An entry of the log does not decode; the offset is passed over.
    LogCorrupt(Offset),
    /// A read of the log reached its end; the view is as fresh as this moment.
    LogEnd,
    /// An append of the batch with this sequence ended.
    AppendEnded {
        /// Sequence of the batch.
        sequence: u64,
        /// How it ended.
        outcome: AppendOutcome,
    },
    /// A state with a higher offset, from a snapshot in the log or from a peer.
    Restored(Box<Fleet>),
    /// The platform's list.
    List(List),
    /// A digest of a peer, or a peer's answer to a digest.
    Digest(Digest),
    /// The answer of a worker about a task's lease or start.
    TaskReport(TaskReport),
    /// The end of a probe.
    Probed {
        /// Worker.
        worker: WorkerId,
        /// True if it answered on a fresh connection.
        alive: bool,
    },
    /// The platform rebooted a worker into a pool and the worker answers.
    Rebooted(WorkerId),
    /// The process was asked to stop.
    Stop,
}

/// How an append ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log took the batch.
    Appended,
    /// Nothing was sent, or the log refused it.
    NotAppended,
    /// The log may have taken it.
    Unknown,
}

/// Work that a caller hands in.
#[derive(Clone, Debug)]
pub struct Submission {
    /// SHA-256 of the caller's key; absent for work without a key.
    pub key: Option<KeyHash>,
    /// Name of the pool.
    pub pool: String,
    /// Urgency.
    pub class: Class,
    /// True if the request may run more than once.
    pub idempotent: bool,
    /// Time left for the answer, in milliseconds; the default if absent.
    pub deadline_ms: Option<u64>,
}

/// Task that a caller hands in.
#[derive(Clone, Debug)]
pub struct TaskSubmission {
    /// SHA-256 of the caller's key; absent for work without a key.
    pub key: Option<KeyHash>,
    /// Name of the pool.
    pub pool: String,
    /// Urgency.
    pub class: Class,
    /// True if the task may run more than once.
    pub idempotent: bool,
    /// Submit token; a second submission with it returns the first task.
    pub token: Option<String>,
    /// Body for the worker.
    pub payload: Vec<u8>,
}

/// How one attempt of a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The worker's whole answer was passed on.
    Answered {
        /// True if the worker reports an error of its own (5xx).
        failed: bool,
    },
    /// The worker refused explicitly; the request did not run.
    Refused(WorkerRefusal),
    /// No connection, or the request was handed back unsent; it did not run.
    Unsent,
    /// The connection broke after the request was sent, before any of the answer was passed on.
    Broken,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The answer was truncated, or was the answer to another request.
    Corrupt,
}

/// Reason of a worker's refusal. A refusal means that the work did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkerRefusal {
    /// All slots are taken.
    Full,
    /// The worker is about to stop.
    Leaving,
    /// The worker is in another pool.
    WrongPool,
    /// The lease has lapsed or is not the worker's.
    Lease,
}

/// One read of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Version; grows with each change.
    pub version: u64,
    /// Entry instances: name, nonce, and true if leaving.
    pub entries: Vec<ListedEntry>,
    /// Workers.
    pub workers: Vec<WorkerSeen>,
}

/// An entry instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEntry {
    /// Name.
    pub name: String,
    /// Random number of the process.
    pub nonce: u64,
    /// True if the platform is about to stop it.
    pub leaving: bool,
}

/// What members tell each other.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Author.
    pub member: MemberId,
    /// Counts the digests of the author; older ones are ignored.
    pub number: u64,
    /// Last offset that the author applied.
    pub applied: Option<Offset>,
    /// Load per pool and team.
    pub loads: Vec<Load>,
    /// Slots that the author lacks per team.
    pub wanted: Vec<(TeamId, u32)>,
    /// Workers that the author has ejected or found leaving.
    pub suspects: Vec<WorkerId>,
    /// Withdrawn keys that the author knows.
    pub withdrawn: Vec<KeyId>,
    /// Removed zones that the author knows, with the version of the removal.
    pub removed: Vec<(ZoneId, u64)>,
}

/// Load of one team in one pool at one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Pool.
    pub pool: PoolId,
    /// Team.
    pub team: TeamId,
    /// Running work, in slots.
    pub running: u32,
    /// Waiting work.
    pub waiting: u32,
    /// Work that arrives, in slots: arrivals of the last second times their run time.
    pub offered: f64,
}

/// What a worker said about an attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskReport {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: u32,
    /// Worker.
    pub worker: WorkerId,
    /// Random number of the worker's process, from its answer; 0 if there was none.
    pub nonce: u64,
    /// Answer.
    pub answer: TaskAnswer,
}

/// Answer of a worker about a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskAnswer {
    /// A lease was granted or renewed.
    Leased {
        /// Number of the lease at the worker.
        lease: u64,
        /// Time until it lapses, in milliseconds, from when it was asked for.
        ttl_ms: u64,
        /// When it was asked for.
        asked: Millis,
    },
    /// The lease or the start was refused; the attempt did not run by it.
    Refused(WorkerRefusal),
    /// The worker never started the attempt.
    Never,
    /// It runs.
    Running,
    /// It returned a result.
    Done(Vec<u8>),
    /// It failed.
    Failed(String),
    /// It was stopped; a checkpoint may be kept by the platform.
    Stopped {
        /// Checkpoint to start the next attempt from, if the task makes them.
        checkpoint: Option<Vec<u8>>,
    },
    /// No connection could be made; nothing was sent.
    Unsent,
    /// No answer, or a broken connection; what was sent may have taken effect.
    NoAnswer,
}
