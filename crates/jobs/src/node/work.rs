//! Readers of the job table: the intake and progress topics, with payloads and the state of each task.
//!
//! Only holders, which may take over as owner, read them. Both topics are loaded once as the newest record of each key
//! and followed from there. If the records to read next are no longer retained, both are loaded again.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Node;
use super::follow::{READ_WAIT, RETRY_DELAY, next_wait};
use super::state::{Role, State, page_as_of};
use crate::ports::{Page, Platform, Store, StoreError, Topic};
use crate::record::{Change, Entry, Intake, read_change, read_intake};
use crate::table::Table;

/// Interval between two reads of the intake by the owner, so that jobs are read in batches.
const OWNER_READ_INTERVAL: Duration = Duration::from_millis(15);

impl<P: Platform> Node<P> {
    /// Loads the job table and follows the intake while this node is a holder.
    pub(super) async fn follow_intake(self: Rc<Self>) {
        let mut wait = READ_WAIT;
        loop {
            let (next, owner, holder) = {
                let state = self.state.borrow();
                (state.intake.next, state.is_owner(), state.table_wanted)
            };
            let Some(from) = next else {
                if holder {
                    self.load_table().await;
                } else {
                    self.load_wakeup.notified().await;
                }
                continue;
            };
            let read = self.read_intake_from(from, wait).await;
            wait = next_wait(&read, READ_WAIT);
            match read {
                // A reader that is behind continues without a delay.
                Ok(end) if self.state.borrow().intake.next.is_some_and(|next| next < end) => {}
                Ok(_) if owner => sleep(OWNER_READ_INTERVAL).await,
                Ok(_) => sleep(self.options.follow_interval).await,
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Loads both topics into a new job table.
    async fn load_table(&self) {
        let begun = Instant::now();
        let table_generation = self.state.borrow().table_generation;
        let store = self.platform.store();
        let (intake, progress) = tokio::join!(store.newest(Topic::Intake), store.newest(Topic::Progress));
        let (Ok(intake), Ok(progress)) = (intake, progress) else { return sleep(RETRY_DELAY).await };
        let mut state = self.state.borrow_mut();
        if state.table_generation != table_generation {
            return;
        }
        let mut table = Table::default();
        for (_, entry) in &intake.entries {
            if let Some(change) = decode_intake(entry) {
                table.apply_intake(change);
            }
        }
        for (_, entry) in &progress.entries {
            if let Some(change) = decode_change(entry) {
                table.apply_progress(change);
            }
        }
        let jobs = table.jobs().count();
        state.role = Role::Standby(Box::new(table));
        state.table_generation += 1;
        state.intake.advance(&intake, None);
        state.progress.advance(&progress, None);
        // A claim found by the first load of a process is old; one found by a later load may be recent.
        state.claim_seen = (table_generation > 0).then(Instant::now);
        let took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        log::info!(jobs = jobs, took_ms = took_ms; "the job table is loaded");
        self.loaded.notify_one();
    }

    /// Reads one page of the intake. Returns the end of the topic.
    pub(super) async fn read_intake_from(&self, from: u64, wait: Duration) -> Result<u64, StoreError> {
        let table_generation = self.state.borrow().table_generation;
        let asked = Instant::now();
        match self.platform.store().read(Topic::Intake, from, wait).await {
            Ok(page) => {
                self.apply_intake_page(table_generation, &page, page_as_of(asked, wait, from, &page));
                Ok(page.end)
            }
            Err(StoreError::Gone(first)) => {
                self.discard_table(table_generation, "records of the intake are gone");
                Err(StoreError::Gone(first))
            }
            Err(error) => Err(error),
        }
    }

    fn apply_intake_page(&self, table_generation: u64, page: &Page, as_of: Option<Instant>) {
        let mut state = self.state.borrow_mut();
        let Some(next) = state.intake.next.filter(|_| state.table_generation == table_generation) else {
            return;
        };
        for (_, entry) in page.entries.iter().filter(|(offset, _)| *offset >= next) {
            if let Some(intake) = decode_intake(entry) {
                self.apply_intake(&mut state, intake);
            }
        }
        state.intake.advance(page, as_of);
        if !page.entries.is_empty() {
            state.records.pace.add_progress(Instant::now());
        }
        self.settle(&mut state);
        if let (Some(dispatcher), Some(as_of)) = (state.dispatcher(), as_of) {
            dispatcher.intake_read(self.millis(as_of));
        }
    }

    /// Applies a record of the intake to the job table, and notifies the scheduler if this node is the owner.
    pub(super) fn apply_intake(&self, state: &mut State, intake: Intake) {
        let now = self.now();
        match &mut state.role {
            Role::Reader => {}
            Role::Standby(table) => {
                table.apply_intake(intake);
            }
            Role::Owner(dispatcher) => {
                let Some(id) = dispatcher.apply_intake(now, intake) else { return };
                state.unpublished.insert(id);
                self.owner_wakeup.notify_one();
            }
        }
    }

    /// Follows the progress of jobs while another node is the owner.
    pub(super) async fn follow_progress(self: Rc<Self>) {
        let mut wait = READ_WAIT;
        loop {
            let next = {
                let state = self.state.borrow();
                state.progress.next.filter(|_| state.is_standby())
            };
            let Some(from) = next else {
                sleep(RETRY_DELAY).await;
                continue;
            };
            let read = self.read_progress_from(from, wait).await;
            wait = next_wait(&read, READ_WAIT);
            match read {
                Ok(end) if self.state.borrow().progress.next.is_some_and(|next| next < end) => {}
                Ok(_) => sleep(self.options.follow_interval).await,
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Reads one page of the progress. Returns the end of the topic.
    async fn read_progress_from(&self, from: u64, wait: Duration) -> Result<u64, StoreError> {
        let table_generation = self.state.borrow().table_generation;
        let asked = Instant::now();
        match self.platform.store().read(Topic::Progress, from, wait).await {
            Ok(page) => {
                self.apply_progress_page(table_generation, &page, page_as_of(asked, wait, from, &page));
                Ok(page.end)
            }
            Err(StoreError::Gone(first)) => {
                self.discard_table(table_generation, "records of the progress are gone");
                Err(StoreError::Gone(first))
            }
            Err(error) => Err(error),
        }
    }

    fn apply_progress_page(&self, table_generation: u64, page: &Page, as_of: Option<Instant>) {
        let mut state = self.state.borrow_mut();
        let Some(next) = state.progress.next.filter(|_| state.table_generation == table_generation) else {
            return;
        };
        let State { role, claim_seen, .. } = &mut *state;
        let Role::Standby(table) = role else { return };
        for (_, entry) in page.entries.iter().filter(|(offset, _)| *offset >= next) {
            let Some(change) = decode_change(entry) else { continue };
            if matches!(&change, Change::Owner(owner) if owner.epoch > table.owner.epoch) {
                *claim_seen = Some(Instant::now());
            }
            table.apply_progress(change);
        }
        state.progress.advance(page, as_of);
    }

    /// Reads the intake up to its current end.
    pub(super) async fn catch_up_intake(&self) -> Result<(), StoreError> {
        let read = async |from| self.read_intake_from(from, Duration::ZERO).await;
        self.catch_up(|state| state.intake.next, read).await
    }

    /// Reads the progress up to its current end.
    pub(super) async fn catch_up_progress(&self) -> Result<(), StoreError> {
        let read = async |from| self.read_progress_from(from, Duration::ZERO).await;
        self.catch_up(|state| state.progress.next, read).await
    }

    /// Drops a job table that cannot be kept up to date, so that it is loaded again.
    fn discard_table(&self, table_generation: u64, why: &'static str) {
        if self.state.borrow().table_generation != table_generation {
            return;
        }
        if self.state.borrow().is_owner() {
            self.step_down(why);
        } else {
            self.state.borrow_mut().unload_table();
        }
    }
}

/// Decodes a record of the intake. One that cannot be decoded is logged and skipped.
pub(super) fn decode_intake(entry: &Entry) -> Option<Intake> {
    match read_intake(entry) {
        Ok(intake) => Some(intake),
        Err(error) => {
            log::warn!(key = entry.key.as_str(), error:% = error; "a record of the intake cannot be decoded");
            None
        }
    }
}

fn decode_change(entry: &Entry) -> Option<Change> {
    match read_change(entry) {
        Ok(change) => Some(change),
        Err(error) => {
            log::warn!(key = entry.key.as_str(), error:% = error; "a record of the progress cannot be decoded");
            None
        }
    }
}
