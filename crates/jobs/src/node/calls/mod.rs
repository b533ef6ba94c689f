//! Calls of callers and their answers.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use super::view::{Query, View};
use crate::ids::JobId;
use crate::metrics::{Meters, MetricsError};
use crate::spec::{BadJob, Schedule, Step};
use crate::table::JobState;

/// Job as a caller sends it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobRequest {
    /// Payload.
    pub payload: String,
    /// Steps.
    pub steps: Vec<Step>,
    /// Repeated runs.
    pub schedule: Option<Schedule>,
}

/// What a caller wants.
#[derive(Clone, Debug, PartialEq)]
pub enum Verb {
    /// Submit a job.
    Submit(JobRequest),
    /// Read a job's state, or the number of waiting jobs of a queue.
    Read,
    /// Cancel a job.
    Cancel,
}

/// One call.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Host that the caller asked.
    pub host: String,
    /// Path.
    pub path: String,
    /// Access key.
    pub key: Option<String>,
    /// Time that the caller waits, in milliseconds.
    pub wait_ms: u64,
    /// What the caller wants.
    pub verb: Verb,
}

/// Why a call was refused. Nothing was done.
#[derive(Clone, Copy, Debug, Error, Eq, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// The configuration has not been read yet.
    #[error("the configuration has not been read yet")]
    Unconfigured,
    /// The store refuses or does not answer.
    #[error("the store does not take records")]
    Store,
    /// The view of jobs is too old for an answer.
    #[error("the view of jobs is too old")]
    Stale,
    /// The process stops.
    #[error("the instance stops")]
    Stopping,
}

/// Answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored.
    Accepted(JobId),
    /// State of a job.
    State(JobState),
    /// The job is cancelled.
    Canceled,
    /// Jobs of the queue that have not started.
    Pending(u64),
    /// Not done; come back after a time in seconds.
    Refused(Refusal, u64),
    /// The caller's mistake.
    Bad(BadJob),
    /// Path without an id of a job.
    BadId,
    /// No such queue.
    NoQueue,
    /// The key is unknown.
    Unauthorized,
    /// No such job.
    NoJob,
    /// The store has not answered; the job may be stored.
    Unknown,
}

impl Answer {
    /// Name of the answer in the metrics.
    #[must_use]
    pub const fn kind(&self) -> &'static str {
        match self {
            Self::Accepted(_) => "accepted",
            Self::State(_) => "state",
            Self::Canceled => "canceled",
            Self::Pending(_) => "pending",
            Self::Refused(..) => "refused",
            Self::Bad(_) | Self::BadId => "malformed",
            Self::NoQueue => "no_queue",
            Self::Unauthorized => "unauthorized",
            Self::NoJob => "no_job",
            Self::Unknown => "unknown",
        }
    }
}

impl Refusal {
    /// Name of the reason in the metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unconfigured => "unconfigured",
            Self::Store => "store",
            Self::Stale => "stale",
            Self::Stopping => "stopping",
        }
    }
}

/// Message to the node, and where its answer goes.
#[derive(Debug)]
pub enum Message {
    /// Call of a caller.
    Call(Call, oneshot::Sender<Answer>),
    /// Query of an operator.
    Query(Query, oneshot::Sender<View>),
}

/// Handle to a node for servers on other threads.
#[derive(Clone, Debug)]
pub struct Handle {
    calls: mpsc::Sender<Message>,
    ready: Arc<AtomicBool>,
    /// Counters and histograms of the node.
    pub meters: Arc<Meters>,
}

impl Handle {
    /// Creates a handle and the node's end of it.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be set up.
    pub fn new(depth: usize) -> Result<(Self, mpsc::Receiver<Message>), MetricsError> {
        let (calls, receiver) = mpsc::channel(depth);
        let meters = Arc::new(Meters::new()?);
        Ok((Self { calls, ready: Arc::default(), meters }, receiver))
    }

    /// True if the instance takes calls.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Sets whether the instance takes calls. Returns the former value.
    pub fn set_ready(&self, ready: bool) -> bool {
        self.ready.swap(ready, Ordering::Relaxed)
    }

    /// Makes a call.
    pub async fn call(&self, call: Call) -> Answer {
        let (answer, wait) = oneshot::channel();
        if self.calls.send(Message::Call(call, answer)).await.is_err() {
            return Answer::Refused(Refusal::Stopping, 1);
        }
        wait.await.unwrap_or(Answer::Unknown)
    }
    /// Asks for a view. None if the node stops.
    pub async fn view(&self, query: Query) -> Option<View> {
        let (answer, wait) = oneshot::channel();
        self.calls.send(Message::Query(query, answer)).await.ok()?;
        wait.await.ok()
    }
}
