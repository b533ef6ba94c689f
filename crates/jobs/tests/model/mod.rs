//! World of the model checker: instances that own the work or did, one store, and workers.
//!
//! The decisions are the real [`Dispatcher`]; the store, the workers and the network around it are written down here as
//! the interfaces describe them. Every order is a step of its own, so orders overtake each other, get no answer and are
//! carried out late. Time moves in few long steps; faults and bounds are part of the [`Setup`].

mod store;
mod worker;

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::hash::{DefaultHasher, Hasher};
use std::sync::Arc;

use rattanfall_jobs::catalog::{Catalog, Pool, Queue};
use rattanfall_jobs::dispatch::command::Command;
use rattanfall_jobs::dispatch::event::{EndReason, Outcome, WorkerRecord, WorkerStatus};
use rattanfall_jobs::dispatch::options::Options;
use rattanfall_jobs::dispatch::{Dispatcher, Write};
use rattanfall_jobs::ids::{JobId, TaskId};
use rattanfall_jobs::record::Intake;
use rattanfall_jobs::spec::{Resources, Step, Submission, Terms};
use rattanfall_jobs::table::JobState;

use store::Store;
use worker::Host;

/// Time of day at the start, in milliseconds since 1970.
const UNIX: u64 = 1_700_000_000_000;
/// Short step of time, in milliseconds. Above the gaps between looks and between repeated orders.
const SHORT_MS: u64 = 500;
/// Long step of time, in milliseconds. Leases are over after two, and a silent owner has stopped granting them.
const LONG_MS: u64 = 5_000;
/// The one job.
const JOB: JobId = JobId(1);

/// What the world holds, what may go wrong in it and how often.
#[derive(Clone, Debug)]
pub(crate) struct Setup {
    pub(crate) steps: Vec<Step>,
    /// Processor that each worker has, in thousandths of a core.
    pub(crate) capacities: Vec<u64>,
    pub(crate) left: Left,
    pub(crate) network: Network,
    pub(crate) faults: Faults,
}

/// How orders travel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Network {
    /// Every order is a step of its own.
    Free,
    /// Looks are carried out at once, which leaves room for larger bounds.
    QuickLooks,
    /// As `QuickLooks`; besides, only the first owner reaches the first worker.
    FirstWorkerCut,
}

/// How often each event may still happen.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Left {
    pub(crate) claims: u8,
    /// Orders that get no answer and may be carried out later.
    pub(crate) losses: u8,
    /// Restarts of workers.
    pub(crate) restarts: u8,
    pub(crate) shorts: u8,
    pub(crate) longs: u8,
    pub(crate) fails: u8,
    pub(crate) cancels: u8,
}

/// Rules that are switched off, to see that the checker notices.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Faults {
    /// The owner takes a write for stored before it is.
    pub(crate) early_write: bool,
    /// A claim does not require that the successor has read everything.
    pub(crate) blind_claim: bool,
    /// The store takes writes of former owners.
    pub(crate) open_store: bool,
    /// Workers take orders of former owners.
    pub(crate) open_workers: bool,
    /// Workers carry out starts after their deadline.
    pub(crate) no_deadline: bool,
    /// Contact with the store counts although another owner may have claimed the work.
    pub(crate) any_contact: bool,
    /// A worker that does not answer counts as ended.
    pub(crate) hasty_end: bool,
    /// Workers forget an end when they list it.
    pub(crate) early_forget: bool,
}

/// Process that owns the work or did.
#[derive(Clone, Debug)]
struct Owner {
    dispatcher: Dispatcher,
    /// Write under way, and whether the store has taken it.
    write: Option<(Write, bool)>,
}

/// Order under way.
#[derive(Clone, Debug)]
struct Call {
    /// Epoch of the sender.
    epoch: u64,
    command: Command,
    /// True if the sender has been told that there is no answer.
    lost: bool,
}

#[derive(Clone, Debug)]
enum Answer {
    Poll(Result<WorkerStatus, Outcome>),
    Order(Outcome),
}

/// One step.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    Tick(usize),
    StoreTakes(usize),
    StoreAnswers(usize),
    Carry(usize),
    Lose(usize),
    Claim,
    End(usize, TaskId, EndReason),
    Restart(usize),
    Short,
    Long,
    Cancel,
}

impl Act {
    /// Name without what it acts on.
    pub(crate) const fn name(&self) -> &'static str {
        match self {
            Self::Tick(_) => "tick",
            Self::StoreTakes(_) => "store_takes",
            Self::StoreAnswers(_) => "store_answers",
            Self::Carry(_) => "carry",
            Self::Lose(_) => "lose",
            Self::Claim => "claim",
            Self::End(_, _, EndReason::Failed) => "fail",
            Self::End(..) => "end",
            Self::Restart(_) => "restart",
            Self::Short => "short",
            Self::Long => "long",
            Self::Cancel => "cancel",
        }
    }
}

/// State of everything.
#[derive(Clone, Debug)]
pub(crate) struct World {
    now: u64,
    owners: Vec<Owner>,
    store: Store,
    hosts: Vec<Host>,
    calls: Vec<Call>,
    left: Left,
    network: Network,
    faults: Faults,
    /// Tasks with a run that ended as done.
    done: BTreeSet<TaskId>,
    /// Tasks whose end as done a worker was told to be noted.
    noted: BTreeSet<TaskId>,
    pub(crate) broken: Option<String>,
}

struct Digest(DefaultHasher);

impl std::fmt::Write for Digest {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        self.0.write(text.as_bytes());
        Ok(())
    }
}

fn catalog() -> Arc<Catalog> {
    let terms = Terms { pool: "red".into(), priority: 0, attempts: 2, stretch_percent: 160, target_ms: 600 };
    let queue = Queue {
        name: "orders".into(),
        host: "host".into(),
        prefix: "/orders/".into(),
        terms,
        open: true,
        policy: None,
    };
    let pool = Pool { name: "red".into(), standby: false, checks_capacity: false };
    Arc::new(Catalog { version: 1, queues: vec![queue], pools: vec![pool], teams: Vec::new() })
}

fn submission(steps: Vec<Step>) -> Submission {
    let catalog = catalog();
    Submission {
        id: JOB,
        queue: "orders".into(),
        terms: catalog.queues[0].terms.clone(),
        team: None,
        payload: "work".into(),
        steps,
        schedule: None,
        arrived_ms: UNIX,
    }
}

/// Steps of one task each; each after the one before.
pub(crate) fn chain(length: u16) -> Vec<Step> {
    let need = Resources { cpu: 1_000, memory: 100, accelerators: 0 };
    let after = |index: u16| index.checked_sub(1).into_iter().collect();
    (0..length)
        .map(|index| Step { count: 1, need, estimate_ms: 800, after: after(index), ..Step::default() })
        .collect()
}

/// One step of several tasks.
pub(crate) fn wide(count: u32) -> Vec<Step> {
    vec![Step { count, ..chain(1)[0].clone() }]
}

impl World {
    /// A first owner has claimed the work, and one job was accepted.
    pub(crate) fn new(setup: &Setup) -> Self {
        let hosts = setup.capacities.iter().enumerate().map(|(index, cpu)| Host::new(index, *cpu)).collect();
        let mut world = Self {
            now: 1_000,
            owners: Vec::new(),
            store: Store::new(vec![Intake::Submitted(submission(setup.steps.clone()))]),
            hosts,
            calls: Vec::new(),
            left: Left { claims: setup.left.claims + 1, ..setup.left },
            network: setup.network,
            faults: setup.faults,
            done: BTreeSet::new(),
            noted: BTreeSet::new(),
            broken: None,
        };
        world.claim();
        world
    }

    /// Digest of the state. Two states of one digest are taken to be equal.
    pub(crate) fn digest(&self) -> u64 {
        let mut digest = Digest(DefaultHasher::new());
        write!(digest, "{self:?}").expect("a digest takes any text");
        digest.0.finish()
    }

    /// Steps that are possible.
    pub(crate) fn acts(&self) -> Vec<Act> {
        let mut acts = Vec::new();
        for (index, owner) in self.owners.iter().enumerate() {
            acts.push(Act::Tick(index));
            match owner.write {
                Some((_, false)) => acts.push(Act::StoreTakes(index)),
                Some((_, true)) => acts.push(Act::StoreAnswers(index)),
                None => {}
            }
        }
        for (index, call) in self.calls.iter().enumerate() {
            acts.push(Act::Carry(index));
            if !call.lost && self.left.losses > 0 {
                acts.push(Act::Lose(index));
            }
        }
        for (index, host) in self.hosts.iter().enumerate() {
            for task in host.runs.keys() {
                acts.push(Act::End(index, *task, EndReason::Done));
                if self.left.fails > 0 {
                    acts.push(Act::End(index, *task, EndReason::Failed));
                }
            }
            if self.left.restarts > 0 && !host.runs.is_empty() {
                acts.push(Act::Restart(index));
            }
        }
        let left = self.left;
        let rest = [
            (left.claims, Act::Claim),
            (left.shorts, Act::Short),
            (left.longs, Act::Long),
            (left.cancels, Act::Cancel),
        ];
        acts.extend(rest.into_iter().filter(|(left, _)| *left > 0).map(|(_, act)| act));
        acts
    }

    /// World after a step.
    pub(crate) fn after(&self, act: &Act) -> Self {
        let mut world = self.clone();
        match act {
            Act::Tick(index) => world.tick(*index),
            Act::StoreTakes(index) => world.store_takes(*index),
            Act::StoreAnswers(index) => world.store_answers(*index),
            Act::Carry(index) => world.carry(*index),
            Act::Lose(index) => world.lose(*index),
            Act::Claim => world.claim(),
            Act::End(index, task, reason) => world.end(*index, *task, *reason),
            Act::Restart(index) => {
                world.left.restarts -= 1;
                world.hosts[*index].restart(UNIX + world.now);
            }
            Act::Short => {
                world.left.shorts -= 1;
                world.pass(SHORT_MS);
            }
            Act::Long => {
                world.left.longs -= 1;
                world.pass(LONG_MS);
            }
            Act::Cancel => world.cancel(),
        }
        world.drop_superseded();
        world.check();
        world
    }

    fn pass(&mut self, ms: u64) {
        self.now += ms;
        let now = self.now;
        self.hosts.iter_mut().for_each(|host| host.lapse(now));
    }

    /// Owner of an epoch, if its process has not noticed a newer one.
    fn owner(&mut self, epoch: u64) -> Option<&mut Dispatcher> {
        let owner = self.owners.iter_mut().find(|owner| owner.dispatcher.epoch() == epoch)?;
        Some(&mut owner.dispatcher)
    }

    fn tick(&mut self, index: usize) {
        let now = self.now;
        let current = self.owners[index].dispatcher.epoch() == self.store.epoch;
        let owner = &mut self.owners[index];
        owner.dispatcher.set_unix(now, UNIX + now);
        if current || self.faults.any_contact {
            owner.dispatcher.contacted(now);
        }
        owner.dispatcher.tick(now);
        if owner.write.is_none() {
            owner.write = owner.dispatcher.take_write(now).map(|write| (write, false));
        }
        if self.faults.early_write
            && let Some((write, false)) = &owner.write
        {
            owner.dispatcher.stored(now, write);
        }
        let epoch = owner.dispatcher.epoch();
        for command in owner.dispatcher.take_commands() {
            self.send(Call { epoch, command, lost: false });
        }
    }

    fn send(&mut self, call: Call) {
        let poll = matches!(call.command, Command::Poll(_));
        let cut = self.network == Network::FirstWorkerCut && call.epoch > 1;
        if cut && target(&call.command) == Some(self.hosts[0].name.as_str()) {
            return self.give_up(call.epoch, &call.command, Outcome::Unknown);
        }
        self.calls.push(call);
        if poll && self.network != Network::Free {
            self.carry(self.calls.len() - 1);
        }
    }

    fn store_takes(&mut self, index: usize) {
        let epoch = self.owners[index].dispatcher.epoch();
        if epoch < self.store.epoch && !self.faults.open_store {
            self.owners.remove(index);
            return;
        }
        if let Some((write, taken)) = &mut self.owners[index].write {
            self.store.take(&write.entries);
            *taken = true;
        }
    }

    fn store_answers(&mut self, index: usize) {
        let now = self.now;
        let owner = &mut self.owners[index];
        if let Some((write, _)) = owner.write.take() {
            owner.dispatcher.stored(now, &write);
        }
    }

    /// The next instance claims the work with what the store holds.
    fn claim(&mut self) {
        self.left.claims -= 1;
        self.store.epoch += 1;
        let table = self.store.table(self.faults.blind_claim);
        let now = self.now;
        let mut dispatcher =
            Dispatcher::new(Options::default(), self.store.epoch, table, catalog(), now, UNIX + now);
        for host in &self.hosts {
            dispatcher.update_worker(now, host.record(now));
        }
        self.owners.push(Owner { dispatcher, write: None });
    }

    fn cancel(&mut self) {
        self.left.cancels -= 1;
        self.store.intake.push(Intake::Canceled(JOB));
        let (now, epoch) = (self.now, self.store.epoch);
        if let Some(dispatcher) = self.owner(epoch) {
            dispatcher.table.apply_intake(Intake::Canceled(JOB));
            dispatcher.canceled(now, JOB);
        }
    }

    /// A worker carries out an order, and the sender gets the answer unless it was told that none comes.
    fn carry(&mut self, index: usize) {
        let (now, faults) = (self.now, self.faults);
        let call = self.calls.remove(index);
        let answer = match &call.command {
            Command::Poll(poll) => {
                let Some(host) = self.hosts.iter_mut().find(|host| host.name == poll.target.worker) else {
                    return;
                };
                for (task, reason) in host.forget(poll, &faults) {
                    if reason == EndReason::Done {
                        self.noted.insert(task);
                        if !self.store.done(task) {
                            self.broken =
                                Some(format!("the end of {task} was forgotten before it was stored"));
                        }
                    }
                }
                Answer::Poll(host.poll(now, poll, &faults))
            }
            Command::Start(start) => {
                let Some(host) = self.hosts.iter_mut().find(|host| host.name == start.target.worker) else {
                    return;
                };
                let before = host.runs.get(&start.task).copied();
                let outcome = host.start(now, start, &faults);
                if host.runs.get(&start.task).copied() != before {
                    if self.noted.contains(&start.task) {
                        self.broken = Some(format!("{} started after its end was noted", start.task));
                    }
                    let earlier = TaskId { step: start.task.step.saturating_sub(1), ..start.task };
                    if start.task.step > 0 && !self.done.contains(&earlier) {
                        self.broken = Some(format!("{} started before {earlier} was done", start.task));
                    }
                }
                Answer::Order(outcome)
            }
            Command::Stop(stop) => {
                let Some(host) = self.hosts.iter_mut().find(|host| host.name == stop.target.worker) else {
                    return;
                };
                Answer::Order(host.stop(stop, &faults))
            }
            // Nothing else is ordered without machines, policies and filling tasks.
            _ => Answer::Order(Outcome::Taken),
        };
        if !call.lost {
            self.tell(call.epoch, &call.command, answer);
        }
    }

    /// The sender learns that no answer comes; the order may still be carried out.
    fn lose(&mut self, index: usize) {
        self.left.losses -= 1;
        self.calls[index].lost = true;
        let (epoch, command) = (self.calls[index].epoch, self.calls[index].command.clone());
        let outcome = if self.faults.hasty_end { Outcome::Replaced } else { Outcome::Unknown };
        self.give_up(epoch, &command, outcome);
    }

    fn give_up(&mut self, epoch: u64, command: &Command, outcome: Outcome) {
        let answer = match command {
            Command::Poll(_) => Answer::Poll(Err(outcome)),
            _ => Answer::Order(outcome),
        };
        self.tell(epoch, command, answer);
    }

    fn tell(&mut self, epoch: u64, command: &Command, answer: Answer) {
        let now = self.now;
        let Some(dispatcher) = self.owner(epoch) else { return };
        match (command, answer) {
            (Command::Poll(poll), Answer::Poll(answer)) => {
                dispatcher.polled(now, &poll.target.worker, answer)
            }
            (Command::Start(start), Answer::Order(outcome)) => {
                dispatcher.started(now, &start.target.worker, start.task, start.run, outcome);
            }
            (Command::Stop(stop), Answer::Order(outcome)) => {
                dispatcher.stopped(now, &stop.target.worker, stop.task, stop.run, outcome);
            }
            _ => {}
        }
    }

    fn end(&mut self, index: usize, task: TaskId, reason: EndReason) {
        if reason == EndReason::Failed {
            self.left.fails -= 1;
        } else {
            self.done.insert(task);
        }
        self.hosts[index].end(task, reason);
    }

    /// An instance that a worker or the store has fenced owns nothing any more.
    fn drop_superseded(&mut self) {
        self.owners.retain(|owner| !owner.dispatcher.fenced_out());
    }

    fn check(&mut self) {
        if self.broken.is_some() {
            return;
        }
        let mut running: Vec<TaskId> = self.hosts.iter().flat_map(|host| host.runs.keys().copied()).collect();
        running.sort_unstable();
        if let Some(pair) = running.windows(2).find(|pair| pair[0] == pair[1]) {
            self.broken = Some(format!("{} runs twice", pair[0]));
        }
        if let Some(host) = self.hosts.iter().find(|host| host.overfull()) {
            self.broken = Some(format!("{} holds more than it has room for", host.name));
        }
        let shown = |owner: &Owner| owner.dispatcher.table.get(JOB).map(|job| job.state());
        let complete = self.owners.iter().any(|owner| shown(owner) == Some(JobState::Completed));
        if complete && !self.store.completed() {
            self.broken = Some("the job is shown as completed before that is stored".into());
        }
    }

    /// One line on the state.
    pub(crate) fn describe(&self) -> String {
        let epochs: Vec<u64> = self.owners.iter().map(|owner| owner.dispatcher.epoch()).collect();
        let hosts: Vec<String> = self.hosts.iter().map(Host::describe).collect();
        let calls: Vec<String> = self.calls.iter().map(describe_call).collect();
        format!("{} ms, owners {epochs:?}, {}, under way: {}", self.now, hosts.join(", "), calls.join(" "))
    }
}

fn target(command: &Command) -> Option<&str> {
    match command {
        Command::Poll(poll) => Some(&poll.target.worker),
        Command::Start(start) => Some(&start.target.worker),
        Command::Stop(stop) => Some(&stop.target.worker),
        _ => None,
    }
}

fn describe_call(call: &Call) -> String {
    let (name, worker) = match &call.command {
        Command::Poll(poll) => (format!("look/{}", poll.acknowledged), &poll.target.worker),
        Command::Start(start) => (format!("start/{}/{}", start.task, start.run), &start.target.worker),
        Command::Stop(stop) => (format!("stop/{}/{}", stop.task, stop.run), &stop.target.worker),
        other => return format!("{other:?}"),
    };
    format!("{name}@{worker}#{}{}", call.epoch, if call.lost { "?" } else { "" })
}

fn record(name: &str, cpu: u64, started_ms: u64, clock_ms: u64) -> WorkerRecord {
    WorkerRecord {
        worker: name.into(),
        address: name.into(),
        pool: "red".into(),
        zone: "zone".into(),
        labels: vec!["kind".into(), "rack".into()],
        capacity: Resources { cpu, memory: 10_000, accelerators: 0 },
        draining: false,
        started_ms,
        clock_ms,
    }
}
