//! Loop of the owner: runs the decisions, stores their writes and carries out their commands.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::{Node, unix_ms};
use crate::dispatch::command::Command;
use crate::dispatch::event::Outcome;
use crate::dispatch::{Counters, Dispatcher, Write};
use crate::ports::{Fence, Machines, Platform, Store, StoreError, Topic, Upstreams};
use crate::record::{Entry, canceled, fitting};

/// Longest time between two runs of the systems.
const TICK: Duration = Duration::from_millis(50);
/// Least time between two runs, so that events are taken together.
const PACE: Duration = Duration::from_millis(5);
/// Least time between two writes, so that changes are stored together.
const WRITE_GAP: Duration = Duration::from_millis(12);
/// Age of the owner's view of the intake above which it starts nothing, because the job may have been cancelled. Below the
/// time in which a cancellation is to take effect.
const BEHIND: Duration = Duration::from_secs(2);
/// Time for which an owner that reaches the group and can't read the intake keeps the work.
const BLIND: Duration = Duration::from_secs(3);
/// Time since the last answer of the group up to which the owner is in touch with it.
const IN_TOUCH: Duration = Duration::from_secs(1);
/// Time between two tries to store a write.
const RETRY: Duration = Duration::from_millis(50);

impl<P: Platform> Node<P> {
    /// Runs the owner's decisions.
    pub(super) async fn own_work(self: Rc<Self>) {
        let mut writing: Option<tokio::task::JoinHandle<()>> = None;
        let mut counted = (0, Counters::default());
        let mut blind = None;
        loop {
            // A missed notification is made up for by the next tick.
            let _ = timeout(TICK, self.work.notified()).await;
            let now = self.now();
            let idle = writing.as_ref().is_none_or(tokio::task::JoinHandle::is_finished);
            let (commands, write, dropped, lost) = {
                let mut state = self.state.borrow_mut();
                let Some(dispatcher) = state.dispatcher() else { continue };
                dispatcher.set_unix(now, unix_ms());
                dispatcher.tick(now);
                if counted.0 != dispatcher.epoch() {
                    counted = (dispatcher.epoch(), Counters::default());
                }
                self.handle.meters.decided(&counted.1, &dispatcher.counters);
                counted.1 = dispatcher.counters;
                dispatcher.take_lateness().into_iter().for_each(|late_ms| self.handle.meters.ended(late_ms));
                let write = if idle { dispatcher.take_write(now) } else { None };
                let dropped = dispatcher.take_dropped();
                (dispatcher.take_commands(), write, dropped, dispatcher.fenced_out())
            };
            if lost {
                self.step_down("a worker or the store knows a newer owner");
                continue;
            }
            if self.is_blind(&mut blind) {
                self.step_down("the intake cannot be read");
                continue;
            }
            if let Some(write) = write {
                writing = Some(spawn_local(Rc::clone(&self).store_write(write)));
            }
            if !dropped.is_empty() {
                spawn_local(Rc::clone(&self).drop_intake(dropped));
            }
            for command in commands {
                spawn_local(Rc::clone(&self).carry_out(command));
            }
            sleep(PACE).await;
        }
    }

    /// True if this node has been unable to read the intake for some time, although it reaches the group.
    fn is_blind(&self, since: &mut Option<Instant>) -> bool {
        let state = self.state.borrow();
        let in_touch = state.joined.is_some_and(|at| at.elapsed() < IN_TOUCH);
        if !in_touch || state.intake.age(Instant::now()) <= BEHIND {
            *since = None;
            return false;
        }
        since.get_or_insert_with(Instant::now).elapsed() > BLIND
    }

    /// Epoch of this node's ownership.
    pub(super) fn epoch(&self) -> Option<u64> {
        self.state.borrow_mut().dispatcher().map(|dispatcher| dispatcher.epoch())
    }

    /// Stores a write under the epoch, in several appends if it is large. A successor that reads a part of it sees jobs
    /// whose starts were not sent and whose ends were not acknowledged.
    async fn store_write(self: Rc<Self>, write: Write) {
        let Some(epoch) = self.epoch() else { return };
        let mut rest = write.entries.as_slice();
        while !rest.is_empty() {
            let (part, later) = rest.split_at(fitting(rest, self.options.append_bytes));
            if !self.store_part(epoch, part).await {
                return;
            }
            rest = later;
        }
        self.note_stored(epoch, &write);
        sleep(WRITE_GAP).await;
    }

    /// Appends a part of a write. False if this node no longer owns the work.
    async fn store_part(&self, epoch: u64, entries: &[Entry]) -> bool {
        let sequence = self.state.borrow().sequence;
        let fence = Fence { epoch, sequence };
        self.append_fenced(Topic::Progress, entries, fence).await && self.advance(epoch, sequence)
    }

    /// Appends records as the owner, and repeats that until the store has answered. False if this node no longer owns
    /// the work.
    pub(super) async fn append_fenced(&self, topic: Topic, entries: &[Entry], fence: Fence) -> bool {
        loop {
            if self.epoch() != Some(fence.epoch) {
                return false;
            }
            let begun = Instant::now();
            match self.platform.store().append(topic, entries, Some(fence), None).await {
                Ok(_) => {
                    self.handle.meters.stored(begun.elapsed());
                    return true;
                }
                Err(StoreError::SequenceMismatch(expected)) if expected == fence.sequence + 1 => return true,
                Err(StoreError::Fenced | StoreError::SequenceMismatch(_)) => {
                    self.step_down("the store knows a newer owner");
                    return false;
                }
                Err(error) => {
                    self.handle.meters.retried("write_not_stored");
                    log::warn!(
                        error:% = error, topic:? = topic, sequence = fence.sequence;
                        "a write is not stored yet"
                    );
                    sleep(RETRY).await;
                }
            }
        }
    }

    /// Notes that an append was stored. False if this node no longer owns the work.
    fn advance(&self, epoch: u64, sequence: u64) -> bool {
        let owns = self.epoch() == Some(epoch);
        if owns {
            self.state.borrow_mut().sequence = sequence + 1;
        }
        owns
    }

    fn note_stored(&self, epoch: u64, write: &Write) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        if let Some(dispatcher) = state.dispatcher().filter(|d| d.epoch() == epoch) {
            dispatcher.stored(now, write);
            state.unpublished.extend(write.jobs());
        }
        self.work.notify_one();
    }

    /// Drops the records of jobs that ended long ago.
    async fn drop_intake(self: Rc<Self>, jobs: Vec<crate::ids::JobId>) {
        self.state.borrow_mut().unpublished.extend(&jobs);
        let empty = |key: String| Entry { key, value: Vec::new() };
        let entries: Vec<Entry> =
            jobs.iter().flat_map(|id| [empty(format!("s{id}")), empty(canceled(*id).key)]).collect();
        let mut rest = entries.as_slice();
        while !rest.is_empty() {
            let (part, later) = rest.split_at(fitting(rest, self.options.append_bytes));
            if let Err(error) = self.platform.store().append(Topic::Intake, part, None, None).await {
                // The records stay until the next owner drops them.
                log::warn!(error:% = error, records = rest.len(); "records of ended jobs were not dropped");
                return;
            }
            rest = later;
        }
    }

    /// Tells the decisions about an event, if this node still owns the work under the same epoch.
    fn tell(&self, epoch: u64, event: impl FnOnce(&mut Dispatcher, u64)) {
        let now = self.now();
        if let Some(dispatcher) = self.state.borrow_mut().dispatcher().filter(|d| d.epoch() == epoch) {
            event(dispatcher, now);
            self.work.notify_one();
        }
    }

    async fn carry_out(self: Rc<Self>, command: Command) {
        let Some(epoch) = self.epoch() else { return };
        let workers = self.platform.upstreams();
        match command {
            Command::Poll(poll) => {
                let answer = workers.poll(&poll).await;
                self.tell(epoch, |d, now| d.polled(now, &poll.target.worker, answer));
            }
            Command::Start(start) => {
                let behind = self.state.borrow().intake.age(Instant::now()) > BEHIND;
                let outcome = if behind { Outcome::Deferred } else { workers.start(&start).await };
                self.tell(epoch, |d, now| {
                    d.started(now, &start.target.worker, start.task, start.run, outcome);
                });
            }
            Command::Stop(stop) => {
                let outcome = workers.stop(&stop).await;
                self.tell(epoch, |d, now| {
                    d.stopped(now, &stop.target.worker, stop.task, stop.run, outcome);
                });
            }
            Command::Throttle(throttle) => {
                let outcome = workers.throttle(&throttle).await;
                log::info!(
                    task:% = throttle.task, percent = throttle.percent, worker = throttle.target.worker.as_str(),
                    outcome:? = outcome;
                    "the pace of a run changed"
                );
            }
            Command::AskPolicy(step, names) => match workers.advise(&step, &names).await {
                Some(tickets) => self.tell(epoch, |d, now| {
                    d.policy_answered(now, &step, tickets.valid_ms, tickets.permitted);
                }),
                None => self.tell(epoch, |d, _| d.policy_unanswered(&step)),
            },
            Command::Move(machine, pool) => {
                let outcome = self.platform.machines().move_to(&machine, &pool, epoch).await;
                self.tell(epoch, |d, now| d.machine_ordered(now, &machine, outcome));
            }
            Command::Maintain(machine, wave) => {
                let outcome = self.platform.machines().maintain(&machine, wave, epoch).await;
                self.tell(epoch, |d, now| d.machine_ordered(now, &machine, outcome));
            }
            Command::Publish(wave, complete) => {
                let entry = self.platform.wave_report(wave, complete);
                let stored = self.platform.store().append(Topic::Reports, &[entry], None, None).await;
                self.tell(epoch, |d, _| d.published(wave, complete, stored.is_ok()));
            }
        }
    }
}
