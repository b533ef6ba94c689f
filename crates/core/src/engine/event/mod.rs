//! Events passed to an engine, and the types of their contents.

use serde::{Deserialize, Serialize};

use super::{Millis, RequestKey};
use crate::fleet::Fleet;
use crate::ids::{KeyId, MemberId, Offset, PoolId, TaskId, TeamId, WorkerId, ZoneId};
use crate::record::{Batch, Class, KeyHash, WorkerSeen};

/// Input of an engine.
#[derive(Clone, Debug)]
pub enum Event {
    /// An attempt of a request ended.
    RequestEnded {
        /// Key from the `Send` command.
        request: RequestKey,
        /// What is known about the attempt.
        outcome: AttemptOutcome,
    },
    /// The caller disconnected or cancelled the request.
    RequestCancelled(RequestKey),
    /// A batch read from the platform's log or from a peer, in offset order.
    LogBatch {
        /// Position in the log; batches at or below the last applied offset are ignored.
        offset: Offset,
        /// Decoded contents.
        batch: Batch,
    },
    /// The log entry at this offset cannot be decoded; it is skipped.
    LogCorrupt(Offset),
    /// A read reached the end of the log: the replica is up to date as of now.
    LogEnd,
    /// An append call to the log ended.
    AppendEnded {
        /// Sequence number of the batch.
        sequence: u64,
        /// Whether the log has the batch.
        outcome: AppendOutcome,
    },
    /// Fleet state from a snapshot in the log or from a peer; ignored unless its offset is higher than the own one.
    Restored(Box<Fleet>),
    /// The platform's list of instances and workers was read.
    List(List),
    /// A peer sent a digest, or answered one.
    Digest(Digest),
    /// A worker answered a [`TaskCall`](super::command::TaskCall), or the call failed.
    TaskReport(TaskReport),
    /// A probe ended.
    Probed {
        /// Worker from the `Probe` command.
        worker: WorkerId,
        /// True if the worker answered on a new connection.
        alive: bool,
    },
    /// The requested reboot is done: the worker answers again.
    Rebooted(WorkerId),
    /// The process was asked to stop gracefully.
    Stop,
}

/// Result of an append call to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log accepted the batch.
    Appended,
    /// The batch was not sent, or the log rejected it.
    NotAppended,
    /// The log may or may not have accepted the batch.
    Unknown,
}

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct Submission {
    /// SHA-256 of the caller's key; `None` if the caller sent none.
    pub key: Option<KeyHash>,
    /// Name of the target pool.
    pub pool: String,
    /// Priority within the team's queue.
    pub class: Class,
    /// True if running the request more than once is safe.
    pub idempotent: bool,
    /// Time limit for the answer, in milliseconds; `None` for the pool's default.
    pub deadline_ms: Option<u64>,
}

/// Task of a caller.
#[derive(Clone, Debug)]
pub struct TaskSubmission {
    /// SHA-256 of the caller's key; `None` if the caller sent none.
    pub key: Option<KeyHash>,
    /// Name of the target pool.
    pub pool: String,
    /// Priority within the team's queue.
    pub class: Class,
    /// True if running the task more than once is safe.
    pub idempotent: bool,
    /// Deduplication token: a second submission with the same token returns the first task.
    pub token: Option<String>,
    /// Opaque body that is passed to the worker.
    pub payload: Vec<u8>,
}

/// Result of one attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer of the worker was forwarded to the caller.
    Answered {
        /// True for a server error (5xx).
        failed: bool,
    },
    /// The worker refused the request; it did not run.
    Refused(WorkerRefusal),
    /// No connection could be made, or the request was not sent; it did not run.
    Unsent,
    /// The connection broke after the request was sent and before any part of the answer was forwarded.
    Broken,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The answer was truncated or belonged to another request.
    Corrupt,
}

/// Why a worker refused work. Refused work did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WorkerRefusal {
    /// All slots are in use.
    Full,
    /// The worker is shutting down.
    Leaving,
    /// The worker belongs to another pool.
    WrongPool,
    /// The lease has expired or is unknown to the worker.
    Lease,
}

/// Contents of the platform's list of instances and workers.
#[derive(Clone, Debug, Default)]
pub struct List {
    /// Increases with each change; a list older than the last one is ignored.
    pub version: u64,
    /// Running entry instances.
    pub entries: Vec<ListedEntry>,
    /// Running workers.
    pub workers: Vec<WorkerSeen>,
}

/// Entry instance in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEntry {
    /// Name that replacements of the instance share.
    pub name: String,
    /// Random number that distinguishes the process from earlier ones of the same name.
    pub nonce: u64,
    /// True if the platform is about to stop it.
    pub leaving: bool,
}

/// State that members exchange between log reads.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Member that sent the digest.
    pub member: MemberId,
    /// Increases with each digest of the sender; a lower number than the last one is ignored.
    pub number: u64,
    /// Last log offset that the sender applied.
    pub applied: Option<Offset>,
    /// Load of the sender, sorted by pool and team.
    pub loads: Vec<Load>,
    /// Slots that the sender's waiting work lacks, by team.
    pub wanted: Vec<(TeamId, u32)>,
    /// Workers that the sender has ejected, cannot connect to, or has seen shutting down.
    pub suspects: Vec<WorkerId>,
    /// Withdrawn keys that the sender knows of.
    pub withdrawn: Vec<KeyId>,
    /// Removed zones that the sender knows of, each with the zone's version at the removal.
    pub removed: Vec<(ZoneId, u64)>,
}

/// Load of one team in one pool, at one member or summed over members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Pool that the work is for.
    pub pool: PoolId,
    /// Team that the work belongs to.
    pub team: TeamId,
    /// Slots in use.
    pub running: u32,
    /// Queued requests and tasks.
    pub waiting: u32,
    /// Offered load, in slots: arrival rate over about the last second, times the expected run time.
    pub offered: f64,
}

/// Answer of a worker to a call about a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskReport {
    /// Task from the call.
    pub task: TaskId,
    /// Attempt from the call; reports about other attempts are ignored.
    pub attempt: u32,
    /// Worker that was called.
    pub worker: WorkerId,
    /// Random number of the worker's process, from its answer; 0 without an answer.
    pub nonce: u64,
    /// What the worker said, or how the call failed.
    pub answer: TaskAnswer,
}

/// Result of a call to a worker about a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskAnswer {
    /// A lease was granted or renewed.
    Leased {
        /// Number of the lease, assigned by the worker.
        lease: u64,
        /// Validity from `asked` on, in milliseconds.
        ttl_ms: u64,
        /// When the call was made.
        asked: Millis,
    },
    /// The lease or the start was refused; this call started nothing.
    Refused(WorkerRefusal),
    /// The worker never started the attempt.
    Never,
    /// The attempt is running.
    Running,
    /// The attempt finished with this result.
    Done(Vec<u8>),
    /// The attempt failed with this reason.
    Failed(String),
    /// The attempt was stopped.
    Stopped {
        /// Where the next attempt can resume; `None` if the task makes no checkpoints.
        checkpoint: Option<Vec<u8>>,
    },
    /// No connection could be made; the worker did not receive the call.
    Unsent,
    /// The connection broke or the answer did not arrive; the call may have taken effect.
    NoAnswer,
}
