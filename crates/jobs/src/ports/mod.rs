//! Ports to the platform: the store, workers, machines and the queues' placement policy.
//!
//! An adapter implements these ports for a specific platform. The store must be linearizable and retain the newest
//! record of each key; workers must refuse a fencing token that is lower than one they have seen.

mod wire;

use std::collections::BTreeSet;
use std::future::Future;
use std::time::Duration;

use thiserror::Error;

use crate::catalog::Catalog;
use crate::dispatch::admission::Decline;
use crate::dispatch::command::{PolicyRequest, Poll, Start, Stop, Throttle};
use crate::dispatch::event::{Machine, Outcome, Wave, WorkerRecord, WorkerStatus};
use crate::record::Entry;

pub use wire::BadKey;

/// Topic of the store. Each topic retains the newest record of each key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// Submissions and cancellations, written by all entry instances.
    Intake,
    /// Owner, progress of jobs and waves, and last orders about machines, written by the owner.
    Progress,
    /// States of jobs in short records, written by the owner.
    Summaries,
    /// Configuration, evacuations and maintenance waves, written by operators.
    Operator,
    /// Addresses, capacity and labels of workers, written by themselves.
    Directory,
    /// Addresses of entry instances.
    Members,
    /// Contains no records; the store assigns its parts to the members of a group.
    Shards,
    /// Reports to operators, such as the completion of a wave.
    Reports,
}

/// Group of entry instances.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Group {
    /// All instances. If there are many, the store may list only some of them.
    Entries,
    /// Instances that hold the job table and may become the owner.
    Holders,
}

/// Fencing token of an append by the owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Fence {
    /// Epoch of the owner. The store refuses a lower one than it has seen.
    pub epoch: u64,
    /// Sequence number of the append in the epoch, incremented by one.
    pub sequence: u64,
}

/// Page of records of a topic.
#[derive(Clone, Debug, Default)]
pub struct Page {
    /// Records with their offsets, oldest first.
    pub entries: Vec<(u64, Entry)>,
    /// Offset to read from next.
    pub next: u64,
    /// Offset after the last record of the topic, when the store answered.
    pub end: u64,
}

impl Page {
    /// True if the page reached the end that the topic had when the store answered. A page of limited size may end earlier.
    #[must_use]
    pub const fn complete(&self) -> bool {
        self.next >= self.end
    }
}

/// Failure of a call to the store.
#[derive(Clone, Copy, Debug, Error, Eq, PartialEq)]
pub enum StoreError {
    /// The store refused the call; nothing was done.
    #[error("the store refused the call")]
    Refused,
    /// There was no answer; the call may have been executed.
    #[error("the store did not answer")]
    Unknown,
    /// The store has seen a higher epoch.
    #[error("a newer owner has fenced this one")]
    Fenced,
    /// The topic does not end at the offset that the append requires.
    #[error("the topic ends at offset {0}")]
    OffsetMismatch(u64),
    /// The sequence number is not the one that the store expects next.
    #[error("the store expects append {0} of this epoch")]
    SequenceMismatch(u64),
    /// The offset is no longer retained. Contains the first one that is.
    #[error("records before offset {0} are no longer retained")]
    Gone(u64),
}

/// Durable store.
pub trait Store {
    /// Appends records atomically and returns the end of the topic after them. `at` is the offset at which the topic must
    /// end; none appends unconditionally.
    fn append(
        &self,
        topic: Topic,
        entries: &[Entry],
        fence: Option<Fence>,
        at: Option<u64>,
    ) -> impl Future<Output = Result<u64, StoreError>>;

    /// Reads records from an offset. At the end of the topic it waits up to `wait` for one. The page may end before the topic
    /// does.
    fn read(&self, topic: Topic, from: u64, wait: Duration)
    -> impl Future<Output = Result<Page, StoreError>>;

    /// Reads the newest record of each key. `Page::next` is the offset to continue from. The records are not a snapshot:
    /// records written during the read may or may not be included.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Page, StoreError>>;

    /// Joins a group, or renews the membership. Returns the generation of the group, which increases with each change.
    fn join(
        &self,
        group: Group,
        member: &str,
        generation: u64,
    ) -> impl Future<Output = Result<u64, StoreError>>;

    /// Lists the members of a group. A member that is not listed has ended or does not reach the store.
    fn members(&self, group: Group) -> impl Future<Output = Result<BTreeSet<String>, StoreError>>;

    /// Leaves a group.
    fn leave(&self, group: Group, member: &str) -> impl Future<Output = Result<(), StoreError>>;
}

/// Workers and the placement policy.
pub trait Upstreams {
    /// Polls a worker for its runs, which renews their leases.
    fn poll(&self, poll: &Poll) -> impl Future<Output = Result<WorkerStatus, Outcome>>;
    /// Starts a task.
    fn start(&self, start: &Start) -> impl Future<Output = Outcome>;
    /// Stops a run.
    fn stop(&self, stop: &Stop) -> impl Future<Output = Outcome>;
    /// Limits the CPU share of a run.
    fn throttle(&self, throttle: &Throttle) -> impl Future<Output = Outcome>;
    /// Asks the placement policy which of the workers may run a step. None if it did not answer in time.
    fn advise(&self, request: &PolicyRequest) -> impl Future<Output = Option<Tickets>>;
}

/// Answer of a placement policy.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Tickets {
    /// Validity period of the tickets in milliseconds.
    pub valid_ms: u64,
    /// Workers that may run the step, with their tickets.
    pub permitted: Vec<(String, String)>,
}

/// Outcome of an order about a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineOutcome {
    /// Executed, now or earlier.
    Taken,
    /// The machine is not up, its worker is leaving, or the reason for the rejection is unknown.
    Busy,
    /// The machine service has seen a higher fencing token.
    Fenced,
    /// The machine is not part of the wave.
    Refused,
    /// There is no such machine, or it cannot join the pool.
    Absent,
    /// Nothing was done; the order may be repeated later.
    NotNow,
    /// There was no answer; the order may still be executed.
    Unknown,
}

/// Machines of the fleet.
pub trait Machines {
    /// Lists all machines. None if the list could not be read.
    fn list(&self) -> impl Future<Output = Option<Vec<Machine>>>;
    /// Moves a machine to a pool. `token` is the fencing token.
    fn move_to(&self, machine: &str, pool: &str, token: u64) -> impl Future<Output = MachineOutcome>;
    /// Starts the maintenance of a machine as part of a wave. `token` is the fencing token.
    fn maintain(&self, machine: &str, wave: u64, token: u64) -> impl Future<Output = MachineOutcome>;
}

/// Outcome of a record that was forwarded to another instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Forwarded {
    /// The record is stored.
    Stored,
    /// The owner declines the job; the record is not stored, nor will it be by that instance.
    Declined {
        /// Why.
        reason: Decline,
        /// Time after which the job will be admitted, in milliseconds.
        retry_ms: u64,
    },
    /// The record is not stored, nor will it be by that instance.
    Refused,
    /// The instance could not be reached; nothing was sent.
    Unreachable,
    /// There was no answer, or the instance doesn't know either; the record may be stored.
    Unknown,
}

impl Forwarded {
    /// Name of the outcome in the metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Stored => "stored",
            Self::Declined { .. } => "declined",
            Self::Refused => "refused",
            Self::Unreachable => "unreachable",
            Self::Unknown => "unknown",
        }
    }
}

/// Other entry instances.
pub trait Peers {
    /// Forwards records of the intake to a process, which stores them together with its own within `wait`. `member` is the
    /// name of the process in its group. Returns an outcome for each record, in their order.
    fn forward(
        &self,
        member: &str,
        entries: &[Entry],
        wait: Duration,
    ) -> impl Future<Output = Vec<Forwarded>>;
}

/// Instruction from an operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Instruction {
    /// A new version of the configuration.
    Configure(Box<Catalog>),
    /// Evacuates an availability zone, so that nothing starts in it, if true; ends the evacuation if false.
    Evacuate(String, bool),
    /// A maintenance wave, or a change of it.
    Maintain(Wave),
    /// The maintenance wave with this number was removed.
    EndWave(u64),
}

/// Record of an operator or a worker that cannot be decoded.
#[derive(Clone, Debug, Error, Eq, PartialEq)]
#[error("the record {key} cannot be decoded: {reason}")]
pub struct InvalidRecord {
    /// Key of the record.
    pub key: String,
    /// Description of the problem.
    pub reason: String,
}

/// Platform adapter: gives access to all ports.
pub trait Platform: 'static {
    /// Client of the store.
    type Store: Store;
    /// Client of workers and the placement policy.
    type Upstreams: Upstreams;
    /// Client of the machine service.
    type Machines: Machines;
    /// Client of the other entry instances.
    type Peers: Peers;

    /// Returns the store client.
    fn store(&self) -> &Self::Store;
    /// Returns the client of workers and the placement policy.
    fn upstreams(&self) -> &Self::Upstreams;
    /// Returns the client of the machine service.
    fn machines(&self) -> &Self::Machines;
    /// Returns the client of the other entry instances.
    fn peers(&self) -> &Self::Peers;

    /// Decodes a record of `Topic::Operator`; none if it contains no instruction.
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

    /// Encodes the state of a maintenance wave for `Topic::Reports`.
    fn wave_report(&self, wave: u64, complete: bool) -> Entry;
}
