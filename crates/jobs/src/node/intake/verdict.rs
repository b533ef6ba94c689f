//! Admission of records by the owner, before they are queued for the store.

use tokio::time::Instant;

use super::super::Node;
use super::super::state::{State, Stored};
use super::super::work::decode_intake;
use super::queue::Outcome;
use crate::dispatch::admission::Verdict;
use crate::ports::{Forwarded, Platform};
use crate::record::{Entry, Intake};
use crate::spec::Submission;

impl<P: Platform> Node<P> {
    /// Decides on a record that is to be stored, if this node is the owner. An admitted job counts as demand from now on.
    /// Records other than submissions, and submissions of jobs that are known, are admitted.
    pub(super) fn admit_record(&self, entry: &Entry) -> Verdict {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if !state.is_owner() {
            return Verdict::Admit;
        }
        let Some(Intake::Submitted(submission)) = decode_intake(entry) else { return Verdict::Admit };
        let known = is_known(&state, entry, &submission);
        let Some(dispatcher) = state.dispatcher() else { return Verdict::Admit };
        if !known && !dispatcher.is_announced(submission.id) {
            let verdict = dispatcher.admit(now, &submission);
            if let Verdict::Decline { reason, retry_ms } = verdict {
                dispatcher.note_decline(now, &submission, reason, retry_ms);
                self.handle.meters.declined(reason.name());
                return verdict;
            }
        }
        dispatcher.announce(now, &submission);
        Verdict::Admit
    }
}

/// True if the job is stored, or if an earlier call about it may store it.
fn is_known(state: &State, entry: &Entry, submission: &Submission) -> bool {
    state.job_state(submission.id).is_some()
        || state.summaries.get(submission.id).is_some()
        || state.records.holds(&entry.key, Instant::now())
}

impl From<Stored> for Forwarded {
    fn from(stored: Stored) -> Self {
        match stored {
            Stored::Yes => Self::Stored,
            Stored::No => Self::Refused,
            Stored::Declined { reason, retry_ms } => Self::Declined { reason, retry_ms },
            Stored::Unknown => Self::Unknown,
        }
    }
}

impl From<Forwarded> for Outcome {
    fn from(forwarded: Forwarded) -> Self {
        match forwarded {
            Forwarded::Stored => Self::Stored,
            Forwarded::Declined { reason, retry_ms } => Self::Declined { reason, retry_ms },
            Forwarded::Refused => Self::Refused,
            Forwarded::Unreachable => Self::Unreachable,
            Forwarded::Unknown => Self::Unknown,
        }
    }
}
