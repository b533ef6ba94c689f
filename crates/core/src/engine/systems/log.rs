//! The log: applies batches and restored states, and appends records.

use super::super::command::{Command, ProposalError};
use super::super::event::AppendOutcome;
use super::super::{Engine, Millis, Phase, Ticket};
use crate::fleet::{Applied, Effect, Fleet, MemberState, VoidReason};
use crate::ids::{MemberId, Offset};
use crate::record::{Batch, Origin, Record};

type RecordResult = Result<Effect, VoidReason>;

impl Engine {
    pub(in crate::engine) fn apply_batch(&mut self, now: Millis, offset: Offset, batch: &Batch) {
        if self.fleet.applied.is_some_and(|last| offset <= last) {
            return;
        }
        let applied = self.fleet.apply(offset, batch);
        if batch.records.iter().any(changes_workers) {
            self.upstreams.rebuild_index(&self.fleet);
        }
        if applied.duplicate {
            self.counters.duplicate_batches += 1;
        }
        self.collect_snapshots(batch);
        self.record_member_times(now);
        match batch.origin {
            Origin::Joining(nonce) if nonce == self.options.nonce => self.end_join(&applied),
            Origin::Member(id) if self.phase == Phase::Member(id) => {
                self.complete_own_batch(now, offset, batch, applied)
            }
            _ => {}
        }
        self.check_own_membership();
        self.track_batch_tasks(now, batch);
    }

    /// Skips an entry that cannot be decoded. All replicas read the same bytes, so all of them skip it.
    pub(in crate::engine) fn skip_corrupt(&mut self, offset: Offset) {
        self.counters.corrupt_entries += 1;
        self.fleet.skip(offset);
    }

    /// Replaces the fleet state with one of a higher offset.
    pub(in crate::engine) fn restore(&mut self, now: Millis, fleet: Fleet) {
        if fleet.applied <= self.fleet.applied {
            return;
        }
        self.fleet = fleet;
        self.upstreams.rebuild_index(&self.fleet);
        self.record_member_times(now);
        if let Phase::Member(id) = self.phase {
            let sequence = self.fleet.members.get(&id).map_or(0, |m| m.sequence);
            for (record, ticket) in self.appends.end_batch(sequence) {
                self.settle_outgoing(&record);
                self.resolve(ticket, Err(ProposalError::Unknown));
            }
        }
        self.check_own_membership();
        self.track_all_tasks(now);
    }

    fn complete_own_batch(&mut self, now: Millis, offset: Offset, batch: &Batch, applied: Applied) {
        if applied.duplicate {
            return;
        }
        let records = self.appends.end_batch(batch.sequence);
        for ((record, ticket), result) in records.into_iter().zip(applied.results) {
            self.settle_outgoing(&record);
            if result.is_err() {
                self.counters.void_records += 1;
            }
            self.complete_record(now, &record, &result);
            self.resolve(ticket, result.map(|effect| (offset, effect)).map_err(ProposalError::Void));
        }
    }

    fn complete_record(&mut self, now: Millis, record: &Record, result: &RecordResult) {
        match record {
            Record::TaskStarted { task, attempt, .. } => {
                self.complete_start_record(now, *task, *attempt, result.is_ok())
            }
            Record::TaskEnded { task, .. } | Record::TaskRequeued { task, .. } => {
                self.complete_final_record(now, *task)
            }
            _ => {}
        }
    }

    pub(in crate::engine) fn end_append(&mut self, now: Millis, sequence: u64, outcome: AppendOutcome) {
        for ticket in self.appends.end_append(now, sequence, outcome) {
            self.resolve(Some(ticket), Err(ProposalError::Unavailable));
        }
    }

    /// Records that the replica is up to date. Since the log answered, appends are accepted again.
    pub(in crate::engine) fn reach_log_end(&mut self, now: Millis) {
        self.caught_up = Some(now);
        self.appends.log_down = false;
    }

    fn resolve(&mut self, ticket: Option<Ticket>, result: Result<(Offset, Effect), ProposalError>) {
        if let Some(ticket) = ticket {
            self.emit(Command::Resolve { ticket, result });
        }
    }

    /// Queues a record of a caller or an operator; the returned ticket is resolved later, or already if the log is
    /// unreachable.
    pub(in crate::engine) fn propose_for(&mut self, now: Millis, record: Record) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let possible = self.member().is_some() && !self.appends.log_down;
        if !possible || !self.appends.push(now, record, Some(ticket)) {
            self.resolve(Some(ticket), Err(ProposalError::Unavailable));
        }
        ticket
    }

    /// Queues a record of this member, which has no ticket.
    pub(super) fn append_record(&mut self, now: Millis, record: Record) {
        if !self.appends.push(now, record.clone(), None) {
            self.settle_outgoing(&record);
        }
    }

    /// Queues a record unless an equal one is queued or sent.
    pub(super) fn append_once(&mut self, now: Millis, record: Record) {
        if !self.appends.contains(|other| *other == record) {
            self.append_record(now, record);
        }
    }

    pub(in crate::engine) fn run_appends(&mut self, now: Millis) {
        for ticket in self.appends.expire_queued(now) {
            self.resolve(Some(ticket), Err(ProposalError::Unavailable));
        }
        for ticket in self.appends.expire_sent(now) {
            self.resolve(Some(ticket), Err(ProposalError::Unknown));
        }
        let Some(me) = self.member() else {
            return;
        };
        if let Some(batch) = self.appends.next_batch(now, me, self.options.commit_ms) {
            self.counters.appends += 1;
            self.emit(Command::Append(batch));
        }
    }

    /// Records when each member was first read from the log, and when it was first read to be gone.
    fn record_member_times(&mut self, now: Millis) {
        for (id, member) in &self.fleet.members {
            self.first_seen.entry(*id).or_insert(now);
            if matches!(member.state, MemberState::Gone(_)) {
                self.gone_since.entry(*id).or_insert(now);
            }
        }
    }

    /// Ends this member once the log says that it left or is gone.
    fn check_own_membership(&mut self) {
        let Phase::Member(id) = self.phase else {
            return;
        };
        match self.fleet.members.get(&id).map(|m| m.state) {
            Some(MemberState::Live) | None => {}
            Some(MemberState::Left) => self.end_phase(Command::Exit),
            Some(MemberState::Gone(_)) => self.end_phase(Command::Rejoin),
        }
    }

    fn end_phase(&mut self, command: Command) {
        self.phase = Phase::Ended;
        self.emit(command);
    }

    fn end_join(&mut self, applied: &Applied) {
        if !matches!(self.phase, Phase::Starting | Phase::Joining(_)) {
            return;
        }
        match applied.results.first() {
            Some(Ok(Effect::Joined(id))) => self.phase = Phase::Member(*id),
            Some(Err(_)) => self.end_phase(Command::Rejoin),
            _ => {}
        }
    }

    /// True once the log was read to its end.
    pub(super) fn has_state(&self) -> bool {
        self.caught_up.is_some()
    }

    /// Id under which this process has joined, if a restored state already contains its join.
    pub(super) fn find_self(&self) -> Option<MemberId> {
        let own = self.fleet.members.iter().find(|(_, m)| m.nonce == self.options.nonce);
        own.map(|(id, _)| *id)
    }
}

/// False for the frequent records that change no worker, so that the index of workers stays valid.
const fn changes_workers(record: &Record) -> bool {
    !matches!(
        record,
        Record::Progress { .. }
            | Record::KeyGranted { .. }
            | Record::KeyWithdrawn { .. }
            | Record::HoldClaim { .. }
            | Record::HoldGive { .. }
            | Record::HoldRelease { .. }
            | Record::HoldReclaim { .. }
            | Record::TaskAccepted(_)
            | Record::TaskStarted { .. }
            | Record::TaskRequeued { .. }
            | Record::TaskEnded { .. }
            | Record::TaskCancelled { .. }
            | Record::SnapshotPart(_)
    )
}
