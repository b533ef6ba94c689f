//! Summaries of jobs: read by every node, published by the owner.
//!
//! If the summaries do not contain a job, a node reads the rest of the intake, which they do not cover yet. The job does
//! not exist only if it is missing up to the end that the intake had after the call arrived.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Node;
use super::follow::{RETRY_DELAY, next_wait};
use super::state::{Cursor, Role, State, page_as_of};
use super::work::decode_intake;
use crate::ids::JobId;
use crate::ports::{Fence, Page, Platform, Store, StoreError, Topic};
use crate::record::{self, Entry, count_fitting, read_summary};
use crate::summary::{Summary, SummaryChange};
use crate::table::Table;

/// Time for which a read waits for a record. Together with the interval between reads it is shorter than the maximum age
/// of a view, so that a topic without new records does not make the view stale.
const READ_WAIT: Duration = Duration::from_millis(350);
/// Minimum interval between two writes of summaries, so that changes are batched.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(40);

/// Write position of the owner in the topic of summaries.
#[derive(Clone, Copy, Debug, Default)]
struct Publisher {
    /// Epoch under which summaries are written; 0 before the first.
    epoch: u64,
    /// Sequence number of the last append in the epoch.
    sequence: u64,
    /// True once all jobs are marked for a comparison with the published states.
    marked: bool,
    /// Intake offset that was published last.
    intake_offset: u64,
}

impl<P: Platform> Node<P> {
    /// Loads and follows the summaries.
    pub(super) async fn follow_summaries(self: Rc<Self>) {
        let mut wait = READ_WAIT;
        loop {
            let (next, fresh) = {
                let state = self.state.borrow();
                (state.summary.next, state.summary.as_of.is_some())
            };
            let Some(from) = next else {
                self.load_summaries().await;
                continue;
            };
            // The first read after a load proves that the view is complete, so it does not wait for a record.
            let read = self.read_summaries_from(from, if fresh { wait } else { Duration::ZERO }).await;
            wait = next_wait(&read, READ_WAIT);
            match read {
                Ok(end) if self.state.borrow().summary.next.is_some_and(|next| next < end) => {}
                Ok(_) => sleep(self.options.follow_interval).await,
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Loads the summaries. They count as fresh only once the records written during the load were read.
    async fn load_summaries(&self) {
        let begun = Instant::now();
        let Ok(page) = self.platform.store().newest(Topic::Summaries).await else {
            return sleep(RETRY_DELAY).await;
        };
        let mut state = self.state.borrow_mut();
        state.summaries.clear_published();
        state.accepted_as_of = None;
        apply_summaries(&mut state, page.entries.iter().map(|(_, entry)| entry));
        state.summary = Cursor::default();
        state.summary.advance(&page, None);
        let took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        log::info!(jobs = state.summaries.len(), took_ms = took_ms; "the summaries are loaded");
    }

    /// Reads one page of summaries. Returns the end of the topic.
    async fn read_summaries_from(&self, from: u64, wait: Duration) -> Result<u64, StoreError> {
        let asked = Instant::now();
        match self.platform.store().read(Topic::Summaries, from, wait).await {
            Ok(page) => {
                self.apply_page(&page, page_as_of(asked, wait, from, &page));
                Ok(page.end)
            }
            Err(StoreError::Gone(first)) => {
                self.state.borrow_mut().summary = Cursor::default();
                Err(StoreError::Gone(first))
            }
            Err(error) => Err(error),
        }
    }

    fn apply_page(&self, page: &Page, as_of: Option<Instant>) {
        let mut state = self.state.borrow_mut();
        let Some(next) = state.summary.next else { return };
        let fresh = page.entries.iter().filter(|(offset, _)| *offset >= next);
        apply_summaries(&mut state, fresh.map(|(_, entry)| entry));
        state.summary.advance(page, as_of);
        self.settle(&mut state);
    }

    /// Reads the rest of the intake. True once every job that was accepted before this call is known here.
    pub(super) async fn read_accepted(&self) -> bool {
        let called = Instant::now();
        let _turn = self.tail_lock.lock().await;
        // A read that another call started in the meantime covers this call.
        if self.state.borrow().accepted_as_of.is_some_and(|asked| asked >= called) {
            return true;
        }
        let asked = Instant::now();
        let read = if self.state.borrow().is_owner() {
            self.catch_up_intake().await
        } else {
            self.catch_up_tail().await
        };
        if read.is_ok() {
            self.state.borrow_mut().accepted_as_of = Some(asked);
        }
        read.is_ok()
    }

    /// Reads the part of the intake that the summaries do not cover yet.
    async fn catch_up_tail(&self) -> Result<(), StoreError> {
        // After a load, the intake offset may be newer than the states.
        let next = |state: &State| {
            state.summary.as_of.map(|_| state.tail_offset.max(state.summaries.intake_offset()))
        };
        self.catch_up(next, async |from| self.read_tail_from(from).await).await
    }

    /// Reads one page of the intake that the summaries do not cover yet. Returns the end of the topic.
    async fn read_tail_from(&self, from: u64) -> Result<u64, StoreError> {
        let page = self.platform.store().read(Topic::Intake, from, Duration::ZERO).await?;
        let mut state = self.state.borrow_mut();
        for (offset, entry) in &page.entries {
            if let Some(intake) = decode_intake(entry) {
                state.summaries.apply_intake(*offset, &intake);
            }
        }
        state.tail_offset = state.tail_offset.max(page.next);
        self.settle(&mut state);
        Ok(page.end)
    }

    /// Publishes the states of jobs while this node is the owner.
    pub(super) async fn publish_summaries(self: Rc<Self>) {
        let mut publisher = Publisher::default();
        loop {
            sleep(MIN_PUBLISH_INTERVAL).await;
            let Some(epoch) = self.epoch() else { continue };
            if publisher.epoch != epoch {
                publisher = Publisher { epoch, ..Publisher::default() };
            }
            if !publisher.marked
                && let Err(error) = self.begin_publishing(&mut publisher).await
            {
                log::info!(error:% = error, epoch = epoch; "the states of jobs could not be published and are retried");
                continue;
            }
            self.publish_changes(&mut publisher).await;
        }
    }

    /// Fences the former owner and marks all jobs, because their states may differ from the published ones.
    async fn begin_publishing(&self, publisher: &mut Publisher) -> Result<(), StoreError> {
        let Some(owner) = self.state.borrow().table().map(|table| table.owner.clone()) else { return Ok(()) };
        if publisher.sequence == 0 && !self.publish(publisher, &[record::owner(&owner)]).await {
            return Ok(());
        }
        self.catch_up_summaries().await?;
        // A job that the former owner published is in the intake, but may not have been read here yet.
        self.catch_up_intake().await?;
        let mut state = self.state.borrow_mut();
        state.keep_started();
        let published: Vec<JobId> = state.summaries.ids().collect();
        let held: Vec<JobId> = state.table().into_iter().flat_map(Table::ids).collect();
        state.unpublished.extend(published);
        state.unpublished.extend(held);
        publisher.marked = true;
        Ok(())
    }

    /// Reads the summaries up to their current end.
    async fn catch_up_summaries(&self) -> Result<(), StoreError> {
        let read = async |from| self.read_summaries_from(from, Duration::ZERO).await;
        self.catch_up(|state| state.summary.next, read).await
    }

    /// Publishes the states that have changed, and the intake offset that they cover.
    async fn publish_changes(&self, publisher: &mut Publisher) {
        let (changed, mut records, intake_offset) = {
            let mut state = self.state.borrow_mut();
            // Before they are published, because this node may step down in the meantime.
            let changed = add_unpublished(&mut state);
            let records: Vec<Entry> = changed.iter().filter_map(|id| changed_summary(&state, *id)).collect();
            (changed, records, state.intake.next.unwrap_or(0))
        };
        if intake_offset > publisher.intake_offset {
            // Last, because it states that the records before it are complete.
            records.push(record::intake_offset(intake_offset));
        }
        if self.publish(publisher, &records).await {
            publisher.intake_offset = intake_offset;
            apply_summaries(&mut self.state.borrow_mut(), records.iter());
        } else {
            self.state.borrow_mut().unpublished.extend(changed);
        }
    }

    /// Appends records to the summaries under the owner's epoch. False if this node is no longer the owner.
    async fn publish(&self, publisher: &mut Publisher, records: &[Entry]) -> bool {
        let mut rest = records;
        while !rest.is_empty() {
            let (part, later) = rest.split_at(count_fitting(rest, self.options.append_bytes));
            let fence = Fence { epoch: publisher.epoch, sequence: publisher.sequence + 1 };
            if !self.append_fenced(Topic::Summaries, part, fence).await {
                return false;
            }
            publisher.sequence += 1;
            rest = later;
        }
        true
    }
}

/// Returns the summary record of a job if its state differs from the published one.
fn changed_summary(state: &State, id: JobId) -> Option<Entry> {
    let published = state.summaries.published(id);
    let Role::Owner(dispatcher) = &state.role else { return None };
    let Some(job) = dispatcher.table.get(id) else {
        return published.map(|_| record::dropped(id));
    };
    let job_state = job.state();
    if published.is_some_and(|published| published.later(job_state) == published) {
        return None;
    }
    Some(record::summary(id, &Summary { queue: job.submission.queue.clone(), state: job_state }))
}

/// Adds the states that callers may have seen but that are not published to the summaries, so that they remain visible
/// after this node steps down. Returns their jobs.
pub(super) fn add_unpublished(state: &mut State) -> BTreeSet<JobId> {
    let changed = std::mem::take(&mut state.unpublished);
    let offset = state.intake.next.unwrap_or(0);
    let Role::Owner(dispatcher) = &state.role else { return changed };
    for id in &changed {
        let Some(job) = dispatcher.table.get(*id) else { continue };
        let summary = Summary { queue: job.submission.queue.clone(), state: job.state() };
        state.summaries.add_unpublished(offset, *id, summary);
    }
    changed
}

fn apply_summaries<'a>(state: &mut State, entries: impl Iterator<Item = &'a Entry>) {
    for entry in entries {
        match read_summary(entry) {
            Ok(change) => {
                let now = Instant::now();
                if matches!(change, SummaryChange::IntakeOffset(_)) {
                    state.offset_read_at = Some(now);
                }
                if matches!(change, SummaryChange::IntakeOffset(_) | SummaryChange::Owner(_)) {
                    state.records.pace.add_progress(now);
                }
                state.summaries.apply(change);
            }
            Err(error) => {
                log::warn!(key = entry.key.as_str(), error:% = error; "a record of the summaries cannot be decoded");
            }
        }
    }
}
