//! Readers of what operators want, of the directory of workers and of the list of machines.
//!
//! Each topic is loaded once as the newest record of each key and followed from there. If the records to read next
//! are gone, it is loaded again.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Node;
use super::state::{Cursor, State, proof};
use crate::dispatch::event::WorkerRecord;
use crate::ports::{Instruction, Machines, Page, Platform, Store, StoreError, Topic};
use crate::record::Entry;

/// Time for which a read waits for a record. A store that does not answer is noticed after this time.
pub(super) const WAIT: Duration = Duration::from_millis(700);
/// Time for which a read of the operators' records waits. Below the time in which a change is to be in force.
const OPERATOR_WAIT: Duration = Duration::from_millis(900);
/// Time between two tries after a failure.
pub(super) const RETRY: Duration = Duration::from_millis(150);
/// Time between two checks whether the list of machines is needed.
const MACHINES_GAP: Duration = Duration::from_millis(100);

impl<P: Platform> Node<P> {
    /// Follows what operators want.
    pub(super) async fn follow_operator(self: Rc<Self>) {
        let mut wait = OPERATOR_WAIT;
        loop {
            let (next, fresh) = {
                let state = self.state.borrow();
                (state.operator.next, state.operator.fresh.is_some())
            };
            // The read after a load proves that nothing was written meanwhile; it is not to wait for a record.
            let waited = if fresh { wait } else { Duration::ZERO };
            let asked = Instant::now();
            let page = match next {
                None => self.platform.store().newest(Topic::Operator).await,
                Some(from) => self.platform.store().read(Topic::Operator, from, waited).await,
            };
            wait = wait_after(&page, OPERATOR_WAIT);
            match page {
                Ok(page) => {
                    let proof = next.and_then(|from| proof(asked, waited, from, &page));
                    self.take_instructions(&page, next.is_none(), proof);
                }
                Err(StoreError::Gone(_)) => self.state.borrow_mut().operator = Cursor::default(),
                Err(_) => sleep(RETRY).await,
            }
        }
    }

    fn take_instructions(&self, page: &Page, whole: bool, proof: Option<Instant>) {
        let mut state = self.state.borrow_mut();
        if whole {
            state.evacuated.clear();
        }
        for (offset, entry) in &page.entries {
            if state.operator.next.is_none_or(|next| *offset >= next) || whole {
                self.take_instruction(&mut state, entry);
            }
        }
        state.operator.advance(page, proof);
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
                log::warn!(key = foreign.key.as_str(), why = foreign.reason.as_str(); "an operator's record cannot be read");
            }
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
                dispatcher.unlist_worker(&entry.key);
                present.remove(&entry.key);
                continue;
            }
            match self.platform.worker_record(entry) {
                Ok(record) => {
                    present.insert(record.worker.clone());
                    dispatcher.update_worker(now, record);
                }
                Err(foreign) => {
                    log::debug!(key = foreign.key.as_str(), why = foreign.reason.as_str(); "an entry of the directory names no worker");
                    dispatcher.unlist_worker(&entry.key);
                }
            }
        }
        if whole {
            let gone: Vec<String> = dispatcher
                .workers()
                .map(|worker| worker.record.worker.clone())
                .filter(|id| !present.contains(id))
                .collect();
            gone.iter().for_each(|id| dispatcher.unlist_worker(id));
        }
        self.work.notify_one();
    }

    /// Reads the list of machines while this node owns the work.
    pub(super) async fn follow_machines(self: Rc<Self>) {
        loop {
            let asked = self.now();
            let wanted = self.state.borrow_mut().dispatcher().is_some_and(|d| d.needs_machine_list(asked));
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

    /// Reads a topic up to the end that it had when the first page was read, because the store answers in pages.
    ///
    /// `next` is the offset to read from, and `read` reads a page and returns the end of the topic.
    pub(super) async fn catch_up(
        &self,
        next: impl Fn(&State) -> Option<u64>,
        read: impl AsyncFn(u64) -> Result<u64, StoreError>,
    ) -> Result<(), StoreError> {
        let mut goal = None;
        loop {
            let from = next(&self.state.borrow()).ok_or(StoreError::Unknown)?;
            if goal.is_some_and(|goal| from >= goal) {
                return Ok(());
            }
            let end = read(from).await?;
            // A page without the record to read next would be asked for again for ever.
            if next(&self.state.borrow()) == Some(from) && from < end {
                return Err(StoreError::Unknown);
            }
            goal.get_or_insert(end);
        }
    }

    /// Reads the workers that the directory lists now.
    pub(super) async fn read_directory(&self) -> Result<Vec<WorkerRecord>, StoreError> {
        let page = self.platform.store().newest(Topic::Directory).await?;
        let entries = page.entries.iter().filter(|(_, entry)| !entry.value.is_empty());
        Ok(entries.filter_map(|(_, entry)| self.platform.worker_record(entry).ok()).collect())
    }
}

/// Wait of the next read. After a failure it is none, so that the store's return is noticed within the time limit alone.
pub(super) const fn wait_after<T>(read: &Result<T, StoreError>, wait: Duration) -> Duration {
    if read.is_ok() { wait } else { Duration::ZERO }
}
