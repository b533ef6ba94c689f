//! JSON bodies of the operator API. Each call requires the operator credential as a bearer token.

use rattanfall_core::declaration::Declaration;
use serde::{Deserialize, Serialize};

/// Response to `GET /v1/config` and body of `PUT /v1/config`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// In a response the active version; in a change the version that the change is based on.
    pub version: u64,
    /// Configuration of pools, teams and limits as operators declare it.
    pub declaration: Declaration,
}

/// Body of `POST /v1/keys`. The key itself never leaves the operator's machine, only its hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GrantKey {
    /// Name of the team that the key authenticates.
    pub team: String,
    /// SHA-256 of the key as 64 hexadecimal digits.
    pub hash: String,
}

/// Body of `POST /v1/zones/{zone}/remove` and `/restore`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeZone {
    /// Zone version that the change is based on; the current one if absent.
    #[serde(default)]
    pub version: Option<u64>,
}

/// Body of `POST /v1/workers/{name}/move`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MoveWorker {
    /// Name of the destination pool.
    pub pool: String,
}

/// Response to an accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Log offset at which the change was recorded.
    pub offset: u64,
    /// New version of the configuration or the zone, or the id of a new key; absent for other changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub value: Option<u64>,
}

/// Response to a rejected call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// `conflict`, `invalid`, `unknown-entity`, `budget`, `state`, `unavailable`, `unknown`, `credential` or `malformed`.
    pub error: String,
    /// Human-readable explanation.
    pub message: String,
}

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the responding entry instance.
    pub instance: String,
    /// Member id of the responding instance; none before it has joined.
    pub member: Option<u64>,
    /// Offset of the last log entry applied.
    pub applied: Option<u64>,
    /// Time since the instance last reached the end of the log, in milliseconds.
    pub view_age_ms: Option<u64>,
    /// Version of the active configuration.
    pub version: u64,
    /// Entry instances, including those that are gone or have left.
    pub members: Vec<MemberRow>,
    /// Pools with their load and availability budget.
    pub pools: Vec<PoolRow>,
    /// Teams with their limits and usage.
    pub teams: Vec<TeamRow>,
    /// Availability zones and whether they are in service.
    pub zones: Vec<ZoneRow>,
    /// Workers of all pools.
    pub workers: Vec<WorkerRow>,
    /// Access keys by id; the secrets are not included.
    pub keys: Vec<KeyRow>,
}

/// Status of an entry instance.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Member id, assigned when the instance joins.
    pub id: u64,
    /// Name of the instance.
    pub name: String,
    /// Availability zone that hosts the instance.
    pub zone: String,
    /// `live`, `gone` or `left`.
    pub state: String,
}

/// Status of a pool.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolRow {
    /// Name from the configuration.
    pub name: String,
    /// Number of workers that accept work.
    pub serving: u32,
    /// Availability budget: the number of workers that must keep accepting work.
    pub min_serving: u32,
    /// Total slots of the workers that accept work.
    pub slots: u32,
    /// Running requests and tasks known to the responding instance.
    pub running: u32,
    /// Queued requests and tasks known to the responding instance.
    pub waiting: u32,
}

/// Status of a team.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamRow {
    /// Name from the configuration.
    pub name: String,
    /// Weight in the fair sharing of slots.
    pub share: u32,
    /// Maximum number of slots.
    pub limit: u32,
    /// Slots allotted to the team across all entry instances.
    pub held: u32,
    /// Running requests and tasks known to the responding instance.
    pub running: u32,
    /// Queued requests and tasks known to the responding instance.
    pub waiting: u32,
}

/// Status of an availability zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneRow {
    /// Name of the zone.
    pub name: String,
    /// `in-service` or `removed`.
    pub state: String,
    /// Number of removals and restorations so far.
    pub version: u64,
}

/// Status of a worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRow {
    /// Name of the worker's instance.
    pub name: String,
    /// Pool that the worker belongs to.
    pub pool: String,
    /// Availability zone that hosts the worker.
    pub zone: String,
    /// Rack within the zone.
    pub rack: String,
    /// `serving`, `draining`, `maintenance`, `moving`, `leaving` or `lost`.
    pub state: String,
    /// Maximum number of requests and tasks that it runs at once.
    pub slots: u32,
    /// Requests and tasks that the responding instance runs on it.
    pub running: u32,
    /// True if the responding instance has ejected it after failures.
    pub ejected: bool,
}

/// Status of an access key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyRow {
    /// Id by which operators withdraw the key.
    pub id: u32,
    /// Team that the key authenticates.
    pub team: String,
    /// True if the key is no longer accepted.
    pub withdrawn: bool,
}

/// Response to `GET /v1/explain/tasks/{id}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Task id, `t-<member>-<number>`.
    pub id: String,
    /// State as in [`crate::caller::TaskBody::state`].
    pub state: String,
    /// Id of the member that owns the task.
    pub owner: u64,
    /// What the task waits for or why it ended, one sentence each.
    pub reasons: Vec<String>,
}
