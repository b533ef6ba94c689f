//! Records of the platform's log.
//!
//! One append carries one [`Batch`]: many records of one origin (group commit). [`crate::fleet::Fleet::apply`] gives
//! each record its effect. Adding a record kind appends a variant; the codec names its version.

mod codec;

use serde::{Deserialize, Serialize};

use crate::declaration::Declaration;
use crate::ids::{KeyId, MemberId, Offset, TaskId, WorkerId};

pub use codec::{DecodeError, decode, encode};

/// SHA-256 of an access key.
pub type KeyHash = [u8; 32];

/// Records that one member appends at once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Author of the batch.
    pub origin: Origin,
    /// Counts the batches of the origin, from 1; a repeat carries the same value.
    pub sequence: u64,
    /// Records in order.
    pub records: Vec<Record>,
}

/// Author of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Origin {
    /// Process that has no member id yet; it knows its join by this random number.
    Joining(u64),
    /// Member that has joined.
    Member(MemberId),
}

/// One decision in the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A process becomes a member. The batch origin is `Joining(nonce)`.
    Join(Join),
    /// A member ended cleanly, with no work in flight.
    Leave,
    /// The process of a member has ended.
    Gone {
        /// Ended member.
        member: MemberId,
    },
    /// The author applied the log up to `applied` and has no work in flight on workers that were
    /// stopped at or before that offset.
    Progress {
        /// Last offset applied.
        applied: Offset,
    },
    /// Replaces the declaration.
    ConfigChanged {
        /// Version that the change was made against.
        base: u64,
        /// New declaration.
        declaration: Declaration,
    },
    /// Gives a team a key.
    KeyGranted {
        /// Team's name.
        team: String,
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Withdraws a key for good.
    KeyWithdrawn {
        /// Withdrawn key.
        key: KeyId,
    },
    /// Takes an availability zone out of service.
    ZoneRemoved {
        /// Zone's name.
        zone: String,
        /// Zone version that the change was made against.
        base: u64,
    },
    /// Brings an availability zone back.
    ZoneRestored {
        /// Zone's name.
        zone: String,
        /// Zone version that the change was made against.
        base: u64,
    },
    /// Takes up to `slots` from the unheld rest of a team's limit.
    HoldClaim {
        /// Team's name.
        team: String,
        /// Slots asked for.
        slots: u32,
    },
    /// Passes part of the author's hold to another member.
    HoldGive {
        /// Team's name.
        team: String,
        /// Receiver.
        to: MemberId,
        /// Slots passed on.
        slots: u32,
    },
    /// Returns part of the author's hold.
    HoldRelease {
        /// Team's name.
        team: String,
        /// Slots returned.
        slots: u32,
    },
    /// Frees the holds of a member that is gone and whose work has ended.
    HoldReclaim {
        /// Gone member.
        member: MemberId,
    },
    /// The platform's list shows a worker.
    WorkerSeen(WorkerSeen),
    /// A worker ended or fails without notice.
    WorkerLost {
        /// Lost worker.
        worker: WorkerId,
    },
    /// Marks every worker of a pool as due for maintenance.
    WaveStarted {
        /// Name of the pool.
        pool: String,
    },
    /// Stops new work on a worker, for maintenance in its own pool.
    DrainStarted {
        /// Drained worker.
        worker: WorkerId,
    },
    /// Takes a drain back before the maintenance started.
    DrainCancelled {
        /// Drained worker.
        worker: WorkerId,
    },
    /// The drained worker reboots.
    MaintenanceStarted {
        /// Worker under maintenance.
        worker: WorkerId,
    },
    /// The worker serves again.
    MaintenanceEnded {
        /// Worker under maintenance.
        worker: WorkerId,
    },
    /// The worker leaves its pool for another.
    MoveLeft {
        /// Moved worker.
        worker: WorkerId,
        /// Name of the pool that it will join.
        to: String,
    },
    /// The worker has joined the other pool.
    MoveJoined {
        /// Moved worker.
        worker: WorkerId,
    },
    /// A task is accepted; its id is `TaskId {member: author, number}`.
    TaskAccepted(TaskAccepted),
    /// A task is about to start on a worker.
    TaskStarted {
        /// Started task.
        task: TaskId,
        /// Count of starts, from 1.
        attempt: u32,
        /// Worker that the start goes to.
        worker: WorkerId,
        /// Random number of the worker's process that granted the lease. A worker that restarted has forgotten what
        /// it ran, so its word that it never ran a task counts only under the same number.
        nonce: u64,
    },
    /// The last start of a task did not run or ended without result; the task waits again.
    TaskRequeued {
        /// Task.
        task: TaskId,
        /// Attempt that ended.
        attempt: u32,
        /// Proof that the attempt cannot run any more.
        proof: StopProof,
    },
    /// A task ended.
    TaskEnded {
        /// Task.
        task: TaskId,
        /// Attempt that ended it; 0 if it never started.
        attempt: u32,
        /// How it ended.
        outcome: TaskOutcome,
    },
    /// The owner's team cancels a task.
    TaskCancelled {
        /// Task.
        task: TaskId,
    },
    /// One part of a snapshot of the state.
    SnapshotPart(SnapshotPart),
}

/// A process that becomes a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Name of the entry instance, from its settings.
    pub name: String,
    /// Random number of this process.
    pub nonce: u64,
    /// Name of its availability zone.
    pub zone: String,
    /// Address of its peer listener, `ip:port`.
    pub address: String,
    /// Live members of the same name that the process saw when it started. They are its predecessors, and the
    /// platform starts a replacement only after the old process ended.
    pub ends: Vec<MemberId>,
}

/// A worker as the platform's list shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSeen {
    /// Name of the worker.
    pub name: String,
    /// Random number of the worker's process; a reboot changes it.
    pub nonce: u64,
    /// Address, `ip:port`.
    pub address: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Name of its rack.
    pub rack: String,
    /// Name of the pool that it serves; used only when the worker is new.
    pub pool: String,
    /// Work that it runs at once.
    pub slots: u32,
    /// True if the platform is about to stop it.
    pub leaving: bool,
}

/// A task as its caller submitted it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskAccepted {
    /// Number within the author's tasks.
    pub number: u32,
    /// Name of the team.
    pub team: String,
    /// Name of the pool.
    pub pool: String,
    /// Token of the caller; a second submission with it returns the first task.
    pub token: Option<String>,
    /// True if the task may run more than once.
    pub idempotent: bool,
    /// Urgency.
    pub class: Class,
    /// Body passed to the worker.
    pub payload: Vec<u8>,
}

/// Urgency of work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Starts before the other work of its team.
    Urgent,
    /// Usual work.
    #[default]
    Normal,
    /// Work that may wait.
    Batch,
}

/// Proof that an attempt of a task cannot run any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StopProof {
    /// The worker refused the start, or was never reached.
    Refused,
    /// The worker says that it never started the attempt, and every lease for it has lapsed.
    NeverStarted,
    /// The worker reports that the attempt stopped.
    Stopped,
    /// The worker reports that the attempt stopped and returned a checkpoint from which the next one goes on.
    Checkpointed,
    /// The worker reports that the attempt failed.
    Failed,
    /// The worker is lost; allowed for idempotent tasks only.
    WorkerLost,
}

/// How a task ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskOutcome {
    /// The worker returned a result.
    Done(Vec<u8>),
    /// The task failed or cannot run, with the reason.
    Failed(String),
    /// The caller cancelled it.
    Cancelled,
    /// The task started once and its end is not known.
    Unknown(String),
}

/// One part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SnapshotPart {
    /// Random number of the snapshot.
    pub id: u64,
    /// Last offset that the snapshot covers.
    pub covers: Offset,
    /// Position of this part, from 0.
    pub index: u32,
    /// Number of parts.
    pub total: u32,
    /// Bytes of this part.
    pub bytes: Vec<u8>,
}
