//! Table of task attempts that this member owns.

use std::collections::{BTreeMap, BTreeSet};

use super::Millis;
use super::holds::Permit;
use crate::ids::{TaskId, WorkerId};

/// Current attempt to run a task.
#[derive(Debug)]
pub(super) struct Run {
    pub(super) attempt: u32,
    pub(super) worker: WorkerId,
    pub(super) permit: Permit,
    pub(super) stage: RunStage,
    /// True for an attempt taken over from an earlier owner until the worker confirms that it runs. Before that, the
    /// attempt may have ended and the earlier owner may have reused its slot.
    pub(super) unconfirmed: bool,
    /// True once the start record is in the log.
    pub(super) recorded: bool,
    /// Nonce of the worker process that granted the lease; 0 before the grant.
    pub(super) nonce: u64,
    /// Calls sent to the worker to start this attempt, repeated ones included.
    pub(super) start_calls: u32,
    /// Lease number assigned by the worker; 0 before the grant, and if an earlier owner obtained the lease.
    pub(super) lease: u64,
    /// When the lease expires, on this process's clock: after a grant the latest time at which a start may be sent,
    /// after a takeover the time by which any lease has expired.
    pub(super) expires: Millis,
    /// When to renew the lease next.
    pub(super) renew_at: Millis,
    /// When to query the worker next.
    pub(super) query_at: Millis,
    /// When this member started or took over the attempt.
    pub(super) started: Millis,
    /// When to stop the attempt because its worker drains, moves or leaves. Only attempts of idempotent tasks are
    /// stopped.
    pub(super) stop_at: Option<Millis>,
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunStage {
    /// A lease was requested.
    Leasing,
    /// The start record is being appended.
    Recording,
    /// A start call was sent, or an earlier owner may have sent one.
    MaybeStarted,
    /// The worker confirmed that the attempt runs.
    Running,
    /// The final record is being appended.
    RecordingEnd,
}

/// Task attempts of this member, and checkpoints to resume from.
#[derive(Debug, Default)]
pub(super) struct Runs {
    pub(super) rows: BTreeMap<TaskId, Run>,
    pub(super) checkpoints: BTreeMap<TaskId, Vec<u8>>,
    /// Tasks of this member that wait in a queue.
    pub(super) queued: BTreeSet<TaskId>,
}

impl Run {
    /// True if an earlier owner obtained the lease. Also true while an attempt of this member is still `Leasing`.
    pub(super) fn taken_over(&self) -> bool {
        self.lease == 0
    }
}
