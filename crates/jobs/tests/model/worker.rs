//! Worker of the model: it refuses older owners, reports ends until they are acknowledged, and kills runs whose lease has
//! expired.

use std::collections::BTreeMap;

use rattanfall_jobs::dispatch::command::{Poll, Start, Stop};
use rattanfall_jobs::dispatch::event::{EndReason, EndedRun, Outcome, RunStatus, WorkerRecord, WorkerStatus};
use rattanfall_jobs::ids::TaskId;

use super::{Faults, START_UNIX_MS, record};

/// CPU of each task, in thousandths of a core.
const TASK_CPU: u64 = 1_000;

#[derive(Clone, Debug)]
pub(super) struct WorkerProcess {
    pub(super) name: String,
    pub(super) runs: BTreeMap<TaskId, u32>,
    cpu: u64,
    started_ms: u64,
    token: u64,
    deadline: u64,
    ended: Vec<EndedRun>,
    count: u64,
    /// Highest run number of each task that was stopped or has ended here.
    finished: BTreeMap<TaskId, u32>,
}

impl WorkerProcess {
    pub(super) fn new(index: usize, cpu: u64) -> Self {
        Self {
            name: format!("w{index}"),
            runs: BTreeMap::new(),
            cpu,
            started_ms: START_UNIX_MS,
            token: 0,
            deadline: 0,
            ended: Vec::new(),
            count: 0,
            finished: BTreeMap::new(),
        }
    }

    pub(super) fn restart(&mut self, started_ms: u64) {
        let (name, cpu) = (std::mem::take(&mut self.name), self.cpu);
        *self = Self { name, started_ms, ..Self::new(0, cpu) };
    }

    pub(super) fn record(&self) -> WorkerRecord {
        record(&self.name, self.cpu, self.started_ms)
    }

    pub(super) fn is_overcommitted(&self) -> bool {
        self.runs.len() as u64 * TASK_CPU > self.cpu
    }

    /// Kills all runs once the lease has expired.
    pub(super) fn expire_lease(&mut self, now: u64) {
        if self.deadline <= now {
            for task in self.runs.keys().copied().collect::<Vec<_>>() {
                self.end(task, EndReason::Lapsed);
            }
        }
    }

    pub(super) fn end(&mut self, task: TaskId, reason: EndReason) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.count += 1;
        self.record_finished(task, run);
        self.ended.push(EndedRun { number: self.count, task, run, reason, checkpoint: String::new() });
    }

    fn record_finished(&mut self, task: TaskId, run: u32) {
        let finished = self.finished.entry(task).or_insert(0);
        *finished = run.max(*finished);
    }

    /// Drops the ends that a poll acknowledges. Returns their tasks.
    pub(super) fn drop_acknowledged(&mut self, poll: &Poll, faults: &Faults) -> Vec<(TaskId, EndReason)> {
        if poll.token < self.token && !faults.unfenced_workers {
            return Vec::new();
        }
        let gone = |end: &mut EndedRun| end.number <= poll.acknowledged || faults.unacknowledged_end;
        self.ended.extract_if(.., gone).map(|end| (end.task, end.reason)).collect()
    }

    pub(super) fn poll(&mut self, now: u64, poll: &Poll, faults: &Faults) -> Result<WorkerStatus, Outcome> {
        self.check_token(poll.token, faults)?;
        self.deadline = self.deadline.max(poll.deadline_ms.unwrap_or(0));
        let listed = |(task, run): (&TaskId, &u32)| RunStatus {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            progress: 50,
            metric: 0,
        };
        let running = self.runs.iter().map(listed).collect();
        let ended = self.ended.clone();
        Ok(WorkerStatus { clock_ms: now, started_ms: self.started_ms, running, ended, more_ended: false })
    }

    pub(super) fn start(&mut self, now: u64, start: &Start, faults: &Faults) -> Outcome {
        if let Err(outcome) = self.check_token(start.token, faults) {
            return outcome;
        }
        if start.deadline_ms <= now && !faults.no_deadline {
            return Outcome::Late;
        }
        if self.finished.get(&start.task).is_some_and(|finished| start.run <= *finished) {
            return Outcome::Outdated;
        }
        self.deadline = self.deadline.max(start.deadline_ms);
        if faults.no_deadline {
            self.deadline = self.deadline.max(now + 1);
        }
        if self.runs.get(&start.task).is_none_or(|run| *run < start.run) {
            self.runs.insert(start.task, start.run);
        }
        Outcome::Taken
    }

    pub(super) fn stop(&mut self, stop: &Stop, faults: &Faults) -> Outcome {
        if let Err(outcome) = self.check_token(stop.token, faults) {
            return outcome;
        }
        if self.runs.get(&stop.task) == Some(&stop.run) {
            self.end(stop.task, EndReason::Stopped);
        } else {
            self.record_finished(stop.task, stop.run);
        }
        Outcome::Taken
    }

    fn check_token(&mut self, token: u64, faults: &Faults) -> Result<(), Outcome> {
        if token < self.token && !faults.unfenced_workers {
            return Err(Outcome::Fenced);
        }
        self.token = self.token.max(token);
        Ok(())
    }

    pub(super) fn describe(&self) -> String {
        let runs: Vec<String> = self.runs.iter().map(|(task, run)| format!("{task}/{run}")).collect();
        format!("{} runs [{}]", self.name, runs.join(" "))
    }
}
