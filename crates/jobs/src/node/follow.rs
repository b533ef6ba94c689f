//! Readers of the operator topic, the worker directory and the list of machines.
//!
//! Each topic is loaded once as the newest record of each key and followed from there. If the records to read next are
//! no longer retained, it is loaded again.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::Node;
use super::state::{Cursor, State, page_as_of};
use crate::dispatch::event::{WaveRecord, WorkerRecord};
use crate::ports::{Instruction, InvalidRecord, Machines, Page, Platform, Store, StoreError, Topic};
use crate::record::Entry;

/// Time for which a read waits for a record. An unresponsive store is detected after this time.
pub(super) const READ_WAIT: Duration = Duration::from_millis(700);
/// Time for which a read of the operator topic waits. Shorter than the time within which a change must be in force.
const OPERATOR_READ_WAIT: Duration = Duration::from_millis(900);
/// Delay between two attempts after a failure.
pub(super) const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Interval between two checks whether the scheduler needs the list of machines.
const MACHINES_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl<P: Platform> Node<P> {
    /// Loads and follows the operator topic.
    pub(super) async fn follow_operator(self: Rc<Self>) {
        let mut wait = OPERATOR_READ_WAIT;
        loop {
            let (next, fresh) = {
                let state = self.state.borrow();
                (state.operator.next, state.operator.as_of.is_some())
            };
            // The first read after a load proves that the view is complete, so it does not wait for a record.
            let waited = if fresh { wait } else { Duration::ZERO };
            let asked = Instant::now();
            let page = match next {
                None => self.platform.store().newest(Topic::Operator).await,
                Some(from) => self.platform.store().read(Topic::Operator, from, waited).await,
            };
            wait = next_wait(&page, OPERATOR_READ_WAIT);
            match page {
                Ok(page) => {
                    let as_of = next.and_then(|from| page_as_of(asked, waited, from, &page));
                    self.apply_instructions(&page, next.is_none(), as_of);
                }
                Err(StoreError::Gone(_)) => self.state.borrow_mut().operator = Cursor::default(),
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    fn apply_instructions(&self, page: &Page, initial: bool, as_of: Option<Instant>) {
        let mut state = self.state.borrow_mut();
        let mut former = BTreeMap::new();
        if initial {
            state.evacuated.clear();
            former = std::mem::take(&mut state.waves);
        }
        for (offset, entry) in &page.entries {
            if state.operator.next.is_none_or(|next| *offset >= next) || initial {
                self.apply_instruction(&mut state, *offset, entry, &former);
            }
        }
        // A load shows only the newest record, so a wave may have been removed between two of its records.
        for (number, wave) in former {
            if let Some(loaded) = state.waves.get_mut(&number).filter(|loaded| loaded.offset == wave.offset) {
                loaded.since = wave.since;
            }
        }
        state.operator.advance(page, as_of);
        let (catalog, zones) = (state.catalog.clone(), state.evacuated.clone());
        let (waves, read_to) = (state.waves.clone(), state.operator.next.unwrap_or(0));
        if let (Some(dispatcher), Some(catalog)) = (state.dispatcher(), catalog) {
            dispatcher.set_catalog(catalog);
            dispatcher.set_evacuated(zones);
            dispatcher.set_waves(self.now(), &waves, read_to);
            self.owner_wakeup.notify_one();
        }
    }

    /// Applies an operator's record. A wave of `former`, whose newest record can't be decoded, stays in force.
    fn apply_instruction(
        &self,
        state: &mut State,
        offset: u64,
        entry: &Entry,
        former: &BTreeMap<u64, WaveRecord>,
    ) {
        match self.platform.instruction(entry) {
            Ok(Some(Instruction::Configure(catalog))) => {
                if state.catalog.as_ref().is_some_and(|old| old.version >= catalog.version) {
                    return;
                }
                log::info!(version = catalog.version, queues = catalog.queues.len(); "the configuration is in force");
                state.catalog = Some(Arc::new(*catalog));
            }
            Ok(Some(Instruction::Evacuate(zone, true))) => {
                log::info!(zone = zone.as_str(); "the availability zone is evacuated, no tasks start in it");
                state.evacuated.insert(zone);
            }
            Ok(Some(Instruction::Evacuate(zone, false))) => {
                log::info!(zone = zone.as_str(); "tasks may start in the availability zone again");
                state.evacuated.remove(&zone);
            }
            Ok(Some(Instruction::Maintain(wave))) => {
                state.wave_keys.insert(entry.key.clone(), wave.number);
                state.set_wave(offset, wave);
            }
            Ok(Some(Instruction::EndWave(number))) => state.remove_wave(offset, number),
            Ok(None) => {}
            Err(invalid) => {
                log::warn!(key = invalid.key.as_str(), why = invalid.reason.as_str(); "an operator record cannot be decoded");
                let kept = state.wave_keys.get(&entry.key).and_then(|number| former.get(number)).cloned();
                state.waves.extend(kept.map(|record| (record.plan.number, record)));
            }
        }
    }

    /// Loads and follows the worker directory while this node is the owner.
    pub(super) async fn follow_directory(self: Rc<Self>) {
        let mut next = None;
        let mut epoch = 0;
        loop {
            let current = self.state.borrow_mut().dispatcher().map(|d| d.epoch());
            let Some(current) = current else {
                next = None;
                sleep(RETRY_DELAY).await;
                continue;
            };
            if current != epoch {
                epoch = current;
                next = None;
            }
            let page = match next {
                None => self.platform.store().newest(Topic::Directory).await,
                Some(from) => self.platform.store().read(Topic::Directory, from, READ_WAIT).await,
            };
            match page {
                Ok(page) => {
                    self.apply_worker_records(epoch, &page, next.is_none());
                    next = Some(page.next);
                    sleep(self.options.directory_interval).await;
                }
                Err(StoreError::Gone(_)) => next = None,
                Err(_) => sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Applies a page that was requested in an epoch, if this node is still the owner in it.
    fn apply_worker_records(&self, epoch: u64, page: &Page, initial: bool) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(dispatcher) = state.dispatcher().filter(|d| d.epoch() == epoch) else { return };
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
                Err(invalid) => {
                    log_invalid(&invalid);
                    dispatcher.unlist_worker(&entry.key);
                }
            }
        }
        if initial {
            let gone: Vec<String> = dispatcher
                .workers()
                .map(|worker| worker.record.worker.clone())
                .filter(|id| !present.contains(id))
                .collect();
            gone.iter().for_each(|id| dispatcher.unlist_worker(id));
        }
        self.owner_wakeup.notify_one();
    }

    /// Reads the list of machines while this node is the owner and the scheduler needs it.
    pub(super) async fn follow_machines(self: Rc<Self>) {
        loop {
            let asked = self.now();
            let wanted = {
                let mut state = self.state.borrow_mut();
                state.dispatcher().filter(|d| d.needs_machine_list(asked)).map(|d| d.epoch())
            };
            if let Some(epoch) = wanted
                && let Some(machines) = self.platform.machines().list().await
            {
                self.notify_dispatcher(epoch, |d, now| d.set_machines(now, asked, machines));
            }
            sleep(MACHINES_CHECK_INTERVAL).await;
        }
    }

    /// Reads a topic page by page up to the end that it had when the first page was read.
    ///
    /// `next` is the offset to read from, and `read` reads a page and returns the end of the topic.
    pub(super) async fn catch_up(
        &self,
        next: impl Fn(&State) -> Option<u64>,
        read: impl AsyncFn(u64) -> Result<u64, StoreError>,
    ) -> Result<(), StoreError> {
        let mut target = None;
        loop {
            let from = next(&self.state.borrow()).ok_or(StoreError::Unknown)?;
            if target.is_some_and(|target| from >= target) {
                return Ok(());
            }
            let end = read(from).await?;
            // A page that does not contain the next record would be requested endlessly.
            if next(&self.state.borrow()) == Some(from) && from < end {
                return Err(StoreError::Unknown);
            }
            target.get_or_insert(end);
        }
    }

    /// Reads the current records of the worker directory.
    pub(super) async fn read_directory(&self) -> Result<Vec<WorkerRecord>, StoreError> {
        let page = self.platform.store().newest(Topic::Directory).await?;
        let entries = page.entries.iter().filter(|(_, entry)| !entry.value.is_empty());
        let record = |entry| self.platform.worker_record(entry).inspect_err(log_invalid).ok();
        Ok(entries.filter_map(|(_, entry)| record(entry)).collect())
    }
}

/// Logs a record of another writer among those of the workers. It is passed over.
fn log_invalid(invalid: &InvalidRecord) {
    log::warn!(key = invalid.key.as_str(), why = invalid.reason.as_str(); "a record of the worker directory cannot be decoded");
}

/// Wait of the next read. Zero after a failure, so that the recovery of the store is detected within the time limit of a
/// read.
pub(super) const fn next_wait<T>(read: &Result<T, StoreError>, wait: Duration) -> Duration {
    if read.is_ok() { wait } else { Duration::ZERO }
}
