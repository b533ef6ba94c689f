//! Fake worker with slots, requests, and tasks under leases.

use std::collections::BTreeMap;

use rattanfall_core::engine::Millis;
use rattanfall_core::engine::command::{TaskAction, TaskCall};
use rattanfall_core::engine::event::{TaskAnswer, TaskReport, WorkerRefusal};
use rattanfall_core::ids::{TaskId, TeamId};

/// Validity of a lease, in milliseconds.
const LEASE_MS: u64 = 3_000;

/// Started attempt of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TaskRun {
    pub attempt: u32,
    pub team: TeamId,
    pub end: u64,
    pub expires: u64,
    pub state: RunState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    Running,
    Done,
    Failed,
    Stopped,
}

/// Fake worker and its faults.
pub struct FakeWorker {
    pub nonce: u64,
    pub pool: String,
    pub zone: String,
    pub rack: String,
    pub slots: u32,
    pub dead: bool,
    pub leaving: bool,
    /// Fails every request and task immediately.
    pub fails: bool,
    /// Receives calls about tasks but ignores them.
    pub silent: bool,
    pub reboots: u32,
    /// Number of starts of each task, to check that it did not run twice.
    pub starts: BTreeMap<TaskId, u32>,
    /// Time of the last start of a request or task, in milliseconds.
    pub last_start: u64,
    requests: Vec<(TeamId, u64)>,
    pub tasks: BTreeMap<TaskId, TaskRun>,
    leases: BTreeMap<u64, (TaskId, u32, u64)>,
    next_lease: u64,
}

impl FakeWorker {
    pub fn new(nonce: u64, pool: &str, zone: &str, rack: &str, slots: u32) -> Self {
        Self {
            nonce,
            pool: pool.into(),
            zone: zone.into(),
            rack: rack.into(),
            slots,
            dead: false,
            leaving: false,
            fails: false,
            silent: false,
            reboots: 0,
            starts: BTreeMap::new(),
            last_start: 0,
            requests: Vec::new(),
            tasks: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
        }
    }

    /// Restarts the process, which loses its state.
    pub fn restart(&mut self, nonce: u64) {
        self.nonce = nonce;
        self.requests.clear();
        self.tasks.clear();
        self.leases.clear();
    }

    pub fn running(&self) -> u32 {
        u32::try_from(self.teams().count()).expect("few runs")
    }

    pub fn teams(&self) -> impl Iterator<Item = TeamId> + '_ {
        let tasks = self.tasks.values().filter(|run| run.state == RunState::Running).map(|run| run.team);
        self.requests.iter().map(|(team, _)| *team).chain(tasks)
    }

    pub fn start_request(&mut self, team: TeamId, now: u64, end: u64) {
        self.last_start = now;
        self.requests.push((team, end));
    }

    pub fn advance(&mut self, now: u64) {
        self.requests.retain(|(_, end)| *end > now);
        if self.dead {
            self.requests.clear();
            self.tasks.clear();
        }
        for run in self.tasks.values_mut().filter(|run| run.state == RunState::Running) {
            if run.expires <= now {
                run.state = RunState::Stopped;
            } else if run.end <= now {
                run.state = if self.fails { RunState::Failed } else { RunState::Done };
            }
        }
    }

    pub fn answer(&mut self, now: u64, call: &TaskCall) -> Option<TaskReport> {
        if self.silent {
            return None;
        }
        let answer = if self.dead { TaskAnswer::Unsent } else { self.answer_alive(now, call) };
        let nonce = if self.dead { 0 } else { self.nonce };
        Some(TaskReport { task: call.task, attempt: call.attempt, worker: call.worker, nonce, answer })
    }

    fn answer_alive(&mut self, now: u64, call: &TaskCall) -> TaskAnswer {
        match &call.action {
            TaskAction::Lease { pool } => self.lease(now, call, pool),
            TaskAction::Start { lease, payload, .. } => self.start(now, call, *lease, payload),
            TaskAction::Renew { lease } => self.renew(now, call, *lease),
            TaskAction::Query => self.status(call),
            TaskAction::Stop => {
                if let Some(run) = self.tasks.get_mut(&call.task).filter(|r| r.state == RunState::Running) {
                    run.state = RunState::Stopped;
                }
                self.status(call)
            }
        }
    }

    fn lease(&mut self, now: u64, call: &TaskCall, pool: &str) -> TaskAnswer {
        if pool != self.pool {
            return TaskAnswer::Refused(WorkerRefusal::WrongPool);
        }
        if self.leaving {
            return TaskAnswer::Refused(WorkerRefusal::Leaving);
        }
        if self.running() >= self.slots {
            return TaskAnswer::Refused(WorkerRefusal::Full);
        }
        let lease = self.next_lease;
        self.next_lease += 1;
        self.leases.insert(lease, (call.task, call.attempt, now + LEASE_MS));
        TaskAnswer::Leased { lease, ttl_ms: LEASE_MS, asked: Millis(now) }
    }

    fn start(&mut self, now: u64, call: &TaskCall, lease: u64, payload: &[u8]) -> TaskAnswer {
        let granted = self.leases.get(&lease).copied();
        let Some((_, _, expires)) = granted.filter(|g| *g == (call.task, call.attempt, g.2) && g.2 > now)
        else {
            return TaskAnswer::Refused(WorkerRefusal::Lease);
        };
        if self.tasks.get(&call.task).is_some_and(|run| run.attempt >= call.attempt) {
            return self.status(call);
        }
        if self.running() >= self.slots {
            return TaskAnswer::Refused(WorkerRefusal::Full);
        }
        let text = String::from_utf8_lossy(payload);
        let (team, ms) = text.split_once(':').unwrap_or(("0", &text));
        let ms: u64 = if self.fails { 0 } else { ms.parse().expect("payload is a number of milliseconds") };
        let team = TeamId(team.parse().expect("payload starts with a team"));
        let run = TaskRun { attempt: call.attempt, team, end: now + ms, expires, state: RunState::Running };
        self.tasks.insert(call.task, run);
        self.last_start = now;
        *self.starts.entry(call.task).or_default() += 1;
        TaskAnswer::Running
    }

    fn renew(&mut self, now: u64, call: &TaskCall, lease: u64) -> TaskAnswer {
        if let Some(granted) = self.leases.get_mut(&lease) {
            granted.2 = granted.2.max(now + LEASE_MS);
        }
        match self.tasks.get_mut(&call.task).filter(|run| run.attempt == call.attempt) {
            Some(run) if run.state == RunState::Running => {
                run.expires = now + LEASE_MS;
                let lease = if lease == 0 { u64::MAX } else { lease };
                TaskAnswer::Leased { lease, ttl_ms: LEASE_MS, asked: Millis(now) }
            }
            _ => self.status(call),
        }
    }

    fn status(&self, call: &TaskCall) -> TaskAnswer {
        match self.tasks.get(&call.task).filter(|run| run.attempt == call.attempt) {
            None => TaskAnswer::Never,
            Some(run) => match run.state {
                RunState::Running => TaskAnswer::Running,
                RunState::Done => TaskAnswer::Done(b"ok".to_vec()),
                RunState::Failed => TaskAnswer::Failed("the worker fails everything".into()),
                RunState::Stopped => TaskAnswer::Stopped { checkpoint: None },
            },
        }
    }
}
