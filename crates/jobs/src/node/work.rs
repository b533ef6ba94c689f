//! Readers of the work: the intake and the progress, with payloads and the state of each task.
//!
//! Only instances that may take the work over read it. Both topics are loaded once as the newest record of each key and
//! followed from there. If the records to read next are gone, they are loaded again.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Node;
use super::follow::{RETRY, WAIT, wait_after};
use super::state::{Role, State, proof};
use crate::ports::{Page, Platform, Store, StoreError, Topic};
use crate::record::{Change, Entry, Intake, read_change, read_intake};
use crate::table::Table;

/// Time between two reads of the intake by the owner, so that jobs are taken together.
const OWNER_GAP: Duration = Duration::from_millis(15);

impl<P: Platform> Node<P> {
    /// Follows accepted and cancelled jobs while this node holds the work.
    pub(super) async fn follow_intake(self: Rc<Self>) {
        let mut wait = WAIT;
        loop {
            let (next, owner, holder) = {
                let state = self.state.borrow();
                (state.intake.next, state.owns(), state.holder)
            };
            let Some(from) = next else {
                if holder {
                    self.load_work().await;
                } else {
                    self.holder.notified().await;
                }
                continue;
            };
            let read = self.read_intake_from(from, wait).await;
            wait = wait_after(&read, WAIT);
            match read {
                // A reader that is behind goes on at once.
                Ok(end) if self.state.borrow().intake.next.is_some_and(|next| next < end) => {}
                Ok(_) if owner => sleep(OWNER_GAP).await,
                Ok(_) => sleep(self.options.follow_gap).await,
                Err(_) => sleep(RETRY).await,
            }
        }
    }

    /// Loads both topics into a new table.
    async fn load_work(&self) {
        let begun = Instant::now();
        let loads = self.state.borrow().loads;
        let store = self.platform.store();
        let (intake, progress) = tokio::join!(store.newest(Topic::Intake), store.newest(Topic::Progress));
        let (Ok(intake), Ok(progress)) = (intake, progress) else { return sleep(RETRY).await };
        let mut state = self.state.borrow_mut();
        if state.loads != loads {
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
        state.loads += 1;
        state.intake.advance(&intake, None);
        state.progress.advance(&progress, None);
        // The first load of a process shows claims that are old; a later one may show one of a moment ago.
        state.claim_seen = (loads > 0).then(Instant::now);
        let took_ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        log::info!(jobs = jobs, took_ms = took_ms; "the jobs are loaded");
        self.loaded.notify_one();
    }

    /// Reads the intake once. Returns the end of the topic.
    pub(super) async fn read_intake_from(&self, from: u64, wait: Duration) -> Result<u64, StoreError> {
        let loads = self.state.borrow().loads;
        let asked = Instant::now();
        match self.platform.store().read(Topic::Intake, from, wait).await {
            Ok(page) => {
                self.take_intake_page(loads, &page, proof(asked, wait, from, &page));
                Ok(page.end)
            }
            Err(StoreError::Gone(first)) => {
                self.lose_work(loads, "records of the intake are gone");
                Err(StoreError::Gone(first))
            }
            Err(error) => Err(error),
        }
    }

    fn take_intake_page(&self, loads: u64, page: &Page, proof: Option<Instant>) {
        let mut state = self.state.borrow_mut();
        let Some(next) = state.intake.next.filter(|_| state.loads == loads) else { return };
        for (_, entry) in page.entries.iter().filter(|(offset, _)| *offset >= next) {
            if let Some(intake) = decode_intake(entry) {
                self.apply_work(&mut state, intake);
            }
        }
        state.intake.advance(page, proof);
        if let (Some(dispatcher), Some(proof)) = (state.dispatcher(), proof) {
            dispatcher.intake_read(self.millis(proof));
        }
    }

    /// Applies a change of the intake to the work, and tells the owner's decisions about it.
    pub(super) fn apply_work(&self, state: &mut State, intake: Intake) {
        let now = self.now();
        match &mut state.role {
            Role::Reader => {}
            Role::Standby(table) => {
                table.apply_intake(intake);
            }
            Role::Owner(dispatcher) => {
                let Some(id) = dispatcher.table.apply_intake(intake) else { return };
                if dispatcher.table.get(id).is_some_and(|job| job.canceled) {
                    dispatcher.canceled(now, id);
                } else {
                    dispatcher.submitted(now, id);
                }
                state.unpublished.insert(id);
                self.work.notify_one();
            }
        }
    }

    /// Follows the progress of jobs while another node owns the work.
    pub(super) async fn follow_progress(self: Rc<Self>) {
        let mut wait = WAIT;
        loop {
            let next = {
                let state = self.state.borrow();
                state.progress.next.filter(|_| state.stands_by())
            };
            let Some(from) = next else {
                sleep(RETRY).await;
                continue;
            };
            let read = self.read_progress_from(from, wait).await;
            wait = wait_after(&read, WAIT);
            match read {
                Ok(end) if self.state.borrow().progress.next.is_some_and(|next| next < end) => {}
                Ok(_) => sleep(self.options.follow_gap).await,
                Err(_) => sleep(RETRY).await,
            }
        }
    }

    /// Reads the progress once. Returns the end of the topic.
    async fn read_progress_from(&self, from: u64, wait: Duration) -> Result<u64, StoreError> {
        let loads = self.state.borrow().loads;
        let asked = Instant::now();
        match self.platform.store().read(Topic::Progress, from, wait).await {
            Ok(page) => {
                self.take_progress_page(loads, &page, proof(asked, wait, from, &page));
                Ok(page.end)
            }
            Err(StoreError::Gone(first)) => {
                self.lose_work(loads, "records of the progress are gone");
                Err(StoreError::Gone(first))
            }
            Err(error) => Err(error),
        }
    }

    fn take_progress_page(&self, loads: u64, page: &Page, proof: Option<Instant>) {
        let mut state = self.state.borrow_mut();
        let Some(next) = state.progress.next.filter(|_| state.loads == loads) else { return };
        let State { role, claim_seen, .. } = &mut *state;
        let Role::Standby(table) = role else { return };
        for (_, entry) in page.entries.iter().filter(|(offset, _)| *offset >= next) {
            let Some(change) = decode_change(entry) else { continue };
            if matches!(&change, Change::Owner(owner) if owner.epoch > table.owner.epoch) {
                *claim_seen = Some(Instant::now());
            }
            table.apply_progress(change);
        }
        state.progress.advance(page, proof);
    }

    /// Reads the intake up to the end that it has now.
    pub(super) async fn catch_up_intake(&self) -> Result<(), StoreError> {
        let read = async |from| self.read_intake_from(from, Duration::ZERO).await;
        self.catch_up(|state| state.intake.next, read).await
    }

    /// Reads the progress up to the end that it has now.
    pub(super) async fn catch_up_progress(&self) -> Result<(), StoreError> {
        let read = async |from| self.read_progress_from(from, Duration::ZERO).await;
        self.catch_up(|state| state.progress.next, read).await
    }

    /// Drops work that can't be followed any further, so that it is loaded anew.
    fn lose_work(&self, loads: u64, why: &'static str) {
        if self.state.borrow().loads != loads {
            return;
        }
        if self.state.borrow().owns() {
            self.step_down(why);
        } else {
            self.state.borrow_mut().drop_work();
        }
    }
}

/// Decodes a record of the intake; one that cannot be read changes nothing.
pub(super) fn decode_intake(entry: &Entry) -> Option<Intake> {
    match read_intake(entry) {
        Ok(intake) => Some(intake),
        Err(error) => {
            log::warn!(key = entry.key.as_str(), error:% = error; "a record of the intake cannot be read");
            None
        }
    }
}

fn decode_change(entry: &Entry) -> Option<Change> {
    match read_change(entry) {
        Ok(change) => Some(change),
        Err(error) => {
            log::warn!(key = entry.key.as_str(), error:% = error; "a record of the progress cannot be read");
            None
        }
    }
}
