//! Payload, checkpoint and result of a task: JSON in base64.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Work that a task simulates.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Payload {
    /// Duration of the work, in milliseconds.
    pub work_ms: u64,
    /// Whether a run that stops early returns a checkpoint.
    pub checkpoint: bool,
    /// Whether the task fails once its work is done.
    pub fail: bool,
    /// Caller's token, copied to the journal and the result.
    pub token: String,
    /// Team in the journal entry; an empty name is not counted in the peaks.
    pub team: String,
}

/// Progress of a stopped run; the next attempt resumes from it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Completed work, in milliseconds, including that of earlier attempts.
    pub done_ms: u64,
}

/// Result of a completed task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResult {
    /// Copied from [`Payload::token`].
    pub token: String,
    /// Name of the worker that ran the task.
    pub worker: String,
    /// Number of the attempt that completed.
    pub attempt: u32,
}

impl Checkpoint {
    /// Creates a checkpoint, rounded down to whole milliseconds.
    #[must_use]
    pub fn after(done: Duration) -> Self {
        Self { done_ms: u64::try_from(done.as_millis()).unwrap_or(u64::MAX) }
    }
}

/// Encodes a value as JSON in base64.
#[must_use]
pub fn encode<T: Serialize>(value: &T) -> String {
    STANDARD.encode(serde_json::to_vec(value).unwrap_or_default())
}

/// Decodes JSON in base64. An empty text gives the default value.
///
/// # Errors
///
/// Returns the message of the base64 or JSON error.
pub fn decode<T: DeserializeOwned + Default>(text: &str) -> Result<T, String> {
    if text.is_empty() {
        return Ok(T::default());
    }
    let bytes = STANDARD.decode(text).map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}
