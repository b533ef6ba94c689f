//! Answers to callers.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout_at};

use super::calls::{Answer, Call, JobRequest, Message, Refusal, Verb};
use super::state::{EXPIRED_CONFIG, STALE_CONFIG, Stored};
use super::{Node, unix_ms};
use crate::catalog::Queue;
use crate::ids::JobId;
use crate::ports::Platform;
use crate::record;
use crate::spec::{BadJob, Submission};
use crate::table::JobState;

/// Time for an answer to reach the caller before it gives up.
const ANSWER: Duration = Duration::from_millis(150);
/// Longest time that a call is worked on.
const LONGEST: Duration = Duration::from_secs(10);
/// Time without a word of the owner after which jobs are counted that it may not have read. A count may be 2 s old.
const SILENCE: Duration = Duration::from_secs(1);
/// Time after which a caller may come back while the store refuses, in seconds.
const STORE_RETRY_S: u64 = 1;
/// Time after which a caller may come back at an instance that starts or stops, in seconds.
const START_RETRY_S: u64 = 1;

impl<P: Platform> Node<P> {
    /// Answers calls until the senders are gone.
    pub(super) async fn answer_calls(self: Rc<Self>, mut calls: mpsc::Receiver<Message>) {
        while let Some(message) = calls.recv().await {
            let (call, sender) = match message {
                Message::Call(call, sender) => (call, sender),
                Message::Query(query, sender) => {
                    // An operator who has gone needs no answer.
                    let _ = sender.send(self.view(query));
                    continue;
                }
            };
            self.state.borrow_mut().open_calls += 1;
            let node = Rc::clone(&self);
            spawn_local(async move {
                let begun = Instant::now();
                let path = call.path.clone();
                let answer = node.answer(call).await;
                node.log_refusal(&path, answer);
                node.handle.meters.answered(answer.kind(), begun.elapsed());
                if let Answer::Refused(refusal, _) = answer {
                    node.handle.meters.refused(refusal.name());
                }
                node.state.borrow_mut().open_calls -= 1;
                // A caller that has gone needs no answer.
                let _ = sender.send(answer);
            });
        }
    }

    async fn answer(&self, call: Call) -> Answer {
        let (queue, rest, team) = match self.admit(&call) {
            Ok(admitted) => admitted,
            Err(answer) => return answer,
        };
        let wait = Duration::from_millis(call.wait_ms).min(LONGEST);
        let deadline = Instant::now() + wait.saturating_sub(ANSWER);
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

    /// Logs an answer that did not do what the caller wanted, with what decided it.
    fn log_refusal(&self, path: &str, answer: Answer) {
        if matches!(answer, Answer::Accepted(_) | Answer::State(_) | Answer::Canceled | Answer::Pending(_)) {
            return;
        }
        let state = self.state.borrow();
        let version = state.catalog.as_ref().map_or(0, |catalog| catalog.version);
        let age_ms = u64::try_from(state.age(Instant::now()).as_millis()).unwrap_or(u64::MAX);
        log::info!(path = path, answer = answer.kind(), why:? = answer, version = version, view_age_ms = age_ms; "a call was not served");
    }

    /// Queue, rest of the path and team of a call.
    fn admit(&self, call: &Call) -> Result<(Queue, String, Option<String>), Answer> {
        let state = self.state.borrow();
        let Some(catalog) = &state.catalog else {
            return Err(Answer::Refused(Refusal::Unconfigured, START_RETRY_S));
        };
        let now = Instant::now();
        let age = state.operator_age(now);
        let stale = Answer::Refused(Refusal::Stale, STORE_RETRY_S);
        // An instance that reaches nothing answers with what it knows; one that misses only the configuration does for a while.
        if age >= EXPIRED_CONFIG && state.age(now) < self.options.stale {
            return Err(stale);
        }
        let unless_old = |answer| if age >= STALE_CONFIG { stale } else { answer };
        let (queue, rest) = catalog.route(&call.host, &call.path).ok_or(unless_old(Answer::NoQueue))?;
        let holder = call.key.as_deref().and_then(|key| catalog.team_by_key(key));
        if holder.is_none() && !queue.open {
            return Err(unless_old(Answer::Unauthorized));
        }
        Ok((queue.clone(), rest.to_owned(), holder.map(|team| team.name.clone())))
    }

    async fn count_pending(&self, queue: &Queue, deadline: Instant) -> Answer {
        let stale = Answer::Refused(Refusal::Stale, STORE_RETRY_S);
        let silent = self.state.borrow().taken.is_none_or(|at| at.elapsed() > SILENCE);
        if silent && !matches!(timeout_at(deadline, self.know_accepted()).await, Ok(true)) {
            return stale;
        }
        let state = self.state.borrow();
        if !state.fresh(Instant::now(), self.options.stale) {
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
        if self.state.borrow().shown(id).is_some() {
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
        if !self.state.borrow().fresh(Instant::now(), self.options.stale) {
            return Answer::Refused(Refusal::Stale, STORE_RETRY_S);
        }
        if let Err(bad) = submission.check(self.options.record_bytes) {
            return Answer::Bad(bad);
        }
        let entry = record::submitted(&submission);
        if entry.size() > self.options.record_bytes {
            return Answer::Bad(BadJob::Large);
        }
        let begun = Instant::now();
        let stored = self.store_intake(entry, deadline).await;
        let took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        log::info!(
            job:% = id, queue = queue.name.as_str(), team = submission.team.as_deref().unwrap_or(""),
            stored:? = stored, took_ms = took_ms;
            "a job was submitted"
        );
        match stored {
            Stored::Yes => Answer::Accepted(id),
            Stored::No => Answer::Refused(Refusal::Store, STORE_RETRY_S),
            Stored::Unknown => Answer::Unknown,
        }
    }

    /// State of a job. One that is not known here may have been accepted elsewhere a moment ago.
    async fn read_state(&self, id: JobId, deadline: Instant) -> Answer {
        match self.find(id, deadline).await {
            Ok(shown) => shown.map_or(Answer::NoJob, Answer::State),
            Err(refusal) => Answer::Refused(refusal, STORE_RETRY_S),
        }
    }

    async fn cancel(&self, id: JobId, deadline: Instant) -> Answer {
        match self.find(id, deadline).await {
            Ok(None) => return Answer::NoJob,
            Ok(Some(JobState::Canceled)) => return Answer::Canceled,
            Ok(Some(_)) => {}
            Err(refusal) => return Answer::Refused(refusal, STORE_RETRY_S),
        }
        let stored = self.store_intake(record::canceled(id), deadline).await;
        log::info!(job:% = id, stored:? = stored; "a job was cancelled");
        match stored {
            Stored::Yes => Answer::Canceled,
            Stored::No => Answer::Refused(Refusal::Store, STORE_RETRY_S),
            Stored::Unknown => Answer::Unknown,
        }
    }

    /// State of a job. None is the proof that no such job had been accepted when the call came in.
    async fn find(&self, id: JobId, deadline: Instant) -> Result<Option<JobState>, Refusal> {
        let shown = self.state.borrow().shown(id);
        if shown.is_some() {
            return Ok(shown);
        }
        if !matches!(timeout_at(deadline, self.know_accepted()).await, Ok(true)) {
            return Err(Refusal::Stale);
        }
        Ok(self.state.borrow().shown(id))
    }
}
