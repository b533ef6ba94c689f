//! What the product needs from its surroundings: a store, workers, machines and the queues' policy.
//!
//! An adapter implements these ports and knows the names of what it speaks to. The store must be linearizable and
//! keep the newest record of each key; workers must refuse a token that is lower than one they have seen.

use std::collections::BTreeSet;
use std::future::Future;
use std::time::Duration;

use thiserror::Error;

use crate::catalog::Catalog;
use crate::dispatch::command::{Poll, Start, Stop, Throttle};
use crate::dispatch::event::{Machine, Outcome, Wave, WorkerRecord, WorkerStatus};
use crate::record::Entry;

/// Topic of the store. Each keeps the newest record of each key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// Accepted and cancelled jobs.
    Intake,
    /// Owner and progress of jobs.
    Progress,
    /// States of jobs, in short records.
    Summaries,
    /// What operators want.
    Operator,
    /// What workers say of themselves.
    Directory,
    /// Addresses of entry instances.
    Members,
    /// Holds no records; its parts make room for members of the group.
    Shards,
    /// What operators are told.
    Reports,
}

/// Group of entry instances.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Group {
    /// All instances. Of many, the store may list a part.
    Entries,
    /// Instances that hold the work.
    Holders,
}

/// Proof of ownership that an append carries.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fence {
    /// Epoch of the owner.
    pub epoch: u64,
    /// Number of the append in the epoch; grows by one.
    pub sequence: u64,
}

/// Records of a topic.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Records, oldest first.
    pub entries: Vec<(u64, Entry)>,
    /// Offset to read from next.
    pub next: u64,
    /// Offset after the last record of the topic, when the store answered.
    pub end: u64,
}

impl Page {
    /// True if the page ends where the topic did when the store answered. A page of bounded size may end before.
    #[must_use]
    pub const fn complete(&self) -> bool {
        self.next >= self.end
    }
}

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum StoreError {
    /// The store refused; nothing was done.
    #[error("the store refused the call")]
    Refused,
    /// No answer; the call may have been carried out.
    #[error("the store did not answer")]
    Unknown,
    /// A newer owner exists.
    #[error("a newer owner has fenced this one")]
    Fenced,
    /// The topic does not end where the append expected.
    #[error("the topic ends at offset {0}")]
    OffsetMismatch(u64),
    /// The append is not the one that the store expects next.
    #[error("the store expects append {0} of this epoch")]
    SequenceMismatch(u64),
    /// The offset is no longer kept.
    #[error("records before offset {0} are gone")]
    Gone(u64),
}

/// Store of all that must last.
pub trait Store {
    /// Appends records, all or none.
    fn append(
        &self,
        topic: Topic,
        entries: &[Entry],
        fence: Option<Fence>,
        at: Option<u64>,
    ) -> impl Future<Output = Result<u64, StoreError>>;

    /// Reads records from an offset on; waits for one at the end of the topic. The answer may end before the topic does.
    fn read(&self, topic: Topic, from: u64, wait: Duration)
    -> impl Future<Output = Result<Page, StoreError>>;

    /// Newest record of each key. `next` continues with what was written meanwhile. The records are no snapshot: one that
    /// was written meanwhile may be among them or not.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Page, StoreError>>;

    /// Joins a group of entry instances, or stays in it. Returns its generation, which grows with each change.
    fn join(
        &self,
        group: Group,
        member: &str,
        generation: u64,
    ) -> impl Future<Output = Result<u64, StoreError>>;

    /// Members of a group. One that is not among them has ended or does not reach the store.
    fn members(&self, group: Group) -> impl Future<Output = Result<BTreeSet<String>, StoreError>>;

    /// Leaves a group.
    fn leave(&self, group: Group, member: &str) -> impl Future<Output = Result<(), StoreError>>;
}

/// Workers.
pub trait Upstreams {
    /// Looks at a worker.
    fn poll(&self, poll: &Poll) -> impl Future<Output = Result<WorkerStatus, Outcome>>;
    /// Starts a task.
    fn start(&self, start: &Start) -> impl Future<Output = Outcome>;
    /// Stops a run.
    fn stop(&self, stop: &Stop) -> impl Future<Output = Outcome>;
    /// Paces a run.
    fn throttle(&self, throttle: &Throttle) -> impl Future<Output = Outcome>;
    /// Asks the queues' policy. Returns the life of the tickets in milliseconds, and workers with tickets.
    fn advise(&self, step: &str, workers: &[String]) -> impl Future<Output = Option<Tickets>>;
}

/// Answer of a queue's policy.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tickets {
    /// Life of the tickets, in milliseconds.
    pub valid_ms: u64,
    /// Workers that may run the step, with their tickets.
    pub permitted: Vec<(String, String)>,
}

/// Outcome of an order about a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineOutcome {
    /// Carried out, now or before.
    Taken,
    /// The machine is not up or its worker is leaving.
    Busy,
    /// A newer owner exists.
    Fenced,
    /// The machine is not part of the wave, or cannot join the pool.
    Refused,
    /// Nothing was done; try again later.
    NotNow,
    /// No answer; it may be carried out.
    Unknown,
}

/// Machines of the fleet.
pub trait Machines {
    /// All machines.
    fn list(&self) -> impl Future<Output = Option<Vec<Machine>>>;
    /// Moves a machine to a pool.
    fn move_to(&self, machine: &str, pool: &str, token: u64) -> impl Future<Output = MachineOutcome>;
    /// Maintains a machine in a wave.
    fn maintain(&self, machine: &str, wave: u64, token: u64) -> impl Future<Output = MachineOutcome>;
}

/// What operators want.
#[derive(Clone, Debug, PartialEq)]
pub enum Instruction {
    /// Configuration.
    Configure(Box<Catalog>),
    /// Nothing may start in an availability zone, or it may again.
    Evacuate(String, bool),
    /// Upkeep of machines.
    Maintain(Wave),
}

/// Record of another writer that cannot be read.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
#[error("the record {key} cannot be read: {reason}")]
pub struct InvalidRecord {
    /// Key of the record.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

/// Everything that an adapter offers.
pub trait Platform: 'static {
    /// Store.
    type Store: Store;
    /// Workers.
    type Upstreams: Upstreams;
    /// Machines.
    type Machines: Machines;

    /// Store.
    fn store(&self) -> &Self::Store;
    /// Workers.
    fn upstreams(&self) -> &Self::Upstreams;
    /// Machines.
    fn machines(&self) -> &Self::Machines;

    /// Decodes a record of `Topic::Operator`; none if it says nothing.
    ///
    /// # Errors
    ///
    /// Fails if the record cannot be read.
    fn instruction(&self, entry: &Entry) -> Result<Option<Instruction>, InvalidRecord>;

    /// Decodes a record of `Topic::Directory`.
    ///
    /// # Errors
    ///
    /// Fails if the record cannot be read.
    fn worker_record(&self, entry: &Entry) -> Result<WorkerRecord, InvalidRecord>;

    /// Encodes the state of a wave for `Topic::Reports`.
    fn wave_report(&self, wave: u64, complete: bool) -> Entry;
}
