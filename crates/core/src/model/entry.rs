//! Log entries of the model, in a compact form that can be compared and hashed.

use super::setup::{POOLS, TEAM};
use crate::ids::{MemberId, Offset, TaskId, WorkerId};
use crate::record::{Batch, Class, Join, Origin, Record, StopProof, TaskAccepted, TaskOutcome, WorkerSeen};

/// Log entry: a batch with one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    /// Author of the batch.
    pub origin: Origin,
    /// Sequence number of the batch.
    pub sequence: u64,
    /// Record of the batch.
    pub action: Action,
}

/// Record of an entry. The model has one team and one non-idempotent task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Action {
    /// A process joins as an incarnation of an instance name.
    Join {
        /// Index of the instance name.
        name: u8,
        /// Nonce of the process: its index plus 1.
        nonce: u8,
        /// Live member of the same name that the process saw when it started.
        ends: Option<MemberId>,
    },
    /// The author leaves.
    Leave,
    /// The process of a member has ended.
    Gone(MemberId),
    /// The author confirms that it stopped the work that the log told it to stop up to an offset.
    Progress(Offset),
    /// The author claims this many slots.
    Claim(u32),
    /// The author gives one slot to a member.
    Give(MemberId),
    /// The author returns one slot.
    Release,
    /// The holds of a gone member are freed.
    Reclaim(MemberId),
    /// The platform's list shows a process on a worker.
    Seen {
        /// Index of the worker.
        host: u8,
        /// Nonce of its process.
        nonce: u8,
    },
    /// A worker is drained.
    Drain(WorkerId),
    /// A worker starts to move to the other pool.
    MoveLeft(WorkerId),
    /// A drained worker may be rebooted.
    Maintain(WorkerId),
    /// A moving worker may be rebooted into the other pool.
    MoveJoined(WorkerId),
    /// A worker serves again.
    Maintained(WorkerId),
    /// The author accepts the task.
    Accept,
    /// An attempt of the task is about to be sent to a worker process with this nonce.
    Started(TaskId, u32, WorkerId, u8),
    /// The attempt never ran; the task waits again.
    Requeued(TaskId, u32),
    /// The task ended in this attempt: completed if true, with an unknown outcome if false.
    Ended(TaskId, u32, bool),
}

/// Groups of records that a setup allows members to write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RecordKind {
    /// Claims.
    Claim,
    /// Gives.
    Give,
    /// Releases.
    Release,
    /// Clean exits.
    Leave,
    /// Ends of other members' processes, and reclaims of their holds.
    Gone,
    /// Acceptance, starts, requeues and the end of the task.
    Task,
    /// Drains, their confirmations, and maintenance.
    Drain,
    /// Moves to the other pool, their confirmations, and maintenance.
    Move,
    /// Updates about restarted workers.
    Seen,
}

impl Entry {
    /// Converts the entry to a batch for [`Fleet::apply`](crate::fleet::Fleet::apply).
    #[must_use]
    pub fn batch(&self) -> Batch {
        Batch { origin: self.origin, sequence: self.sequence, records: vec![self.action.record()] }
    }
}

impl Action {
    /// Converts the action to the record that the log would contain.
    #[must_use]
    pub fn record(self) -> Record {
        let team = TEAM.to_owned();
        match self {
            Self::Join { name, nonce, ends } => join(name, nonce, ends),
            Self::Leave => Record::Leave,
            Self::Gone(member) => Record::Gone { member },
            Self::Progress(applied) => Record::Progress { applied },
            Self::Claim(slots) => Record::HoldClaim { team, slots },
            Self::Give(to) => Record::HoldGive { team, to, slots: 1 },
            Self::Release => Record::HoldRelease { team, slots: 1 },
            Self::Reclaim(member) => Record::HoldReclaim { member },
            Self::Seen { host, nonce } => seen(host, nonce),
            Self::Drain(worker) => Record::DrainStarted { worker },
            Self::MoveLeft(worker) => Record::MoveLeft { worker, to: POOLS[1].to_owned() },
            Self::Maintain(worker) => Record::MaintenanceStarted { worker },
            Self::MoveJoined(worker) => Record::MoveJoined { worker },
            Self::Maintained(worker) => Record::MaintenanceEnded { worker },
            Self::Accept => accept(),
            Self::Started(task, attempt, worker, nonce) => {
                Record::TaskStarted { task, attempt, worker, nonce: nonce.into() }
            }
            Self::Requeued(task, attempt) => {
                Record::TaskRequeued { task, attempt, proof: StopProof::NeverStarted }
            }
            Self::Ended(task, attempt, done) => {
                let unknown = || TaskOutcome::Unknown("worker restarted or lease lapsed".to_owned());
                let outcome = if done { TaskOutcome::Done(Vec::new()) } else { unknown() };
                Record::TaskEnded { task, attempt, outcome }
            }
        }
    }
}

fn join(name: u8, nonce: u8, ends: Option<MemberId>) -> Record {
    Record::Join(Join {
        name: format!("entry-{name}"),
        nonce: u64::from(nonce),
        zone: "zone".to_owned(),
        address: String::new(),
        ends: ends.into_iter().collect(),
    })
}

fn seen(host: u8, nonce: u8) -> Record {
    Record::WorkerSeen(WorkerSeen {
        name: format!("worker-{host}"),
        nonce: u64::from(nonce),
        address: String::new(),
        zone: "zone".to_owned(),
        rack: String::new(),
        pool: POOLS[0].to_owned(),
        slots: 8,
        leaving: false,
    })
}

fn accept() -> Record {
    Record::TaskAccepted(TaskAccepted {
        number: 1,
        team: TEAM.to_owned(),
        pool: POOLS[0].to_owned(),
        token: Some("token".to_owned()),
        idempotent: false,
        class: Class::Normal,
        payload: Vec::new(),
    })
}
