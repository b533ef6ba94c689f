//! Choice of the worker for a task.

use std::cmp::Reverse;

use super::super::interference::{Harmful, Search};
use super::room::Rooms;
use crate::catalog::Policy;
use crate::dispatch::Dispatcher;
use crate::dispatch::worker::{Worker, WorkerKey};
use crate::ids::TaskId;
use crate::spec::{Resources, Step};

/// Result of the search for a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in super::super) enum Choice {
    /// The best worker.
    Worker(WorkerKey),
    /// No worker has enough free resources.
    NoRoom,
    /// The task may not run now, or not on the workers with enough free resources.
    Blocked,
}

/// Whether a task may be placed on a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fit {
    /// It may.
    Fits,
    /// The worker has not enough free resources.
    NoRoom,
    /// The worker has enough free resources, but another condition is not met.
    Blocked,
}

impl Dispatcher {
    /// Best worker for a task: near its data or the other tasks of its step, then the one with the least free
    /// processor, so that other workers become idle.
    pub(in super::super) fn choose(
        &mut self,
        now: u64,
        rooms: &mut Rooms,
        policy: Option<Policy>,
        step: &Step,
        task: TaskId,
    ) -> Choice {
        if !self.within_limit(task, step.need) {
            return Choice::Blocked;
        }
        let sibling = if step.compact { self.sibling_rack(task) } else { None };
        let racks = [step.data_rack.as_deref(), sibling.as_deref()];
        let harmful = self.harmful_neighbours(step);
        if let Some(policy) = policy {
            let choice = self.choose_permitted(now, rooms, racks, step, task, &harmful);
            if choice == Choice::Blocked {
                self.request_tickets(now, rooms, policy, step, task);
            }
            return choice;
        }
        if step.long_running {
            return self.choose_packed(rooms, racks, step, task, &harmful);
        }
        let mut blocked = false;
        for rack in racks.into_iter().flatten().map(Some).chain([None]) {
            match self.choose_first(rooms, rack, step, task, &harmful) {
                Choice::Worker(key) => return Choice::Worker(key),
                Choice::Blocked => blocked = true,
                Choice::NoRoom => {}
            }
        }
        if blocked { Choice::Blocked } else { Choice::NoRoom }
    }

    /// First worker in the order of the index, of one rack or of all.
    fn choose_first(
        &mut self,
        rooms: &mut Rooms,
        rack: Option<&str>,
        step: &Step,
        task: TaskId,
        harmful: &Harmful,
    ) -> Choice {
        let mut blocked = false;
        let mut examined = 0;
        let label = rack.or(step.label.as_deref());
        let mut search = Search::new(harmful, &self.interference);
        for key in rooms.candidates(&self.workers, label, step.reserved().cpu) {
            examined += 1;
            let Some(worker) = self.workers.get(key) else { continue };
            if rack.is_some() && worker.rack() != rack {
                continue;
            }
            match fit(step, worker, task) {
                Fit::Fits => {
                    if search.offer(key, worker) {
                        break;
                    }
                }
                Fit::Blocked => blocked = true,
                Fit::NoRoom => {}
            }
        }
        self.counters.examined += examined;
        match search.finish(&mut self.counters, &mut self.interference) {
            Some(key) => Choice::Worker(key),
            None if blocked => Choice::Blocked,
            None => Choice::NoRoom,
        }
    }

    /// Best worker for a long-running task. These are concentrated on few workers, so that the others can be
    /// emptied and parked. They start rarely, so all workers are examined.
    fn choose_packed(
        &mut self,
        rooms: &mut Rooms,
        [data, sibling]: [Option<&str>; 2],
        step: &Step,
        task: TaskId,
        harmful: &Harmful,
    ) -> Choice {
        let mut blocked = false;
        let mut best = None;
        for key in rooms.candidates(&self.workers, step.label.as_deref(), step.reserved().cpu) {
            self.counters.examined += 1;
            let Some(worker) = self.workers.get(key) else { continue };
            match fit(step, worker, task) {
                Fit::Fits => {}
                Fit::Blocked => {
                    blocked = true;
                    continue;
                }
                Fit::NoRoom => continue,
            }
            let long_running = worker.runs.values().filter(|run| run.long_running).count();
            let near = (is_near(worker, data), is_near(worker, sibling));
            let score = (near, failures(worker), harmful.spares(worker), long_running);
            // The candidates come with the least free processor first.
            if best.as_ref().is_none_or(|(top, _)| score > *top) {
                best = Some((score, key));
            }
        }
        match best {
            Some((_, key)) => Choice::Worker(key),
            None if blocked => Choice::Blocked,
            None => Choice::NoRoom,
        }
    }

    /// Best worker for which the queue's policy has granted a ticket.
    fn choose_permitted(
        &mut self,
        now: u64,
        rooms: &Rooms,
        [data, sibling]: [Option<&str>; 2],
        step: &Step,
        task: TaskId,
        harmful: &Harmful,
    ) -> Choice {
        let mut best = None;
        for key in self.permitted_workers(now, task) {
            self.counters.examined += 1;
            let Some(worker) = self.workers.get(key).filter(|_| rooms.contains(key)) else { continue };
            if fit(step, worker, task) != Fit::Fits {
                continue;
            }
            let free = worker.free_resources().cpu * 1_000 / worker.record.capacity.cpu.max(1);
            let near = (is_near(worker, data), is_near(worker, sibling));
            let score = (near, failures(worker), harmful.spares(worker), Reverse(free));
            if best.as_ref().is_none_or(|(top, _)| score > *top) {
                best = Some((score, key));
            }
        }
        best.map_or(Choice::Blocked, |(_, key)| Choice::Worker(key))
    }

    /// Proposes to ask the queue's policy about workers on which the task could start. If there are none, it is asked ahead
    /// about those that could run the task when they are idle.
    fn request_tickets(&mut self, now: u64, rooms: &mut Rooms, policy: Policy, step: &Step, task: TaskId) {
        if let Some(urgency) = self.request_urgency(now, task, true) {
            let candidates = rooms.candidates(&self.workers, step.label.as_deref(), step.reserved().cpu);
            let fits =
                |key: &WorkerKey| self.workers.get(*key).is_some_and(|w| fit(step, w, task) == Fit::Fits);
            let fitting: Vec<WorkerKey> = candidates.filter(fits).collect();
            self.counters.examined += fitting.len() as u64;
            if self.propose_request(now, policy, task, urgency, fitting) {
                return;
            }
        }
        if let Some(urgency) = self.request_urgency(now, task, false) {
            let suits =
                |key: &WorkerKey| self.workers.get(*key).is_some_and(|worker| could_run(step, worker));
            let suitable: Vec<WorkerKey> = rooms.keys().filter(suits).collect();
            self.counters.examined += suitable.len() as u64;
            self.propose_request(now, policy, task, urgency, suitable);
        }
    }

    /// True if the team of a task may use as many more resources.
    pub(in super::super) fn within_limit(&self, task: TaskId, need: Resources) -> bool {
        let Some(team) = self.table.get(task.job).and_then(|job| job.submission.team.as_deref()) else {
            return true;
        };
        let Some(declared) = self.team(team) else { return true };
        let usage = self.teams.key(team).and_then(|key| self.team_usage.get(key));
        usage.map_or(need, |usage| usage.used.plus(need)).within(declared.limit)
    }

    /// Rack of a worker that runs a task of the same step.
    fn sibling_rack(&self, task: TaskId) -> Option<String> {
        let first = TaskId { index: 0, ..task };
        let last = TaskId { index: u16::MAX, ..task };
        let (_, key) = self.placed_runs(first, last).next()?;
        self.workers.get(key)?.rack().map(str::to_owned)
    }
}

/// Checks the conditions of a step on a worker, except for the queue's policy.
fn fit(step: &Step, worker: &Worker, task: TaskId) -> Fit {
    if !worker.has_label(step.label.as_deref()) || !worker.fits(step.reserved()) {
        return Fit::NoRoom;
    }
    if worker.runs.contains_key(&task) {
        return Fit::Blocked;
    }
    if spread_allows(step, worker, task) {
        Fit::Fits
    } else if step.gang {
        // The tasks in the way are the gang's own, which counts as a lack of resources.
        Fit::NoRoom
    } else {
        Fit::Blocked
    }
}

/// True if a worker is of the kind and size for a task of a step.
fn could_run(step: &Step, worker: &Worker) -> bool {
    worker.has_label(step.label.as_deref()) && step.reserved().fits(worker.record.capacity)
}

/// True if a worker is in a rack, or if none is preferred.
fn is_near(worker: &Worker, rack: Option<&str>) -> bool {
    rack.is_none_or(|rack| worker.rack() == Some(rack))
}

/// Fewer failures count as better.
const fn failures(worker: &Worker) -> Reverse<u64> {
    Reverse(worker.failure_permille / 100)
}

/// True if the step allows one more of its tasks on the worker.
fn spread_allows(step: &Step, worker: &Worker, task: TaskId) -> bool {
    let Some(most) = step.spread else { return true };
    let first = TaskId { index: 0, ..task };
    let last = TaskId { index: u16::MAX, ..task };
    worker.runs.range(first..=last).count() < most as usize
}
