//! Placement: the order in which waiting tasks are placed, and the choice of their workers.
//!
//! The rules hold in surges of several times the capacity of a pool. Jobs that can still meet their objective
//! go first, ordered by objective, so that as many as possible are on time. The number of unanswered starts
//! is limited, so that this order holds in a backlog too. In some passes late jobs go first.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};

use super::super::Dispatcher;
use super::super::worker::WorkerKey;
use crate::catalog::Policy;
use crate::ids::{JobId, TaskId};
use crate::spec::{Resources, Step, Submission};
use crate::table::{Occurrence, Phase, Placement, Task, TaskState};

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

/// Time that a step takes in addition to its tasks, in milliseconds: its placement is stored and its ends are
/// collected.
const STEP_OVERHEAD_MS: u64 = 50;

/// Use of the fleet above which a team's jobs go after those of other teams, in percent of its share among
/// the teams that use or want resources.
const OVER_SHARE_PERCENT: u64 = 115;

/// Longest chain of steps that an occurrence still has to run.
#[derive(Clone, Copy, Debug, Default)]
struct Chain {
    /// Sum of the declared times, in milliseconds.
    length: u64,
    /// Number of steps.
    steps: u64,
}

/// Job with waiting tasks. The order of the fields is the order in which jobs are served.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct QueuedJob {
    /// Priority of the queue; 0 goes first.
    priority: u32,
    /// True if the objective can no longer be met.
    late: bool,
    /// True if the team uses far more than its share while others wait.
    over_share: bool,
    /// Time by which the job should complete.
    objective: u64,
    /// Job; breaks ties.
    id: JobId,
}

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
    /// Workers on which tasks may be placed, in the order of the table.
    eligible: Vec<WorkerKey>,
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
    pools: HashMap<String, PoolState>,
    /// Number of tasks that may still be placed in this pass.
    start_budget: usize,
}

/// Result of the search for a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Choice {
    /// The best worker.
    Worker(WorkerKey),
    /// No worker has enough free resources.
    NoRoom,
    /// The task may not run now, or not on the workers with enough free resources.
    Blocked,
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
        let mut pass = self.begin_pass(now);
        let queued_jobs = self.queued_jobs(now);
        let jobs = queued_jobs.len() as u64;
        self.pass_count += 1;
        if self.pass_count.is_multiple_of(LATE_PASS_INTERVAL) {
            // Late jobs are placed one after the other; one task of each in turn would delay all of them.
            for queued in queued_jobs.iter().filter(|queued| queued.late) {
                if pass.start_budget == 0 {
                    break;
                }
                self.place_job(now, &mut pass, queued.id, true);
            }
        }
        for queued in queued_jobs {
            if pass.start_budget == 0 {
                break;
            }
            self.place_job(now, &mut pass, queued.id, false);
        }
        // Answers to starts allow more placements.
        if pass.start_budget == 0 {
            self.unchanged = false;
        }
        let examined = self.counters.examined - before;
        self.next_pass = now + (jobs + examined / WORKERS_PER_JOB) / JOBS_PER_MS;
    }

    /// Groups the workers by pool and counts the unanswered starts.
    fn begin_pass(&mut self, now: u64) -> Pass {
        let mut pools: HashMap<String, PoolState> = HashMap::new();
        let mut waiting = 0;
        for (key, worker) in &self.workers {
            self.counters.examined += 1;
            // A start on a worker that does not answer waits for the worker, not for this process.
            if worker.responds() {
                waiting += worker.runs.values().filter(|run| run.awaits_answer()).count();
            }
            if !worker.listed {
                continue;
            }
            if !pools.contains_key(&worker.record.pool) {
                pools.insert(worker.record.pool.clone(), PoolState::default());
            }
            let Some(pool) = pools.get_mut(&worker.record.pool) else { continue };
            pool.used += worker.used.cpu;
            pool.capacity += worker.record.capacity.cpu;
            if worker.accepts_tasks(now) && !self.evacuated.contains(&worker.record.zone) {
                pool.eligible.push(key);
            }
        }
        Pass { pools, start_budget: MAX_PENDING_STARTS.saturating_sub(waiting) }
    }

    /// Workers of a pool on which tasks may be placed.
    pub(super) fn eligible_workers(&self, now: u64, pool: &str) -> Vec<WorkerKey> {
        let eligible = self.workers.iter().filter(|(_, worker)| {
            worker.record.pool == pool
                && worker.accepts_tasks(now)
                && !self.evacuated.contains(&worker.record.zone)
        });
        eligible.map(|(key, _)| key).collect()
    }

    /// Active jobs with waiting tasks, in the order in which they are served.
    fn queued_jobs(&self, now: u64) -> Vec<QueuedJob> {
        let over_share = self.teams_over_share();
        let mut queued_jobs = Vec::new();
        for (&id, track) in self.tracks.iter().filter(|(_, track)| track.ended.is_none()) {
            let Some(job) = self.table.get(id) else { continue };
            if job.progress.phase != Phase::Active || job.canceled {
                continue;
            }
            let waits = |task: &Task| task.state == TaskState::Waiting;
            if !job.progress.occurrences.iter().any(|o| o.tasks.iter().any(waits)) {
                continue;
            }
            let queue = self.queue(&job.submission.queue);
            let priority = queue.map_or(job.submission.terms.priority, |queue| queue.terms.priority);
            let long_running = job.submission.steps.iter().any(|step| step.long_running);
            let chains = job.progress.occurrences.iter().map(|o| remaining_chain(&job.submission, o));
            let chain = chains.max_by_key(|chain| chain.length).unwrap_or_default();
            let late = !long_running && now + chain.length + chain.steps * STEP_OVERHEAD_MS > track.objective;
            let over_share = job.submission.team.as_ref().is_some_and(|team| over_share.contains(team));
            queued_jobs.push(QueuedJob { priority, late, over_share, objective: track.objective, id });
        }
        queued_jobs.sort_unstable();
        queued_jobs
    }

    /// Teams that use far more than their share among the teams that use or want resources.
    fn teams_over_share(&self) -> BTreeSet<String> {
        let active = self.tracks.iter().filter(|(_, track)| track.ended.is_none());
        let jobs = active.filter_map(|(id, _)| self.table.get(*id));
        let teams: BTreeSet<&String> = jobs.filter_map(|job| job.submission.team.as_ref()).collect();
        let weight = |name: &str| self.catalog.team(name).map_or(1, |team| u64::from(team.weight.max(1)));
        let cpu = |name: &str| self.team_usage.get(name).map_or(0, |used| used.cpu);
        let used: u64 = teams.iter().map(|name| cpu(name)).sum();
        let weights: u64 = teams.iter().map(|name| weight(name)).sum();
        let over = |name: &str| cpu(name) * weights * 100 > used * weight(name) * OVER_SHARE_PERCENT;
        teams.into_iter().filter(|name| over(name)).cloned().collect()
    }

    /// Places tasks of a job whose steps are ready; with `if_free` only if its pool is mostly free.
    fn place_job(&mut self, now: u64, pass: &mut Pass, id: JobId, if_free: bool) {
        let Some(job) = self.table.get(id) else { return };
        let queue = self.queue(&job.submission.queue);
        let policy = queue.and_then(|queue| queue.policy);
        let name = queue.map_or(&job.submission.terms.pool, |queue| &queue.terms.pool);
        // A pool without workers can run nothing.
        let Some(pool) = pass.pools.get_mut(name).filter(|pool| !if_free || pool.mostly_free()) else {
            return;
        };
        let mut groups = Vec::new();
        let mut wanted = 0;
        for occurrence in &job.progress.occurrences {
            for (number, step) in (0_u16..).zip(&job.submission.steps) {
                let rows = occurrence.step(&job.submission, usize::from(number));
                let waiting = rows.iter().filter(|row| row.state == TaskState::Waiting).count();
                if waiting == 0 || !occurrence.step_ready(&job.submission, usize::from(number)) {
                    continue;
                }
                wanted += waiting;
                // With a policy the search is made even in a full pool, because it sends the request to the
                // policy.
                if policy.is_none() && pool.unmet.iter().any(|unmet| unmet.implies(step)) {
                    continue;
                }
                let task = |index| TaskId { job: id, occurrence: occurrence.number, step: number, index };
                let rows = (0_u16..).zip(rows).filter(|(_, row)| row.state == TaskState::Waiting);
                let tasks: Vec<TaskId> = rows.map(|(index, _)| task(index)).collect();
                groups.push((step.clone(), tasks));
            }
        }
        let before = self.new_placements.len();
        for (step, tasks) in groups {
            if pass.start_budget == 0 {
                break;
            }
            let placed = self.new_placements.len();
            if step.gang {
                self.place_gang(now, pool, policy, &step, &tasks);
            } else {
                self.place_group(now, pool, policy, &step, &tasks[..tasks.len().min(pass.start_budget)]);
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

    /// Places tasks of a step one by one until one finds no worker.
    fn place_group(
        &mut self,
        now: u64,
        pool: &mut PoolState,
        policy: Option<Policy>,
        step: &Step,
        tasks: &[TaskId],
    ) {
        for &task in tasks {
            match self.choose(now, &pool.eligible, policy, step, task) {
                Choice::Worker(key) => {
                    let run = self.last_run(task) + 1;
                    self.place_task(now, key, task, run, policy.is_some());
                }
                Choice::NoRoom => {
                    pool.unmet.push(UnmetDemand::of(step));
                    return;
                }
                Choice::Blocked => return,
            }
        }
    }

    /// Places all tasks of a gang under the same run number, or none.
    fn place_gang(
        &mut self,
        now: u64,
        pool: &mut PoolState,
        policy: Option<Policy>,
        step: &Step,
        tasks: &[TaskId],
    ) {
        if tasks.len() != step.count as usize {
            return;
        }
        let run = tasks.iter().map(|task| self.last_run(*task)).max().unwrap_or(0) + 1;
        let mut placed = Vec::new();
        for &task in tasks {
            let choice = self.choose(now, &pool.eligible, policy, step, task);
            let Choice::Worker(key) = choice else {
                for (key, task, previous_run) in placed {
                    self.undo_placement(key, task, previous_run);
                }
                // The resources that were just released are no reason for another pass.
                self.unchanged = true;
                if choice == Choice::NoRoom {
                    pool.unmet.push(UnmetDemand::of(step));
                }
                return;
            };
            let previous_run = self.last_run(task);
            self.place_task(now, key, task, run, policy.is_some());
            placed.push((key, task, previous_run));
        }
    }

    fn last_run(&self, task: TaskId) -> u32 {
        let row = self.table.get(task.job).and_then(|job| job.progress.task(&job.submission, task));
        row.map_or(0, |row| row.run)
    }

    fn place_task(&mut self, now: u64, key: WorkerKey, task: TaskId, number: u32, needs_ticket: bool) {
        let Some(mut run) = self.new_run(now, task, number) else { return };
        let Some(worker) = self.workers.get(key) else { return };
        let place = Placement { worker: worker.record.worker.clone(), started_ms: worker.record.started_ms };
        if needs_ticket {
            run.ticket = self.ticket(now, task, &place.worker);
        }
        let Some(job) = self.table.get_mut(task.job) else { return };
        let Some(row) = job.progress.task_mut(&job.submission, task) else { return };
        row.state = TaskState::Placed(place);
        row.run = number;
        job.progress.started = true;
        self.dirty_jobs.insert(task.job);
        self.new_placements.push((task, number, key));
        self.add_run(key, task, run);
    }

    /// Reverts a placement that is not part of a write yet.
    fn undo_placement(&mut self, key: WorkerKey, task: TaskId, previous_run: u32) {
        self.remove_run(key, task);
        self.new_placements.retain(|(placed, ..)| *placed != task);
        let Some(job) = self.table.get_mut(task.job) else { return };
        if let Some(row) = job.progress.task_mut(&job.submission, task) {
            row.state = TaskState::Waiting;
            row.run = previous_run;
        }
    }

    /// Best eligible worker for a task: near its data or the other tasks of its step, then the one with the
    /// least free processor, so that other workers become idle.
    pub(super) fn choose(
        &mut self,
        now: u64,
        eligible: &[WorkerKey],
        policy: Option<Policy>,
        step: &Step,
        task: TaskId,
    ) -> Choice {
        if !self.within_limit(task, step.need) {
            return Choice::Blocked;
        }
        let rack = if step.compact { self.sibling_rack(task) } else { None };
        let mut best = None;
        let mut blocked = false;
        let mut candidates = Vec::new();
        self.counters.examined += eligible.len() as u64;
        for &key in eligible {
            let Some(worker) = self.workers.get(key) else { continue };
            if step.label.as_ref().is_some_and(|label| !worker.record.labels.contains(label)) {
                continue;
            }
            if policy.is_some() {
                candidates.push(key);
            }
            if !worker.fits(step.reserved()) {
                continue;
            }
            if worker.runs.contains_key(&task) {
                blocked = true;
                continue;
            }
            if !spread_allows(step, worker, task) {
                // For a gang the tasks in the way are its own, which counts as a lack of resources.
                blocked |= !step.gang;
                continue;
            }
            if policy.is_some() && self.ticket(now, task, &worker.record.worker).is_none() {
                blocked = true;
                continue;
            }
            let near_data = step.data_rack.as_deref().is_none_or(|rack| worker.rack() == Some(rack));
            let same_rack = rack.as_deref().is_none_or(|rack| worker.rack() == Some(rack));
            let unused = worker.free_resources();
            let free = unused.cpu * 1_000 / worker.record.capacity.cpu.max(1);
            // Long-running tasks are concentrated on few workers, so that the others can be emptied and
            // parked.
            let long_running = if step.long_running {
                worker.runs.values().filter(|run| run.long_running).count()
            } else {
                0
            };
            let score =
                (near_data, same_rack, Reverse(worker.failure_permille / 100), long_running, Reverse(free));
            if best.as_ref().is_none_or(|(top, _)| score > *top) {
                best = Some((score, key));
            }
        }
        if best.is_none() && policy.is_some() {
            self.ask_policy(now, task, &candidates);
        }
        match best {
            Some((_, key)) => Choice::Worker(key),
            None if blocked => Choice::Blocked,
            None => Choice::NoRoom,
        }
    }

    pub(super) fn within_limit(&self, task: TaskId, need: Resources) -> bool {
        let Some(team) = self.table.get(task.job).and_then(|job| job.submission.team.as_deref()) else {
            return true;
        };
        let Some(declared) = self.catalog.team(team) else { return true };
        let used = self.team_usage.get(team).copied().unwrap_or_default();
        used.plus(need).within(declared.limit)
    }

    /// Rack of a worker that runs a task of the same step.
    fn sibling_rack(&self, task: TaskId) -> Option<String> {
        let first = TaskId { index: 0, ..task };
        let last = TaskId { index: u16::MAX, ..task };
        let sibling = self.workers.values().find(|worker| worker.runs.range(first..=last).next().is_some());
        sibling.and_then(|worker| worker.rack().map(str::to_owned))
    }
}

/// Longest chain of steps that have waiting tasks.
fn remaining_chain(submission: &Submission, occurrence: &Occurrence) -> Chain {
    let mut ends: Vec<Chain> = Vec::with_capacity(submission.steps.len());
    for (number, step) in submission.steps.iter().enumerate() {
        let before = step.after.iter().filter_map(|&s| ends.get(usize::from(s)));
        let mut chain = before.max_by_key(|chain| chain.length).copied().unwrap_or_default();
        if occurrence.step(submission, number).iter().any(|task| task.state == TaskState::Waiting) {
            chain.length += step.estimate_ms;
            chain.steps += 1;
        }
        ends.push(chain);
    }
    ends.into_iter().max_by_key(|chain| chain.length).unwrap_or_default()
}

/// True if the step allows one more of its tasks on the worker.
fn spread_allows(step: &Step, worker: &super::super::worker::Worker, task: TaskId) -> bool {
    let Some(most) = step.spread else { return true };
    let first = TaskId { index: 0, ..task };
    let last = TaskId { index: u16::MAX, ..task };
    worker.runs.range(first..=last).count() < most as usize
}
