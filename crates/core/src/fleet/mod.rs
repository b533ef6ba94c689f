//! Replicated state machine of the fleet.
//!
//! Every entry instance applies the platform's log in offset order with [`Fleet::apply`]. It is deterministic and
//! reads neither clock nor random numbers, so replicas that have applied the same offsets are equal. A record that
//! would break an invariant is void: every replica ignores it, for the same [`VoidReason`].

mod apply;
mod config;
mod holds;
mod members;
mod open;
mod snapshot;
mod tables;
mod tasks;
mod workers;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::declaration::Declaration;
use crate::ids::{KeyId, MemberId, Offset, PoolId, TaskId, TeamId, WorkerId, ZoneId};
use crate::record::KeyHash;

pub use apply::{Applied, Effect, VoidReason};
pub use open::{OpenTasks, task_bytes};
pub use snapshot::{RestoreError, SnapshotAssembler, split_snapshot};
pub use tables::{
    AccessKey, Member, MemberState, Pool, Task, TaskState, Team, Worker, WorkerState, Zone, ZoneState,
};

/// One replica of the shared state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// Last offset applied, if any. Never decreases.
    pub applied: Option<Offset>,
    /// Version of the declaration: the number of changes accepted so far.
    pub version: u64,
    /// Declaration in force.
    pub declaration: Declaration,
    /// Longest request deadline that any declaration so far has allowed, in milliseconds. Bounds how long requests
    /// of a gone member can still run.
    pub deadline_cap_ms: u64,
    /// Incarnations of entry instances, ended ones included.
    pub members: BTreeMap<MemberId, Member>,
    /// Teams; a team that is removed from the declaration keeps its row with limit 0.
    pub teams: BTreeMap<TeamId, Team>,
    /// Pools; a pool that is removed from the declaration keeps its row.
    pub pools: BTreeMap<PoolId, Pool>,
    /// Availability zones that a member or worker has named.
    pub zones: BTreeMap<ZoneId, Zone>,
    /// Access keys, including withdrawn ones.
    pub keys: BTreeMap<KeyId, AccessKey>,
    /// Index of `keys` by hash.
    pub hashes: BTreeMap<KeyHash, KeyId>,
    /// Slots of each team's limit that a member may use, never 0.
    pub holds: BTreeMap<(TeamId, MemberId), u32>,
    /// Upstream workers, lost ones included.
    pub workers: BTreeMap<WorkerId, Worker>,
    /// Accepted tasks. The oldest ended ones are dropped beyond `ended_tasks` of the declaration.
    pub tasks: BTreeMap<TaskId, Task>,
    /// Ended tasks in the order in which they ended, oldest first.
    pub ended: VecDeque<TaskId>,
    /// Index of `tasks` by the caller's submit token.
    pub tokens: BTreeMap<(TeamId, String), TaskId>,
    /// Memory of the tasks that have not ended.
    #[serde(skip)]
    pub open: OpenTasks,
}

impl Fleet {
    /// Looks up a team by name, also one that was removed from the declaration.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<TeamId> {
        self.teams.iter().find(|(_, team)| team.name == name).map(|(id, _)| *id)
    }

    /// Looks up a pool by name, also one that was removed from the declaration.
    #[must_use]
    pub fn pool(&self, name: &str) -> Option<PoolId> {
        self.pools.iter().find(|(_, pool)| pool.name == name).map(|(id, _)| *id)
    }

    /// Looks up an availability zone by name.
    #[must_use]
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().find(|(_, zone)| zone.name == name).map(|(id, _)| *id)
    }

    /// Looks up a worker by name, also a lost one.
    #[must_use]
    pub fn worker(&self, name: &str) -> Option<WorkerId> {
        self.workers.iter().find(|(_, worker)| worker.name == name).map(|(id, _)| *id)
    }

    /// Slots of a team's limit that the member holds.
    #[must_use]
    pub fn hold(&self, team: TeamId, member: MemberId) -> u32 {
        self.holds.get(&(team, member)).copied().unwrap_or(0)
    }

    /// Members in [`MemberState::Live`], in the order of their ids.
    pub fn live_members(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.members.iter().filter(|(_, m)| m.state == MemberState::Live).map(|(id, _)| *id)
    }
}
