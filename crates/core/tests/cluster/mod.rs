//! Simulated cluster for engine tests: engines, a log, and fake workers that run requests and tasks in virtual time.
//!
//! The cluster only executes the engines' commands. Faults are switches: a log that is down or loses answers, a worker
//! that is dead, full or silent, an entry instance that is frozen, killed or partitioned.

#![allow(dead_code, unreachable_pub, reason = "each test file uses a part of the module")]

pub mod checks;
pub mod worker;

use std::collections::{BTreeMap, BTreeSet};

use checks::Checks;
use rattanfall_core::declaration::Declaration;
use rattanfall_core::engine::command::{Command, ProposalError, Refusal};
use rattanfall_core::engine::event::{
    AppendOutcome, AttemptOutcome, List, ListedEntry, Submission, TaskSubmission, WorkerRefusal,
};
use rattanfall_core::engine::{Engine, Event, Millis, Options, RequestKey, TICK_MS, Ticket};
use rattanfall_core::fleet::{Effect, Fleet};
use rattanfall_core::ids::{Offset, TaskId, TeamId, WorkerId};
use rattanfall_core::record::{Batch, Class, KeyHash, Record, WorkerSeen};
use worker::FakeWorker;

/// Entry instance and its faults.
pub struct Node {
    pub engine: Engine,
    /// True if the process makes no progress.
    pub frozen: bool,
    /// True if the instance reaches neither the log nor its peers; it still reaches the workers.
    pub cut: bool,
    pub killed: bool,
    pub exited: bool,
    pub refused: BTreeMap<RequestKey, Refusal>,
    pub resolved: BTreeMap<Ticket, Result<(Offset, Effect), ProposalError>>,
    in_flight: BTreeMap<RequestKey, InFlight>,
    pub answered: u64,
}

/// Request in flight, with the times of its answer and of its deadline.
struct InFlight {
    worker: String,
    answer: u64,
    deadline: u64,
}

/// Engines and the fakes around them.
pub struct SimCluster {
    pub now: Millis,
    pub log: Vec<Batch>,
    pub log_down: bool,
    /// Number of next appends that take effect but whose answers are lost.
    pub lose_answers: u32,
    pub nodes: BTreeMap<String, Node>,
    pub workers: BTreeMap<String, FakeWorker>,
    pub list_version: u64,
    /// Run time of new requests, in milliseconds.
    pub work_ms: u64,
    /// Delay until requests reach a worker, in milliseconds.
    pub delay_ms: u64,
    pub checks: Checks,
    nonces: u64,
}

impl SimCluster {
    pub fn new() -> Self {
        Self {
            now: Millis(0),
            log: Vec::new(),
            log_down: false,
            lose_answers: 0,
            nodes: BTreeMap::new(),
            workers: BTreeMap::new(),
            list_version: 1,
            work_ms: 100,
            delay_ms: 0,
            checks: Checks::default(),
            nonces: 0,
        }
    }

    /// Starts an entry instance. A second start under the same name replaces the process.
    pub fn start(&mut self, name: &str, zone: &str) {
        self.nonces += 1;
        let options = Options {
            name: name.into(),
            zone: zone.into(),
            address: format!("127.0.0.1:{}", 7000 + self.nonces),
            nonce: self.nonces,
            list_lag_ms: 2_000,
            ..Options::default()
        };
        let node = Node {
            engine: Engine::new(options, self.nonces),
            frozen: false,
            cut: false,
            killed: false,
            exited: false,
            refused: BTreeMap::new(),
            resolved: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            answered: 0,
        };
        self.nodes.insert(name.into(), node);
        self.list_version += 1;
    }

    pub fn add_worker(&mut self, name: &str, pool: &str, zone: &str, rack: &str, slots: u32) {
        self.nonces += 1;
        self.workers.insert(name.into(), FakeWorker::new(self.nonces, pool, zone, rack, slots));
        self.list_version += 1;
    }

    pub fn node(&mut self, name: &str) -> &mut Node {
        self.nodes.get_mut(name).expect("node exists")
    }

    pub fn fleet(&self, name: &str) -> &Fleet {
        self.nodes[name].engine.fleet()
    }

    pub fn propose(&mut self, name: &str, record: Record) -> Ticket {
        let now = self.now;
        self.node(name).engine.propose(now, record)
    }

    pub fn configure(&mut self, name: &str, declaration: &Declaration) -> Ticket {
        let base = self.fleet(name).version;
        self.propose(name, Record::ConfigChanged { base, declaration: declaration.clone() })
    }

    pub fn submit(
        &mut self,
        name: &str,
        key: KeyHash,
        pool: &str,
        idempotent: bool,
        deadline_ms: u64,
    ) -> RequestKey {
        let now = self.now;
        let submission = Submission {
            key: Some(key),
            pool: pool.into(),
            class: Class::Normal,
            idempotent,
            deadline_ms: Some(deadline_ms),
        };
        let request = self.node(name).engine.submit(now, submission);
        self.run_commands(name);
        request
    }

    pub fn submit_task(
        &mut self,
        name: &str,
        key: KeyHash,
        pool: &str,
        idempotent: bool,
        ms: u64,
    ) -> Option<Ticket> {
        let now = self.now;
        let submission = TaskSubmission {
            key: Some(key),
            pool: pool.into(),
            class: Class::Normal,
            idempotent,
            token: None,
            payload: format!("{}:{ms}", self.team(key).0).into_bytes(),
        };
        self.node(name).engine.submit_task(now, submission).ok()
    }

    fn team(&self, key: KeyHash) -> TeamId {
        let known = self.nodes.values().find_map(|n| {
            let fleet = n.engine.fleet();
            fleet.hashes.get(&key).map(|id| fleet.keys[id].team)
        });
        known.unwrap_or_default()
    }

    /// Advances the time in ticks.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / TICK_MS {
            self.now = self.now.plus(TICK_MS);
            self.step();
        }
    }

    fn step(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            worker.advance(now.0);
        }
        let names: Vec<String> = self.nodes.keys().cloned().collect();
        for name in &names {
            self.step_node(name);
        }
        self.check_invariants();
    }

    fn step_node(&mut self, name: &str) {
        let now = self.now;
        if !self.nodes[name].is_running() {
            return;
        }
        self.deliver_log(name);
        self.deliver_list(name);
        self.deliver_outcomes(name);
        self.node(name).engine.tick(now);
        self.run_commands(name);
    }

    fn deliver_log(&mut self, name: &str) {
        if self.log_down || self.nodes[name].cut {
            return;
        }
        let now = self.now;
        let node = self.nodes.get_mut(name).expect("node exists");
        let next = node.engine.fleet().applied.map_or(1, |last| last.0 + 1);
        let first = usize::try_from(next - 1).expect("small log");
        for (index, batch) in self.log.iter().enumerate().skip(first) {
            let offset = Offset(index as u64 + 1);
            node.engine.handle(now, Event::LogBatch { offset, batch: batch.clone() });
        }
        node.engine.handle(now, Event::LogEnd);
    }

    fn deliver_list(&mut self, name: &str) {
        if self.log_down || self.nodes[name].cut {
            return;
        }
        let list = self.list();
        let now = self.now;
        self.node(name).engine.handle(now, Event::List(list));
    }

    fn list(&self) -> List {
        let entries = self.nodes.values().filter(|n| !n.killed && !n.exited);
        let entry = |n: &Node| ListedEntry {
            name: n.engine.options().name.clone(),
            nonce: n.engine.options().nonce,
            leaving: false,
        };
        let workers = self.workers.iter().filter(|(_, w)| !w.dead);
        let seen = |(name, w): (&String, &FakeWorker)| WorkerSeen {
            name: name.clone(),
            nonce: w.nonce,
            address: name.clone(),
            zone: w.zone.clone(),
            rack: w.rack.clone(),
            pool: w.pool.clone(),
            slots: w.slots,
            leaving: w.leaving,
        };
        List {
            version: self.list_version,
            entries: entries.map(entry).collect(),
            workers: workers.map(seen).collect(),
        }
    }

    fn deliver_outcomes(&mut self, name: &str) {
        let now = self.now;
        let node = self.nodes.get_mut(name).expect("node exists");
        let ended = |pending: &InFlight| pending.answer.min(pending.deadline) <= now.0;
        let done: Vec<RequestKey> =
            node.in_flight.iter().filter(|(_, pending)| ended(pending)).map(|(key, _)| *key).collect();
        for request in done {
            let pending = node.in_flight.remove(&request).expect("request is flying");
            let worker = &self.workers[&pending.worker];
            let outcome = if worker.dead {
                AttemptOutcome::Broken
            } else if pending.answer > now.0 {
                AttemptOutcome::TimedOut
            } else {
                AttemptOutcome::Answered { failed: worker.fails }
            };
            if matches!(outcome, AttemptOutcome::Answered { .. }) {
                node.answered += 1;
            }
            node.engine.handle(now, Event::RequestEnded { request, outcome });
        }
    }

    fn run_commands(&mut self, name: &str) {
        loop {
            let commands = self.node(name).engine.take_commands();
            if commands.is_empty() {
                return;
            }
            for command in commands {
                self.run_command(name, command);
            }
        }
    }

    fn run_command(&mut self, name: &str, command: Command) {
        let now = self.now;
        match command {
            Command::Send(call) => self.send(name, &call),
            Command::Refuse { request, refusal } => drop(self.node(name).refused.insert(request, refusal)),
            Command::Append(batch) => self.append(name, batch),
            Command::Resolve { ticket, result } => drop(self.node(name).resolved.insert(ticket, result)),
            Command::Gossip(digest) => self.gossip(name, &digest),
            Command::Task(call) => {
                let Some(worker) = self.workers.get_mut(&call.address) else { return };
                if let Some(report) = worker.answer(now.0, &call) {
                    self.node(name).engine.handle(now, Event::TaskReport(report));
                }
            }
            Command::Probe { worker, address } => {
                let alive = self.workers.get(&address).is_some_and(|w| !w.dead);
                self.node(name).engine.handle(now, Event::Probed { worker, alive });
            }
            Command::Reboot { worker, name: target, pool, .. } => self.reboot(name, worker, &target, &pool),
            Command::Exit => self.node(name).exited = true,
            Command::Rejoin => {
                let zone = self.nodes[name].engine.options().zone.clone();
                self.start(name, &zone);
            }
        }
    }

    fn send(&mut self, name: &str, call: &rattanfall_core::engine::command::Send) {
        let now = self.now;
        let work_ms = self.work_ms;
        let team = self.team_of(name, call.request);
        let refusal = match self.workers.get_mut(&call.address) {
            None => Some(AttemptOutcome::Unsent),
            Some(worker) if worker.dead => Some(AttemptOutcome::Unsent),
            Some(worker) if worker.pool != call.pool => {
                Some(AttemptOutcome::Refused(WorkerRefusal::WrongPool))
            }
            Some(worker) if worker.leaving => Some(AttemptOutcome::Refused(WorkerRefusal::Leaving)),
            Some(worker) if worker.running() >= worker.slots => {
                Some(AttemptOutcome::Refused(WorkerRefusal::Full))
            }
            Some(worker) => {
                let ms = if worker.fails { 1 } else { work_ms };
                let arrival = now.0 + self.delay_ms;
                let deadline = now.0 + call.left_ms;
                // The worker counts the time limit from the arrival.
                worker.start_request(team, now.0, (arrival + ms).min(arrival + call.left_ms));
                let pending = InFlight { worker: call.address.clone(), answer: arrival + ms, deadline };
                self.node(name).in_flight.insert(call.request, pending);
                None
            }
        };
        if let Some(outcome) = refusal {
            self.node(name).engine.handle(now, Event::RequestEnded { request: call.request, outcome });
        }
    }

    fn team_of(&self, name: &str, request: RequestKey) -> TeamId {
        self.nodes[name].engine.team_of(request).unwrap_or_default()
    }

    fn append(&mut self, name: &str, batch: Batch) {
        let now = self.now;
        let sequence = batch.sequence;
        let reachable = !self.log_down && !self.nodes[name].cut;
        let lost = reachable && self.lose_answers > 0;
        if reachable {
            self.log.push(batch);
        }
        if lost {
            self.lose_answers -= 1;
        }
        let outcome = match (reachable, lost) {
            (false, _) => AppendOutcome::NotAppended,
            (true, true) => AppendOutcome::Unknown,
            (true, false) => AppendOutcome::Appended,
        };
        self.node(name).engine.handle(now, Event::AppendEnded { sequence, outcome });
    }

    fn gossip(&mut self, name: &str, digest: &rattanfall_core::engine::event::Digest) {
        if self.nodes[name].cut {
            return;
        }
        let now = self.now;
        for (other, node) in &mut self.nodes {
            if other != name && node.is_running() && !node.cut {
                node.engine.handle(now, Event::Digest(digest.clone()));
            }
        }
    }

    fn reboot(&mut self, name: &str, worker: WorkerId, target: &str, pool: &str) {
        let now = self.now;
        self.nonces += 1;
        let nonce = self.nonces;
        let row = self.workers.get_mut(target).expect("worker exists");
        assert_eq!(row.running(), 0, "reboot of {target} cuts running work");
        row.nonce = nonce;
        row.pool = pool.into();
        row.reboots += 1;
        self.list_version += 1;
        self.node(name).engine.handle(now, Event::Rebooted(worker));
    }

    /// Kills the process of an entry instance; what it sent keeps running at the workers.
    pub fn kill(&mut self, name: &str) {
        self.node(name).killed = true;
        self.list_version += 1;
    }

    /// Asks an entry instance to stop gracefully.
    pub fn stop(&mut self, name: &str) {
        let now = self.now;
        self.node(name).engine.handle(now, Event::Stop);
    }

    fn check_invariants(&mut self) {
        let cut: Vec<&str> =
            self.nodes.iter().filter(|(_, n)| n.cut).map(|(name, _)| name.as_str()).collect();
        self.checks.check(self.now.0, &self.log, &self.workers, cut.is_empty());
    }

    /// Ids of all accepted tasks, according to one instance.
    pub fn tasks(&self, name: &str) -> BTreeSet<TaskId> {
        self.fleet(name).tasks.keys().copied().collect()
    }
}

impl Node {
    pub fn is_running(&self) -> bool {
        !self.frozen && !self.killed && !self.exited
    }
}
