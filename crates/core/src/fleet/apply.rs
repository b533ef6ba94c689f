//! Application of batches: deduplication, the check of the author and dispatch by record kind.

use super::{Fleet, MemberState};
use crate::ids::{KeyId, MemberId, Offset, TaskId, TeamId, WorkerId};
use crate::record::{Batch, Origin, Record};

/// Result of applying a batch.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Applied {
    /// True if the batch was applied before and had no effect now.
    pub duplicate: bool,
    /// One result for each record of the batch, in order; empty for a duplicate.
    pub results: Vec<Result<Effect, VoidReason>>,
}

/// Effect of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The process has joined as this member.
    Joined(MemberId),
    /// New version of the declaration.
    Configured(u64),
    /// Key that was granted or withdrawn.
    Key(KeyId),
    /// New version of the zone.
    Zone(u64),
    /// Slots added to the author's hold; fewer than claimed, or 0, if the rest of the limit is smaller.
    Granted(TeamId, u32),
    /// Task that changed, or that was accepted before under the same token.
    Task(TaskId),
    /// Worker that changed.
    Worker(WorkerId),
    /// Any other effect.
    Done,
}

/// Reason why a record has no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum VoidReason {
    /// The author is not live: it never joined, has left, or was reported as ended.
    #[error("the author has left or is gone")]
    AuthorEnded,
    /// The change was made against a version that is not the current one.
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
    /// The declaration fails validation, or removes a pool that has workers.
    #[error("the declaration is invalid: {0}")]
    Invalid(String),
    /// A key with this hash exists, possibly a withdrawn one.
    #[error("the key exists already")]
    KeyExists,
    /// The author gives away or returns more slots than it holds.
    #[error("the author holds too few slots ({held})")]
    HoldTooSmall {
        /// Slots that the author holds.
        held: u32,
    },
    /// The pool would have fewer serving workers than its availability budget.
    #[error("pool {pool} must keep {needed} workers serving; {left} would be left")]
    Budget {
        /// Name of the pool.
        pool: String,
        /// Workers that must be serving.
        needed: u32,
        /// Workers that would be left.
        left: u32,
    },
    /// The pool already has as many drained workers as allowed.
    #[error("pool {pool} has reached its limit of drained workers ({allowed})")]
    Drains {
        /// Name of the pool.
        pool: String,
        /// Workers that may be drained at once.
        allowed: u64,
    },
    /// A member may still have work on the worker: it has not confirmed the stop, owns a task started there, or is
    /// gone and its holds are not reclaimed.
    #[error("member {0} has not confirmed that it stopped its work")]
    NotQuiescent(MemberId),
    /// The record is not allowed in the current state of the entity it names.
    #[error("not allowed in the current state")]
    State,
}

impl Fleet {
    /// Applies the batch at `offset`; ignores it if the offset was applied before.
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

    /// Advances past an entry that no replica can decode.
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

    /// Returns the author if it is live. Checked for each record, because an earlier record of the batch may have
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
            Record::Gone { member } => self.mark_gone(offset, *member),
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
            Record::WorkerSeen(seen) => self.update_worker(seen),
            Record::WorkerLost { worker } => self.mark_lost(*worker),
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
