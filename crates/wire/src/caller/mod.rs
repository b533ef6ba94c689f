//! Interface to callers: headers and JSON bodies.

use rattanfall_core::engine::command::Refusal;
use rattanfall_core::fleet::{Task, TaskState};
use rattanfall_core::ids::TaskId;
use rattanfall_core::record::{Class, TaskOutcome};
use serde::{Deserialize, Serialize};

/// Urgency: `urgent`, `normal` or `batch`.
pub const CLASS_HEADER: &str = "x-class";
/// `true` if the request may run more than once. Absent: as the method says.
pub const IDEMPOTENT_HEADER: &str = "x-idempotent";
/// Time left for the answer, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Submit token of a task.
pub const TOKEN_HEADER: &str = "x-submit-token";
/// Outcome of the work: `done`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-outcome";
/// Reason of a refusal.
pub const REASON_HEADER: &str = "x-reason";

/// Outcome of work, as callers read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The work ran and this is its whole answer.
    Done,
    /// The work did not run and will not run.
    NotRun,
    /// The work may have run.
    Unknown,
}

impl Outcome {
    /// Text in the outcome header.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

/// Body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalBody {
    /// Machine-readable reason.
    pub reason: String,
    /// Whether the work may have run.
    pub outcome: Outcome,
    /// Sentence for people.
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

/// Answer to the submission of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmittedTask {
    /// Task id, `t-<member>-<number>`.
    pub id: String,
}

/// State of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskBody {
    /// Task id.
    pub id: String,
    /// `waiting`, `running`, `done`, `failed`, `cancelled` or `unknown`.
    pub state: String,
    /// Starts so far.
    pub attempts: u32,
    /// Result of a done task, as text; bytes that are not UTF-8 are replaced.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub result: Option<String>,
    /// Reason of a task that failed or whose end is unknown.
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

/// Reason why a header is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnknownClass;

/// Parses the class header.
///
/// # Errors
///
/// Fails if the text names no class.
pub fn parse_class(text: &str) -> Result<Class, UnknownClass> {
    match text {
        "urgent" => Ok(Class::Urgent),
        "normal" => Ok(Class::Normal),
        "batch" => Ok(Class::Batch),
        _ => Err(UnknownClass),
    }
}
