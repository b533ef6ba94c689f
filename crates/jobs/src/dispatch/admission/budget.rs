//! Memory budget of all accepted jobs.
//!
//! The job table keeps the sums of the estimates. Ended jobs count until their retention is over, because they take memory
//! until then. Admitted jobs count from the decision on, since many may be on their way to the store.
//!
//! A team may hold a few times what is free. One team alone thereby leaves a quarter of the budget, and each further one that
//! takes all it may leaves less but never nothing, so that a team that holds little is admitted. A job must also leave room
//! for several like it, so that small jobs of a team are still admitted when its large ones no longer are. A new owner
//! derives the same sums from its table.

use std::collections::BTreeMap;

use super::super::Dispatcher;
use super::super::options::TASK_MEMORY_BYTES;
use crate::ids::JobId;
use crate::spec::{Step, Submission};
use crate::table::{Held, Job};

/// Memory of a job besides its record, in bytes: entries of the table, of the scheduler and of the summaries.
const JOB_MEMORY_BYTES: usize = 512;
/// Shortest and longest mean time after which a declined caller is to come back, in milliseconds.
const RETRY_MS: (u64, u64) = (1_000, 10_000);
/// Memory that a team may hold, as a multiple of what is free.
const TEAM_FACTOR: u64 = 3;
/// Jobs of the same size for which an admitted job must find room, and the part of the budget that this is at most.
const HEADROOM_JOBS: u64 = 16;
const HEADROOM_DIVISOR: u64 = 8;
/// Time for which an admitted job is awaited, in milliseconds. A call doesn't wait longer for the store.
const RESERVED_MS: u64 = 11_000;

/// Estimated memory of a job at the owner and at each holder, in bytes. Tasks are counted for one occurrence; those of
/// further ones have a budget of their own.
#[must_use]
pub fn job_bytes(submission: &Submission) -> u64 {
    let text = |text: &Option<String>| text.as_ref().map_or(0, String::len);
    let step = |step: &Step| {
        let names = text(&step.label) + text(&step.data_rack) + text(&step.image);
        size_of::<Step>() + names + step.after.len() * size_of::<u16>()
    };
    let names = submission.queue.len() + submission.terms.pool.len() + text(&submission.team);
    let steps: usize = submission.steps.iter().map(step).sum();
    let fixed = size_of::<Job>() + size_of::<Submission>() + JOB_MEMORY_BYTES;
    let tasks = TASK_MEMORY_BYTES.saturating_mul(submission.tasks() as u64);
    ((fixed + names + submission.payload.len() + steps) as u64).saturating_add(tasks)
}

/// Admitted job whose record is not read yet.
#[derive(Clone, Debug)]
struct Reservation {
    /// Time of the decision.
    at: u64,
    team: String,
    bytes: u64,
}

/// Memory of admitted jobs whose records are not read yet.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct Reservations {
    jobs: BTreeMap<JobId, Reservation>,
    held: Held,
}

impl Reservations {
    /// True if a job was admitted and its record may still come.
    pub(super) fn contains(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    fn add(&mut self, now: u64, submission: &Submission) {
        self.remove(submission.id);
        let reservation =
            Reservation { at: now, team: submission.account().to_owned(), bytes: job_bytes(submission) };
        self.held.add(&reservation.team, reservation.bytes);
        self.jobs.insert(submission.id, reservation);
    }

    /// Forgets a job, whose record was read.
    pub(in super::super) fn remove(&mut self, id: JobId) {
        if let Some(reservation) = self.jobs.remove(&id) {
            self.held.remove(&reservation.team, reservation.bytes);
        }
    }

    /// Forgets the jobs whose records don't come any more.
    pub(super) fn expire(&mut self, now: u64) {
        let Self { jobs, held } = self;
        jobs.retain(|_, reservation| {
            let awaited = now <= reservation.at.saturating_add(RESERVED_MS);
            if !awaited {
                held.remove(&reservation.team, reservation.bytes);
            }
            awaited
        });
    }
}

impl Dispatcher {
    /// Estimated memory of all accepted jobs and its budget, both in bytes; no budget if it is unlimited.
    #[must_use]
    pub const fn accepted_bytes(&self) -> (u64, Option<u64>) {
        (self.table.held_bytes(), self.options.accepted_bytes)
    }

    /// Memory that accepted and admitted jobs leave of the budget, in bytes; none if it is unlimited.
    fn free_bytes(&self) -> Option<u64> {
        let used = self.table.held_bytes().saturating_add(self.reservations.held.total());
        Some(self.options.accepted_bytes?.saturating_sub(used))
    }

    /// Memory of the accepted and admitted jobs of a submission's team, in bytes.
    pub(super) fn team_bytes(&self, submission: &Submission) -> u64 {
        let team = submission.account();
        self.table.held().of_team(team).saturating_add(self.reservations.held.of_team(team))
    }

    /// True if the accepted jobs take all the memory that they may.
    pub(super) fn memory_binds(&self) -> bool {
        self.free_bytes() == Some(0)
    }

    /// Keeps memory for an admitted job until its record is read.
    pub(super) fn reserve_memory(&mut self, now: u64, submission: &Submission) {
        if self.options.accepted_bytes.is_some() {
            self.reservations.add(now, submission);
        }
    }

    /// Time after which a job may find memory, in milliseconds; none if there is some for its team now. Callers are spread by the
    /// ids of their jobs over as much again.
    pub(super) fn memory_exceeded(&self, now: u64, submission: &Submission) -> Option<u64> {
        let (free, budget) = (self.free_bytes()?, self.options.accepted_bytes?);
        let headroom = job_bytes(submission).saturating_mul(HEADROOM_JOBS).min(budget / HEADROOM_DIVISOR);
        let wanted = self.team_bytes(submission).saturating_add(headroom);
        if free > 0 && wanted <= free.saturating_mul(TEAM_FACTOR) {
            return None;
        }
        let freed = self
            .ended
            .front()
            .map_or(RETRY_MS.1, |(at, _)| at.saturating_add(self.options.retention_ms).saturating_sub(now));
        let mean = freed.clamp(RETRY_MS.0, RETRY_MS.1);
        Some(mean + submission.id.0 % mean)
    }
}
