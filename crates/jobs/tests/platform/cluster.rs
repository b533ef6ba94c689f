//! Nodes over one platform.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use rattanfall_jobs::ids::JobId;
use rattanfall_jobs::node::Node;
use rattanfall_jobs::node::calls::{Answer, Call, Handle};
use rattanfall_jobs::node::options::Options;
use rattanfall_jobs::node::view::{Query, View};
use rattanfall_jobs::ports::Topic;
use rattanfall_jobs::record::{self, Entry};
use rattanfall_jobs::spec::Submission;
use tokio::sync::Notify;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep};

use super::link::Link;
use super::store::{APPEND_BYTES, Fault, Memory, PAGE_BYTES, World};
use super::workers::Worker;

/// Most bytes of a record. Tasks take less than half of what the product reserves for each, so that such a record still fits
/// into an append.
const RECORD_BYTES: usize = 3_000;
/// Workers.
const WORKERS: usize = 3;

struct Member {
    handle: Handle,
    dead: Rc<Cell<bool>>,
    stop: Rc<Notify>,
    name: String,
    /// Processes of this node so far.
    boots: u32,
    link: Rc<Link>,
}

/// Nodes over one platform.
pub(crate) struct Cluster {
    world: Rc<RefCell<World>>,
    grown: Rc<Notify>,
    begun: Instant,
    members: RefCell<Vec<Member>>,
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
        let mut world = World { page_bytes: PAGE_BYTES, ..World::default() };
        let record = |key: &str| Entry { key: key.into(), value: vec![1] };
        world.logs.entry(Topic::Operator).or_default().entries.push(record("config"));
        for index in 0..WORKERS {
            let id = format!("worker-{index}");
            world.logs.entry(Topic::Directory).or_default().entries.push(record(&id));
            world.workers.insert(id, Worker::new());
        }
        let world = Rc::new(RefCell::new(world));
        let cluster =
            Self { world, grown: Rc::default(), begun: Instant::now(), members: RefCell::default() };
        for index in 0..nodes {
            let member = cluster.boot(name(index, 1), 1, Rc::default());
            cluster.members.borrow_mut().push(member);
        }
        cluster
    }

    /// Starts a process.
    fn boot(&self, name: String, boots: u32, link: Rc<Link>) -> Member {
        let dead = Rc::new(Cell::new(false));
        let (world, grown) = (Rc::clone(&self.world), Rc::clone(&self.grown));
        let (begun, used) = (self.begun, Rc::clone(&link));
        let platform = Memory { name: name.clone(), world, grown, begun, dead: Rc::clone(&dead), link: used };
        let (handle, calls) = Handle::new(64).expect("the metrics can be set up");
        let options =
            Options { append_bytes: APPEND_BYTES, record_bytes: RECORD_BYTES, ..Options::new(name.clone()) };
        let node = Node::new(platform, options, handle.clone());
        let stop = Rc::new(Notify::new());
        let stopped = Rc::clone(&stop);
        spawn_local(node.run(calls, async move { stopped.notified().await }, async {}));
        Member { handle, dead, stop, name, boots, link }
    }

    /// Starts a later process of a node that was killed.
    pub(crate) fn restart(&self, node: usize) -> String {
        let (boots, link) = {
            let members = self.members.borrow();
            (members[node].boots + 1, Rc::clone(&members[node].link))
        };
        let name = name(node, boots);
        self.members.borrow_mut()[node] = self.boot(name.clone(), boots, link);
        name
    }

    /// Kills all nodes and starts them again.
    pub(crate) fn restart_all(&self) {
        let count = self.members.borrow().len();
        (0..count).for_each(|node| self.kill(node));
        (0..count).for_each(|node| drop(self.restart(node)));
    }

    /// Starts one more process. Its name ends with its processor in thousandths of a core and its start, in hexadecimal.
    pub(crate) fn add(&self, name: &str) -> String {
        self.boot(name.to_owned(), 1, Rc::default());
        name.to_owned()
    }

    /// Link of a node to the store.
    pub(crate) fn link(&self, node: usize) -> Rc<Link> {
        Rc::clone(&self.members.borrow()[node].link)
    }

    /// Bounds the bytes of the records of a page.
    pub(crate) fn bound_pages(&self, bytes: usize) {
        self.world.borrow_mut().page_bytes = bytes;
    }

    /// Lets each task of a step run longer than the one before, so that each end is a change of its own.
    pub(crate) fn stagger(&self, by: Duration) {
        self.world.borrow_mut().stagger = by;
    }

    /// Stores jobs in the intake, as an entry instance does that took them from callers.
    pub(crate) fn accept(&self, jobs: impl IntoIterator<Item = Submission>) {
        let entries = jobs.into_iter().map(|job| record::submitted(&job));
        self.world.borrow_mut().logs.entry(Topic::Intake).or_default().entries.extend(entries);
        self.grown.notify_waiters();
    }

    /// Time of the last start of a task of a job.
    pub(crate) fn last_start(&self, job: u64) -> Option<Instant> {
        self.world.borrow().started.get(&JobId(job)).copied()
    }

    /// True if the newest claim is that of a process.
    pub(crate) fn owned_by(&self, name: &str) -> bool {
        let world = self.world.borrow();
        let log = world.logs.get(&Topic::Progress).expect("there is an owner");
        let claim = log.entries.iter().rfind(|entry| entry.key == "owner").expect("there is an owner");
        claim.value.windows(name.len()).any(|part| part == name.as_bytes())
    }

    /// Leaves a node's reads of some topics without an answer.
    pub(crate) fn blind(&self, node: usize, topics: &[Topic]) {
        let name = self.members.borrow()[node].name.clone();
        self.world.borrow_mut().blind.insert(name, topics.iter().copied().collect());
    }

    /// Lets the groups list some members only.
    pub(crate) fn bound_members(&self, parts: usize) {
        self.world.borrow_mut().parts = Some(parts);
    }

    /// Adds a queue and a key to the configuration.
    pub(crate) fn configure(&self) {
        let entry = Entry { key: "config".into(), value: vec![2] };
        self.world.borrow_mut().logs.entry(Topic::Operator).or_default().entries.push(entry);
        self.grown.notify_waiters();
    }

    /// Names in the records of owners, oldest first.
    pub(crate) fn claims(&self) -> Vec<String> {
        let world = self.world.borrow();
        let claims = world.logs[&Topic::Progress].entries.iter().filter(|entry| entry.key == "owner");
        let mut names: Vec<String> =
            claims.map(|e| String::from_utf8_lossy(&e.value[1..]).into_owned()).collect();
        names.dedup();
        names
    }

    /// Drops the history of one topic, with a record that nobody has read yet.
    pub(crate) fn compact_one(&self, topic: Topic) {
        let mut world = self.world.borrow_mut();
        let log = world.logs.entry(topic).or_default();
        log.entries.push(Entry { key: "of another writer".into(), value: vec![9] });
        log.first = log.entries.len() as u64;
    }

    /// Lets time pass.
    pub(crate) async fn settle(&self, ms: u64) {
        sleep(Duration::from_millis(ms)).await;
    }

    pub(crate) async fn call(&self, node: usize, call: Call) -> Answer {
        let handle = self.members.borrow()[node].handle.clone();
        handle.call(call).await
    }

    pub(crate) async fn view(&self, node: usize, query: Query) -> Option<View> {
        let handle = self.members.borrow()[node].handle.clone();
        handle.view(query).await
    }

    pub(crate) fn ready(&self, node: usize) -> bool {
        self.members.borrow()[node].handle.ready()
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
        self.members.borrow().iter().position(named).expect("the owner is a member")
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
        self.members.borrow()[node].dead.set(true);
    }

    /// Asks a node to stop.
    pub(crate) fn stop(&self, node: usize) {
        self.members.borrow()[node].stop.notify_one();
    }

    /// Drops the history of the topics of jobs, with a record that nobody has read yet.
    pub(crate) fn compact(&self) {
        let mut world = self.world.borrow_mut();
        let jobs = |topic: &Topic| !matches!(topic, Topic::Operator | Topic::Directory);
        for log in world.logs.iter_mut().filter(|(topic, _)| jobs(topic)).map(|(_, log)| log) {
            log.entries.push(Entry { key: "of another writer".into(), value: vec![9] });
            log.first = log.entries.len() as u64;
        }
    }

    /// Forgets all members of the groups.
    pub(crate) fn forget_members(&self) {
        for members in self.world.borrow_mut().groups.values_mut() {
            members.seen.clear();
            members.generation += 1;
        }
    }
}

/// Name of a process.
fn name(node: usize, boots: u32) -> String {
    format!("node{node}-78-{boots}000")
}
