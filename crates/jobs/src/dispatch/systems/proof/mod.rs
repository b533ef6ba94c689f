//! Proofs that a run has ended or will not begin.
//!
//! A run that may be at work holds its task, and only a [`Proof`] lets the task be placed again. The interfaces state which facts end a
//! run: its process says so, a later process of its worker answers, or its lease expires. That a list lacks the worker, that another worker
//! answers at its address, or that connections to it fail shows only that it can't be reached from here: its process may live, and
//! it is closed for new tasks until it answers. An accepted order to a machine ends everything on it only if it was not carried out
//! before, which its answer doesn't say.

use super::super::worker::{Run, Worker};

/// Proof that a run has ended or will not begin. Each constructor states or checks what proves it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Proof {
    why: &'static str,
    /// Time of the request whose answer shows it; for leases the time of their end.
    asked: u64,
}

impl Proof {
    /// No process can have got a start of the run; none if one may have.
    pub(super) fn not_begun(run: &Run, why: &'static str, asked: u64) -> Option<Self> {
        (!run.may_have_begun()).then_some(Self { why, asked })
    }

    /// The process of the worker, which refuses starts that were sent to it before, does not list the run.
    pub(super) const fn not_listed(asked: u64) -> Self {
        Self { why: "the worker does not list the run", asked }
    }

    /// A later process of the worker has answered, and the run was at work in a former one.
    pub(super) const fn restarted(asked: u64) -> Self {
        Self { why: "the worker restarted", asked }
    }

    /// All leases that the worker can hold have expired; none if one may be left.
    pub(super) fn leases_expired(worker: &Worker, now: u64) -> Option<Self> {
        let end = worker.lease_end;
        (end < now).then_some(Self { why: "the worker's leases have expired", asked: end })
    }

    /// What shows it, for the log.
    pub(super) const fn why(&self) -> &'static str {
        self.why
    }

    /// Time since the request whose answer shows it, in milliseconds.
    pub(super) const fn age_ms(&self, now: u64) -> u64 {
        now.saturating_sub(self.asked)
    }
}
