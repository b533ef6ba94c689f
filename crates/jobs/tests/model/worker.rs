//! Worker of the model: it refuses older owners, keeps its ends until they are acknowledged, and kills what has no lease.

use std::collections::BTreeMap;

use rattanfall_jobs::dispatch::command::{Poll, Start, Stop};
use rattanfall_jobs::dispatch::event::{EndReason, EndedRun, Outcome, RunStatus, WorkerRecord, WorkerStatus};
use rattanfall_jobs::ids::TaskId;

use super::{Faults, UNIX, record};

/// Processor that each task takes, in thousandths of a core.
const TASK_CPU: u64 = 1_000;

#[derive(Clone, Debug)]
pub(super) struct Host {
    pub(super) name: String,
    pub(super) runs: BTreeMap<TaskId, u32>,
    cpu: u64,
    started_ms: u64,
    token: u64,
    deadline: u64,
    ended: Vec<EndedRun>,
    count: u64,
    /// Highest run of each task that was stopped or has ended here.
    over: BTreeMap<TaskId, u32>,
}

impl Host {
    pub(super) fn new(index: usize, cpu: u64) -> Self {
        Self {
            name: format!("w{index}"),
            runs: BTreeMap::new(),
            cpu,
            started_ms: UNIX,
            token: 0,
            deadline: 0,
            ended: Vec::new(),
            count: 0,
            over: BTreeMap::new(),
        }
    }

    pub(super) fn restart(&mut self, started_ms: u64) {
        let (name, cpu) = (std::mem::take(&mut self.name), self.cpu);
        *self = Self { name, started_ms, ..Self::new(0, cpu) };
    }

    pub(super) fn record(&self, now: u64) -> WorkerRecord {
        record(&self.name, self.cpu, self.started_ms, now)
    }

    pub(super) fn overfull(&self) -> bool {
        self.runs.len() as u64 * TASK_CPU > self.cpu
    }

    /// Kills everything once the lease is over.
    pub(super) fn lapse(&mut self, now: u64) {
        if self.deadline <= now {
            for task in self.runs.keys().copied().collect::<Vec<_>>() {
                self.end(task, EndReason::Lapsed);
            }
        }
    }

    pub(super) fn end(&mut self, task: TaskId, reason: EndReason) {
        let Some(run) = self.runs.remove(&task) else { return };
        self.count += 1;
        self.note_over(task, run);
        self.ended.push(EndedRun { number: self.count, task, run, reason, checkpoint: String::new() });
    }

    fn note_over(&mut self, task: TaskId, run: u32) {
        let over = self.over.entry(task).or_insert(0);
        *over = run.max(*over);
    }

    /// Forgets the ends that a look acknowledges. Returns their tasks.
    pub(super) fn forget(&mut self, poll: &Poll, faults: &Faults) -> Vec<(TaskId, EndReason)> {
        if poll.token < self.token && !faults.open_workers {
            return Vec::new();
        }
        let gone = |end: &mut EndedRun| end.number <= poll.acknowledged || faults.early_forget;
        self.ended.extract_if(.., gone).map(|end| (end.task, end.reason)).collect()
    }

    pub(super) fn poll(&mut self, now: u64, poll: &Poll, faults: &Faults) -> Result<WorkerStatus, Outcome> {
        self.admit(poll.token, faults)?;
        self.deadline = self.deadline.max(poll.deadline_ms.unwrap_or(0));
        let listed = |(task, run): (&TaskId, &u32)| RunStatus {
            task: *task,
            run: *run,
            checkpoint: String::new(),
            progress: 50,
            metric: 0,
        };
        let running = self.runs.iter().map(listed).collect();
        Ok(WorkerStatus { clock_ms: now, started_ms: self.started_ms, running, ended: self.ended.clone() })
    }

    pub(super) fn start(&mut self, now: u64, start: &Start, faults: &Faults) -> Outcome {
        if let Err(outcome) = self.admit(start.token, faults) {
            return outcome;
        }
        if start.deadline_ms <= now && !faults.no_deadline {
            return Outcome::Late;
        }
        if self.over.get(&start.task).is_some_and(|over| start.run <= *over) {
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
        if let Err(outcome) = self.admit(stop.token, faults) {
            return outcome;
        }
        if self.runs.get(&stop.task) == Some(&stop.run) {
            self.end(stop.task, EndReason::Stopped);
        } else {
            self.note_over(stop.task, stop.run);
        }
        Outcome::Taken
    }

    fn admit(&mut self, token: u64, faults: &Faults) -> Result<(), Outcome> {
        if token < self.token && !faults.open_workers {
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
