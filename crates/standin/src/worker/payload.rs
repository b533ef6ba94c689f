//! Payload, checkpoint and result of a task, as small JSON texts.

use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// What a task does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Payload {
    /// Duration of the work, in milliseconds.
    pub work_ms: u64,
    /// True if a stopped run leaves a checkpoint.
    pub checkpoint: bool,
    /// True if the work fails at its end.
    pub fail: bool,
    /// Token of the caller, for the journal and the result.
    pub token: String,
    /// Team, for the journal.
    pub team: String,
}

/// Work already done when a run stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Duration of the work already done, in milliseconds.
    pub done_ms: u64,
}

/// Result of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskResult {
    /// Token of the payload.
    pub token: String,
    /// Worker that ran the task.
    pub worker: String,
    /// Attempt that ran to the end.
    pub attempt: u32,
}

impl Checkpoint {
    /// Checkpoint after a duration.
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

/// Decodes JSON in base64; the default value for an empty text.
///
/// # Errors
///
/// A sentence about what is wrong.
pub fn decode<T: DeserializeOwned + Default>(text: &str) -> Result<T, String> {
    if text.is_empty() {
        return Ok(T::default());
    }
    let bytes = STANDARD.decode(text).map_err(|error| error.to_string())?;
    serde_json::from_slice(&bytes).map_err(|error| error.to_string())
}
