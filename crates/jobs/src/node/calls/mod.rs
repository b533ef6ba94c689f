//! Calls from callers, their answers, and the handle through which servers reach the node.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use thiserror::Error;
use tokio::sync::{mpsc, oneshot};

use super::view::{Query, View};
use crate::dispatch::admission::Decline;
use crate::ids::JobId;
use crate::metrics::{Meters, MetricsError};
use crate::ports::Forwarded;
use crate::record::Entry;
use crate::spec::{BadJob, Schedule, Step};
use crate::table::JobState;

/// Job as sent by a caller, not yet validated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JobRequest {
    /// Payload, passed unchanged to each task.
    pub payload: String,
    /// Steps in the caller's order.
    pub steps: Vec<Step>,
    /// Schedule; none for a job that runs once.
    pub schedule: Option<Schedule>,
}

/// Operation that a caller requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Verb {
    /// Submit a job.
    Submit(JobRequest),
    /// Read the state of a job, or the number of pending jobs in a queue.
    Read,
    /// Cancel a job.
    Cancel,
}

/// Call from a caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// Host of the request, with or without a port.
    pub host: String,
    /// Path of the request: the prefix of a queue, followed by a job id or nothing.
    pub path: String,
    /// Access key; none if the caller sent none.
    pub key: Option<String>,
    /// Time that the caller waits for an answer, in milliseconds.
    pub wait_ms: u64,
    /// Requested operation.
    pub verb: Verb,
}

/// Reason for refusing a call. A refused call had no effect.
#[derive(Clone, Copy, Debug, Error, Eq, Ord, PartialEq, PartialOrd)]
pub enum Refusal {
    /// The configuration has not been read yet.
    #[error("the configuration has not been read yet")]
    Unconfigured,
    /// The store refuses records or does not answer.
    #[error("the store does not take records")]
    Store,
    /// The view of jobs or of the configuration is too old for an answer.
    #[error("the view of jobs or of the configuration is too old")]
    Stale,
    /// The process is shutting down.
    #[error("the instance is shutting down")]
    Stopping,
    /// The team sends more than it is owed, and there is no room for more.
    #[error("the team sends more than its share, and there is no room for more")]
    Share,
    /// The job can't be done by its objective.
    #[error("the job cannot be done by its objective")]
    Deadline,
    /// The accepted jobs take all the memory that they may.
    #[error("the accepted jobs take all the memory that they may")]
    Memory,
}

impl From<Decline> for Refusal {
    fn from(reason: Decline) -> Self {
        match reason {
            Decline::Share => Self::Share,
            Decline::Deadline => Self::Deadline,
            Decline::Memory => Self::Memory,
        }
    }
}

/// Answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The job is stored, now or by an earlier call.
    Accepted(JobId),
    /// State of a job.
    State(JobState),
    /// The cancellation is stored, now or by an earlier call.
    Canceled,
    /// Number of jobs in the queue that have not started.
    Pending(u64),
    /// Nothing was done; retry after the given number of seconds.
    Refused(Refusal, u64),
    /// The job is invalid.
    Bad(BadJob),
    /// The path does not end with a valid job id.
    BadId,
    /// No queue matches the host and path.
    NoQueue,
    /// The queue requires a key, and the call has none or an unknown one.
    Unauthorized,
    /// The job does not exist. If it was to be cancelled, it will not run either.
    NoJob,
    /// The outcome is unknown: the store did not answer or the node stopped. A submission or cancellation may be
    /// stored.
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
            Self::Share => Decline::Share.name(),
            Self::Deadline => Decline::Deadline.name(),
            Self::Memory => Decline::Memory.name(),
        }
    }
}

/// Message to the node, with the sender for its answer.
#[derive(Debug)]
pub enum Message {
    /// Call from a caller.
    Call(Call, oneshot::Sender<Answer>),
    /// Query from an operator.
    Query(Query, oneshot::Sender<View>),
    /// Records of the intake that another instance forwards, with the time within which they are to be stored. The answer has
    /// an outcome for each.
    Forward(Vec<Entry>, Duration, oneshot::Sender<Vec<Forwarded>>),
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
    /// Creates a handle and the receiver for the node. `depth` is the number of calls that may be queued.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be set up.
    pub fn new(depth: usize) -> Result<(Self, mpsc::Receiver<Message>), MetricsError> {
        let (calls, receiver) = mpsc::channel(depth);
        let meters = Arc::new(Meters::new()?);
        Ok((Self { calls, ready: Arc::default(), meters }, receiver))
    }

    /// True if the instance is ready to take calls.
    #[must_use]
    pub fn ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Sets the readiness. Returns the former value.
    pub fn set_ready(&self, ready: bool) -> bool {
        self.ready.swap(ready, Ordering::Relaxed)
    }

    /// Sends a call to the node and waits for the answer.
    pub async fn call(&self, call: Call) -> Answer {
        let (answer, wait) = oneshot::channel();
        if self.calls.send(Message::Call(call, answer)).await.is_err() {
            return Answer::Refused(Refusal::Stopping, 1);
        }
        wait.await.unwrap_or(Answer::Unknown)
    }

    /// Hands the node records of the intake that another instance forwards. Returns an outcome for each, in their order.
    pub async fn forward(&self, entries: Vec<Entry>, wait: Duration) -> Vec<Forwarded> {
        let (outcomes, answer) = oneshot::channel();
        let records = entries.len();
        if self.calls.send(Message::Forward(entries, wait, outcomes)).await.is_err() {
            return vec![Forwarded::Refused; records];
        }
        answer.await.unwrap_or_else(|_| vec![Forwarded::Unknown; records])
    }

    /// Queries the node for a view. None if the node has stopped.
    pub async fn view(&self, query: Query) -> Option<View> {
        let (answer, wait) = oneshot::channel();
        self.calls.send(Message::Query(query, answer)).await.ok()?;
        wait.await.ok()
    }
}
