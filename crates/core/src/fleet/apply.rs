//! Applies batches in log order.

use super::{Fleet, MemberState};
use crate::ids::{KeyId, MemberId, Offset, TaskId, TeamId, WorkerId};
use crate::record::{Batch, Origin, Record};

/// What a batch did.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// True if the whole batch was a duplicate.
    pub duplicate: bool,
    /// One result for each record of the batch, in order; empty for a duplicate.
    pub results: Vec<Result<Effect, VoidReason>>,
}

/// Effect of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// A process became this member.
    Joined(MemberId),
    /// The declaration has this version now.
    Configured(u64),
    /// The key has this id.
    Key(KeyId),
    /// The zone has this version now.
    Zone(u64),
    /// The hold of the author grew by this many slots.
    Granted(TeamId, u32),
    /// The task was accepted, or was accepted before under the same token.
    Task(TaskId),
    /// The worker changed.
    Worker(WorkerId),
    /// Any other change.
    Done,
}

/// Reason why a record has no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoidReason {
    /// The author is not a live member.
    #[error("the author has left or is gone")]
    AuthorEnded,
    /// The change was made against another version.
    #[error("the change was made against version {base}, the current version is {current}")]
    Conflict {
        /// Version that the change names.
        base: u64,
        /// Version in force.
        current: u64,
    },
    /// The record names an entity that does not exist.
    #[error("unknown {0}")]
    Unknown(&'static str),
    /// The declaration has problems.
    #[error("the declaration is invalid: {0}")]
    Invalid(String),
    /// A key of this hash exists.
    #[error("the key exists already")]
    KeyExists,
    /// The author gives or returns more than it holds.
    #[error("the author holds too few slots ({held})")]
    HoldTooSmall {
        /// Slots held.
        held: u32,
    },
    /// The budget of the pool would break.
    #[error("pool {pool} must keep {needed} workers serving; {left} would be left")]
    Budget {
        /// Name of the pool.
        pool: String,
        /// Workers that must be serving.
        needed: u32,
        /// Workers that would be left.
        left: u32,
    },
    /// As many workers of the pool are drained as allowed.
    #[error("pool {pool} has reached its limit of drained workers ({allowed})")]
    Drains {
        /// Name of the pool.
        pool: String,
        /// Workers that may be drained at once.
        allowed: u64,
    },
    /// A live member has not confirmed the stop yet.
    #[error("member {0} has not confirmed that it stopped its work")]
    NotQuiet(MemberId),
    /// The entity is in a state in which the record is not allowed.
    #[error("not allowed in the current state")]
    State,
}

impl Fleet {
    /// Applies the batch at `offset`. Offsets that were applied before are ignored.
    pub fn apply(&mut self, offset: Offset, batch: &Batch) -> Applied {
        if self.applied.is_some_and(|last| offset <= last) {
            return Applied { duplicate: true, results: Vec::new() };
        }
        self.applied = Some(offset);
        if let Origin::Member(id) = batch.origin {
            match self.accept_sequence(id, batch.sequence) {
                Sequence::Duplicate => return Applied { duplicate: true, results: Vec::new() },
                Sequence::Ended => return void_all(batch),
                Sequence::New => {}
            }
        }
        let records = batch.records.iter();
        let results = records.map(|record| self.apply_record(offset, batch.origin, record)).collect();
        Applied { duplicate: false, results }
    }

    /// Passes over an entry that does not decode on any replica.
    pub fn skip(&mut self, offset: Offset) {
        self.applied = self.applied.max(Some(offset));
    }

    fn accept_sequence(&mut self, id: MemberId, sequence: u64) -> Sequence {
        let Some(member) = self.members.get_mut(&id) else {
            return Sequence::Ended;
        };
        if sequence <= member.sequence {
            return Sequence::Duplicate;
        }
        if member.state != MemberState::Live {
            return Sequence::Ended;
        }
        member.sequence = sequence;
        Sequence::New
    }

    /// Author of the next record. Checked for each record, because the records before it in the batch may have
    /// ended the author.
    fn live_author(&self, origin: Origin) -> Result<MemberId, VoidReason> {
        let Origin::Member(id) = origin else {
            return Err(VoidReason::AuthorEnded);
        };
        let live = self.members.get(&id).is_some_and(|m| m.state == MemberState::Live);
        if live { Ok(id) } else { Err(VoidReason::AuthorEnded) }
    }

    fn apply_record(
        &mut self,
        offset: Offset,
        origin: Origin,
        record: &Record,
    ) -> Result<Effect, VoidReason> {
        if let Record::Join(join) = record {
            return self.join(offset, origin, join);
        }
        let author = self.live_author(origin)?;
        match record {
            Record::Join(join) => self.join(offset, origin, join),
            Record::Leave => self.leave(author),
            Record::Gone { member } => self.gone(offset, *member),
            Record::Progress { applied } => self.progress(offset, author, *applied),
            Record::ConfigChanged { base, declaration } => self.configure(offset, *base, declaration),
            Record::KeyGranted { team, hash } => self.grant_key(team, *hash),
            Record::KeyWithdrawn { key } => self.withdraw_key(*key),
            Record::ZoneRemoved { zone, base } => self.remove_zone(zone, *base),
            Record::ZoneRestored { zone, base } => self.restore_zone(zone, *base),
            Record::HoldClaim { team, slots } => self.claim(author, team, *slots),
            Record::HoldGive { team, to, slots } => self.give(author, team, *to, *slots),
            Record::HoldRelease { team, slots } => self.release(author, team, *slots),
            Record::HoldReclaim { member } => self.reclaim(*member),
            Record::WorkerSeen(seen) => self.see_worker(seen),
            Record::WorkerLost { worker } => self.lose_worker(*worker),
            Record::WaveStarted { pool } => self.start_wave(pool),
            Record::DrainStarted { worker } => self.start_drain(offset, *worker),
            Record::DrainCancelled { worker } => self.cancel_drain(*worker),
            Record::MaintenanceStarted { worker } => self.start_maintenance(*worker),
            Record::MaintenanceEnded { worker } => self.end_maintenance(*worker),
            Record::MoveLeft { worker, to } => self.start_move(offset, *worker, to),
            Record::MoveJoined { worker } => self.end_move(*worker),
            Record::TaskAccepted(task) => self.accept_task(author, task),
            Record::TaskStarted { task, attempt, worker, nonce } => {
                self.start_task(author, *task, *attempt, *worker, *nonce)
            }
            Record::TaskRequeued { task, attempt, proof } => {
                self.requeue_task(offset, author, *task, *attempt, *proof)
            }
            Record::TaskEnded { task, attempt, outcome } => {
                self.end_task(offset, author, *task, *attempt, outcome)
            }
            Record::TaskCancelled { task } => self.cancel_task(offset, *task),
            Record::SnapshotPart(_) => Ok(Effect::Done),
        }
    }
}

enum Sequence {
    New,
    Duplicate,
    Ended,
}

fn void_all(batch: &Batch) -> Applied {
    let results = batch.records.iter().map(|_| Err(VoidReason::AuthorEnded)).collect();
    Applied { duplicate: false, results }
}
