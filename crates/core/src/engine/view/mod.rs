//! What an engine shows of itself: readiness, load and counters.

use std::collections::BTreeMap;

use super::command::{NotRun, Unknown};
use super::event::{Load, WorkerRefusal};
use crate::ids::{MemberId, WorkerId};

/// State of one engine at one moment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct View {
    /// Member id, once joined.
    pub member: Option<MemberId>,
    /// True if the instance takes work.
    pub ready: bool,
    /// True once it was asked to stop.
    pub stopping: bool,
    /// Time since the log's end was last reached, in milliseconds.
    pub view_age_ms: Option<u64>,
    /// Own load per pool and team.
    pub own: Vec<Load>,
    /// Load of all members that were heard lately, the own one included.
    pub fleet: Vec<Load>,
    /// Workers that this instance has ejected.
    pub ejected: Vec<WorkerId>,
    /// Own running work per worker.
    pub running: BTreeMap<WorkerId, u32>,
}

/// Counts since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests and tasks taken in.
    pub submitted: u64,
    /// Requests answered.
    pub answered: u64,
    /// Refusals by reason.
    pub not_run: BTreeMap<NotRun, u64>,
    /// Ends without a known outcome, by reason.
    pub unknown: BTreeMap<Unknown, u64>,
    /// Retries by reason.
    pub retries: BTreeMap<RetryReason, u64>,
    /// Starts while the view was older than the bound.
    pub stale_starts: u64,
    /// Records of this member that were void.
    pub void_records: u64,
    /// Log entries that did not decode.
    pub corrupt_entries: u64,
    /// Duplicate batches that were ignored.
    pub duplicate_batches: u64,
    /// Ejections of workers.
    pub ejections: u64,
    /// Batches appended, repeats included.
    pub appends: u64,
    /// Moves of workers that this member proposed.
    pub moves: u64,
}

/// Reason of a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RetryReason {
    /// The worker refused: full.
    Full,
    /// The worker refused: leaving.
    Leaving,
    /// The worker refused: in another pool.
    WrongPool,
    /// The worker refused the lease.
    Lease,
    /// Nothing was sent.
    Unsent,
    /// The connection broke; the request is idempotent.
    Broken,
    /// The answer was truncated or crossed; the request is idempotent.
    Corrupt,
}

impl RetryReason {
    /// Name in counters.
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
