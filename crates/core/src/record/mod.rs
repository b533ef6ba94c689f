//! Records of the platform's log.
//!
//! One append carries one [`Batch`]: several records of one origin (group commit). [`crate::fleet::Fleet::apply`]
//! defines the effect of each record. The codec is positional and carries a format version; a new kind of record
//! is added as the last variant.

mod codec;

use serde::{Deserialize, Serialize};

use crate::declaration::Declaration;
use crate::ids::{KeyId, MemberId, Offset, TaskId, WorkerId};

pub use codec::{DecodeError, decode, encode};

/// SHA-256 of an access key.
pub type KeyHash = [u8; 32];

/// Records that one author appends together; they take effect one by one, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Author of the records.
    pub origin: Origin,
    /// Sequence number of the batch within its origin, from 1. A retried append keeps it, so replicas can drop
    /// duplicates.
    pub sequence: u64,
    /// Records in the order in which they are applied.
    pub records: Vec<Record>,
}

/// Author of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Origin {
    /// Process that has not joined yet, identified by its nonce.
    Joining(u64),
    /// Member, from its join on.
    Member(MemberId),
}

/// One state change in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A process becomes a member. The batch origin is `Joining(nonce)`.
    Join(Join),
    /// The author exits cleanly and has no requests in flight. Its started tasks pass to other members.
    Leave,
    /// The platform has reported that the process of a member ended.
    Gone {
        /// Member whose process ended.
        member: MemberId,
    },
    /// The author has applied the log up to `applied` and has no work in flight on workers that were stopped at or
    /// before that offset.
    Progress {
        /// Last offset that the author has applied.
        applied: Offset,
    },
    /// Replaces the declaration.
    ConfigChanged {
        /// Version that the change was made against; the record is void if it is not the current one.
        base: u64,
        /// Declaration that replaces the current one as a whole.
        declaration: Declaration,
    },
    /// Grants an access key to a team.
    KeyGranted {
        /// Name of the team.
        team: String,
        /// SHA-256 of the key; the key itself is never stored.
        hash: KeyHash,
    },
    /// Withdraws an access key permanently.
    KeyWithdrawn {
        /// Key to withdraw.
        key: KeyId,
    },
    /// Takes an availability zone out of service.
    ZoneRemoved {
        /// Name of the zone.
        zone: String,
        /// Version of the zone that the change was made against.
        base: u64,
    },
    /// Returns an availability zone to service.
    ZoneRestored {
        /// Name of the zone.
        zone: String,
        /// Version of the zone that the change was made against.
        base: u64,
    },
    /// Adds up to `slots` of the unclaimed part of a team's limit to the author's hold.
    HoldClaim {
        /// Name of the team.
        team: String,
        /// Number of slots requested; fewer are granted if fewer are unclaimed.
        slots: u32,
    },
    /// Transfers slots from the author's hold to another member.
    HoldGive {
        /// Name of the team.
        team: String,
        /// Live member that receives the slots.
        to: MemberId,
        /// Number of slots transferred.
        slots: u32,
    },
    /// Returns slots from the author's hold to the unclaimed part of the limit.
    HoldRelease {
        /// Name of the team.
        team: String,
        /// Number of slots returned.
        slots: u32,
    },
    /// Frees the holds of a gone member, once none of its work can still be running.
    HoldReclaim {
        /// Member that is gone.
        member: MemberId,
    },
    /// The platform's list contains a worker that is new or has changed.
    WorkerSeen(WorkerSeen),
    /// A worker has ended or become unreachable unexpectedly.
    WorkerLost {
        /// Worker that was lost.
        worker: WorkerId,
    },
    /// Starts a maintenance wave: every worker of a pool becomes due for maintenance.
    WaveStarted {
        /// Name of the pool to maintain.
        pool: String,
    },
    /// Stops new work on a worker that will be maintained in its own pool.
    DrainStarted {
        /// Worker to drain.
        worker: WorkerId,
    },
    /// Cancels a drain or a move before the worker may be rebooted.
    DrainCancelled {
        /// Worker that serves again.
        worker: WorkerId,
    },
    /// The drained worker is quiescent and may be rebooted.
    MaintenanceStarted {
        /// Worker under maintenance.
        worker: WorkerId,
    },
    /// The worker serves again.
    MaintenanceEnded {
        /// Worker under maintenance.
        worker: WorkerId,
    },
    /// Stops new work on a worker that will move to another pool.
    MoveLeft {
        /// Worker to move.
        worker: WorkerId,
        /// Name of the pool that it will join.
        to: String,
    },
    /// The moving worker is quiescent: it changes its pool and may be rebooted.
    MoveJoined {
        /// Worker that moves.
        worker: WorkerId,
    },
    /// Accepts a task with the id `TaskId { member: author, number }`.
    TaskAccepted(TaskAccepted),
    /// An attempt of a task is about to be sent to a worker.
    TaskStarted {
        /// Task to start.
        task: TaskId,
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Worker that the attempt is sent to.
        worker: WorkerId,
        /// Nonce of the worker's process that granted the lease. A restarted worker has lost its record of what it
        /// ran, so its report that it never ran a task counts only under the same nonce.
        nonce: u64,
    },
    /// The current attempt of a task did not run or ended without a result; the task waits again.
    TaskRequeued {
        /// Task to requeue.
        task: TaskId,
        /// Attempt that did not complete.
        attempt: u32,
        /// Proof that the attempt is not running and will not run.
        proof: StopProof,
    },
    /// A task ended with its final outcome.
    TaskEnded {
        /// Task that ended.
        task: TaskId,
        /// Attempt that ended it; 0 if it never started.
        attempt: u32,
        /// Final outcome.
        outcome: TaskOutcome,
    },
    /// The caller's team cancels a task.
    TaskCancelled {
        /// Task to cancel.
        task: TaskId,
    },
    /// Part of a snapshot of the replicated state; changes nothing when applied.
    SnapshotPart(SnapshotPart),
}

/// Contents of a join record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Name of the entry instance, from its settings.
    pub name: String,
    /// Random number that identifies the process.
    pub nonce: u64,
    /// Name of its availability zone.
    pub zone: String,
    /// Address of its peer listener, `ip:port`.
    pub address: String,
    /// Live members of the same name that the process saw when it started. They are its predecessors and have ended,
    /// since the platform starts a replacement only after the old process.
    pub ends: Vec<MemberId>,
}

/// Entry of the platform's list for a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSeen {
    /// Name of the worker; kept across restarts.
    pub name: String,
    /// Random number that identifies the worker's process; a reboot changes it.
    pub nonce: u64,
    /// Address for work, `ip:port`.
    pub address: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Name of its rack.
    pub rack: String,
    /// Name of the pool that it serves; used only if the worker is new or its own pool was removed.
    pub pool: String,
    /// Requests and tasks that it runs concurrently.
    pub slots: u32,
    /// True if the platform is about to stop it.
    pub leaving: bool,
}

/// Task as submitted by a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskAccepted {
    /// Sequence number among the author's tasks, from 1.
    pub number: u32,
    /// Name of the team.
    pub team: String,
    /// Name of the pool.
    pub pool: String,
    /// Idempotency token of the caller; another submission with it returns the first task.
    pub token: Option<String>,
    /// True if the task may run more than once.
    pub idempotent: bool,
    /// Priority among the work of its team.
    pub class: Class,
    /// Body for the worker.
    pub payload: Vec<u8>,
}

/// Priority class of work within its team.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Starts before all other work of the team.
    Urgent,
    /// Default priority.
    #[default]
    Normal,
    /// Starts only after all other work of the team.
    Batch,
}

/// Proof that an attempt of a task is not running and will not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopProof {
    /// The worker refused the start, or was never reached.
    Refused,
    /// The worker reports that it never started the attempt, and all leases for it have expired.
    NeverStarted,
    /// The worker reports that the attempt stopped.
    Stopped,
    /// The worker reports that the attempt stopped with a checkpoint from which the next one resumes.
    Checkpointed,
    /// The worker reports that the attempt failed.
    Failed,
    /// The worker was lost; accepted for idempotent tasks only.
    WorkerLost,
}

/// Final outcome of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// Completed with this result.
    Done(Vec<u8>),
    /// Failed or cannot run, for this reason.
    Failed(String),
    /// Cancelled by the caller.
    Cancelled,
    /// Started, but it is not known whether it completed, for this reason.
    Unknown(String),
}

/// Part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Random number that identifies the snapshot.
    pub id: u64,
    /// Last offset whose effect the snapshot contains.
    pub covers: Offset,
    /// Index of this part, from 0.
    pub index: u32,
    /// Number of parts of the snapshot.
    pub total: u32,
    /// Contents of this part; the parts in order give the snapshot.
    pub bytes: Vec<u8>,
}
