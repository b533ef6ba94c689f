//! Placement: the order in which waiting tasks are placed, and the choice of their workers.
//!
//! The rules hold in surges of several times the capacity of a pool. The number of unanswered starts is limited, so that
//! the order of the jobs holds in a backlog too. In some passes late jobs go first.

mod choose;
mod order;
mod room;

use std::sync::Arc;

use slotmap::SecondaryMap;

use super::super::Dispatcher;
use super::super::names::{PoolKey, TeamKey};
use super::super::worker::WorkerKey;
use crate::catalog::Policy;
use crate::ids::{JobId, TaskId};
use crate::spec::{Resources, Step};
use crate::table::TaskState;

pub(super) use choose::Choice;
pub(in super::super) use order::STEP_OVERHEAD_MS;
pub(super) use room::Rooms;

/// Interval between two passes while nothing has changed, in milliseconds. Workers become usable again as
/// time passes.
const IDLE_PASS_INTERVAL_MS: u64 = 250;

/// Jobs that a pass may visit for each millisecond until the next pass. A job takes about 1 µs on half a
/// core, so during a surge passes take about a tenth of the owner's time.
const JOBS_PER_MS: u64 = 100;
/// Workers that can be examined in the time that a pass needs for one job.
const WORKERS_PER_JOB: u64 = 16;
/// Largest number of unanswered starts. A gang is placed whole and may exceed it. The pools of a large site
/// need about 1,000 starts per second, so a start waits for at most a quarter of a second, and resources are
/// not reserved long before they are used.
const MAX_PENDING_STARTS: usize = 256;
/// One of this many passes serves late jobs first, in pools that are mostly free. Callers count a job as lost
/// if it makes no progress in such a pool. More of these passes would delay jobs that can still be on time.
const LATE_PASS_INTERVAL: u64 = 4;
/// Use up to which a pool counts as mostly free, in percent. Callers take 50; placements under way come on
/// top.
const MOSTLY_FREE_PERCENT: u64 = 60;

/// Demand that could not be met in a pass. Free resources only shrink during a pass, so an equal or larger
/// demand cannot be met either.
#[derive(Clone, Debug, Eq, PartialEq)]
struct UnmetDemand {
    /// Label that the worker must have.
    label: Option<String>,
    /// Resources that each task occupies.
    reserved: Resources,
    /// Number of tasks that are placed together.
    count: u32,
    /// Largest number of them on one worker.
    spread: u32,
}

impl UnmetDemand {
    /// Demand of a step's tasks.
    fn of(step: &Step) -> Self {
        let (count, spread) = group_size(step);
        Self { label: step.label.clone(), reserved: step.reserved(), count, spread }
    }

    /// True if the demand of a step is at least as hard to meet.
    fn implies(&self, step: &Step) -> bool {
        let (count, spread) = group_size(step);
        (self.label.is_none() || self.label == step.label)
            && self.reserved.fits(step.reserved())
            && self.count <= count
            && self.spread >= spread
    }
}

/// Number of tasks of a step that are placed together, and the largest number of them on one worker.
fn group_size(step: &Step) -> (u32, u32) {
    if step.gang { (step.count, step.spread.unwrap_or(u32::MAX)) } else { (1, u32::MAX) }
}

/// State of a pool during one pass.
#[derive(Debug, Default)]
struct PoolState {
    /// Workers on which tasks may be placed.
    eligible: Vec<WorkerKey>,
    /// Index of these workers, made for the first task.
    rooms: Option<Rooms>,
    unmet: Vec<UnmetDemand>,
    /// Processor reserved by runs, in thousandths of a core.
    used: u64,
    /// Processor capacity of all workers, in thousandths of a core.
    capacity: u64,
}

impl PoolState {
    const fn mostly_free(&self) -> bool {
        self.used * 100 <= self.capacity * MOSTLY_FREE_PERCENT
    }
}

/// State of one pass over the waiting tasks.
#[derive(Debug)]
struct Pass {
    pools: SecondaryMap<PoolKey, PoolState>,
    /// Number of tasks that may still be placed in this pass.
    start_budget: usize,
}

impl Dispatcher {
    /// Runs a placement pass over the waiting tasks if one is due.
    pub(in super::super) fn place_tasks(&mut self, now: u64) {
        if now < self.next_pass || self.unchanged && now < self.last_pass + IDLE_PASS_INTERVAL_MS {
            return;
        }
        self.last_pass = now;
        self.unchanged = true;
        let before = self.counters.examined;
        self.interference.begin_pass();
        let mut pass = self.begin_pass(now);
        self.set_targets();
        let queued_jobs = self.queued_jobs(now);
        let jobs = queued_jobs.len() as u64;
        self.pass_count += 1;
        if self.pass_count.is_multiple_of(LATE_PASS_INTERVAL) {
            // Late jobs are placed one after the other; one task of each in turn would delay all of them.
            for queued in queued_jobs.iter().filter(|queued| queued.late) {
                if pass.start_budget == 0 {
                    break;
                }
                if queued.team.is_none_or(|team| !self.is_over_share(team)) {
                    self.place_job(now, &mut pass, queued.id, true, queued.team);
                }
            }
        }
        let mut deferred = Vec::new();
        for group in queued_jobs.chunk_by(|one, other| one.group() == other.group()) {
            // Teams that have their share wait until the others have theirs.
            deferred.clear();
            for queued in group {
                if pass.start_budget == 0 {
                    break;
                }
                let over = |this: &Self| queued.team.is_some_and(|team| this.is_over_share(team));
                if !over(self) {
                    self.place_job(now, &mut pass, queued.id, false, queued.team);
                }
                if over(self) {
                    deferred.push(queued.id);
                }
            }
            for &id in &deferred {
                if pass.start_budget == 0 {
                    break;
                }
                self.place_job(now, &mut pass, id, false, None);
            }
        }
        self.send_requests();
        // Answers to starts allow more placements.
        if pass.start_budget == 0 {
            self.unchanged = false;
        }
        let examined = self.counters.examined - before;
        self.next_pass = now + (jobs + examined / WORKERS_PER_JOB) / JOBS_PER_MS;
    }

    /// Groups the workers by pool and counts the unanswered starts.
    fn begin_pass(&mut self, now: u64) -> Pass {
        let mut pools: SecondaryMap<PoolKey, PoolState> = SecondaryMap::new();
        self.counters.examined += self.workers.len() as u64;
        for (key, worker) in self.workers.iter().filter(|(_, worker)| worker.listed) {
            let Some(pool) = pools.entry(worker.pool).map(|entry| entry.or_default()) else { continue };
            pool.used += worker.used.cpu;
            pool.capacity += worker.record.capacity.cpu;
            if worker.accepts_tasks(now) && !self.evacuated.contains(&worker.record.zone) {
                pool.eligible.push(key);
            }
        }
        // A start on a worker that does not answer waits for the worker, not for this process.
        let waits = |(key, task): &&(WorkerKey, TaskId)| {
            let worker = self.workers.get(*key).filter(|worker| worker.usable());
            worker.and_then(|worker| worker.runs.get(task)).is_some_and(|run| run.awaits_answer())
        };
        let waiting = self.unsettled.iter().filter(waits).count();
        Pass { pools, start_budget: MAX_PENDING_STARTS.saturating_sub(waiting) }
    }

    /// Workers of a pool on which tasks may be placed.
    pub(super) fn open_rooms(&self, now: u64, pool: &str) -> Rooms {
        let eligible = self.workers.iter().filter(|(_, worker)| {
            worker.record.pool == pool
                && worker.accepts_tasks(now)
                && !self.evacuated.contains(&worker.record.zone)
        });
        let keys: Vec<WorkerKey> = eligible.map(|(key, _)| key).collect();
        Rooms::new(&self.workers, &keys)
    }

    /// Places tasks of a job whose steps are ready; with `if_free` only if its pool is mostly free, and with `limited` only until
    /// this team has its share.
    fn place_job(&mut self, now: u64, pass: &mut Pass, id: JobId, if_free: bool, limited: Option<TeamKey>) {
        let (Some(job), Some(track)) = (self.table.get(id), self.tracks.get(&id)) else { return };
        // A pool without workers can run nothing.
        let Some(pool) = pass.pools.get_mut(track.pool).filter(|pool| !if_free || pool.mostly_free()) else {
            return;
        };
        let submission = Arc::clone(&job.submission);
        let policy = self.queue(&submission.queue).and_then(|queue| queue.policy);
        let mut groups = Vec::new();
        for occurrence in &job.progress.occurrences {
            for (number, step) in (0_u16..).zip(&submission.steps) {
                // With a policy the search is made even in a full pool, because it sends the request to the
                // policy.
                if policy.is_none() && pool.unmet.iter().any(|unmet| unmet.implies(step)) {
                    continue;
                }
                let rows = occurrence.step(&submission, usize::from(number));
                let task = |index| TaskId { job: id, occurrence: occurrence.number, step: number, index };
                let rows = (0_u16..).zip(rows).filter(|(_, row)| row.state == TaskState::Waiting);
                let tasks: Vec<TaskId> = rows.map(|(index, _)| task(index)).collect();
                if !tasks.is_empty() && occurrence.step_ready(&submission, usize::from(number)) {
                    groups.push((step, tasks));
                }
            }
        }
        if groups.is_empty() {
            return;
        }
        let wanted = track.backlog.ready;
        let before = self.new_placements.len();
        let rooms = pool.rooms.get_or_insert_with(|| Rooms::new(&self.workers, &pool.eligible));
        for (step, tasks) in groups {
            if pass.start_budget == 0 {
                break;
            }
            let placed = self.new_placements.len();
            let met = if step.gang {
                self.place_gang(now, rooms, policy, step, &tasks)
            } else {
                self.place_group(
                    now,
                    rooms,
                    policy,
                    step,
                    &tasks[..tasks.len().min(pass.start_budget)],
                    limited,
                )
            };
            if !met {
                pool.unmet.push(UnmetDemand::of(step));
            }
            pass.start_budget = pass.start_budget.saturating_sub(self.new_placements.len() - placed);
        }
        if let Some((task, _, key)) = self.new_placements.get(before..).and_then(<[_]>::first) {
            log::info!(
                job:% = id, placed = self.new_placements.len() - before, waiting = wanted, first:% = task,
                worker = self.worker_id(*key), version = self.catalog.version;
                "tasks were placed"
            );
        }
    }

    /// Places tasks of a step one by one until one finds no worker. False if it was for a lack of resources.
    fn place_group(
        &mut self,
        now: u64,
        rooms: &mut Rooms,
        policy: Option<Policy>,
        step: &Step,
        tasks: &[TaskId],
        limited: Option<TeamKey>,
    ) -> bool {
        for &task in tasks {
            if limited.is_some_and(|team| self.is_over_share(team)) {
                return true;
            }
            if self.has_other_run(step, task) {
                continue;
            }
            match self.choose(now, rooms, policy, step, task) {
                Choice::Worker(key) => {
                    let run = self.last_run(task) + 1;
                    self.place_task(now, rooms, key, task, run, policy.is_some());
                }
                Choice::NoRoom => return false,
                Choice::Blocked => return true,
            }
        }
        true
    }

    /// Places all tasks of a gang under the same run number, or none. False if resources are lacking.
    fn place_gang(
        &mut self,
        now: u64,
        rooms: &mut Rooms,
        policy: Option<Policy>,
        step: &Step,
        tasks: &[TaskId],
    ) -> bool {
        if tasks.len() != step.count as usize || tasks.iter().any(|task| self.has_other_run(step, *task)) {
            return true;
        }
        let run = tasks.iter().map(|task| self.last_run(*task)).max().unwrap_or(0) + 1;
        let Some(id) = tasks.first().map(|task| task.job) else { return true };
        let was_dirty = self.dirty_jobs.contains(&id);
        let mut placed = Vec::new();
        for &task in tasks {
            let choice = self.choose(now, rooms, policy, step, task);
            let Choice::Worker(key) = choice else {
                for (key, task, previous_run) in placed {
                    self.undo_placement(rooms, key, task, previous_run);
                }
                // The job is as before, and the resources that were just released are no reason for another pass.
                if !was_dirty {
                    self.dirty_jobs.remove(&id);
                }
                self.unchanged = true;
                return choice != Choice::NoRoom;
            };
            let previous_run = self.last_run(task);
            self.place_task(now, rooms, key, task, run, policy.is_some());
            placed.push((key, task, previous_run));
        }
        self.align_checkpoints(tasks);
        true
    }

    /// True if a run of a waiting task is known that has not ended, and the step allows no second one beside it.
    fn has_other_run(&self, step: &Step, task: TaskId) -> bool {
        !step.speculative && self.placed_runs(task, task).next().is_some()
    }

    fn last_run(&self, task: TaskId) -> u32 {
        let row = self.table.get(task.job).and_then(|job| job.progress.task(&job.submission, task));
        row.map_or(0, |row| row.run)
    }

    fn place_task(
        &mut self,
        now: u64,
        rooms: &mut Rooms,
        key: WorkerKey,
        task: TaskId,
        number: u32,
        needs_ticket: bool,
    ) {
        let Some(mut run) = self.new_run(now, task, number) else { return };
        let Some(worker) = self.workers.get(key) else { return };
        let place = worker.placement();
        if needs_ticket {
            run.ticket = self.ticket(now, task, &place.worker);
        }
        let Some(job) = self.table.get_mut(task.job) else { return };
        let Some(row) = job.progress.task_mut(&job.submission, task) else { return };
        row.state = TaskState::Placed(place);
        row.run = number;
        self.touch(task.job);
        self.new_placements.push((task, number, key));
        self.add_run(key, task, run);
        self.update_room(rooms, key);
    }

    /// Reverts a placement that is not part of a write yet.
    fn undo_placement(&mut self, rooms: &mut Rooms, key: WorkerKey, task: TaskId, previous_run: u32) {
        let undone = self.remove_run(key, task).map(|run| run.number);
        self.update_room(rooms, key);
        // An earlier placement of the task may wait for the same write.
        self.new_placements.retain(|(placed, number, _)| *placed != task || Some(*number) != undone);
        let Some(job) = self.table.get_mut(task.job) else { return };
        if let Some(row) = job.progress.task_mut(&job.submission, task) {
            row.state = TaskState::Waiting;
            row.run = previous_run;
        }
    }

    fn update_room(&self, rooms: &mut Rooms, key: WorkerKey) {
        if let Some(worker) = self.workers.get(key) {
            rooms.update(key, worker);
        }
    }
}
