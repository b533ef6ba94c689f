//! Commands that an engine returns for its process to execute.

use super::{RequestKey, Ticket};
use crate::fleet::{Effect, VoidReason};
use crate::ids::{Offset, TaskId, WorkerId};
use crate::record::Batch;

use super::event::Digest;

/// Side effect for the process to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Sends a waiting request to a worker.
    Send(Send),
    /// Refuses or ends a request.
    Refuse {
        /// Key returned by [`Engine::submit`](super::Engine::submit).
        request: RequestKey,
        /// Reason for the caller.
        refusal: Refusal,
    },
    /// Appends a batch to the log; [`Event::AppendEnded`](super::Event::AppendEnded) reports the result.
    Append(Batch),
    /// Reports the result of a proposal to its author.
    Resolve {
        /// Ticket that the author got for the proposal.
        ticket: Ticket,
        /// Offset and effect of the record, or why there is none.
        result: Result<(Offset, Effect), ProposalError>,
    },
    /// Sends a digest to the live members.
    Gossip(Digest),
    /// Calls a worker about a task.
    Task(TaskCall),
    /// Opens a new connection to a worker and asks for its status.
    Probe {
        /// Worker to probe.
        worker: WorkerId,
        /// Address, `ip:port`.
        address: String,
    },
    /// Asks the platform to reboot a worker into a pool.
    Reboot {
        /// Worker to reboot.
        worker: WorkerId,
        /// Name of the worker, as in the platform's list.
        name: String,
        /// Address, `ip:port`.
        address: String,
        /// Name of the pool that the worker joins after the reboot.
        pool: String,
    },
    /// Exits the process: it has left and nothing is pending.
    Exit,
    /// Restarts the engine with a new nonce: another member has ended this one in the log.
    Rejoin,
}

/// Request to be sent to a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Send {
    /// Key returned by [`Engine::submit`](super::Engine::submit).
    pub request: RequestKey,
    /// Number of this attempt, from 1.
    pub attempt: u32,
    /// Worker chosen for the attempt.
    pub worker: WorkerId,
    /// Address of the worker, `ip:port`.
    pub address: String,
    /// Name of the pool; the worker refuses the request if it belongs to another one.
    pub pool: String,
    /// Time left for the answer, in milliseconds.
    pub left_ms: u64,
    /// True if another attempt may follow, so that the body has to be kept.
    pub retryable: bool,
}

/// Call to a worker about an attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskCall {
    /// Task that the call is about.
    pub task: TaskId,
    /// Number of the attempt, from 1.
    pub attempt: u32,
    /// Worker to call.
    pub worker: WorkerId,
    /// Address of the worker, `ip:port`.
    pub address: String,
    /// Operation to request.
    pub action: TaskAction,
}

/// Operation on an attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TaskAction {
    /// Requests a lease, which reserves a slot for the attempt.
    Lease {
        /// Name of the pool; the worker refuses the lease if it belongs to another one.
        pool: String,
    },
    /// Starts the attempt under a lease.
    Start {
        /// Number of the lease, assigned by the worker.
        lease: u64,
        /// Opaque body of the task.
        payload: Vec<u8>,
        /// Checkpoint to resume from, if an earlier attempt made one.
        checkpoint: Option<Vec<u8>>,
    },
    /// Renews the lease.
    Renew {
        /// Number of the lease; 0 takes over the lease of a running attempt from an earlier owner.
        lease: u64,
    },
    /// Asks for the state of the attempt.
    Query,
    /// Stops the attempt.
    Stop,
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The request did not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
}

/// Why work did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum NotRun {
    /// The instance has no configuration yet, or has not joined.
    NotReady,
    /// The pool is not declared.
    UnknownPool,
    /// The pool requires a key and the caller sent none.
    KeyMissing,
    /// The key does not exist.
    KeyUnknown,
    /// The key was withdrawn.
    KeyWithdrawn,
    /// The team's queue is full.
    QueueFull,
    /// The deadline passed before the start, or could no longer be met.
    Deadline,
    /// No worker of the pool accepted the request.
    NoWorker,
    /// The caller cancelled the request.
    Cancelled,
    /// The entry instance is stopping.
    Stopping,
    /// The platform's log is unreachable.
    PlatformUnavailable,
}

/// Why it is not known whether work ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Unknown {
    /// The connection broke after the request was sent.
    Broken,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The answer was truncated or belonged to another request.
    CorruptAnswer,
    /// The log may or may not have accepted the record.
    AppendUnknown,
}

/// Why a proposal has no effect, or none yet.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ProposalError {
    /// The record is in the log but had no effect.
    #[error(transparent)]
    Void(#[from] VoidReason),
    /// The record was not appended: the instance has not joined, or the log is unreachable.
    #[error("the platform's log cannot be reached; nothing was changed")]
    Unavailable,
    /// The log did not answer in time; the record may still be appended.
    #[error("the platform's log did not answer; the change may still take effect")]
    Unknown,
}

impl NotRun {
    /// Name of the reason in answers and metrics.
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
    /// Name of the reason in answers and metrics.
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
