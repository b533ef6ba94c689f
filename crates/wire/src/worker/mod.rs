//! HTTP headers and JSON bodies of the interface to upstream workers.

use rattanfall_core::engine::event::WorkerRefusal;
use serde::{Deserialize, Serialize};

/// Header with the id of a request; the response repeats it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Request header with the pool that the sender expects the worker to belong to.
pub const POOL_HEADER: &str = "x-pool";
/// Request header with the time left for the response, in milliseconds. The worker aborts the request afterwards.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Response header with the reason of a refusal with status 503; a refused request did not run.
pub const REFUSED_HEADER: &str = "x-refused";

/// Value of [`REFUSED_HEADER`] for a refusal.
#[must_use]
pub const fn refusal_name(refusal: WorkerRefusal) -> &'static str {
    match refusal {
        WorkerRefusal::Full => "full",
        WorkerRefusal::Leaving => "leaving",
        WorkerRefusal::WrongPool => "wrong-pool",
        WorkerRefusal::Lease => "lease",
    }
}

/// Parses the value of [`REFUSED_HEADER`].
#[must_use]
pub fn parse_refusal(text: &str) -> Option<WorkerRefusal> {
    match text {
        "full" => Some(WorkerRefusal::Full),
        "leaving" => Some(WorkerRefusal::Leaving),
        "wrong-pool" => Some(WorkerRefusal::WrongPool),
        "lease" => Some(WorkerRefusal::Lease),
        _ => None,
    }
}

/// Body of `POST /worker/leases`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRequest {
    /// Task id, `t-<member>-<number>`.
    pub task: String,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Id of the member that owns the task.
    pub owner: u64,
    /// Pool that the sender expects the worker to belong to.
    pub pool: String,
}

/// Response to the grant or renewal of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Number of the lease.
    pub lease: u64,
    /// Time until the lease expires, in milliseconds.
    pub ttl_ms: u64,
    /// Random number that identifies the worker's process.
    pub nonce: u64,
}

/// Body of `POST /worker/tasks`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Number of the lease under which the task runs.
    pub lease: u64,
    /// Task id, `t-<member>-<number>`.
    pub task: String,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Input of the task in base64.
    pub payload: String,
    /// Checkpoint of an earlier attempt to resume from, in base64.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// State of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The worker never started the task.
    Never,
    /// Running.
    Running,
    /// Completed with a result.
    Done,
    /// Failed with a reason.
    Failed,
    /// Stopped on request or because its lease expired.
    Stopped,
}

/// Response to `GET /worker/tasks/{task}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// State of the last attempt.
    pub state: RunState,
    /// Number of the last attempt; 0 if the task never started.
    pub attempt: u32,
    /// Random number that identifies the worker's process. A restarted worker has another one and no earlier tasks.
    pub nonce: u64,
    /// Result in base64, if completed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// Reason of a failure.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Checkpoint in base64, if the task was stopped after writing one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// Response to `GET /worker/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Name of the worker's instance.
    pub name: String,
    /// Random number drawn at the start of the process and at each reboot.
    pub nonce: u64,
    /// Pool that the worker serves.
    pub pool: String,
    /// Maximum number of requests and tasks that run at once.
    pub slots: u32,
    /// Requests and tasks that are running.
    pub running: u32,
    /// True if the worker is about to stop.
    pub leaving: bool,
}
