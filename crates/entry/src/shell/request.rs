//! One caller's request, from its submission to the engine to its end.

use std::sync::Arc;

use rattanfall_core::engine::Event;
use rattanfall_core::engine::event::{AttemptOutcome, Submission};
use tokio::sync::oneshot;

use super::{Decision, Handle, Shell};

/// Request that was submitted to the engine. Dropping it before its end cancels it.
#[derive(Debug)]
pub struct Request {
    shell: Arc<Shell>,
    handle: Handle,
    phase: Phase,
}

#[derive(Debug)]
enum Phase {
    Waiting(oneshot::Receiver<Decision>),
    Running,
    Closed,
}

impl Request {
    /// Submits a request to the engine.
    #[must_use]
    pub fn submit(shell: &Arc<Shell>, submission: Submission) -> Self {
        let (handle, receiver) = shell.submit(submission);
        Self { shell: Arc::clone(shell), handle, phase: Phase::Waiting(receiver) }
    }

    /// Waits for the next decision. `None` if the engine was replaced; no attempt is running then.
    pub async fn decision(&mut self) -> Option<Decision> {
        let Phase::Waiting(receiver) = &mut self.phase else {
            return None;
        };
        let decision = receiver.await.ok();
        self.phase = match decision {
            Some(Decision::Send(_)) => Phase::Running,
            Some(Decision::Refuse(_)) | None => Phase::Closed,
        };
        decision
    }

    /// Reports that an attempt ended without a response for the caller. The engine then decides whether to retry.
    pub fn attempt_ended(&mut self, outcome: AttemptOutcome) {
        self.phase = Phase::Waiting(self.shell.attempt_ended(self.handle, outcome));
    }

    /// Reports that a worker's response was passed on to the caller.
    pub fn answered(mut self, failed: bool) {
        self.end(AttemptOutcome::Answered { failed });
    }

    /// Reports that an attempt ended and that the request cannot be retried, because part of the response was passed
    /// on or the request's body was consumed.
    pub fn aborted(mut self, outcome: AttemptOutcome) {
        self.end(outcome);
        self.shell.close_request(self.handle, Event::RequestCancelled(self.handle.key));
    }

    fn end(&mut self, outcome: AttemptOutcome) {
        self.phase = Phase::Closed;
        self.shell.close_request(self.handle, Event::RequestEnded { request: self.handle.key, outcome });
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        let phase = std::mem::replace(&mut self.phase, Phase::Closed);
        if matches!(phase, Phase::Closed) {
            return;
        }
        self.shell.close_request(self.handle, Event::RequestCancelled(self.handle.key));
        match phase {
            Phase::Running => self.end(AttemptOutcome::Broken),
            Phase::Waiting(mut receiver) => {
                if matches!(receiver.try_recv(), Ok(Decision::Send(_))) {
                    self.end(AttemptOutcome::Unsent);
                }
            }
            Phase::Closed => {}
        }
    }
}
