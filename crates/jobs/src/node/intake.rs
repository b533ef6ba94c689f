//! Writer of the intake: collects accepted jobs and cancellations and stores them together.

use std::rc::Rc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::Node;
use super::state::{Stored, Submission};
use super::work::decode_intake;
use crate::ports::{Platform, Store, StoreError, Topic};
use crate::record::{Entry, fitting};

/// Appends under way at once. More than one, so that a lost answer delays no other caller.
const APPENDS: usize = 4;
/// Records of one append.
const RECORDS: usize = 64;
/// Refusals in a row after which the callers are told.
const REFUSALS: u32 = 3;
/// Time between two tries.
const RETRY: Duration = Duration::from_millis(60);

impl<P: Platform> Node<P> {
    /// Stores a record, and waits at most until a deadline.
    pub(super) async fn store_intake(&self, entry: Entry, deadline: Instant) -> Stored {
        let (answer, wait) = oneshot::channel();
        self.state.borrow_mut().queue.push(Submission { entry, deadline, answer });
        self.submissions.notify_one();
        wait.await.unwrap_or(Stored::Unknown)
    }

    /// Stores the records that wait.
    pub(super) async fn write_intake(self: Rc<Self>) {
        loop {
            self.submissions.notified().await;
            loop {
                let batch = {
                    let mut state = self.state.borrow_mut();
                    if state.queue.is_empty() || state.appends >= APPENDS {
                        break;
                    }
                    state.appends += 1;
                    let waiting = state.queue.iter().take(RECORDS).map(|submission| &submission.entry);
                    let count = fitting(waiting, self.options.append_bytes);
                    state.queue.drain(..count).collect()
                };
                spawn_local(Rc::clone(&self).append_intake(batch));
            }
        }
    }

    async fn append_intake(self: Rc<Self>, batch: Vec<Submission>) {
        let (stored, end) = self.try_append(&batch).await;
        let mut state = self.state.borrow_mut();
        state.appends -= 1;
        let first = end.saturating_sub(batch.len() as u64);
        for (offset, submission) in (first..).zip(batch) {
            if stored == Stored::Yes
                && let Some(intake) = decode_intake(&submission.entry)
            {
                state.summaries.apply_intake(offset, &intake);
                self.apply_work(&mut state, intake);
            }
            // A caller that has gone does not need the outcome.
            let _ = submission.answer.send(stored);
        }
        self.submissions.notify_one();
    }

    /// Appends until the store answers, refuses for good, or no caller waits any more. Returns the end of the topic after
    /// the records, if they are stored.
    async fn try_append(&self, batch: &[Submission]) -> (Stored, u64) {
        let entries: Vec<Entry> = batch.iter().map(|submission| submission.entry.clone()).collect();
        let deadline = batch.iter().map(|submission| submission.deadline).min();
        let deadline = deadline.unwrap_or_else(Instant::now);
        let mut refusals = 0;
        let mut unknown = false;
        loop {
            let begun = Instant::now();
            match self.platform.store().append(Topic::Intake, &entries, None, None).await {
                Ok(end) => {
                    self.handle.meters.stored(begun.elapsed());
                    return (Stored::Yes, end);
                }
                Err(StoreError::Unknown) => {
                    self.handle.meters.retried("intake_unanswered");
                    unknown = true;
                }
                Err(error) => {
                    self.handle.meters.retried("intake_refused");
                    refusals += 1;
                    if refusals >= REFUSALS && !unknown {
                        log::warn!(error:% = error, records = entries.len(); "the store refused records of the intake");
                        return (Stored::No, 0);
                    }
                }
            }
            if Instant::now() + RETRY >= deadline {
                return (if unknown { Stored::Unknown } else { Stored::No }, 0);
            }
            sleep(RETRY).await;
        }
    }
}
