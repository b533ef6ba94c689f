//! Readers of the topics.
//!
//! Each topic is loaded once as the newest record of each key and followed from there. If the records to read next
//! are gone, it is loaded again.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Node;
use super::state::{Role, State};
use crate::dispatch::event::Sighting;
use crate::ids::JobId;
use crate::ports::{Instruction, Machines, Page, Platform, Store, StoreError, Topic};
use crate::record::{Change, Entry, read_change, read_intake};
use crate::table::Table;

/// Time for which a read waits for a record. A store that does not answer is noticed after this time.
const WAIT: Duration = Duration::from_millis(700);
/// Time for which a read of the operators' records waits. Below the time in which a change is to be in force.
const OPERATOR_WAIT: Duration = Duration::from_millis(1_500);
/// Time between two tries after a failure.
const RETRY: Duration = Duration::from_millis(150);
/// Time between two reads of the intake by the owner, so that jobs are taken together.
const OWNER_GAP: Duration = Duration::from_millis(15);
/// Time between two checks whether the list of machines is needed.
const MACHINES_GAP: Duration = Duration::from_millis(100);

impl<P: Platform> Node<P> {
    /// Follows what operators want.
    pub(super) async fn follow_operator(self: Rc<Self>) {
        let mut wait = OPERATOR_WAIT;
        loop {
            let next = self.state.borrow().operator.next;
            let page = match next {
                None => self.platform.store().newest(Topic::Operator).await,
                Some(from) => self.platform.store().read(Topic::Operator, from, wait).await,
            };
            wait = wait_after(&page, OPERATOR_WAIT);
            match page {
                Ok(page) => self.take_instructions(&page, next.is_none()),
                Err(StoreError::Gone(_)) => self.state.borrow_mut().operator.next = None,
                Err(_) => sleep(RETRY).await,
            }
        }
    }

    fn take_instructions(&self, page: &Page, whole: bool) {
        let mut state = self.state.borrow_mut();
        state.operator.fresh = Some(Instant::now());
        if whole {
            state.evacuated.clear();
        }
        for (offset, entry) in &page.entries {
            if state.operator.next.is_none_or(|next| *offset >= next) || whole {
                self.take_instruction(&mut state, entry);
            }
        }
        state.operator.next = Some(state.operator.next.unwrap_or(0).max(page.next));
        let (catalog, zones) = (state.catalog.clone(), state.evacuated.clone());
        let waves = state.waves.clone();
        if let (Some(dispatcher), Some(catalog)) = (state.dispatcher(), catalog) {
            dispatcher.set_catalog(catalog);
            dispatcher.set_evacuated(zones);
            for wave in waves.into_values() {
                dispatcher.plan_wave(self.now(), wave);
            }
            self.work.notify_one();
        }
    }

    fn take_instruction(&self, state: &mut State, entry: &Entry) {
        match self.platform.instruction(entry) {
            Ok(Some(Instruction::Configure(catalog))) => {
                if state.catalog.as_ref().is_some_and(|old| old.version >= catalog.version) {
                    return;
                }
                log::info!(version = catalog.version, queues = catalog.queues.len(); "the configuration is in force");
                state.catalog = Some(Arc::new(*catalog));
            }
            Ok(Some(Instruction::Evacuate(zone, true))) => {
                log::info!(zone = zone.as_str(); "nothing starts in the availability zone");
                state.evacuated.insert(zone);
            }
            Ok(Some(Instruction::Evacuate(zone, false))) => {
                log::info!(zone = zone.as_str(); "the availability zone serves again");
                state.evacuated.remove(&zone);
            }
            Ok(Some(Instruction::Maintain(wave))) => {
                state.waves.entry(wave.number).or_insert(wave);
            }
            Ok(None) => {}
            Err(foreign) => {
                log::warn!(key = foreign.key.as_str(), why = foreign.why.as_str(); "an operator's record cannot be read");
            }
        }
    }

    /// Follows accepted and cancelled jobs.
    pub(super) async fn follow_intake(self: Rc<Self>) {
        let mut wait = WAIT;
        loop {
            let (next, owner) = {
                let state = self.state.borrow();
                (state.intake.next, matches!(state.role, Role::Owner(_)))
            };
            let Some(from) = next else {
                self.load_jobs().await;
                continue;
            };
            let read = self.read_intake_from(from, wait).await;
            wait = wait_after(&read, WAIT);
            match read {
                Ok(()) if owner => sleep(OWNER_GAP).await,
                Ok(()) => sleep(self.options.follow_gap).await,
                Err(_) => sleep(RETRY).await,
            }
        }
    }

    /// Loads both topics of jobs into a new table.
    async fn load_jobs(&self) {
        let store = self.platform.store();
        let pages = match (store.newest(Topic::Intake).await, store.newest(Topic::Progress).await) {
            (Ok(intake), Ok(progress)) => (intake, progress),
            _ => return sleep(RETRY).await,
        };
        let mut state = self.state.borrow_mut();
        let mut table = Table::default();
        for (_, entry) in &pages.0.entries {
            take_intake(&mut table, entry);
        }
        for (_, entry) in &pages.1.entries {
            if let Some(change) = decode_change(entry) {
                table.follow(change);
            }
        }
        state.role = Role::Follower(Box::new(table));
        state.loads += 1;
        state.intake.next = Some(pages.0.next);
        state.progress.next = Some(pages.1.next);
        state.intake.fresh = Some(Instant::now());
        state.progress.fresh = Some(Instant::now());
        // The first load of a process shows claims that are old; a later one may show one of a moment ago.
        state.claim_seen = (state.loads > 1).then(Instant::now);
        log::info!(jobs = state.table().jobs().count(); "the jobs are loaded");
    }

    /// Reads the intake once.
    pub(super) async fn read_intake_from(&self, from: u64, wait: Duration) -> Result<(), StoreError> {
        let loads = self.state.borrow().loads;
        match self.platform.store().read(Topic::Intake, from, wait).await {
            Ok(page) => {
                self.take_intake_page(loads, &page);
                Ok(())
            }
            Err(StoreError::Gone(first)) => {
                self.step_down("records of the intake are gone");
                self.state.borrow_mut().intake.next = None;
                Err(StoreError::Gone(first))
            }
            Err(error) => Err(error),
        }
    }

    fn take_intake_page(&self, loads: u64, page: &Page) {
        let mut state = self.state.borrow_mut();
        let Some(next) = state.intake.next.filter(|_| state.loads == loads) else { return };
        state.intake.fresh = Some(Instant::now());
        for (_, entry) in page.entries.iter().filter(|(offset, _)| *offset >= next) {
            self.apply_intake(&mut state, entry);
        }
        state.intake.next = Some(next.max(page.next));
    }

    /// Applies a record of the intake, and tells the owner's decisions about it.
    pub(super) fn apply_intake(&self, state: &mut State, entry: &Entry) {
        let now = self.now();
        match &mut state.role {
            Role::Follower(table) => {
                take_intake(table, entry);
            }
            Role::Owner(dispatcher) => {
                let Some(id) = take_intake(&mut dispatcher.table, entry) else { return };
                if dispatcher.table.get(id).is_some_and(|job| job.canceled) {
                    dispatcher.canceled(now, id);
                } else {
                    dispatcher.submitted(now, id);
                }
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
                state.progress.next.filter(|_| matches!(state.role, Role::Follower(_)))
            };
            let Some(from) = next else {
                sleep(RETRY).await;
                continue;
            };
            let read = self.read_progress_from(from, wait).await;
            wait = wait_after(&read, WAIT);
            match read {
                Ok(()) => sleep(self.options.follow_gap).await,
                Err(_) => sleep(RETRY).await,
            }
        }
    }

    /// Reads the progress once. Returns the end of the topic.
    pub(super) async fn read_progress_from(&self, from: u64, wait: Duration) -> Result<(), StoreError> {
        let loads = self.state.borrow().loads;
        match self.platform.store().read(Topic::Progress, from, wait).await {
            Ok(page) => {
                let mut state = self.state.borrow_mut();
                let Some(next) = state.progress.next.filter(|_| state.loads == loads) else { return Ok(()) };
                state.progress.fresh = Some(Instant::now());
                let State { role, claim_seen, .. } = &mut *state;
                let Role::Follower(table) = role else { return Ok(()) };
                for (_, entry) in page.entries.iter().filter(|(offset, _)| *offset >= next) {
                    let Some(change) = decode_change(entry) else { continue };
                    if matches!(&change, Change::Owner(owner) if owner.epoch > table.owner.epoch) {
                        *claim_seen = Some(Instant::now());
                    }
                    table.follow(change);
                }
                state.progress.next = Some(next.max(page.next));
                Ok(())
            }
            Err(StoreError::Gone(first)) => {
                self.state.borrow_mut().intake.next = None;
                Err(StoreError::Gone(first))
            }
            Err(error) => Err(error),
        }
    }

    /// Follows the directory of workers while this node owns the work.
    pub(super) async fn follow_directory(self: Rc<Self>) {
        let mut next = None;
        let mut epoch = 0;
        loop {
            let current = self.state.borrow_mut().dispatcher().map(|d| d.epoch());
            let Some(current) = current else {
                next = None;
                sleep(RETRY).await;
                continue;
            };
            if current != epoch {
                epoch = current;
                next = None;
            }
            let page = match next {
                None => self.platform.store().newest(Topic::Directory).await,
                Some(from) => self.platform.store().read(Topic::Directory, from, WAIT).await,
            };
            match page {
                Ok(page) => {
                    self.take_sightings(&page, next.is_none());
                    next = Some(page.next);
                    sleep(self.options.directory_gap).await;
                }
                Err(StoreError::Gone(_)) => next = None,
                Err(_) => sleep(RETRY).await,
            }
        }
    }

    fn take_sightings(&self, page: &Page, whole: bool) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(dispatcher) = state.dispatcher() else { return };
        let mut present = BTreeSet::new();
        for (_, entry) in &page.entries {
            if entry.value.is_empty() {
                dispatcher.unlisted(&entry.key);
                present.remove(&entry.key);
                continue;
            }
            match self.platform.sighting(entry) {
                Ok(sighting) => {
                    present.insert(sighting.worker.clone());
                    dispatcher.sighted(now, sighting);
                }
                Err(foreign) => {
                    log::debug!(key = foreign.key.as_str(), why = foreign.why.as_str(); "an entry of the directory names no worker");
                    dispatcher.unlisted(&entry.key);
                }
            }
        }
        if whole {
            let gone: Vec<String> = dispatcher
                .workers()
                .map(|worker| worker.sighting.worker.clone())
                .filter(|id| !present.contains(id))
                .collect();
            gone.iter().for_each(|id| dispatcher.unlisted(id));
        }
        self.work.notify_one();
    }

    /// Reads the list of machines while this node owns the work.
    pub(super) async fn follow_machines(self: Rc<Self>) {
        loop {
            let asked = self.now();
            let wanted = self.state.borrow_mut().dispatcher().is_some_and(|d| d.wants_machines(asked));
            if wanted && let Some(machines) = self.platform.machines().list().await {
                let now = self.now();
                if let Some(dispatcher) = self.state.borrow_mut().dispatcher() {
                    dispatcher.set_machines(now, asked, machines);
                }
                self.work.notify_one();
            }
            sleep(MACHINES_GAP).await;
        }
    }

    /// Reads the workers that the directory lists now.
    pub(super) async fn read_directory(&self) -> Result<Vec<Sighting>, StoreError> {
        let page = self.platform.store().newest(Topic::Directory).await?;
        let entries = page.entries.iter().filter(|(_, entry)| !entry.value.is_empty());
        Ok(entries.filter_map(|(_, entry)| self.platform.sighting(entry).ok()).collect())
    }
}

/// Applies a record of the intake; one that cannot be read changes nothing.
fn take_intake(table: &mut Table, entry: &Entry) -> Option<JobId> {
    match read_intake(entry) {
        Ok(intake) => table.take_in(intake),
        Err(error) => {
            log::warn!(key = entry.key.as_str(), error:% = error; "a record of the intake cannot be read");
            None
        }
    }
}

/// Wait of the next read. After a failure it is none, so that the store's return is noticed within the time limit alone.
const fn wait_after<T>(read: &Result<T, StoreError>, wait: Duration) -> Duration {
    if read.is_ok() { wait } else { Duration::ZERO }
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
