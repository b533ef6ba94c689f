//! Group commit: records are queued, sent in one batch at a time, and complete when they are read back from the log.

use std::collections::VecDeque;

use super::event::AppendOutcome;
use super::{Millis, Ticket};
use crate::ids::MemberId;
use crate::record::{Batch, Origin, Record};

/// Maximum records of one batch.
const MAX_BATCH_RECORDS: usize = 500;
/// Maximum payload bytes of one batch; a larger record is sent in a batch of its own.
const MAX_BATCH_BYTES: usize = 512 << 10;
/// Maximum records in the queue.
const MAX_QUEUED_RECORDS: usize = 10_000;
/// Time after which a proposal without a result is reported to its author as failed or unknown, in milliseconds.
const PROPOSAL_TIMEOUT_MS: u64 = 5_000;
/// First pause before a failed append is repeated, in milliseconds; doubles with each failure.
const MIN_RETRY_MS: u64 = 100;
/// Maximum pause before a failed append is repeated, in milliseconds.
const MAX_RETRY_MS: u64 = 2_000;
/// Time after which a sent batch that was not read back from the log is sent again, in milliseconds.
const READ_BACK_TIMEOUT_MS: u64 = 3_000;

/// Queued record, with a ticket if it was proposed by a caller or an operator.
#[derive(Debug)]
struct QueuedRecord {
    record: Record,
    ticket: Option<Ticket>,
    proposed: Millis,
}

/// Batch that was sent and not yet read back from the log.
#[derive(Debug)]
pub(super) struct Outstanding {
    pub(super) batch: Batch,
    tickets: Vec<Option<Ticket>>,
    proposed: Millis,
    in_flight: bool,
    retry_at: Millis,
    failures: u32,
    /// True if the log may have accepted the batch.
    maybe_appended: bool,
}

impl Outstanding {
    fn back_off(&mut self, now: Millis, outcome: AppendOutcome) {
        let pause = (MIN_RETRY_MS << self.failures.min(8)).min(MAX_RETRY_MS);
        self.failures += 1;
        self.retry_at = now.plus(pause);
        self.maybe_appended |= outcome == AppendOutcome::Unknown;
    }
}

/// Records to be appended to the log.
#[derive(Debug, Default)]
pub(super) struct Appends {
    queue: VecDeque<QueuedRecord>,
    outstanding: Option<Outstanding>,
    sequence: u64,
    last_commit: Millis,
    /// True from a failed append until an append or a read of the log succeeds.
    pub(super) log_down: bool,
}

impl Appends {
    /// Queues a record; returns false if the queue is full.
    pub(super) fn push(&mut self, now: Millis, record: Record, ticket: Option<Ticket>) -> bool {
        if self.queue.len() >= MAX_QUEUED_RECORDS {
            return false;
        }
        self.queue.push_back(QueuedRecord { record, ticket, proposed: now });
        true
    }

    /// True if a queued or sent record satisfies `same`.
    pub(super) fn contains(&self, same: impl Fn(&Record) -> bool) -> bool {
        self.records().any(same)
    }

    /// Records that are queued or sent.
    pub(super) fn records(&self) -> impl Iterator<Item = &Record> {
        let sent = self.outstanding.iter().flat_map(|o| o.batch.records.iter());
        self.queue.iter().map(|queued| &queued.record).chain(sent)
    }

    /// True if nothing is queued or sent.
    pub(super) fn is_empty(&self) -> bool {
        self.queue.is_empty() && self.outstanding.is_none()
    }

    /// Batch to send now: the outstanding one if its retry is due, or a new one if none is outstanding.
    pub(super) fn next_batch(&mut self, now: Millis, member: MemberId, commit_ms: u64) -> Option<Batch> {
        if let Some(outstanding) = &mut self.outstanding {
            if outstanding.retry_at > now {
                return None;
            }
            outstanding.in_flight = true;
            outstanding.retry_at = now.plus(READ_BACK_TIMEOUT_MS);
            return Some(outstanding.batch.clone());
        }
        if self.queue.is_empty() || now.since(self.last_commit) < commit_ms {
            return None;
        }
        self.last_commit = now;
        Some(self.new_batch(now, member))
    }

    fn new_batch(&mut self, now: Millis, member: MemberId) -> Batch {
        let mut records = Vec::new();
        let mut tickets = Vec::new();
        let mut bytes = 0;
        let mut proposed = now;
        while let Some(next) = self.queue.front() {
            bytes += payload_bytes(&next.record);
            let full = records.len() >= MAX_BATCH_RECORDS || (bytes > MAX_BATCH_BYTES && !records.is_empty());
            if full {
                break;
            }
            let Some(next) = self.queue.pop_front() else { break };
            proposed = proposed.min(next.proposed);
            tickets.push(next.ticket);
            records.push(next.record);
        }
        self.sequence += 1;
        let batch = Batch { origin: Origin::Member(member), sequence: self.sequence, records };
        let retry_at = now.plus(READ_BACK_TIMEOUT_MS);
        self.outstanding = Some(Outstanding {
            batch: batch.clone(),
            tickets,
            proposed,
            in_flight: true,
            retry_at,
            failures: 0,
            maybe_appended: false,
        });
        batch
    }

    /// Processes the result of an append. A batch that may be in the log is sent again unchanged. A batch that is
    /// certainly not in the log is dissolved: its records are queued again, except for proposals, whose tickets are
    /// returned.
    pub(super) fn end_append(&mut self, now: Millis, sequence: u64, outcome: AppendOutcome) -> Vec<Ticket> {
        self.log_down = outcome != AppendOutcome::Appended;
        let Some(outstanding) = self.outstanding.as_mut().filter(|o| o.batch.sequence == sequence) else {
            return Vec::new();
        };
        outstanding.in_flight = false;
        match outcome {
            AppendOutcome::Appended => {
                outstanding.failures = 0;
                outstanding.maybe_appended = true;
                outstanding.retry_at = now.plus(READ_BACK_TIMEOUT_MS);
            }
            AppendOutcome::NotAppended if !outstanding.maybe_appended => return self.requeue_records(now),
            AppendOutcome::NotAppended | AppendOutcome::Unknown => outstanding.back_off(now, outcome),
        }
        Vec::new()
    }

    /// Queues the records of the outstanding batch again, except for proposals, whose tickets are returned.
    fn requeue_records(&mut self, now: Millis) -> Vec<Ticket> {
        let Some(outstanding) = self.outstanding.take() else {
            return Vec::new();
        };
        self.sequence -= 1;
        self.last_commit = now.plus(MIN_RETRY_MS);
        let mut refused = Vec::new();
        for (record, ticket) in outstanding.batch.records.into_iter().zip(outstanding.tickets).rev() {
            match ticket {
                Some(ticket) => refused.push(ticket),
                None => {
                    self.queue.push_front(QueuedRecord { record, ticket, proposed: outstanding.proposed })
                }
            }
        }
        refused
    }

    /// Completes the outstanding batch once it was read back; returns its records with their tickets.
    pub(super) fn end_batch(&mut self, sequence: u64) -> Vec<(Record, Option<Ticket>)> {
        self.log_down = false;
        let Some(outstanding) = self.outstanding.take_if(|o| o.batch.sequence <= sequence) else {
            return Vec::new();
        };
        outstanding.batch.records.into_iter().zip(outstanding.tickets).collect()
    }

    /// Drops queued proposals that were not sent in time and returns their tickets; they had no effect.
    pub(super) fn expire_queued(&mut self, now: Millis) -> Vec<Ticket> {
        let late = |w: &QueuedRecord| w.ticket.is_some() && now.since(w.proposed) > PROPOSAL_TIMEOUT_MS;
        let tickets = self.queue.iter().filter(|w| late(w)).filter_map(|w| w.ticket).collect();
        self.queue.retain(|w| !late(w));
        tickets
    }

    /// Returns the tickets of proposals that were sent but not read back in time; they may still take effect.
    pub(super) fn expire_sent(&mut self, now: Millis) -> Vec<Ticket> {
        let late = self.outstanding.as_mut().filter(|o| now.since(o.proposed) > PROPOSAL_TIMEOUT_MS);
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
