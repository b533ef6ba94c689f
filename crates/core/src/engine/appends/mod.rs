//! Group commit: records wait here, travel in one batch at a time, and are done when the log shows them.

use std::collections::VecDeque;

use super::event::AppendOutcome;
use super::{Millis, Ticket};
use crate::ids::MemberId;
use crate::record::{Batch, Origin, Record};

/// Records of one batch.
const BATCH_RECORDS: usize = 500;
/// Payload bytes of one batch; one larger record still travels alone.
const BATCH_BYTES: usize = 512 << 10;
/// Records that wait for an append.
const QUEUE_RECORDS: usize = 10_000;
/// Time after which the author of a proposal is told that it is not decided, in milliseconds.
const TICKET_MS: u64 = 5_000;
/// First pause before a failed append is repeated, in milliseconds.
const RETRY_MS: u64 = 100;
/// Longest pause before a failed append is repeated, in milliseconds.
const RETRY_CAP_MS: u64 = 2_000;
/// Time after which an accepted append that the log does not show is repeated, in milliseconds.
const READ_BACK_MS: u64 = 3_000;

/// Record with the proposal that it belongs to.
#[derive(Debug)]
struct Waiting {
    record: Record,
    ticket: Option<Ticket>,
    proposed: Millis,
}

/// Batch that was sent and is not seen in the log yet.
#[derive(Debug)]
pub(super) struct Outstanding {
    pub(super) batch: Batch,
    tickets: Vec<Option<Ticket>>,
    proposed: Millis,
    flying: bool,
    again: Millis,
    failures: u32,
    /// True if an append of it may have taken effect.
    unsure: bool,
}

impl Outstanding {
    fn back_off(&mut self, now: Millis, end: AppendOutcome) {
        let pause = (RETRY_MS << self.failures.min(8)).min(RETRY_CAP_MS);
        self.failures += 1;
        self.again = now.plus(pause);
        self.unsure |= end == AppendOutcome::Unknown;
    }
}

/// Records on their way into the log.
#[derive(Debug, Default)]
pub(super) struct Appends {
    waiting: VecDeque<Waiting>,
    outstanding: Option<Outstanding>,
    sequence: u64,
    committed: Millis,
    /// True from a failed append until the next that succeeds.
    pub(super) down: bool,
}

impl Appends {
    /// Queues a record; false if the queue is full.
    pub(super) fn push(&mut self, now: Millis, record: Record, ticket: Option<Ticket>) -> bool {
        if self.waiting.len() >= QUEUE_RECORDS {
            return false;
        }
        self.waiting.push_back(Waiting { record, ticket, proposed: now });
        true
    }

    /// True if a record for which `same` holds is queued or sent.
    pub(super) fn contains(&self, same: impl Fn(&Record) -> bool) -> bool {
        let sent = self.outstanding.iter().flat_map(|o| o.batch.records.iter());
        self.waiting.iter().map(|w| &w.record).chain(sent).any(same)
    }

    /// True if nothing is queued or sent.
    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty() && self.outstanding.is_none()
    }

    /// Batch to send now: a new one if none is outstanding, otherwise the outstanding one when its pause is over.
    pub(super) fn next_batch(&mut self, now: Millis, member: MemberId, commit_ms: u64) -> Option<Batch> {
        if let Some(outstanding) = &mut self.outstanding {
            if outstanding.again > now {
                return None;
            }
            outstanding.flying = true;
            outstanding.again = now.plus(READ_BACK_MS);
            return Some(outstanding.batch.clone());
        }
        if self.waiting.is_empty() || now.since(self.committed) < commit_ms {
            return None;
        }
        self.committed = now;
        Some(self.cut(now, member))
    }

    fn cut(&mut self, now: Millis, member: MemberId) -> Batch {
        let mut records = Vec::new();
        let mut tickets = Vec::new();
        let mut bytes = 0;
        let mut proposed = now;
        while let Some(next) = self.waiting.front() {
            bytes += payload_bytes(&next.record);
            let full = records.len() >= BATCH_RECORDS || (bytes > BATCH_BYTES && !records.is_empty());
            if full {
                break;
            }
            let Some(next) = self.waiting.pop_front() else { break };
            proposed = proposed.min(next.proposed);
            tickets.push(next.ticket);
            records.push(next.record);
        }
        self.sequence += 1;
        let batch = Batch { origin: Origin::Member(member), sequence: self.sequence, records };
        let again = now.plus(READ_BACK_MS);
        self.outstanding = Some(Outstanding {
            batch: batch.clone(),
            tickets,
            proposed,
            flying: true,
            again,
            failures: 0,
            unsure: false,
        });
        batch
    }

    /// Notes the end of an append. A batch that may be in the log is sent again as it is; one that is certainly not in
    /// it is taken apart, and the proposals in it are returned: they changed nothing.
    pub(super) fn end_append(&mut self, now: Millis, sequence: u64, end: AppendOutcome) -> Vec<Ticket> {
        self.down = end != AppendOutcome::Appended;
        let Some(outstanding) = self.outstanding.as_mut().filter(|o| o.batch.sequence == sequence) else {
            return Vec::new();
        };
        outstanding.flying = false;
        match end {
            AppendOutcome::Appended => {
                outstanding.failures = 0;
                outstanding.unsure = true;
                outstanding.again = now.plus(READ_BACK_MS);
            }
            AppendOutcome::NotAppended if !outstanding.unsure => return self.take_apart(now),
            AppendOutcome::NotAppended | AppendOutcome::Unknown => outstanding.back_off(now, end),
        }
        Vec::new()
    }

    /// Queues the records of the outstanding batch again, without those that belong to a proposal.
    fn take_apart(&mut self, now: Millis) -> Vec<Ticket> {
        let Some(outstanding) = self.outstanding.take() else {
            return Vec::new();
        };
        self.sequence -= 1;
        self.committed = now.plus(RETRY_MS);
        let mut refused = Vec::new();
        for (record, ticket) in outstanding.batch.records.into_iter().zip(outstanding.tickets).rev() {
            match ticket {
                Some(ticket) => refused.push(ticket),
                None => self.waiting.push_front(Waiting { record, ticket, proposed: outstanding.proposed }),
            }
        }
        refused
    }

    /// Ends the outstanding batch once the log has shown it; returns its records with their proposals.
    pub(super) fn end_batch(&mut self, sequence: u64) -> Vec<(Record, Option<Ticket>)> {
        self.down = false;
        let Some(outstanding) = self.outstanding.take_if(|o| o.batch.sequence <= sequence) else {
            return Vec::new();
        };
        outstanding.batch.records.into_iter().zip(outstanding.tickets).collect()
    }

    /// Proposals that were not sent in time: their records are dropped, nothing was changed.
    pub(super) fn take_unsent(&mut self, now: Millis) -> Vec<Ticket> {
        let late = |w: &Waiting| w.ticket.is_some() && now.since(w.proposed) > TICKET_MS;
        let tickets = self.waiting.iter().filter(|w| late(w)).filter_map(|w| w.ticket).collect();
        self.waiting.retain(|w| !late(w));
        tickets
    }

    /// Proposals that were sent but not decided in time: they may still take effect.
    pub(super) fn take_undecided(&mut self, now: Millis) -> Vec<Ticket> {
        let late = self.outstanding.as_mut().filter(|o| now.since(o.proposed) > TICKET_MS);
        late.map_or_else(Vec::new, |o| o.tickets.iter_mut().filter_map(Option::take).collect())
    }
}

fn payload_bytes(record: &Record) -> usize {
    match record {
        Record::TaskAccepted(task) => task.payload.len(),
        Record::SnapshotPart(part) => part.bytes.len(),
        Record::TaskEnded { outcome: crate::record::TaskOutcome::Done(bytes), .. } => bytes.len(),
        _ => 64,
    }
}
