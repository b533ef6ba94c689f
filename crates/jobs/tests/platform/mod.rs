//! In-memory stand-in for the ports of the product: a store with fences and groups, and workers that run tasks.
//!
//! All nodes of a cluster share it. Time is the paused clock of the runtime, so nothing waits in earnest.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use rattanfall_jobs::catalog::{Catalog, Pool, Queue, Team};
use rattanfall_jobs::dispatch::command::{Look, Pace, Start, Stop};
use rattanfall_jobs::dispatch::event::{Ended, How, Listed, Machine, MachineState, Outcome, Seen, Sighting};
use rattanfall_jobs::ids::TaskId;
use rattanfall_jobs::node::Node;
use rattanfall_jobs::node::calls::{Answer, Call, Draft, Handle, Verb};
use rattanfall_jobs::node::options::Options;
use rattanfall_jobs::node::view::{Query, View};
use rattanfall_jobs::ports::{
    Fence, Foreign, Instruction, MachineOutcome, Machines, Page, Platform, Store, StoreError, Tickets, Topic,
    Upstreams,
};
use rattanfall_jobs::record::Entry;
use rattanfall_jobs::spec::{Resources, Step, Terms};
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

/// Time of an answer of the store.
const STORE: Duration = Duration::from_millis(4);
/// Time limit of a call to the store.
/// Most bytes of an append.
const APPEND_BYTES: usize = 2_000;
const LIMIT: Duration = Duration::from_millis(900);
/// Time after which a member that does not join is forgotten.
const TTL: Duration = Duration::from_millis(1_100);
/// Length of all tasks, in milliseconds.
const TASK_MS: u64 = 500;
/// Workers.
const WORKERS: usize = 3;

/// Fault of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Fault {
    /// It works.
    #[default]
    None,
    /// It refuses appends.
    Refuse,
    /// It carries appends out and does not answer.
    LoseAnswers,
    /// It does nothing and does not answer.
    Silent,
}

#[derive(Default)]
struct Log {
    entries: Vec<Entry>,
    first: u64,
    epoch: u64,
    sequence: u64,
}

struct Worker {
    born: u64,
    token: u64,
    runs: BTreeMap<TaskId, (u32, Instant)>,
    ended: Vec<Ended>,
    count: u64,
}

#[derive(Default)]
struct World {
    fault: Fault,
    logs: BTreeMap<Topic, Log>,
    members: BTreeMap<String, Instant>,
    generation: u64,
    workers: BTreeMap<String, Worker>,
    starts: usize,
    doubled: usize,
}

/// Platform of one node.
struct Memory {
    world: Rc<RefCell<World>>,
    grown: Rc<Notify>,
    begun: Instant,
    /// True once the node of this platform was killed: its calls go nowhere.
    dead: Rc<Cell<bool>>,
}

impl Memory {
    async fn live(&self) {
        if self.dead.get() {
            std::future::pending::<()>().await;
        }
    }

    fn clock(&self) -> u64 {
        1_000 + u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(0)
    }

    async fn guard(&self, writes: bool) -> Result<(), StoreError> {
        self.guard_for(writes, Duration::ZERO).await
    }

    /// As `guard`, for a call that waits at the store; an answer is missed only after that wait.
    async fn guard_for(&self, writes: bool, wait: Duration) -> Result<(), StoreError> {
        self.live().await;
        sleep(STORE).await;
        let fault = self.world.borrow().fault;
        match fault {
            Fault::Refuse if writes => Err(StoreError::Refused),
            Fault::Silent => {
                sleep(LIMIT + wait).await;
                Err(StoreError::Unknown)
            }
            _ => Ok(()),
        }
    }
}

impl Store for Memory {
    async fn append(
        &self,
        topic: Topic,
        entries: &[Entry],
        fence: Option<Fence>,
        at: Option<u64>,
    ) -> Result<u64, StoreError> {
        self.guard(true).await?;
        if entries.iter().map(Entry::size).sum::<usize>() > APPEND_BYTES {
            return Err(StoreError::Refused);
        }
        let end = {
            let mut world = self.world.borrow_mut();
            let log = world.logs.entry(topic).or_default();
            if let Some(Fence { epoch, sequence }) = fence {
                if epoch < log.epoch {
                    return Err(StoreError::Fenced);
                }
                if epoch == log.epoch && sequence == log.sequence {
                    return Ok(log.entries.len() as u64);
                }
                if epoch == log.epoch && sequence != log.sequence + 1 {
                    return Err(StoreError::Sequence(log.sequence + 1));
                }
            }
            if at.is_some_and(|at| at != log.entries.len() as u64) {
                return Err(StoreError::Moved(log.entries.len() as u64));
            }
            if let Some(Fence { epoch, sequence }) = fence {
                log.epoch = epoch;
                log.sequence = sequence;
            }
            log.entries.extend(entries.iter().cloned());
            log.entries.len() as u64
        };
        self.grown.notify_waiters();
        if self.world.borrow().fault == Fault::LoseAnswers {
            sleep(LIMIT).await;
            return Err(StoreError::Unknown);
        }
        Ok(end)
    }

    async fn read(&self, topic: Topic, from: u64, wait: Duration) -> Result<Page, StoreError> {
        self.guard_for(false, wait).await?;
        let deadline = Instant::now() + wait;
        loop {
            let grown = self.grown.notified();
            {
                let mut world = self.world.borrow_mut();
                let log = world.logs.entry(topic).or_default();
                let end = log.entries.len() as u64;
                if from < log.first {
                    return Err(StoreError::Gone(log.first));
                }
                if from < end || Instant::now() >= deadline {
                    let start = usize::try_from(from).unwrap_or(usize::MAX).min(log.entries.len());
                    let entries = (from..).zip(log.entries[start..].iter().cloned()).collect();
                    return Ok(Page { entries, next: end.max(from), end });
                }
            }
            // The end of the wait is noticed by the loop.
            let _ = timeout(deadline.saturating_duration_since(Instant::now()), grown).await;
        }
    }

    async fn newest(&self, topic: Topic) -> Result<Page, StoreError> {
        self.guard(false).await?;
        let mut world = self.world.borrow_mut();
        let log = world.logs.entry(topic).or_default();
        let mut newest = BTreeMap::new();
        for (offset, entry) in (0..).zip(&log.entries) {
            newest.insert(entry.key.clone(), (offset, entry.clone()));
        }
        let end = log.entries.len() as u64;
        Ok(Page { entries: newest.into_values().collect(), next: end, end })
    }

    async fn join(&self, member: &str, _: u64) -> Result<u64, StoreError> {
        self.guard(false).await?;
        let now = Instant::now();
        let mut world = self.world.borrow_mut();
        let count = world.members.len();
        world.members.retain(|_, at| *at + TTL > now);
        let fresh = world.members.insert(member.to_owned(), now).is_none();
        if fresh || world.members.len() < count {
            world.generation += 1;
        }
        Ok(world.generation)
    }

    async fn members(&self) -> Result<BTreeSet<String>, StoreError> {
        self.guard(false).await?;
        Ok(self.world.borrow().members.keys().cloned().collect())
    }

    async fn leave(&self, member: &str) -> Result<(), StoreError> {
        self.guard(false).await?;
        let mut world = self.world.borrow_mut();
        world.members.remove(member);
        world.generation += 1;
        Ok(())
    }
}

impl Upstreams for Memory {
    async fn look(&self, look: &Look) -> Result<Seen, Outcome> {
        let deadline = Instant::now() + Duration::from_millis(look.wait_ms);
        loop {
            self.live().await;
            sleep(Duration::from_millis(2)).await;
            let clock = self.clock();
            let mut world = self.world.borrow_mut();
            let worker = world.workers.get_mut(&look.target.worker).ok_or(Outcome::Unsent)?;
            if look.token < worker.token {
                return Err(Outcome::Fenced);
            }
            worker.token = look.token;
            worker.ended.retain(|end| end.number > look.acknowledged);
            worker.finish();
            if worker.ended.is_empty() && Instant::now() < deadline {
                continue;
            }
            let running = worker.runs.iter().map(|(task, (run, _))| Listed {
                task: *task,
                run: *run,
                checkpoint: String::new(),
                progress: 50,
                figure: 0,
            });
            let (running, ended) = (running.collect(), worker.ended.clone());
            return Ok(Seen { clock_ms: clock, born: worker.born, running, ended });
        }
    }

    async fn start(&self, start: &Start) -> Outcome {
        self.live().await;
        sleep(Duration::from_millis(1)).await;
        let mut world = self.world.borrow_mut();
        let runs = world.workers.values().filter(|worker| worker.runs.contains_key(&start.task)).count();
        let Some(worker) = world.workers.get_mut(&start.target.worker) else { return Outcome::Unsent };
        if start.token < worker.token {
            return Outcome::Fenced;
        }
        worker.token = start.token;
        if worker.runs.get(&start.task).is_some_and(|(run, _)| *run == start.run) {
            return Outcome::Taken;
        }
        let ends = Instant::now() + Duration::from_millis(TASK_MS);
        worker.runs.insert(start.task, (start.run, ends));
        world.starts += 1;
        world.doubled += runs;
        Outcome::Taken
    }

    async fn stop(&self, stop: &Stop) -> Outcome {
        self.live().await;
        sleep(Duration::from_millis(1)).await;
        let mut world = self.world.borrow_mut();
        let Some(worker) = world.workers.get_mut(&stop.target.worker) else { return Outcome::Unsent };
        if worker.runs.remove(&stop.task).is_some() {
            worker.end(stop.task, stop.run, How::Stopped);
        }
        Outcome::Taken
    }

    async fn pace(&self, _: &Pace) -> Outcome {
        Outcome::Taken
    }

    async fn advise(&self, _: &str, _: &[String]) -> Option<Tickets> {
        None
    }
}

impl Worker {
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
            self.end(task, run, How::Done);
        }
    }

    fn end(&mut self, task: TaskId, run: u32, how: How) {
        self.count += 1;
        self.ended.push(Ended { number: self.count, task, run, how, checkpoint: String::new() });
    }
}

impl Machines for Memory {
    async fn list(&self) -> Option<Vec<Machine>> {
        let world = self.world.borrow();
        let machines = world.workers.keys().map(|id| Machine {
            name: format!("m-{id}"),
            pool: "red".into(),
            state: MachineState::Up,
            zone: "zone-a".into(),
            labels: Vec::new(),
            worker: Some(id.clone()),
        });
        Some(machines.collect())
    }

    async fn move_to(&self, _: &str, _: &str, _: u64) -> MachineOutcome {
        MachineOutcome::Refused
    }

    async fn maintain(&self, _: &str, _: u64, _: u64) -> MachineOutcome {
        MachineOutcome::Refused
    }
}

impl Platform for Memory {
    type Store = Self;
    type Upstreams = Self;
    type Machines = Self;

    fn store(&self) -> &Self {
        self
    }

    fn upstreams(&self) -> &Self {
        self
    }

    fn machines(&self) -> &Self {
        self
    }

    fn instruction(&self, _: &Entry) -> Result<Option<Instruction>, Foreign> {
        Ok(Some(Instruction::Configure(Box::new(catalog()))))
    }

    fn sighting(&self, entry: &Entry) -> Result<Sighting, Foreign> {
        Ok(Sighting {
            worker: entry.key.clone(),
            address: entry.key.clone(),
            pool: "red".into(),
            zone: "zone-a".into(),
            labels: Vec::new(),
            capacity: Resources { cpu: 16_000, memory: 64_000, accelerators: 0 },
            draining: false,
            born: 7,
            clock_ms: self.clock(),
        })
    }

    fn wave_report(&self, wave: u64, complete: bool) -> Entry {
        Entry { key: wave.to_string(), value: vec![u8::from(complete)] }
    }
}

fn catalog() -> Catalog {
    let terms = Terms { pool: "red".into(), priority: 0, attempts: 3, stretch_percent: 160, target_ms: 600 };
    let queue = Queue {
        name: "quotes".into(),
        host: "host".into(),
        prefix: "/quotes/".into(),
        terms,
        open: false,
        policy: None,
    };
    let team =
        Team { name: "moss".into(), keys: vec!["key-moss".into()], weight: 1, limit: Resources::default() };
    let pool = Pool { name: "red".into(), standby: false, guarded: false };
    Catalog { version: 1, queues: vec![queue], pools: vec![pool], teams: vec![team] }
}

/// Call about a job.
pub(crate) fn call(id: u64, verb: Verb) -> Call {
    Call {
        host: "host".into(),
        path: format!("/quotes/{id:016x}"),
        key: Some("key-moss".into()),
        wait_ms: 3_000,
        verb,
    }
}

pub(crate) fn read(id: u64) -> Call {
    call(id, Verb::Read)
}

/// Submission of a job of one step.
pub(crate) fn submit(id: u64, tasks: u32) -> Call {
    let need = Resources { cpu: 1_000, memory: 100, accelerators: 0 };
    let steps = vec![Step { count: tasks, need, estimate_ms: TASK_MS, ..Step::default() }];
    call(id, Verb::Submit(Draft { payload: String::new(), steps, schedule: None }))
}

struct Member {
    handle: Handle,
    dead: Rc<Cell<bool>>,
    stop: Rc<Notify>,
    name: String,
}

/// Nodes over one platform.
pub(crate) struct Cluster {
    world: Rc<RefCell<World>>,
    grown: Rc<Notify>,
    begun: Instant,
    members: Vec<Member>,
}

impl Cluster {
    /// Starts nodes, and plays a scenario once they are ready.
    pub(crate) async fn run<F: Future<Output = ()>>(nodes: usize, play: impl FnOnce(Rc<Self>) -> F) {
        let scenario = async {
            let cluster = Rc::new(Self::start(nodes));
            cluster.settle(2_000).await;
            play(cluster).await;
        };
        LocalSet::new().run_until(scenario).await;
    }

    fn start(nodes: usize) -> Self {
        let world = Rc::new(RefCell::new(World::default()));
        let record = |key: &str| Entry { key: key.into(), value: vec![1] };
        {
            let mut world = world.borrow_mut();
            world.logs.entry(Topic::Operator).or_default().entries.push(record("config"));
            for index in 0..WORKERS {
                let id = format!("worker-{index}");
                world.logs.entry(Topic::Directory).or_default().entries.push(record(&id));
                let worker = Worker { born: 7, token: 0, runs: BTreeMap::new(), ended: Vec::new(), count: 0 };
                world.workers.insert(id, worker);
            }
        }
        let grown = Rc::new(Notify::new());
        let begun = Instant::now();
        let mut cluster = Self { world, grown, begun, members: Vec::new() };
        cluster.members = (0..nodes).map(|index| cluster.boot(format!("node{index}-78-1000"))).collect();
        cluster
    }

    /// Starts a process.
    fn boot(&self, name: String) -> Member {
        let dead = Rc::new(Cell::new(false));
        let (world, grown) = (Rc::clone(&self.world), Rc::clone(&self.grown));
        let platform = Memory { world, grown, begun: self.begun, dead: Rc::clone(&dead) };
        let (handle, calls) = Handle::new(64).expect("the metrics can be set up");
        let options = Options { append_bytes: APPEND_BYTES, ..Options::new(name.clone()) };
        let node = Node::new(platform, options, handle.clone());
        let stop = Rc::new(Notify::new());
        let stopped = Rc::clone(&stop);
        spawn_local(node.run(calls, async move { stopped.notified().await }, async {}));
        Member { handle, dead, stop, name }
    }

    /// Starts a later process of a node that was killed.
    pub(crate) fn restart(&self, node: usize) -> String {
        self.add(&format!("node{node}-78-2000"))
    }

    /// Starts one more process. Its name ends with its processor in thousandths of a core and its start, in hexadecimal.
    pub(crate) fn add(&self, name: &str) -> String {
        self.boot(name.to_owned());
        name.to_owned()
    }

    /// True if the newest claim is that of a process.
    pub(crate) fn owned_by(&self, name: &str) -> bool {
        let world = self.world.borrow();
        let log = world.logs.get(&Topic::Progress).expect("there is an owner");
        let claim = log.entries.iter().rfind(|entry| entry.key == "owner").expect("there is an owner");
        claim.value.windows(name.len()).any(|part| part == name.as_bytes())
    }

    /// Lets time pass.
    pub(crate) async fn settle(&self, ms: u64) {
        sleep(Duration::from_millis(ms)).await;
    }

    pub(crate) async fn call(&self, node: usize, call: Call) -> Answer {
        self.members[node].handle.call(call).await
    }

    pub(crate) async fn view(&self, node: usize, query: Query) -> Option<View> {
        self.members[node].handle.view(query).await
    }

    pub(crate) fn ready(&self, node: usize) -> bool {
        self.members[node].handle.ready()
    }

    pub(crate) fn fault(&self, fault: Fault) {
        self.world.borrow_mut().fault = fault;
    }

    pub(crate) fn starts(&self) -> usize {
        self.world.borrow().starts
    }

    /// Starts of tasks that were running elsewhere.
    pub(crate) fn doubled(&self) -> usize {
        self.world.borrow().doubled
    }

    /// Node whose claim was stored last.
    pub(crate) fn owner(&self) -> usize {
        let world = self.world.borrow();
        let claims = world.logs[&Topic::Progress].entries.iter().rev();
        let claim = claims.into_iter().find(|entry| entry.key == "owner").expect("a node owns the work");
        let named =
            |member: &Member| claim.value.windows(member.name.len()).any(|w| w == member.name.as_bytes());
        self.members.iter().position(named).expect("the owner is a member")
    }

    /// Nodes that would not be fenced.
    pub(crate) fn owners(&self) -> usize {
        let world = self.world.borrow();
        let epoch = world.logs.get(&Topic::Progress).map_or(0, |log| log.epoch);
        let claims = world.logs.get(&Topic::Progress).map_or(0, |log| {
            let claims = log.entries.iter().filter(|entry| entry.key == "owner");
            claims.map(|entry| &entry.value).collect::<BTreeSet<_>>().len() as u64
        });
        // Each claim has an epoch of its own; an owner may write its record again.
        usize::from(epoch > 0) + usize::from(claims != epoch)
    }

    /// Ends a node without a word.
    pub(crate) fn kill(&self, node: usize) {
        self.members[node].dead.set(true);
    }

    /// Asks a node to stop.
    pub(crate) fn stop(&self, node: usize) {
        self.members[node].stop.notify_one();
    }

    /// Drops the history of the topics of jobs, with a record that nobody has read yet.
    pub(crate) fn compact(&self) {
        let mut world = self.world.borrow_mut();
        for topic in [Topic::Intake, Topic::Progress] {
            let log = world.logs.entry(topic).or_default();
            log.entries.push(Entry { key: "of another writer".into(), value: vec![9] });
            log.first = log.entries.len() as u64;
        }
    }

    /// Forgets all members of the group.
    pub(crate) fn forget_members(&self) {
        let mut world = self.world.borrow_mut();
        world.members.clear();
        world.generation += 1;
    }
}
