//! Rows of the replicated tables.

use serde::{Deserialize, Serialize};

use crate::ids::{MemberId, Offset, PoolId, TeamId, WorkerId, ZoneId};
use crate::record::{Class, KeyHash, TaskOutcome};

/// One incarnation of an entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the entry instance.
    pub name: String,
    /// Random number of the process.
    pub nonce: u64,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address of the peer listener, `ip:port`.
    pub address: String,
    /// Sequence of its last batch.
    pub sequence: u64,
    /// Offset up to which it has applied the log and stopped the work it had to stop.
    pub progress: Offset,
    /// Life cycle.
    pub state: MemberState,
}

/// Life cycle of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberState {
    /// May act.
    Live,
    /// Its process ended at this offset without a clean exit; its holds wait for the reclaim.
    Gone(Offset),
    /// Exited cleanly.
    Left,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name in the declaration.
    pub name: String,
    /// Weight when a pool is full.
    pub share: u32,
    /// Upper limit, in slots.
    pub limit: u32,
}

/// A pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pool {
    /// Name in the declaration.
    pub name: String,
    /// Workers that must be serving.
    pub min_serving: u32,
    /// Team that work without a key counts for, if the pool is open.
    pub open: Option<TeamId>,
    /// True if its workers are lent to other pools.
    pub spare: bool,
}

/// An availability zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Name in the settings of the instances.
    pub name: String,
    /// Count of removals and restorations.
    pub version: u64,
    /// State.
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
    /// Team that the key is for.
    pub team: TeamId,
    /// True once it was withdrawn; never false again.
    pub withdrawn: bool,
}

/// An upstream worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Worker {
    /// Name in the platform's list.
    pub name: String,
    /// Random number of its process.
    pub nonce: u64,
    /// Address, `ip:port`.
    pub address: String,
    /// Availability zone.
    pub zone: ZoneId,
    /// Rack.
    pub rack: String,
    /// The one pool that it belongs to.
    pub pool: PoolId,
    /// Work that it runs at once.
    pub slots: u32,
    /// True until the maintenance wave of its pool has reached it.
    pub due: bool,
    /// Random number of the process that a reboot was allowed for; none once the maintenance has ended.
    pub reboot: Option<u64>,
    /// Life cycle.
    pub state: WorkerState,
}

/// Life cycle of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// Takes work.
    Serving,
    /// Takes no new work, since this offset; it will be maintained and stay in its pool.
    Draining(Offset),
    /// Reboots.
    Maintenance,
    /// Takes no new work, since this offset; it will join the pool `to`.
    Moving {
        /// Pool that it will join.
        to: PoolId,
        /// Offset of the record that started the move.
        since: Offset,
    },
    /// The platform is about to stop it.
    Leaving,
    /// Ended or unreachable for everyone.
    Lost,
}

/// An accepted task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Task {
    /// Member that must see to its end.
    pub owner: MemberId,
    /// Team.
    pub team: TeamId,
    /// Pool.
    pub pool: PoolId,
    /// Token of the caller.
    pub token: Option<String>,
    /// True if it may run more than once.
    pub idempotent: bool,
    /// Urgency.
    pub class: Class,
    /// Body for the worker; emptied when the task ends.
    pub payload: Vec<u8>,
    /// Starts so far.
    pub attempts: u32,
    /// Workers on which it failed.
    pub failed: Vec<WorkerId>,
    /// True once its cancellation is in the log.
    pub cancelled: bool,
    /// Life cycle.
    pub state: TaskState,
}

/// Life cycle of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TaskState {
    /// Not started, or its last attempt is proven to have stopped.
    Waiting,
    /// May run on the worker.
    Started {
        /// Count of starts, from 1.
        attempt: u32,
        /// Worker.
        worker: WorkerId,
        /// Random number of the worker's process at the start.
        nonce: u64,
    },
    /// Ended at this offset.
    Ended {
        /// How it ended.
        outcome: TaskOutcome,
        /// Offset of the record.
        at: Offset,
    },
}
