//! Views for operators: pools, machines with orders, and the reasons why a job waits.

use rattanfall_wire::work::{MachineOrder, Pool};

use super::super::Dispatcher;
use super::fleet::{Goal, Stage};
use crate::ids::{JobId, TaskId};
use crate::spec::Step;
use crate::table::{Phase, TaskState, each_task};

impl Dispatcher {
    /// Configured pools except standby pools.
    #[must_use]
    pub fn pools(&self, now: u64) -> Vec<Pool> {
        let pools = self.catalog.pools.iter().filter(|pool| !pool.standby);
        pools.map(|pool| self.pool(now, &pool.name)).collect()
    }

    fn pool(&self, now: u64, name: &str) -> Pool {
        let mut view = Pool { name: name.to_owned(), ..Pool::default() };
        let (mut used, mut capacity) = (0, 0);
        for worker in self.workers.values().filter(|w| w.listed && w.record.pool == name) {
            view.workers += 1;
            view.open += u64::from(worker.accepts_tasks(now));
            view.runs += worker.runs.len() as u64;
            used += worker.used.cpu;
            capacity += worker.record.capacity.cpu;
        }
        view.used_percent = used * 100 / capacity.max(1);
        view.wanted = self.fleet.demand.get(name).map_or(0, |demand| demand.machines);
        view
    }

    /// Machines with an order.
    #[must_use]
    pub fn moves(&self) -> Vec<MachineOrder> {
        let ordered = self.fleet.rows.values().filter_map(|row| Some((row, row.order.as_ref()?)));
        let view = |goal: &Goal| match goal {
            Goal::Upkeep(wave) => format!("wave {wave}"),
            Goal::Pool(pool) => format!("pool {pool}"),
        };
        let stage = |stage: Stage| match stage {
            Stage::Emptying(_) => "emptying",
            Stage::Ordered => "ordered",
            Stage::Waiting(_) => "waiting",
            Stage::Taken(_) => "taken",
        };
        ordered
            .map(|(row, order)| MachineOrder {
                machine: row.machine.name.clone(),
                pool: row.machine.pool.clone(),
                goal: view(&order.goal),
                stage: stage(order.stage).to_owned(),
            })
            .collect()
    }

    /// Number of machines in a wave; 0 if the wave is not known.
    #[must_use]
    pub fn wave_size(&self, number: u64) -> u64 {
        self.fleet.waves.get(&number).map_or(0, |wave| wave.machines() as u64)
    }

    /// Why tasks of a job wait, one sentence for each waiting step, and what is known about their neighbours. For a surplus job,
    /// the first one says so.
    #[must_use]
    pub fn explain(&self, now: u64, id: JobId) -> Vec<String> {
        let Some(job) = self.table.get(id) else { return Vec::new() };
        if job.progress.phase != Phase::Active {
            return Vec::new();
        }
        let mut reasons = Vec::new();
        if self.in_surplus(id) {
            let team = job.submission.team.as_deref().unwrap_or_default();
            reasons.push(format!(
                "the job is surplus: team {team} had sent more than it is owed, so entitled jobs of the same \
                 priority go first"
            ));
        }
        for occurrence in &job.progress.occurrences {
            for (number, step) in job.submission.steps.iter().enumerate() {
                let number = u16::try_from(number).unwrap_or(u16::MAX);
                let mut waiting = each_task(&job.submission, occurrence)
                    .filter(|(id, task)| id.step == number && task.state == TaskState::Waiting);
                let Some((task, _)) = waiting.next() else { continue };
                let why = if occurrence.step_ready(&job.submission, usize::from(number)) {
                    self.explain_task(now, task, step)
                } else {
                    let unfinished =
                        |before: &&u16| !occurrence.step_done(&job.submission, usize::from(**before));
                    let before: Vec<String> =
                        step.after.iter().filter(unfinished).map(u16::to_string).collect();
                    format!("it comes after step {}, which is not done", before.join(", "))
                };
                reasons.push(format!("step {number} of occurrence {} waits: {why}", occurrence.number));
            }
        }
        reasons.extend(self.explain_neighbours(job));
        reasons
    }

    fn explain_task(&self, now: u64, task: TaskId, step: &Step) -> String {
        let Some(job) = self.table.get(task.job) else { return "the job is not known".into() };
        if !self.within_limit(task, step.need) {
            return "its team has reached its upper limit".into();
        }
        let pool = self.terms(&job.submission).pool;
        let workers = || self.workers.values().filter(|w| w.listed && w.record.pool == pool);
        let eligible =
            || workers().filter(|w| w.accepts_tasks(now) && !self.evacuated.contains(&w.record.zone));
        let labelled =
            || eligible().filter(|w| step.label.as_ref().is_none_or(|label| w.record.labels.contains(label)));
        if workers().next().is_none() {
            format!("pool {pool} has no worker")
        } else if eligible().next().is_none() {
            format!("no worker of pool {pool} takes tasks: they drain, are evacuated, or do not answer")
        } else if labelled().next().is_none() {
            format!("no worker of pool {pool} that takes tasks has the label {:?}", step.label)
        } else if !labelled().any(|w| step.reserved().fits(w.record.capacity)) {
            format!("no worker of pool {pool} is large enough for a task")
        } else if !labelled().any(|w| w.fits(step.reserved())) {
            format!("all workers of pool {pool} are full")
        } else {
            "a worker has room; jobs that are more urgent go first, or its other conditions are not met"
                .into()
        }
    }
}
