//! Summaries of jobs: followed by every node, written by the owner.
//!
//! A node that finds no job in the summaries reads the rest of the intake that they do not contain yet. Only if it has
//! read up to the end that the intake had after the call came in, the job does not exist.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Node;
use super::follow::{RETRY, wait_after};
use super::state::{Cursor, Role, State, proof};
use super::work::decode_intake;
use crate::ids::JobId;
use crate::ports::{Fence, Page, Platform, Store, StoreError, Topic};
use crate::record::{self, Entry, fitting, read_summary};
use crate::summary::{Summary, SummaryChange};
use crate::table::Table;

/// Time for which a read waits for a record. With the pause between two reads it is below the age at which a view is too
/// old for an answer, so that a quiet store does not look lost.
const WAIT: Duration = Duration::from_millis(350);
/// Least time between two writes of summaries, so that changes are stored together.
const PUBLISH_GAP: Duration = Duration::from_millis(40);

/// Owner's place in the topic of summaries.
#[derive(Clone, Copy, Debug, Default)]
struct Publisher {
    /// Epoch under which summaries are written; 0 before the first.
    epoch: u64,
    /// Number of the next append of the epoch.
    sequence: u64,
    /// True once the states of all jobs have been compared with the published ones.
    compared: bool,
    /// Offset of the intake that was written last.
    taken: u64,
}

impl<P: Platform> Node<P> {
    /// Follows the states of jobs.
    pub(super) async fn follow_summaries(self: Rc<Self>) {
        let mut wait = WAIT;
        loop {
            let (next, fresh) = {
                let state = self.state.borrow();
                (state.summary.next, state.summary.fresh.is_some())
            };
            let Some(from) = next else {
                self.load_summaries().await;
                continue;
            };
            // The read after a load proves that nothing was written meanwhile; it is not to wait for a record.
            let read = self.read_summaries_from(from, if fresh { wait } else { Duration::ZERO }).await;
            wait = wait_after(&read, WAIT);
            match read {
                Ok(end) if self.state.borrow().summary.next.is_some_and(|next| next < end) => {}
                Ok(_) => sleep(self.options.follow_gap).await,
                Err(_) => sleep(RETRY).await,
            }
        }
    }

    /// Loads the summaries. They count as fresh only once the records written during the load have been read.
    async fn load_summaries(&self) {
        let begun = Instant::now();
        let Ok(page) = self.platform.store().newest(Topic::Summaries).await else {
            return sleep(RETRY).await;
        };
        let mut state = self.state.borrow_mut();
        state.summaries.clear_published();
        state.accepted = None;
        apply_summaries(&mut state, page.entries.iter().map(|(_, entry)| entry));
        state.summary = Cursor::default();
        state.summary.advance(&page, None);
        let took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        log::info!(jobs = state.summaries.len(), took_ms = took_ms; "the states of jobs are loaded");
    }

    /// Reads the summaries once. Returns the end of the topic.
    async fn read_summaries_from(&self, from: u64, wait: Duration) -> Result<u64, StoreError> {
        let asked = Instant::now();
        match self.platform.store().read(Topic::Summaries, from, wait).await {
            Ok(page) => {
                self.take_summaries(&page, proof(asked, wait, from, &page));
                Ok(page.end)
            }
            Err(StoreError::Gone(first)) => {
                self.state.borrow_mut().summary = Cursor::default();
                Err(StoreError::Gone(first))
            }
            Err(error) => Err(error),
        }
    }

    fn take_summaries(&self, page: &Page, proof: Option<Instant>) {
        let mut state = self.state.borrow_mut();
        let Some(next) = state.summary.next else { return };
        let fresh = page.entries.iter().filter(|(offset, _)| *offset >= next);
        apply_summaries(&mut state, fresh.map(|(_, entry)| entry));
        state.summary.advance(page, proof);
    }

    /// True once every job that was accepted before this call is known here.
    pub(super) async fn know_accepted(&self) -> bool {
        let called = Instant::now();
        let _turn = self.tail.lock().await;
        // A read that began meanwhile for another call has read all that this one needs.
        if self.state.borrow().accepted.is_some_and(|asked| asked >= called) {
            return true;
        }
        let asked = Instant::now();
        let read = if self.state.borrow().owns() {
            self.catch_up_intake().await
        } else {
            self.catch_up_tail().await
        };
        if read.is_ok() {
            self.state.borrow_mut().accepted = Some(asked);
        }
        read.is_ok()
    }

    /// Reads the part of the intake that the summaries do not contain yet.
    async fn catch_up_tail(&self) -> Result<(), StoreError> {
        // After a load, the offset of the intake may be newer than the states.
        let next = |state: &State| state.summary.fresh.map(|_| state.tail.max(state.summaries.taken()));
        self.catch_up(next, async |from| self.read_tail_from(from).await).await
    }

    /// Reads records of the intake that the summaries do not contain yet. Returns the end of the topic.
    async fn read_tail_from(&self, from: u64) -> Result<u64, StoreError> {
        let page = self.platform.store().read(Topic::Intake, from, Duration::ZERO).await?;
        let mut state = self.state.borrow_mut();
        for (offset, entry) in &page.entries {
            if let Some(intake) = decode_intake(entry) {
                state.summaries.apply_intake(*offset, &intake);
            }
        }
        state.tail = state.tail.max(page.next);
        Ok(page.end)
    }

    /// Writes the states of jobs while this node owns the work.
    pub(super) async fn publish_summaries(self: Rc<Self>) {
        let mut publisher = Publisher::default();
        loop {
            sleep(PUBLISH_GAP).await;
            let Some(epoch) = self.epoch() else { continue };
            if publisher.epoch != epoch {
                publisher = Publisher { epoch, ..Publisher::default() };
            }
            if !publisher.compared
                && let Err(error) = self.begin_publishing(&mut publisher).await
            {
                log::info!(error:% = error, epoch = epoch; "the states of jobs are not published yet");
                continue;
            }
            self.publish_changes(&mut publisher).await;
        }
    }

    /// Fences the former owner, and marks all jobs, whose states may differ from the published ones.
    async fn begin_publishing(&self, publisher: &mut Publisher) -> Result<(), StoreError> {
        let Some(owner) = self.state.borrow().table().map(|table| table.owner.clone()) else { return Ok(()) };
        if publisher.sequence == 0 && !self.publish(publisher, &[record::owner(&owner)]).await {
            return Ok(());
        }
        self.catch_up_summaries().await?;
        // A job that the former owner has published is in the intake, but may not have been read here yet.
        self.catch_up_intake().await?;
        let mut state = self.state.borrow_mut();
        let published: Vec<JobId> = state.summaries.ids().collect();
        let held: Vec<JobId> = state.table().into_iter().flat_map(Table::ids).collect();
        state.unpublished.extend(published);
        state.unpublished.extend(held);
        publisher.compared = true;
        Ok(())
    }

    /// Reads the summaries up to the end that they have now.
    async fn catch_up_summaries(&self) -> Result<(), StoreError> {
        let read = async |from| self.read_summaries_from(from, Duration::ZERO).await;
        self.catch_up(|state| state.summary.next, read).await
    }

    /// Writes the states that have changed, and how far the intake is part of them.
    async fn publish_changes(&self, publisher: &mut Publisher) {
        let (changed, mut records, taken) = {
            let mut state = self.state.borrow_mut();
            // Noted before they are published, because the work may be given up meanwhile.
            let changed = note_unpublished(&mut state);
            let records: Vec<Entry> = changed.iter().filter_map(|id| difference(&state, *id)).collect();
            (changed, records, state.intake.next.unwrap_or(0))
        };
        if taken > publisher.taken {
            // Last, because it says that the states before it are complete.
            records.push(record::taken(taken));
        }
        if self.publish(publisher, &records).await {
            publisher.taken = taken;
            apply_summaries(&mut self.state.borrow_mut(), records.iter());
        } else {
            self.state.borrow_mut().unpublished.extend(changed);
        }
    }

    /// Appends records to the summaries under the owner's epoch. False if this node no longer owns the work.
    async fn publish(&self, publisher: &mut Publisher, records: &[Entry]) -> bool {
        let mut rest = records;
        while !rest.is_empty() {
            let (part, later) = rest.split_at(fitting(rest, self.options.append_bytes));
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

/// Record of a job's state, if it is not the one that was published.
fn difference(state: &State, id: JobId) -> Option<Entry> {
    let published = state.summaries.published(id);
    let Role::Owner(dispatcher) = &state.role else { return None };
    let Some(job) = dispatcher.table.get(id) else {
        return published.map(|_| record::dropped(id));
    };
    let shown = job.state();
    if published.is_some_and(|published| published.later(shown) == published) {
        return None;
    }
    Some(record::summary(id, &Summary { queue: job.submission.queue.clone(), state: shown }))
}

/// Notes the states that were shown and not published, so that they are still shown when the work is given up. Returns
/// their jobs.
pub(super) fn note_unpublished(state: &mut State) -> BTreeSet<JobId> {
    let changed = std::mem::take(&mut state.unpublished);
    let offset = state.intake.next.unwrap_or(0);
    let Role::Owner(dispatcher) = &state.role else { return changed };
    for id in &changed {
        let Some(job) = dispatcher.table.get(*id) else { continue };
        let summary = Summary { queue: job.submission.queue.clone(), state: job.state() };
        state.summaries.note(offset, *id, summary);
    }
    changed
}

fn apply_summaries<'a>(state: &mut State, entries: impl Iterator<Item = &'a Entry>) {
    for entry in entries {
        match read_summary(entry) {
            Ok(change) => {
                if matches!(change, SummaryChange::Taken(_)) {
                    state.taken = Some(Instant::now());
                }
                state.summaries.follow(change);
            }
            Err(error) => {
                log::warn!(key = entry.key.as_str(), error:% = error; "a record of the states of jobs cannot be read");
            }
        }
    }
}
