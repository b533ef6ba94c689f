//! Workers that run tasks, and machines that refuse all orders.

use std::collections::BTreeMap;
use std::time::Duration;

use rattanfall_jobs::dispatch::command::{PolicyRequest, Poll, Start, Stop, Throttle};
use rattanfall_jobs::dispatch::event::{
    EndReason, EndedRun, Machine, MachineState, Outcome, RunStatus, WorkerStatus,
};
use rattanfall_jobs::ids::TaskId;
use rattanfall_jobs::ports::{MachineOutcome, Machines, Tickets, Upstreams};
use tokio::time::{Instant, sleep};

use super::TASK_MS;
use super::store::{Defect, MemoryPlatform};

/// Start time of all workers.
pub(super) const STARTED_MS: u64 = 7;

/// Ends that a worker lists at a time.
const MAX_LISTED_ENDS: usize = 500;
/// Time for which the list shows a machine in upkeep.
const UPKEEP_TIME: Duration = Duration::from_millis(600);

pub(super) struct Worker {
    token: u64,
    runs: BTreeMap<TaskId, (u32, Instant)>,
    ended: Vec<EndedRun>,
    count: u64,
}

impl Upstreams for MemoryPlatform {
    async fn poll(&self, poll: &Poll) -> Result<WorkerStatus, Outcome> {
        let deadline = Instant::now() + Duration::from_millis(poll.wait_ms);
        loop {
            self.hang_if_killed().await;
            sleep(Duration::from_millis(2)).await;
            let clock = self.clock();
            let mut shared = self.shared.borrow_mut();
            if shared.workers_hang {
                return Err(Outcome::TimedOut);
            }
            shared.fail_at(Defect::Poll);
            let worker = shared.workers.get_mut(&poll.target.worker).ok_or(Outcome::Unsent)?;
            if poll.token < worker.token {
                return Err(Outcome::Fenced);
            }
            worker.token = poll.token;
            worker.ended.retain(|end| end.number > poll.acknowledged);
            worker.finish();
            if worker.ended.is_empty() && Instant::now() < deadline {
                continue;
            }
            let running = worker.runs.iter().map(|(task, (run, _))| RunStatus {
                task: *task,
                run: *run,
                checkpoint: String::new(),
                progress: 50,
                metric: 0,
            });
            return Ok(WorkerStatus {
                clock_ms: clock,
                started_ms: STARTED_MS,
                running: running.collect(),
                ended: worker.ended.iter().take(MAX_LISTED_ENDS).cloned().collect(),
                more_ended: worker.ended.len() >= MAX_LISTED_ENDS,
            });
        }
    }

    async fn start(&self, start: &Start) -> Outcome {
        self.hang_if_killed().await;
        sleep(Duration::from_millis(1)).await;
        let mut shared = self.shared.borrow_mut();
        if shared.workers_hang {
            return Outcome::TimedOut;
        }
        let length = Duration::from_millis(TASK_MS) + shared.task_stagger * u32::from(start.task.index);
        let runs = shared.workers.values().filter(|worker| worker.runs.contains_key(&start.task)).count();
        let Some(worker) = shared.workers.get_mut(&start.target.worker) else { return Outcome::Unsent };
        if start.token < worker.token {
            return Outcome::Fenced;
        }
        worker.token = start.token;
        if worker.runs.get(&start.task).is_some_and(|(run, _)| *run == start.run) {
            return Outcome::Taken;
        }
        worker.runs.insert(start.task, (start.run, Instant::now() + length));
        shared.starts += 1;
        shared.started.insert(start.task.job, Instant::now());
        shared.duplicate_starts += runs;
        Outcome::Taken
    }

    async fn stop(&self, stop: &Stop) -> Outcome {
        self.hang_if_killed().await;
        sleep(Duration::from_millis(1)).await;
        let mut shared = self.shared.borrow_mut();
        if shared.workers_hang {
            return Outcome::TimedOut;
        }
        let Some(worker) = shared.workers.get_mut(&stop.target.worker) else { return Outcome::Unsent };
        if worker.runs.remove(&stop.task).is_some() {
            worker.end(stop.task, stop.run, EndReason::Stopped);
        }
        Outcome::Taken
    }

    async fn throttle(&self, _: &Throttle) -> Outcome {
        Outcome::Taken
    }

    async fn advise(&self, _: &PolicyRequest) -> Option<Tickets> {
        None
    }
}

impl Worker {
    pub(super) const fn new() -> Self {
        Self { token: 0, runs: BTreeMap::new(), ended: Vec::new(), count: 0 }
    }

    fn finish(&mut self) {
        let now = Instant::now();
        let over: Vec<(TaskId, u32)> = self
            .runs
            .iter()
            .filter(|(_, (_, ends))| *ends <= now)
            .map(|(task, (run, _))| (*task, *run))
            .collect();
        for (task, run) in over {
            self.runs.remove(&task);
            self.end(task, run, EndReason::Done);
        }
    }

    fn end(&mut self, task: TaskId, run: u32, reason: EndReason) {
        self.count += 1;
        self.ended.push(EndedRun { number: self.count, task, run, reason, checkpoint: String::new() });
    }
}

impl Machines for MemoryPlatform {
    async fn list(&self) -> Option<Vec<Machine>> {
        let delay = self.shared.borrow_mut().list_delays.pop_front();
        let machines = self.machine_list();
        match delay {
            Some(Some(delay)) => sleep(delay).await,
            Some(None) => std::future::pending().await,
            None => {}
        }
        Some(machines)
    }

    async fn move_to(&self, _: &str, _: &str, _: u64) -> MachineOutcome {
        MachineOutcome::Absent
    }

    async fn maintain(&self, machine: &str, wave: u64, _: u64) -> MachineOutcome {
        let delay = {
            let mut shared = self.shared.borrow_mut();
            shared.upkeeps.push((wave, machine.to_owned()));
            shared.maintained.insert(machine.to_owned(), Instant::now());
            shared.upkeep_delays.pop_front()
        };
        match delay {
            Some(Some(delay)) => sleep(delay).await,
            Some(None) => std::future::pending().await,
            None => {}
        }
        MachineOutcome::Taken
    }
}

impl MemoryPlatform {
    fn machine_list(&self) -> Vec<Machine> {
        let shared = self.shared.borrow();
        let machines = shared.workers.keys().map(|id| {
            let name = format!("m-{id}");
            let maintained = shared.maintained.get(&name).is_some_and(|at| at.elapsed() < UPKEEP_TIME);
            Machine {
                name,
                pool: "red".into(),
                state: if maintained { MachineState::Upkeep } else { MachineState::Up },
                zone: "zone-a".into(),
                labels: Vec::new(),
                worker: Some(id.clone()),
            }
        });
        machines.collect()
    }
}
