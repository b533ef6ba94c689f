//! HTTP headers and JSON bodies of the API for callers.

use rattanfall_core::engine::command::Refusal;
use rattanfall_core::fleet::{Task, TaskState};
use rattanfall_core::ids::TaskId;
use rattanfall_core::record::{Class, TaskOutcome};
use serde::{Deserialize, Serialize};

/// Request header with the priority class: `urgent`, `normal` or `batch`.
pub const CLASS_HEADER: &str = "x-class";
/// Request header that is `true` if the request may run more than once. Without it the HTTP method decides.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Request header with the time left for the response, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Request header with the token that identifies the submission of a task.
pub const TOKEN_HEADER: &str = "x-submit-token";
/// Response header with the [`Outcome`]: `done`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Response header with the reason of a refusal.
pub const REASON_HEADER: &str = "x-reason";

/// Outcome of a request as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request ran and the response is complete.
    Done,
    /// The request did not run and will not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

impl Outcome {
    /// Value for [`OUTCOME_HEADER`].
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Response body of a refused request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Machine-readable reason.
    pub reason: String,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Human-readable explanation.
    pub message: String,
}

impl From<Refusal> for RefusalBody {
    fn from(refusal: Refusal) -> Self {
        let (reason, outcome) = match refusal {
            Refusal::NotRun(reason) => (reason.name(), Outcome::NotRun),
            Refusal::Unknown(reason) => (reason.name(), Outcome::Unknown),
        };
        let end = if outcome == Outcome::NotRun { "the work did not run" } else { "the work may have run" };
        Self { reason: reason.into(), outcome, message: format!("{}: {end}", reason.replace('-', " ")) }
    }
}

/// Response to the submission of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedTask {
    /// Task id, `t-<member>-<number>`.
    pub id: String,
}

/// State of a task as reported to its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskBody {
    /// Task id, `t-<member>-<number>`.
    pub id: String,
    /// `waiting`, `running`, `done`, `failed`, `cancelled` or `unknown`.
    pub state: String,
    /// Number of times the task was started.
    pub attempts: u32,
    /// Result of a completed task as text; bytes that are not UTF-8 are replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// Reason why the task failed or why its outcome is unknown.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
}

impl From<(TaskId, &Task)> for TaskBody {
    fn from((id, task): (TaskId, &Task)) -> Self {
        let mut body = Self {
            id: id.to_string(),
            state: "waiting".into(),
            attempts: task.attempts,
            result: None,
            reason: None,
        };
        match &task.state {
            TaskState::Waiting => {}
            TaskState::Started { .. } => body.state = "running".into(),
            TaskState::Ended { outcome, .. } => body.set_outcome(outcome),
        }
        body
    }
}

impl TaskBody {
    fn set_outcome(&mut self, outcome: &TaskOutcome) {
        match outcome {
            TaskOutcome::Done(bytes) => {
                self.state = "done".into();
                self.result = Some(String::from_utf8_lossy(bytes).into_owned());
            }
            TaskOutcome::Failed(reason) => {
                self.state = "failed".into();
                self.reason = Some(reason.clone());
            }
            TaskOutcome::Cancelled => self.state = "cancelled".into(),
            TaskOutcome::Unknown(reason) => {
                self.state = "unknown".into();
                self.reason = Some(reason.clone());
            }
        }
    }
}

/// The class header names no known class.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownClass;

/// Parses the value of [`CLASS_HEADER`].
///
/// # Errors
///
/// Fails if the value is not the name of a class.
pub fn parse_class(text: &str) -> Result<Class, UnknownClass> {
    match text {
        "urgent" => Ok(Class::Urgent),
        "normal" => Ok(Class::Normal),
        "batch" => Ok(Class::Batch),
        _ => Err(UnknownClass),
    }
}
