//! Owner loop: runs the scheduler, stores its writes and executes its commands.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::load::OwnerLoad;
use super::repeats::call_repeated;
use super::state::OpenWrite;
use super::{Node, unix_ms};
use crate::dispatch::command::Command;
use crate::dispatch::event::Outcome;
use crate::dispatch::{Counters, Dispatcher, Write};
use crate::ids::JobId;
use crate::ports::{Fence, Machines, Platform, Store, StoreError, Topic, Upstreams};
use crate::record::{Entry, count_fitting, dropped_cancellation, dropped_submission, next_epoch};

/// Maximum interval between two ticks of the scheduler.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum interval between two ticks, so that events are processed in batches.
const MIN_TICK_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum time from the end of a write to the next one, so that changes are stored in batches.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(12);
/// Maximum number of writes under way. The store answers repeats of the last five appends. More would wait for each other
/// in a slow store, with the repeats of their appends.
const MAX_OPEN_WRITES: u32 = 2;
/// Minimum time from the begin of a write to the next one while it is under way.
const MIN_OPEN_INTERVAL: Duration = Duration::from_millis(60);
/// Delay of an append that reached the store before the one that it follows.
const PREDECESSOR_DELAY: Duration = Duration::from_millis(30);
/// Age of the owner's view of the intake from which it starts no tasks, because their jobs may have been cancelled.
/// Shorter than the time within which a cancellation must take effect.
const MAX_INTAKE_AGE: Duration = Duration::from_secs(2);
/// Time after which an owner that reaches the group but cannot read the intake steps down.
const INTAKE_OUTAGE_LIMIT: Duration = Duration::from_secs(3);
/// Maximum time since the last join of the group for which it counts as reachable.
const GROUP_CONTACT_LIMIT: Duration = Duration::from_secs(1);
/// Delay between two attempts to store a write.
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl<P: Platform> Node<P> {
    /// Runs the scheduler while this node is the owner.
    pub(super) async fn run_owner(self: Rc<Self>) {
        let mut counted = (0, Counters::default());
        let mut load = OwnerLoad::new(Counters::default());
        let mut outage_since = None;
        loop {
            // A timeout is the regular tick.
            let _ = timeout(TICK_INTERVAL, self.owner_wakeup.notified()).await;
            let now = self.now();
            let begun = Instant::now();
            let may_write = self.may_write();
            let (commands, write, dropped, cancellations, fenced) = {
                let mut state = self.state.borrow_mut();
                let Some(dispatcher) = state.dispatcher() else { continue };
                dispatcher.set_unix(now, unix_ms());
                dispatcher.tick(now);
                if counted.0 != dispatcher.epoch() {
                    counted = (dispatcher.epoch(), Counters::default());
                    load = OwnerLoad::new(Counters::default());
                }
                self.handle.meters.decided(&counted.1, &dispatcher.counters);
                counted.1 = dispatcher.counters;
                dispatcher.take_lateness().into_iter().for_each(|late_ms| self.handle.meters.ended(late_ms));
                let write = if may_write { dispatcher.take_write(now) } else { None };
                let dropped = dispatcher.take_dropped();
                let cancellations = dispatcher.take_dropped_cancellations();
                let started = dispatcher.take_started();
                let fenced = dispatcher.fenced_out();
                let decided = (dispatcher.take_commands(), write, dropped, cancellations, fenced);
                state.unpublished.extend(started);
                decided
            };
            load.add(begun, write.as_ref(), commands.len());
            if load.log(counted.1) {
                self.record_gauges();
            }
            if fenced {
                self.step_down("a worker or the store knows a newer owner");
                continue;
            }
            if self.intake_outage_exceeded(&mut outage_since) {
                self.step_down("the intake cannot be read");
                continue;
            }
            if let Some(write) = write {
                self.begin_write(write);
            }
            if !dropped.is_empty() {
                self.run_once("delete_intake", Rc::clone(&self).delete_intake(dropped));
            }
            if !cancellations.is_empty() {
                self.run_once("delete_cancellations", Rc::clone(&self).delete_cancellations(cancellations));
            }
            for command in commands {
                self.run_once("execute", Rc::clone(&self).execute(command));
            }
            sleep(MIN_TICK_INTERVAL).await;
        }
    }

    /// True if this node reaches the group but has not been able to read the intake for [`INTAKE_OUTAGE_LIMIT`].
    fn intake_outage_exceeded(&self, since: &mut Option<Instant>) -> bool {
        let state = self.state.borrow();
        let in_touch = state.last_join.is_some_and(|at| at.elapsed() < GROUP_CONTACT_LIMIT);
        if !in_touch || state.intake.age(Instant::now()) <= MAX_INTAKE_AGE {
            *since = None;
            return false;
        }
        since.get_or_insert_with(Instant::now).elapsed() > INTAKE_OUTAGE_LIMIT
    }

    /// Records the owner's tables in the metrics.
    fn record_gauges(&self) {
        if let Some(dispatcher) = self.state.borrow_mut().dispatcher() {
            let (tasks, budget) = dispatcher.begun_tasks();
            self.handle.meters.begun(tasks, budget);
            let (held, budget) = dispatcher.accepted_bytes();
            self.handle.meters.accepted(held, budget);
            self.handle.meters.interference(dispatcher.interference());
        }
    }

    /// Epoch of this node's ownership; none if it is not the owner.
    pub(super) fn epoch(&self) -> Option<u64> {
        self.state.borrow_mut().dispatcher().map(|dispatcher| dispatcher.epoch())
    }

    /// True if the next write may begin. While one is under way, others follow at the pace at which the store answers, so
    /// that a change does not wait for the answers to earlier ones.
    fn may_write(&self) -> bool {
        let state = self.state.borrow();
        let Some(last) = state.open_writes.back() else {
            return state.write_stored.is_none_or(|at| at.elapsed() >= MIN_WRITE_INTERVAL);
        };
        let interval = (self.write_times.get().smoothed() / MAX_OPEN_WRITES).max(MIN_OPEN_INTERVAL);
        // Another write is of no use to a store that takes none, and would wait for all appends of a large one.
        !state.write_failed
            && last.first == last.last
            && state.open_writes.len() < MAX_OPEN_WRITES as usize
            && last.begun.elapsed() >= interval
    }

    /// Begins to store a write under the current epoch, in several appends if it is large. Starts are sent and ends
    /// acknowledged only after the whole write and those before it are stored, so a successor may read a part of it.
    fn begin_write(self: &Rc<Self>, write: Write) {
        let Some(epoch) = self.epoch() else { return };
        let write = Rc::new(write);
        let mut parts = 0;
        let mut rest = write.entries.as_slice();
        while !rest.is_empty() {
            rest = &rest[count_fitting(rest, self.options.append_bytes)..];
            parts += 1;
        }
        let first = {
            let mut state = self.state.borrow_mut();
            let first = state.sequence;
            state.sequence += parts;
            let last = state.sequence - 1;
            let open = OpenWrite { write: Rc::clone(&write), first, last, begun: Instant::now() };
            state.open_writes.push_back(open);
            first
        };
        if parts == 0 {
            self.confirm_writes(epoch);
        } else {
            self.run_once(
                "store_write",
                Rc::clone(self).store_write(write, Fence { epoch, sequence: first }),
            );
        }
    }

    /// Appends the parts of a write, the first one with the given fence.
    async fn store_write(self: Rc<Self>, write: Rc<Write>, mut fence: Fence) {
        let mut rest = write.entries.as_slice();
        while !rest.is_empty() {
            let (part, later) = rest.split_at(count_fitting(rest, self.options.append_bytes));
            let stored = tokio::select! {
                stored = self.append_fenced(Topic::Progress, part, fence) => stored,
                () = self.progress_stored(fence) => true,
            };
            if !stored || !self.advance_stored(fence) {
                return;
            }
            fence.sequence += 1;
            rest = later;
        }
    }

    /// Waits until an append is known to be stored by the answer to a later one: the store takes them in order.
    async fn progress_stored(&self, fence: Fence) {
        loop {
            let stored = self.progress_stored.notified();
            if self.epoch() != Some(fence.epoch) || self.state.borrow().stored_sequence >= fence.sequence {
                return;
            }
            stored.await;
        }
    }

    /// Records that an append is stored, and so are those before it. False if this node is no longer the owner.
    fn advance_stored(&self, fence: Fence) -> bool {
        if self.epoch() != Some(fence.epoch) {
            return false;
        }
        {
            let mut state = self.state.borrow_mut();
            state.stored_sequence = state.stored_sequence.max(fence.sequence);
            state.write_failed = false;
        }
        self.confirm_writes(fence.epoch);
        self.progress_stored.notify_waiters();
        true
    }

    /// Appends records as the owner, and retries until the store has answered. False if this node is no longer the owner.
    pub(super) async fn append_fenced(&self, topic: Topic, entries: &[Entry], fence: Fence) -> bool {
        loop {
            if self.epoch() != Some(fence.epoch) {
                return false;
            }
            let begun = Instant::now();
            let known = self.state.borrow().stored_sequence;
            // The store carries out an append with a fence once, so it may be repeated while its answer is missing.
            let append = async || self.platform.store().append(topic, entries, Some(fence), None).await;
            let answered = call_repeated(&self.write_times, append).await;
            (0..answered.repeats).for_each(|_| self.handle.meters.retried("write_answer_late"));
            match answered.result {
                Ok(_) => {
                    self.handle.meters.stored(begun.elapsed());
                    return true;
                }
                Err(StoreError::SequenceMismatch(expected)) if expected == fence.sequence + 1 => return true,
                // A later append is stored, so this one is.
                Err(StoreError::SequenceMismatch(expected))
                    if topic == Topic::Progress
                        && (fence.sequence + 1..=self.state.borrow().sequence).contains(&expected) =>
                {
                    return true;
                }
                // An earlier append is under way.
                Err(StoreError::SequenceMismatch(expected))
                    if topic == Topic::Progress && (known + 1..fence.sequence).contains(&expected) =>
                {
                    sleep(PREDECESSOR_DELAY).await;
                }
                Err(StoreError::Fenced | StoreError::SequenceMismatch(_)) => {
                    self.step_down("the store knows a newer owner");
                    return false;
                }
                Err(error) => {
                    self.handle.meters.retried("write_not_stored");
                    self.state.borrow_mut().write_failed |= topic == Topic::Progress;
                    let largest = entries.iter().max_by_key(|entry| entry.size());
                    log::warn!(
                        error:% = error, topic:? = topic, sequence = fence.sequence, records = entries.len(),
                        bytes = entries.iter().map(Entry::size).sum::<usize>(),
                        largest = largest.map_or("", |entry| entry.key.as_str()),
                        largest_bytes = largest.map_or(0, Entry::size);
                        "a write could not be stored and is retried"
                    );
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Passes the writes that are stored to the scheduler, oldest first.
    fn confirm_writes(&self, epoch: u64) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        while let Some(open) = state.pop_stored() {
            if let Some(dispatcher) = state.dispatcher().filter(|d| d.epoch() == epoch) {
                dispatcher.stored(now, &open.write);
                state.unpublished.extend(open.write.jobs());
            }
            state.write_stored = Some(Instant::now());
        }
        self.owner_wakeup.notify_one();
    }

    /// Deletes the intake records of ended jobs whose retention period is over.
    async fn delete_intake(self: Rc<Self>, jobs: Vec<JobId>) {
        let Some(epoch) = self.epoch() else { return };
        self.state.borrow_mut().unpublished.extend(&jobs);
        let records = |id: &JobId| [dropped_submission(*id), dropped_cancellation(*id)];
        let deleted = self.append_deletions(&jobs.iter().flat_map(records).collect::<Vec<_>>()).await;
        self.notify_dispatcher(epoch, |d, _| d.intake_deleted(jobs, deleted));
    }

    /// Deletes the cancellations of jobs that were never stored. A submission that arrives meanwhile stays.
    async fn delete_cancellations(self: Rc<Self>, ids: Vec<JobId>) {
        let Some(epoch) = self.epoch() else { return };
        let records: Vec<Entry> = ids.iter().map(|id| dropped_cancellation(*id)).collect();
        if !self.append_deletions(&records).await {
            self.notify_dispatcher(epoch, |d, _| d.cancellations_kept(ids));
        }
    }

    /// Appends records to the intake that delete others. False if not all of them are certain to be stored.
    async fn append_deletions(&self, records: &[Entry]) -> bool {
        let mut rest = records;
        while !rest.is_empty() {
            let (part, later) = rest.split_at(count_fitting(rest, self.options.append_bytes));
            if let Err(error) = self.platform.store().append(Topic::Intake, part, None, None).await {
                log::warn!(error:% = error, records = rest.len(); "records of the intake could not be deleted");
                return false;
            }
            rest = later;
        }
        true
    }

    /// Passes an event to the scheduler if this node is still the owner in the same epoch.
    pub(super) fn notify_dispatcher(&self, epoch: u64, event: impl FnOnce(&mut Dispatcher, u64)) {
        let now = self.now();
        if let Some(dispatcher) = self.state.borrow_mut().dispatcher().filter(|d| d.epoch() == epoch) {
            event(dispatcher, now);
            self.owner_wakeup.notify_one();
        }
    }

    async fn execute(self: Rc<Self>, command: Command) {
        let Some(epoch) = self.epoch() else { return };
        let workers = self.platform.upstreams();
        match command {
            Command::Poll(poll) => {
                let answer = workers.poll(&poll).await;
                self.notify_dispatcher(epoch, |d, now| d.poll_answered(now, &poll, answer));
            }
            Command::Start(start) => {
                let stale = self.state.borrow().intake.age(Instant::now()) > MAX_INTAKE_AGE;
                let outcome = if stale { Outcome::Deferred } else { workers.start(&start).await };
                self.notify_dispatcher(epoch, |d, now| {
                    d.started(now, &start, outcome);
                });
            }
            Command::Stop(stop) => {
                let outcome = workers.stop(&stop).await;
                self.notify_dispatcher(epoch, |d, now| {
                    d.stopped(now, &stop, outcome);
                });
            }
            Command::Throttle(throttle) => {
                let outcome = workers.throttle(&throttle).await;
                log::info!(
                    task:% = throttle.task, percent = throttle.percent, worker = throttle.target.worker.as_str(),
                    outcome:? = outcome;
                    "the CPU share of a run was changed"
                );
                self.notify_dispatcher(epoch, |d, _| {
                    d.throttled(&throttle, outcome);
                });
            }
            Command::AskPolicy(request) => match workers.advise(&request).await {
                Some(tickets) => self.notify_dispatcher(epoch, |d, now| {
                    d.policy_answered(now, request.step, tickets.valid_ms, tickets.permitted);
                }),
                None => self.notify_dispatcher(epoch, |d, now| d.policy_unanswered(now, request.step)),
            },
            Command::Move(order, pool) => {
                let outcome = self.platform.machines().move_to(&order.machine, &pool, epoch).await;
                self.notify_dispatcher(epoch, |d, now| d.machine_ordered(now, &order, outcome));
            }
            Command::Maintain(order, wave) => {
                let outcome = self.platform.machines().maintain(&order.machine, wave, epoch).await;
                self.notify_dispatcher(epoch, |d, now| d.machine_ordered(now, &order, outcome));
            }
            Command::Publish(wave, complete) => {
                let stored = self.publish_report(epoch, &self.platform.wave_report(wave, complete)).await;
                self.notify_dispatcher(epoch, |d, _| d.published(wave, complete, stored));
            }
        }
    }

    /// Appends a report under a fencing token of its own. The store refuses it once a later one, of this owner or of a newer one,
    /// is stored. True if it is stored.
    async fn publish_report(&self, epoch: u64, report: &Entry) -> bool {
        let token = {
            let mut state = self.state.borrow_mut();
            state.report_token = state.report_token.max(epoch) + 1;
            state.report_token
        };
        if token >= next_epoch(epoch) {
            self.step_down("all fencing tokens for reports are used up");
            return false;
        }
        let fence = Fence { epoch: token, sequence: 0 };
        let appended = self
            .platform
            .store()
            .append(Topic::Reports, std::slice::from_ref(report), Some(fence), None)
            .await;
        if let Err(error) = appended {
            log::warn!(error:% = error, key = report.key.as_str(), token = token; "a report could not be stored");
        }
        appended.is_ok()
    }
}
