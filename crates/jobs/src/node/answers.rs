//! Handling of calls: authorisation, submission, cancellation and reads of job states.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Mutex, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

use super::calls::{Answer, Call, JobRequest, Message, Refusal, Verb};
use super::state::{CONFIG_EXPIRY, MAX_CONFIG_AGE, Stored};
use super::{Node, unix_ms};
use crate::catalog::Queue;
use crate::ids::JobId;
use crate::ports::Platform;
use crate::record;
use crate::spec::{BadJob, Submission};
use crate::table::JobState;

/// Time reserved for an answer to reach the caller before it times out. At most half of the caller's time.
const ANSWER_MARGIN: Duration = Duration::from_millis(150);
/// Maximum time spent on a call.
const MAX_CALL_TIME: Duration = Duration::from_secs(10);
/// Time without an intake offset of the owner after which pending jobs are counted only after reading the rest of the
/// intake. A count may be 2 s old.
const OWNER_SILENCE_LIMIT: Duration = Duration::from_secs(1);
/// Retry delay sent to callers when the store refuses or the view is stale, in seconds.
const STORE_RETRY_S: u64 = 1;
/// Retry delay sent to callers while the instance starts, in seconds.
const START_RETRY_S: u64 = 1;

impl<P: Platform> Node<P> {
    /// Answers calls until all senders are dropped.
    pub(super) async fn answer_calls(self: Rc<Self>, calls: Rc<Mutex<mpsc::Receiver<Message>>>) {
        let mut calls = calls.lock().await;
        while let Some(message) = calls.recv().await {
            let (call, sender) = match message {
                Message::Call(call, sender) => (call, sender),
                Message::Query(query, sender) => {
                    // The operator may have disconnected.
                    let _ = sender.send(self.view(query));
                    continue;
                }
                Message::Forward(entries, wait, sender) => {
                    let node = Rc::clone(&self);
                    spawn_local(async move {
                        // If this fails, the other instance is told that the outcome is unknown.
                        node.contain("forwarded", node.store_forwarded(entries, wait, sender)).await
                    });
                    continue;
                }
            };
            let node = Rc::clone(&self);
            spawn_local(async move {
                // If this fails, the caller is told that the outcome is unknown.
                node.contain("answer", node.answer_to(call, sender)).await
            });
        }
    }

    /// Answers a call and counts the answer.
    async fn answer_to(&self, call: Call, sender: oneshot::Sender<Answer>) {
        let begun = Instant::now();
        let path = call.path.clone();
        let answer = self.answer(call).await;
        self.log_refusal(&path, answer);
        self.handle.meters.answered(answer.kind(), begun.elapsed());
        if let Answer::Refused(refusal, _) = answer {
            self.handle.meters.refused(refusal.name());
        }
        // The caller may have disconnected.
        let _ = sender.send(answer);
    }

    async fn answer(&self, call: Call) -> Answer {
        let (queue, rest, team) = match self.admit(&call) {
            Ok(admitted) => admitted,
            Err(answer) => return answer,
        };
        let wait = Duration::from_millis(call.wait_ms).min(MAX_CALL_TIME);
        let deadline = Instant::now() + wait.saturating_sub(ANSWER_MARGIN.min(wait / 2));
        if rest.is_empty() && call.verb == Verb::Read {
            return self.count_pending(&queue, deadline).await;
        }
        let Ok(id) = rest.parse::<JobId>() else { return Answer::BadId };
        match call.verb {
            Verb::Submit(draft) => self.submit(id, &queue, team, draft, deadline).await,
            Verb::Read => self.read_state(id, deadline).await,
            Verb::Cancel => self.cancel(id, deadline).await,
        }
    }

    /// Logs an answer other than success, with the state that it was based on.
    fn log_refusal(&self, path: &str, answer: Answer) {
        if matches!(answer, Answer::Accepted(_) | Answer::State(_) | Answer::Canceled | Answer::Pending(_)) {
            return;
        }
        let state = self.state.borrow();
        let version = state.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let age_ms = u64::try_from(state.summary_age(Instant::now()).as_millis()).unwrap_or(u64::MAX);
        log::info!(path = path, answer = answer.kind(), why:? = answer, version = version, view_age_ms = age_ms; "a call was not served");
    }

    /// Routes and authorises a call. Returns its queue, the rest of the path and its team.
    fn admit(&self, call: &Call) -> Result<(Queue, String, Option<String>), Answer> {
        let state = self.state.borrow();
        let Some(catalog) = &state.catalog else {
            return Err(Answer::Refused(Refusal::Unconfigured, START_RETRY_S));
        };
        let now = Instant::now();
        let age = state.config_age(now);
        let stale = Answer::Refused(Refusal::Stale, STORE_RETRY_S);
        // If the summaries are stale too, later checks refuse the call. If only the configuration is, it is used for a while.
        if age >= CONFIG_EXPIRY && state.summary_age(now) < self.options.max_view_age {
            return Err(stale);
        }
        let unless_old = |answer| if age >= MAX_CONFIG_AGE { stale } else { answer };
        let (queue, rest) = catalog.route(&call.host, &call.path).ok_or(unless_old(Answer::NoQueue))?;
        let holder = call.key.as_deref().and_then(|key| catalog.team_by_key(key));
        if holder.is_none() && !queue.open {
            return Err(unless_old(Answer::Unauthorized));
        }
        Ok((queue.clone(), rest.to_owned(), holder.map(|team| team.name.clone())))
    }

    async fn count_pending(&self, queue: &Queue, deadline: Instant) -> Answer {
        let stale = Answer::Refused(Refusal::Stale, STORE_RETRY_S);
        let silent = self.state.borrow().offset_read_at.is_none_or(|at| at.elapsed() > OWNER_SILENCE_LIMIT);
        if silent && !matches!(timeout_at(deadline, self.read_accepted()).await, Ok(true)) {
            return stale;
        }
        let state = self.state.borrow();
        if !state.has_fresh_view(Instant::now(), self.options.max_view_age) {
            return stale;
        }
        Answer::Pending(state.pending(&queue.name))
    }

    async fn submit(
        &self,
        id: JobId,
        queue: &Queue,
        team: Option<String>,
        draft: JobRequest,
        deadline: Instant,
    ) -> Answer {
        if self.state.borrow().job_state(id).is_some() {
            return Answer::Accepted(id);
        }
        let submission = Submission {
            id,
            queue: queue.name.clone(),
            terms: queue.terms.clone(),
            team,
            payload: draft.payload,
            steps: draft.steps,
            schedule: draft.schedule,
            arrived_ms: unix_ms(),
        };
        if !self.state.borrow().has_fresh_view(Instant::now(), self.options.max_view_age) {
            return Answer::Refused(Refusal::Stale, self.retry_s(id));
        }
        if let Err(bad) = submission.check(self.options.record_bytes) {
            return Answer::Bad(bad);
        }
        let entry = record::submitted(&submission);
        if entry.size() > self.options.record_bytes {
            return Answer::Bad(BadJob::Large);
        }
        let team = submission.team.clone().unwrap_or_default();
        // The record holds all of it while the store is awaited.
        drop(submission);
        let begun = Instant::now();
        let stored = self.store_intake(entry, deadline).await;
        let took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        log::info!(
            job:% = id, queue = queue.name.as_str(), team = team.as_str(), stored:? = stored, took_ms = took_ms;
            "a job was submitted"
        );
        match stored {
            Stored::Yes => Answer::Accepted(id),
            Stored::No => Answer::Refused(Refusal::Store, self.retry_s(id)),
            Stored::Declined { reason, retry_ms } => Answer::Refused(reason.into(), declined_s(retry_ms)),
            Stored::Unknown => Answer::Unknown,
        }
    }

    /// Answers with the state of a job. A job that is unknown here may just have been accepted by another instance.
    async fn read_state(&self, id: JobId, deadline: Instant) -> Answer {
        match self.find_job(id, deadline).await {
            Ok(job_state) => job_state.map_or(Answer::NoJob, Answer::State),
            Err(refusal) => Answer::Refused(refusal, STORE_RETRY_S),
        }
    }

    /// Stores a cancellation, also of a job that does not exist: its submission may still be on the way to the store.
    async fn cancel(&self, id: JobId, deadline: Instant) -> Answer {
        let known = match self.find_job(id, deadline).await {
            Ok(Some(JobState::Canceled)) => return Answer::Canceled,
            Ok(job_state) => job_state.is_some(),
            Err(refusal) => return Answer::Refused(refusal, self.retry_s(id)),
        };
        let stored = self.store_intake(record::canceled(id), deadline).await;
        log::info!(job:% = id, known = known, stored:? = stored; "a job was cancelled");
        match stored {
            Stored::Yes if !known => Answer::NoJob,
            Stored::Yes => Answer::Canceled,
            // A cancellation is never declined.
            Stored::No | Stored::Declined { .. } => Answer::Refused(Refusal::Store, self.retry_s(id)),
            Stored::Unknown => Answer::Unknown,
        }
    }

    /// Returns the state of a job. None proves that no such job had been accepted when the call arrived.
    async fn find_job(&self, id: JobId, deadline: Instant) -> Result<Option<JobState>, Refusal> {
        let job_state = self.state.borrow().job_state(id);
        if job_state.is_some() {
            return Ok(job_state);
        }
        if !matches!(timeout_at(deadline, self.read_accepted()).await, Ok(true)) {
            return Err(Refusal::Stale);
        }
        Ok(self.state.borrow().job_state(id))
    }
}

/// Delay after which the caller of a declined job is to repeat its call, in seconds.
fn declined_s(retry_ms: u64) -> u64 {
    retry_ms.div_ceil(1_000).max(1)
}
