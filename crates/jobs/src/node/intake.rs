//! Intake writer: appends submissions and cancellations to the store in batches.

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use super::Node;
use super::state::{PendingRecord, Stored};
use super::work::decode_intake;
use crate::ports::{Forwarded, Platform, Store, StoreError, Topic};
use crate::record::{Entry, count_fitting};

/// Maximum number of concurrent appends. More than one, so that a lost answer does not delay other callers.
const MAX_APPENDS: usize = 4;
/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 64;
/// Number of refusals of a batch after which its callers are refused.
const MAX_REFUSALS: u32 = 3;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(60);

impl<P: Platform> Node<P> {
    /// Stores a record; the writer gives up at the deadline.
    pub(super) async fn store_intake(&self, entry: Entry, deadline: Instant) -> Stored {
        self.announce(&entry);
        let (answer, wait) = oneshot::channel();
        self.state.borrow_mut().queue.push(PendingRecord { entry, deadline, answer });
        self.intake_wakeup.notify_one();
        wait.await.unwrap_or(Stored::Unknown)
    }

    /// Stores records that another instance forwards. They are refused only if none of them may be stored.
    pub(super) async fn store_forwarded(
        &self,
        entries: Vec<Entry>,
        wait: Duration,
        outcome: oneshot::Sender<Forwarded>,
    ) {
        let deadline = Instant::now() + wait;
        let stored = join_all(entries.into_iter().map(|entry| self.store_intake(entry, deadline))).await;
        let all = |expected| stored.iter().all(|stored| *stored == expected);
        let forwarded = if all(Stored::Yes) {
            Forwarded::Stored
        } else if all(Stored::No) {
            Forwarded::Refused
        } else {
            Forwarded::Unknown
        };
        // The other instance may have given up.
        let _ = outcome.send(forwarded);
    }

    /// Appends queued records in batches.
    pub(super) async fn write_intake(self: Rc<Self>) {
        loop {
            self.intake_wakeup.notified().await;
            loop {
                let batch = {
                    let mut state = self.state.borrow_mut();
                    if state.queue.is_empty() || state.open_appends >= MAX_APPENDS {
                        break;
                    }
                    state.open_appends += 1;
                    let waiting = state.queue.iter().take(MAX_BATCH_RECORDS).map(|pending| &pending.entry);
                    let count = count_fitting(waiting, self.options.append_bytes);
                    state.queue.drain(..count).collect()
                };
                let node = Rc::clone(&self);
                spawn_local(async move {
                    // If this fails, the callers are told that the outcome is unknown.
                    node.run_or_step_down("append_intake", node.append_intake(batch)).await;
                    node.state.borrow_mut().open_appends -= 1;
                    node.intake_wakeup.notify_one();
                });
            }
        }
    }

    async fn append_intake(&self, batch: Vec<PendingRecord>) {
        let (stored, end) = self.try_append(&batch).await;
        let mut state = self.state.borrow_mut();
        let first = end.saturating_sub(batch.len() as u64);
        for (offset, pending) in (first..).zip(batch) {
            if stored == Stored::Yes
                && let Some(intake) = decode_intake(&pending.entry)
            {
                state.summaries.apply_intake(offset, &intake);
                self.apply_intake(&mut state, intake);
            }
            // The caller may have disconnected.
            let _ = pending.answer.send(stored);
        }
    }

    /// Retries an append until the store accepts it, has refused it repeatedly, or the first deadline is near. Returns the
    /// end of the topic after the records, if they are stored.
    async fn try_append(&self, batch: &[PendingRecord]) -> (Stored, u64) {
        let entries: Vec<Entry> = batch.iter().map(|pending| pending.entry.clone()).collect();
        let deadline = batch.iter().map(|pending| pending.deadline).min();
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
                    if refusals >= MAX_REFUSALS && !unknown {
                        log::warn!(error:% = error, records = entries.len(); "the store refused records of the intake");
                        return (Stored::No, 0);
                    }
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return (if unknown { Stored::Unknown } else { Stored::No }, 0);
            }
            sleep(RETRY_DELAY).await;
        }
    }
}
