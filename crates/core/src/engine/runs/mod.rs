//! Table of task attempts that this member sees to.

use std::collections::{BTreeMap, BTreeSet};

use super::Millis;
use super::holds::Permit;
use crate::ids::{TaskId, WorkerId};

/// One attempt of a task.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) attempt: u32,
    pub(super) worker: WorkerId,
    pub(super) permit: Permit,
    pub(super) stage: RunStage,
    /// True for an attempt of an earlier owner until the worker says that it runs. Until then it may have ended before
    /// that owner did, which may have used its slot again.
    pub(super) unconfirmed: bool,
    /// True once the start record is in the log.
    pub(super) recorded: bool,
    /// Random number of the worker's process that granted the lease; 0 before the grant.
    pub(super) nonce: u64,
    /// Starts that were sent.
    pub(super) starts: u32,
    /// Number of the lease at the worker; 0 if it is another member's.
    pub(super) lease: u64,
    /// When the lease lapses at the latest, by this process's clock.
    pub(super) expires: Millis,
    /// When the lease is renewed next.
    pub(super) renew_at: Millis,
    /// When the worker is asked next.
    pub(super) query_at: Millis,
    /// When the attempt began.
    pub(super) started: Millis,
    /// When an idempotent attempt is stopped because its worker is to be maintained.
    pub(super) stop_at: Option<Millis>,
}

/// Life cycle of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunStage {
    /// A lease was asked for.
    Leasing,
    /// The start record is on its way into the log.
    Recording,
    /// The start was sent, or may have been sent by an earlier owner.
    MaybeStarted,
    /// The worker runs it.
    Running,
    /// The end is on its way into the log.
    Ended,
}

/// Attempts of this member, and checkpoints for the next ones.
#[derive(Debug, Default)]
pub(super) struct Runs {
    pub(super) rows: BTreeMap<TaskId, Run>,
    pub(super) checkpoints: BTreeMap<TaskId, Vec<u8>>,
    /// Owned tasks that wait in a queue.
    pub(super) queued: BTreeSet<TaskId>,
}

impl Run {
    /// True if an earlier owner took the lease.
    pub(super) fn taken_over(&self) -> bool {
        self.lease == 0
    }
}
