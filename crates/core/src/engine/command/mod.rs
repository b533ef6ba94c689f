//! What an engine asks its process to do.

use super::{RequestKey, Ticket};
use crate::fleet::{Effect, VoidReason};
use crate::ids::{Offset, TaskId, WorkerId};
use crate::record::Batch;

use super::event::Digest;

/// Order of an engine to its process.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Sends a waiting request to a worker.
    Send(Send),
    /// Refuses or ends a request.
    Refuse {
        /// Request.
        request: RequestKey,
        /// Reason.
        refusal: Refusal,
    },
    /// Appends a batch to the log.
    Append(Batch),
    /// Tells the author of a proposal what became of it.
    Resolve {
        /// Proposal.
        ticket: Ticket,
        /// Effect and offset, or why there is none.
        result: Result<(Offset, Effect), ProposalError>,
    },
    /// Sends a digest to the live members.
    Gossip(Digest),
    /// Asks a worker about a task.
    Task(TaskCall),
    /// Opens a fresh connection to a worker and asks for its status.
    Probe {
        /// Worker.
        worker: WorkerId,
        /// Address, `ip:port`.
        address: String,
    },
    /// Asks the platform to reboot a worker into a pool.
    Reboot {
        /// Worker.
        worker: WorkerId,
        /// Worker's name.
        name: String,
        /// Address, `ip:port`.
        address: String,
        /// Name of the pool.
        pool: String,
    },
    /// The process has nothing left to do and may exit.
    Exit,
    /// This incarnation has ended in the log; the process starts again with another nonce.
    Rejoin,
}

/// Order to send a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Request.
    pub request: RequestKey,
    /// Count of sends, from 1.
    pub attempt: u32,
    /// Worker.
    pub worker: WorkerId,
    /// Worker's address, `ip:port`.
    pub address: String,
    /// Name of the pool, for the worker's check.
    pub pool: String,
    /// Time left for the answer, in milliseconds.
    pub left_ms: u64,
    /// True if the body must be kept for another attempt.
    pub retryable: bool,
}

/// Order about a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskCall {
    /// Task.
    pub task: TaskId,
    /// Attempt.
    pub attempt: u32,
    /// Worker.
    pub worker: WorkerId,
    /// Worker's address, `ip:port`.
    pub address: String,
    /// What to do.
    pub action: TaskAction,
}

/// Call to a worker about a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskAction {
    /// Asks for a lease.
    Lease {
        /// Name of the pool, for the worker's check.
        pool: String,
    },
    /// Starts under a lease.
    Start {
        /// Number of the lease.
        lease: u64,
        /// Body of the task.
        payload: Vec<u8>,
        /// Checkpoint of an earlier attempt.
        checkpoint: Option<Vec<u8>>,
    },
    /// Renews the lease. A new owner passes 0 and takes over the attempt's lease.
    Renew {
        /// Number of the lease.
        lease: u64,
    },
    /// Asks for the state.
    Query,
    /// Stops the attempt.
    Stop,
}

/// Reason of a refusal or of an end without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// Did not run.
    NotRun(NotRun),
    /// May have run.
    Unknown(Unknown),
}

/// Reason why work did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NotRun {
    /// No configuration yet, or the member has not joined.
    NotReady,
    /// The pool is not declared.
    UnknownPool,
    /// A key is required.
    KeyMissing,
    /// The key is not known.
    KeyUnknown,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The team's queue is full.
    QueueFull,
    /// The deadline passed, or cannot be met, before a start.
    Deadline,
    /// No worker of the pool takes work.
    NoWorker,
    /// The caller cancelled.
    Cancelled,
    /// The entry instance is stopping.
    Stopping,
    /// The platform's log cannot be reached.
    PlatformUnavailable,
}

/// Reason why the end of work is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Unknown {
    /// The connection broke after the request was sent.
    Broken,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The answer was truncated or belongs to another request.
    CorruptAnswer,
    /// The log may or may not have taken the record.
    AppendUnknown,
}

/// Why a proposal has no effect yet.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// The record is void.
    #[error(transparent)]
    Void(#[from] VoidReason),
    /// Nothing was appended: not joined, or the log is known to be down.
    #[error("the platform's log cannot be reached; nothing was changed")]
    Unavailable,
    /// The log did not answer in time; the change may still take effect.
    #[error("the platform's log did not answer; the change may still take effect")]
    Unknown,
}

impl NotRun {
    /// Name in answers and counters.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotReady => "not-ready",
            Self::UnknownPool => "unknown-pool",
            Self::KeyMissing => "key-missing",
            Self::KeyUnknown => "key-unknown",
            Self::KeyWithdrawn => "key-withdrawn",
            Self::QueueFull => "queue-full",
            Self::Deadline => "deadline",
            Self::NoWorker => "no-worker",
            Self::Cancelled => "cancelled",
            Self::Stopping => "stopping",
            Self::PlatformUnavailable => "platform-unavailable",
        }
    }
}

impl Unknown {
    /// Name in answers and counters.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Broken => "connection-broken",
            Self::TimedOut => "timed-out",
            Self::CorruptAnswer => "corrupt-answer",
            Self::AppendUnknown => "append-unknown",
        }
    }
}
