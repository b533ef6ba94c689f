//! Entries of the model's log in a form that can be compared and hashed.

use super::setup::{POOLS, TEAM};
use crate::ids::{MemberId, Offset, TaskId, WorkerId};
use crate::record::{Batch, Class, Join, Origin, Record, StopProof, TaskAccepted, TaskOutcome, WorkerSeen};

/// One entry of the log: a batch with one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Entry {
    /// Author.
    pub origin: Origin,
    /// Sequence of the author.
    pub sequence: u64,
    /// Record.
    pub act: Act,
}

/// The record of an entry. There is one team and one non-idempotent task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Act {
    /// A process joins under a name.
    Join {
        /// Index of the name.
        name: u8,
        /// Random number of the process.
        nonce: u8,
        /// Predecessor that it saw at its start.
        ends: Option<MemberId>,
    },
    /// The author leaves.
    Leave,
    /// A process has ended.
    Gone(MemberId),
    /// The author has stopped its work up to an offset.
    Progress(Offset),
    /// The author claims slots.
    Claim(u32),
    /// The author gives one slot to a member.
    Give(MemberId),
    /// The author returns one slot.
    Release,
    /// The holds of a gone member return.
    Reclaim(MemberId),
    /// The platform shows a process on a worker.
    Seen {
        /// Worker, from 0.
        host: u8,
        /// Random number of its process.
        nonce: u8,
    },
    /// A worker drains.
    Drain(WorkerId),
    /// A worker leaves for the other pool.
    MoveLeft(WorkerId),
    /// A drained worker may reboot.
    Maintain(WorkerId),
    /// A moving worker may reboot into the other pool.
    MoveJoined(WorkerId),
    /// A worker serves again.
    Maintained(WorkerId),
    /// The author accepts the task.
    Accept,
    /// The task is about to start.
    Started(TaskId, u32, WorkerId, u8),
    /// The task never ran and waits again.
    Requeued(TaskId, u32),
    /// The task is done, or its end is unknown.
    Ended(TaskId, u32, bool),
}

/// Kind of a record, to choose what members write in a setup.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Kind {
    /// Claims.
    Claim,
    /// Gives.
    Give,
    /// Releases.
    Release,
    /// Clean exits.
    Leave,
    /// Ends with evidence, and reclaims.
    Gone,
    /// Acceptance, starts, requeues and ends of the task.
    Task,
    /// Drains, confirmations and maintenance.
    Drain,
    /// Moves to the other pool, confirmations and reboots.
    Move,
    /// Worker processes that the platform shows.
    Seen,
}

impl Entry {
    /// Batch for [`Fleet::apply`](crate::fleet::Fleet::apply).
    #[must_use]
    pub fn batch(&self) -> Batch {
        Batch { origin: self.origin, sequence: self.sequence, records: vec![self.act.record()] }
    }
}

impl Act {
    /// Record of the log.
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
