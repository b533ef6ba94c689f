//! State of an engine for metrics and status pages: readiness, load and counters.

use std::collections::BTreeMap;

use super::command::{NotRun, Unknown};
use super::event::{Load, WorkerRefusal};
use crate::ids::{MemberId, WorkerId};

/// State of an engine at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Own member id while joined.
    pub member: Option<MemberId>,
    /// True if the instance accepts work.
    pub ready: bool,
    /// True once a graceful stop was requested.
    pub stopping: bool,
    /// Time since a read last reached the end of the log, in milliseconds; `None` before the first.
    pub view_age_ms: Option<u64>,
    /// Load of this member by pool and team.
    pub own: Vec<Load>,
    /// Load of this member and of the peers with a recent digest, by pool and team.
    pub fleet: Vec<Load>,
    /// Workers that this instance has ejected.
    pub ejected: Vec<WorkerId>,
    /// Requests and tasks of this member that are in flight, by worker; idle workers are left out.
    pub running: BTreeMap<WorkerId, u32>,
}

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests and tasks submitted.
    pub submitted: u64,
    /// Requests answered.
    pub answered: u64,
    /// Refusals by reason.
    pub not_run: BTreeMap<NotRun, u64>,
    /// Requests whose outcome is not known, by reason.
    pub unknown: BTreeMap<Unknown, u64>,
    /// Retries by reason.
    pub retries: BTreeMap<RetryReason, u64>,
    /// Starts while the log replica was older than [`Options::stale_ms`](super::Options::stale_ms).
    pub stale_starts: u64,
    /// Records of this member that had no effect.
    pub void_records: u64,
    /// Log entries that could not be decoded.
    pub corrupt_entries: u64,
    /// Duplicate batches that were ignored.
    pub duplicate_batches: u64,
    /// Workers ejected as outliers.
    pub ejections: u64,
    /// Append calls for batches, repeated ones included.
    pub appends: u64,
    /// Moves of workers that this member proposed.
    pub moves: u64,
}

/// Why a request or a task was tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryReason {
    /// The worker had no free slot.
    Full,
    /// The worker was shutting down.
    Leaving,
    /// The worker belonged to another pool.
    WrongPool,
    /// The lease had expired or was unknown to the worker.
    Lease,
    /// The request was not sent.
    Unsent,
    /// The connection broke under an idempotent request.
    Broken,
    /// The answer to an idempotent request was truncated or belonged to another one.
    Corrupt,
}

impl RetryReason {
    /// Name of the reason in metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::Leaving => "leaving",
            Self::WrongPool => "wrong-pool",
            Self::Lease => "lease",
            Self::Unsent => "unsent",
            Self::Broken => "broken",
            Self::Corrupt => "corrupt",
        }
    }
}

impl From<WorkerRefusal> for RetryReason {
    fn from(refusal: WorkerRefusal) -> Self {
        match refusal {
            WorkerRefusal::Full => Self::Full,
            WorkerRefusal::Leaving => Self::Leaving,
            WorkerRefusal::WrongPool => Self::WrongPool,
            WorkerRefusal::Lease => Self::Lease,
        }
    }
}
