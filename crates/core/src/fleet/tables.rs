//! Rows of the replicated tables.
//!
//! Snapshots store them in a positional format: the order of fields and variants is part of it.

use serde::{Deserialize, Serialize};

use crate::ids::{MemberId, Offset, PoolId, TeamId, WorkerId, ZoneId};
use crate::record::{Class, KeyHash, TaskOutcome};

/// One incarnation of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the entry instance; the same for all its incarnations.
    pub name: String,
    /// Random number that identifies the process.
    pub nonce: u64,
    /// Zone that the process reported when it joined.
    pub zone: ZoneId,
    /// Address of the peer listener, `ip:port`.
    pub address: String,
    /// Sequence number of its last applied batch; batches up to it are duplicates.
    pub sequence: u64,
    /// Offset up to which it confirmed that it applied the log and stopped all work that the log told it to stop.
    pub progress: Offset,
    /// Whether the member may still write records.
    pub state: MemberState,
}

/// State of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// Has joined and not ended.
    Live,
    /// Ended without a clean exit, as recorded at this offset. Its holds stay reserved until they are reclaimed.
    Gone(Offset),
    /// Left cleanly, with no requests in flight.
    Left,
}

/// A team, as of the last declaration that named it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name in the declaration.
    pub name: String,
    /// Weight in the allocation of a full pool; 0 once the team was removed.
    pub share: u32,
    /// Upper limit on what the team runs fleet-wide, in slots; 0 once the team was removed.
    pub limit: u32,
}

/// A pool, as of the last declaration that named it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name in the declaration.
    pub name: String,
    /// Availability budget: workers that must be serving, exceptions included; 0 once the pool was removed.
    pub min_serving: u32,
    /// Team that work without an access key is charged to; none if the pool requires a key.
    pub open: Option<TeamId>,
    /// True if the workers of the pool are a reserve for other pools.
    pub spare: bool,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Name in the settings of the entry instances and in the platform's list.
    pub name: String,
    /// Number of removals and restorations so far.
    pub version: u64,
    /// Whether work may start in the zone.
    pub state: ZoneState,
}

/// State of an availability zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ZoneState {
    /// Work may start.
    InService,
    /// No work may start.
    Removed,
}

/// An access key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccessKey {
    /// SHA-256 of the key.
    pub hash: KeyHash,
    /// Team that work with this key is charged to.
    pub team: TeamId,
    /// True once the key was withdrawn, for good.
    pub withdrawn: bool,
}

/// An upstream worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Name in the platform's list.
    pub name: String,
    /// Random number that identifies its process; a restart changes it.
    pub nonce: u64,
    /// Address for work, `ip:port`.
    pub address: String,
    /// Zone of the current process.
    pub zone: ZoneId,
    /// Name of the rack of the current process.
    pub rack: String,
    /// Pool that it serves. A worker is in exactly one.
    pub pool: PoolId,
    /// Requests and tasks that it runs concurrently.
    pub slots: u32,
    /// True if the current maintenance wave of its pool has not maintained it yet.
    pub due: bool,
    /// Nonce of the process that may be rebooted, from the start of a maintenance to its end.
    pub reboot: Option<u64>,
    /// Whether it takes work, and why not.
    pub state: WorkerState,
}

/// State of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// Takes work if its zone is in service.
    Serving,
    /// Takes no new work since this offset; it will be maintained and stays in its pool.
    Draining(Offset),
    /// Nothing runs on it; it may be rebooted.
    Maintenance,
    /// Takes no new work; it will reboot into another pool.
    Moving {
        /// Pool that it will join.
        to: PoolId,
        /// Offset of the record that started the move.
        since: Offset,
    },
    /// The platform is about to stop it.
    Leaving,
    /// Ended, or unreachable for all members.
    Lost,
}

/// An accepted task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Member that is responsible for running the task to an outcome.
    pub owner: MemberId,
    /// Team that the task is charged to.
    pub team: TeamId,
    /// Pool that it runs in.
    pub pool: PoolId,
    /// Submit token of the caller, unique within the team.
    pub token: Option<String>,
    /// True if it may run more than once.
    pub idempotent: bool,
    /// Priority among the work of its team.
    pub class: Class,
    /// Body for the worker; emptied when the task ends.
    pub payload: Vec<u8>,
    /// Number of starts so far.
    pub attempts: u32,
    /// Workers on which it failed.
    pub failed: Vec<WorkerId>,
    /// True if it was cancelled while started; it then ends instead of being requeued.
    pub cancelled: bool,
    /// Progress of the task.
    pub state: TaskState,
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Not started, or its last attempt is proven to have stopped.
    Waiting,
    /// The current attempt may be running on the worker.
    Started {
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Worker that the attempt was sent to.
        worker: WorkerId,
        /// Nonce of the worker's process at the start.
        nonce: u64,
    },
    /// Ended; the outcome is final.
    Ended {
        /// How it ended.
        outcome: TaskOutcome,
        /// Offset of the record that ended it.
        at: Offset,
    },
}
