//! Interface to operators: JSON bodies. Each call needs the operator credential as a bearer token.

use rattanfall_core::declaration::Declaration;
use serde::{Deserialize, Serialize};

/// Answer to `GET /v1/config` and body of `PUT /v1/config`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// Version: in an answer the one in force, in a change the one that the change was made against.
    pub version: u64,
    /// Declaration.
    pub declaration: Declaration,
}

/// Body of `POST /v1/keys`. Only the hash of the key leaves the operator's machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantKey {
    /// Name of the team.
    pub team: String,
    /// SHA-256 of the key, as 64 hexadecimal digits.
    pub hash: String,
}

/// Body of `POST /v1/zones/{zone}/remove` and `/restore`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeZone {
    /// Zone version that the change is made against; the current one if absent.
    #[serde(default)]
    pub version: Option<u64>,
}

/// Body of `POST /v1/workers/{name}/move`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveWorker {
    /// Name of the pool that the worker joins.
    pub pool: String,
}

/// Answer to an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Log offset of the change.
    pub offset: u64,
    /// New version of the configuration or of the zone, or the id of the key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<u64>,
}

/// Answer to a refused change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// `conflict`, `invalid`, `unknown-entity`, `budget`, `state`, `unavailable`, `unknown`, `credential` or `malformed`.
    pub error: String,
    /// Sentence for people.
    pub message: String,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the answering entry instance.
    pub instance: String,
    /// Member id, if it has joined.
    pub member: Option<u64>,
    /// Last log offset applied.
    pub applied: Option<u64>,
    /// Time since the log's end was last reached, in milliseconds.
    pub view_age_ms: Option<u64>,
    /// Version of the configuration.
    pub version: u64,
    /// Entry instances.
    pub members: Vec<MemberRow>,
    /// Pools.
    pub pools: Vec<PoolRow>,
    /// Teams.
    pub teams: Vec<TeamRow>,
    /// Availability zones.
    pub zones: Vec<ZoneRow>,
    /// Workers.
    pub workers: Vec<WorkerRow>,
    /// Access keys; never the keys themselves.
    pub keys: Vec<KeyRow>,
}

/// One entry instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Member id.
    pub id: u64,
    /// Name.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// `live`, `gone` or `left`.
    pub state: String,
}

/// One pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Name.
    pub name: String,
    /// Workers that take work.
    pub serving: u32,
    /// Availability budget.
    pub min_serving: u32,
    /// Slots of the workers that take work.
    pub slots: u32,
    /// Running work, as far as the answering instance knows.
    pub running: u32,
    /// Waiting work, as far as the answering instance knows.
    pub waiting: u32,
}

/// One team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Name.
    pub name: String,
    /// Weight.
    pub share: u32,
    /// Upper limit, in slots.
    pub limit: u32,
    /// Slots held by all members.
    pub held: u32,
    /// Running work, as far as the answering instance knows.
    pub running: u32,
    /// Waiting work, as far as the answering instance knows.
    pub waiting: u32,
}

/// One availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRow {
    /// Name.
    pub name: String,
    /// `in-service` or `removed`.
    pub state: String,
    /// Version.
    pub version: u64,
}

/// One worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Name.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// Availability zone.
    pub zone: String,
    /// Rack.
    pub rack: String,
    /// `serving`, `draining`, `maintenance`, `moving`, `leaving` or `lost`.
    pub state: String,
    /// Work that it runs at once.
    pub slots: u32,
    /// Work of the answering instance on it.
    pub running: u32,
    /// True if the answering instance has ejected it.
    pub ejected: bool,
}

/// One access key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// Key id.
    pub id: u32,
    /// Team.
    pub team: String,
    /// True once withdrawn.
    pub withdrawn: bool,
}

/// Answer to `GET /v1/explain/tasks/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Task id.
    pub id: String,
    /// State.
    pub state: String,
    /// Member that owns the task.
    pub owner: u64,
    /// What the task waits for or why it ended, one sentence each.
    pub reasons: Vec<String>,
}
