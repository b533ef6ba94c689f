//! Intake writer: stores submissions and cancellations.
//!
//! Instances forward their records to the owner, which stores them together with its own. While the store is slow, it has one
//! append under way, and the next one contains all records that have arrived meanwhile. The number of appends then follows
//! the pace of the store and not the number of instances. An instance that does not reach the owner, or has heard nothing of
//! it lately, appends records itself.
//!
//! An answer that is lost costs a read: a record that shows in what the instance reads is stored.

mod pace;
mod queue;
mod unsure;
mod verdict;

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout, timeout_at};

use super::Node;
use super::state::{State, Stored};
use super::work::decode_intake;
use crate::dispatch::admission::Verdict;
use crate::ids::JobId;
use crate::ports::{Forwarded, Peers, Platform, Store, StoreError, Topic};
use crate::record::{Entry, Intake, read_intake};
use crate::table::JobState;
use pace::Source;
use queue::{Origin, Outcome, Route, Work};

pub(super) use queue::Queue;

/// Interval between two checks for late answers while callers wait.
const CHECK_INTERVAL: Duration = Duration::from_millis(15);
/// Part of the callers' time that another instance does not get, so that its answer arrives before their deadlines.
const FORWARD_MARGIN: Duration = Duration::from_millis(100);
/// Shortest and longest mean delay after which a caller is to repeat a refused call, in seconds.
const RETRY_S: (u128, u128) = (1, 3);

impl<P: Platform> Node<P> {
    /// Stores a record; the writer gives up at the deadline.
    pub(super) async fn store_intake(&self, entry: Entry, deadline: Instant) -> Stored {
        self.store_record(entry, Origin::Caller, deadline).await
    }

    async fn store_record(&self, entry: Entry, origin: Origin, deadline: Instant) -> Stored {
        if let Verdict::Decline { reason, retry_ms } = self.admit_record(&entry) {
            return Stored::Declined { reason, retry_ms };
        }
        let pushed = self.state.borrow_mut().records.push(entry, origin, deadline, Instant::now());
        let Some((key, wait)) = pushed else { return Stored::No };
        self.intake_wakeup.notify_one();
        match timeout_at(deadline, wait).await {
            Ok(stored) => stored.unwrap_or(Stored::Unknown),
            Err(_) => self.state.borrow_mut().records.expire(key, Instant::now()),
        }
    }

    /// Stores records that another instance forwards, and answers for each.
    pub(super) async fn store_forwarded(
        &self,
        entries: Vec<Entry>,
        wait: Duration,
        outcomes: oneshot::Sender<Vec<Forwarded>>,
    ) {
        // The other instance may have given up.
        let _ = outcomes.send(self.store_batch(entries, wait).await);
    }

    async fn store_batch(&self, entries: Vec<Entry>, wait: Duration) -> Vec<Forwarded> {
        let record_bytes = self.options.record_bytes;
        let valid = |entry: &Entry| {
            let valid = match read_intake(entry) {
                Ok(Intake::Submitted(submission)) => submission.check(record_bytes).is_ok(),
                Ok(Intake::Canceled(_)) => true,
                Ok(Intake::SubmissionDropped | Intake::CancellationDropped(_)) | Err(_) => false,
            };
            valid && entry.size() <= record_bytes
        };
        if !entries.iter().all(valid) {
            log::warn!(records = entries.len(); "records that another instance forwards are not valid");
            return vec![Forwarded::Refused; entries.len()];
        }
        let deadline = Instant::now() + wait;
        let stored = entries.into_iter().map(|entry| async {
            if is_stored(&self.state.borrow(), &entry) {
                return Stored::Yes;
            }
            self.store_record(entry, Origin::Instance, deadline).await
        });
        join_all(stored).await.into_iter().map(Forwarded::from).collect()
    }

    /// Stores queued records in batches.
    pub(super) async fn write_intake(self: Rc<Self>) {
        let mut slow_since = None;
        loop {
            if self.state.borrow().records.is_empty() {
                self.intake_wakeup.notified().await;
            } else {
                // A timeout is the regular check.
                let _ = timeout(CHECK_INTERVAL, self.intake_wakeup.notified()).await;
            }
            while let Some(work) = self.begin_attempt() {
                let node = Rc::clone(&self);
                spawn_local(async move {
                    let key = work.key;
                    // If this fails, the callers are told that the outcome is unknown.
                    node.run_or_step_down("append_intake", node.attempt(work)).await;
                    node.state.borrow_mut().records.abandon(key, Instant::now());
                    node.intake_wakeup.notify_one();
                });
            }
            self.log_pace(&mut slow_since);
        }
    }

    fn begin_attempt(&self) -> Option<Work> {
        let mut state = self.state.borrow_mut();
        let owner = state.summaries.owner.name.clone();
        let other = !state.is_owner() && !owner.is_empty() && owner != self.options.name;
        state.records.begin(other.then_some(owner.as_str()), self.options.append_bytes, Instant::now())
    }

    /// Logs when the store has become slow, and when it is prompt again.
    fn log_pace(&self, since: &mut Option<Instant>) {
        let now = Instant::now();
        let slow = self.state.borrow().records.pace.is_slow(now);
        match *since {
            None if slow => {
                *since = Some(now);
                log::info!("the store is slow; records are stored in few appends");
            }
            Some(at) if !slow => {
                *since = None;
                let took_ms = u64::try_from(now.duration_since(at).as_millis()).unwrap_or(u64::MAX);
                log::info!(slow_ms = took_ms; "the store is prompt again");
            }
            _ => {}
        }
    }

    async fn attempt(&self, work: Work) {
        match &work.route {
            Route::Store => self.attempt_append(&work).await,
            Route::Peer(name) => self.attempt_forward(name, &work).await,
        }
        self.intake_wakeup.notify_one();
    }

    async fn attempt_append(&self, work: &Work) {
        let begun = Instant::now();
        let (outcome, end) = self.append_once(&work.entries).await;
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if outcome == Outcome::Stored {
            state.records.pace.add(Source::Append, begun.elapsed(), now);
        } else {
            state.records.pace.add_failure(now);
        }
        if let Some(end) = end {
            let first = end.saturating_sub(work.entries.len() as u64);
            for (offset, entry) in (first..).zip(&work.entries) {
                self.apply_stored(&mut state, offset, entry);
            }
        }
        state.records.end_append(work.key, outcome, now);
    }

    async fn attempt_forward(&self, name: &str, work: &Work) {
        let begun = Instant::now();
        let wait = work.deadline.saturating_duration_since(begun).saturating_sub(FORWARD_MARGIN);
        let forwarded = self.platform.peers().forward(name, &work.entries, wait).await;
        let outcomes: Vec<Outcome> = forwarded.into_iter().map(Outcome::from).collect();
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if outcomes.contains(&Outcome::Stored) {
            state.records.pace.add(Source::Forward, begun.elapsed(), now);
        }
        // Another instance does not tell the offset; the record is at or after what was read here.
        let read = state.summaries.intake_offset().max(state.tail_offset);
        for (entry, outcome) in work.entries.iter().zip(&outcomes) {
            if *outcome == Outcome::Stored {
                self.apply_stored(&mut state, read, entry);
            }
        }
        state.records.end_forward(work.key, &outcomes, now);
    }

    /// Applies a record that this instance knows to be stored before it has read it.
    fn apply_stored(&self, state: &mut State, offset: u64, entry: &Entry) {
        if let Some(intake) = decode_intake(entry) {
            state.summaries.apply_intake(offset, &intake);
            self.apply_intake(state, intake);
        }
    }

    /// Appends records. Returns the end of the topic after them, if they are stored.
    async fn append_once(&self, entries: &[Entry]) -> (Outcome, Option<u64>) {
        let begun = Instant::now();
        match self.platform.store().append(Topic::Intake, entries, None, None).await {
            Ok(end) => {
                self.handle.meters.stored(begun.elapsed());
                (Outcome::Stored, Some(end))
            }
            Err(StoreError::Unknown) => {
                self.handle.meters.retried("intake_unanswered");
                (Outcome::Unknown, None)
            }
            Err(error) => {
                self.handle.meters.retried("intake_refused");
                if let Some(refusals) = self.state.borrow_mut().records.refusals.add(Instant::now()) {
                    let records = entries.len();
                    log::info!(error:% = error, records = records, refusals = refusals; "the store refused records of the intake");
                }
                (Outcome::Refused, None)
            }
        }
    }

    /// Answers the callers whose records are known here to be stored, although the answer to the append is missing.
    pub(super) fn settle(&self, state: &mut State) {
        if state.records.is_empty() {
            return;
        }
        let found = state.records.jobs().filter(|(_, kind, id)| is_known(state, *kind, *id));
        let keys = found.map(|(key, ..)| key).collect();
        state.records.settle(keys, Instant::now());
    }

    /// Adds the time that the store took to answer a join of a group.
    pub(super) fn add_join_time(&self, took: Duration) {
        self.state.borrow_mut().records.pace.add(Source::Join, took, Instant::now());
    }

    /// Delay after which the caller of a job is to repeat a refused call, in seconds. During an outage about as long as it
    /// has lasted, different for each caller.
    pub(super) fn retry_s(&self, id: JobId) -> u64 {
        let (outage, view_age) = {
            let (state, now) = (self.state.borrow(), Instant::now());
            (state.records.pace.outage(now), state.summary_age(now))
        };
        // A store that refuses reads too leaves the view old.
        let outage = if view_age >= self.options.max_view_age { outage.max(view_age) } else { outage };
        let mean = outage.as_millis().div_ceil(1_000).clamp(RETRY_S.0, RETRY_S.1) as u64;
        mean + id.0 % mean
    }
}

/// True if a record of the intake is known here to be stored.
fn is_stored(state: &State, entry: &Entry) -> bool {
    let id = entry.key.get(1..).and_then(|id| id.parse().ok());
    id.zip(entry.key.chars().next()).is_some_and(|(id, kind)| is_known(state, kind, id))
}

/// True if the submission (`s`) or cancellation (`c`) of a job is known here to be stored.
fn is_known(state: &State, kind: char, id: JobId) -> bool {
    state.job_state(id).is_some_and(|shown| kind == 's' || shown == JobState::Canceled)
}
