//! Interface to upstream workers: headers and JSON bodies.

use rattanfall_core::engine::event::WorkerRefusal;
use serde::{Deserialize, Serialize};

/// Id of a request; the answer echoes it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Pool that the sender believes the worker to be in.
pub const POOL_HEADER: &str = "x-pool";
/// Time left for the answer, in milliseconds. The worker stops the work when it has passed.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Reason of a refusal with status 503; a refused request did not run.
pub const REFUSED_HEADER: &str = "x-refused";

/// Text of a refusal in the header.
#[must_use]
pub const fn refusal_name(refusal: WorkerRefusal) -> &'static str {
    match refusal {
        WorkerRefusal::Full => "full",
        WorkerRefusal::Leaving => "leaving",
        WorkerRefusal::WrongPool => "wrong-pool",
        WorkerRefusal::Lease => "lease",
    }
}

/// Parses the text of a refusal.
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
    /// Task id.
    pub task: String,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Member that asks.
    pub owner: u64,
    /// Pool that the sender believes the worker to be in.
    pub pool: String,
}

/// Answer to a granted or renewed lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Number of the lease.
    pub lease: u64,
    /// Time until it lapses, in milliseconds.
    pub ttl_ms: u64,
    /// Random number of the worker's process.
    pub nonce: u64,
}

/// Body of `POST /worker/tasks`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartTask {
    /// Number of the lease.
    pub lease: u64,
    /// Task id.
    pub task: String,
    /// Attempt, from 1.
    pub attempt: u32,
    /// Body of the task in base64.
    pub payload: String,
    /// Checkpoint of an earlier attempt in base64.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// State of a task on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The worker never started it.
    Never,
    /// It runs.
    Running,
    /// It returned a result.
    Done,
    /// It failed.
    Failed,
    /// It was stopped, or its lease lapsed.
    Stopped,
}

/// Answer to `GET /worker/tasks/{task}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStatus {
    /// State of the last attempt.
    pub state: RunState,
    /// Last attempt; 0 if it never started.
    pub attempt: u32,
    /// Random number of the worker's process. A restarted worker has another one and knows no earlier task.
    pub nonce: u64,
    /// Result in base64, if done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// Reason, if failed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Checkpoint in base64, if stopped and one was made.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub checkpoint: Option<String>,
}

/// Answer to `GET /worker/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerStatus {
    /// Name.
    pub name: String,
    /// Random number of the process or of the last reboot.
    pub nonce: u64,
    /// Pool.
    pub pool: String,
    /// Slots.
    pub slots: u32,
    /// Running work.
    pub running: u32,
    /// True if it is about to stop.
    pub leaving: bool,
}
