//! Submission, cancellation, occurrences and removal of jobs.

use super::super::Dispatcher;
use crate::ids::JobId;
use crate::record::Intake;
use crate::spec::Submission;
use crate::table::{Occurrence, Phase};

/// Largest age of a job that is believed, in milliseconds. The time of day may be wrong by seconds, but
/// not by more.
pub(super) const MAX_AGE_MS: u64 = 60_000;
/// Largest number of occurrences of a job that begin in one tick. It limits the load if the time of day is
/// wrong.
const MAX_BEGINS: u32 = 8;
/// Interval between two searches for jobs whose retention is over, in milliseconds. A search visits all jobs,
/// and the interval is short against the retention time.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Shortest retention of a cancellation without a job, in milliseconds. Longer than a call lasts whose submission the store
/// carries out late.
const MIN_CANCELLATION_MS: u64 = 30_000;

impl Dispatcher {
    /// Applies a record of the intake. Returns the job if it is new or newly cancelled.
    pub fn apply_intake(&mut self, now: u64, intake: Intake) -> Option<JobId> {
        let submitted = matches!(intake, Intake::Submitted(_));
        match &intake {
            Intake::Canceled(id) if self.table.get(*id).is_none() => {
                self.early_cancellations.insert(*id, now);
            }
            Intake::Canceled(_) | Intake::SubmissionDropped => {}
            Intake::CancellationDropped(id) | Intake::Submitted(Submission { id, .. }) => {
                self.early_cancellations.remove(id);
            }
        }
        let id = self.table.apply_intake(intake)?;
        if submitted {
            self.submitted(now, id);
        } else {
            self.canceled(now, id);
        }
        Some(id)
    }

    /// Handles a job that was just added to the table. One that was cancelled before ends at once.
    pub fn submitted(&mut self, now: u64, id: JobId) {
        self.reservations.remove(id);
        self.track(now, id);
        let announced = self.take_announced(id);
        if !announced && self.table.get(id).is_some_and(|job| !job.canceled) {
            self.add_arrival(now, id);
        }
        self.unchanged = false;
        // The progress may have been read before the submission, with tasks that a former owner placed.
        self.adopt_job(now, id);
    }

    /// Handles a cancellation that was just added to the table.
    pub fn canceled(&mut self, now: u64, id: JobId) {
        self.end_job(now, id, Phase::Canceled);
    }

    /// Begins the occurrences that are due, as far as their tasks can be placed.
    pub(in super::super) fn begin_occurrences(&mut self, now: u64) {
        let unix = u64::try_from(i64::try_from(now).unwrap_or(0) + self.unix_offset).unwrap_or(0);
        if self.scheduled.is_empty() {
            return;
        }
        // A new owner knows no backlog yet.
        self.refresh_backlogs();
        let budget = self.options.begun_tasks;
        let mut exceeded = false;
        for id in std::mem::take(&mut self.scheduled) {
            let (Some(job), Some(track)) = (self.table.get_mut(id), self.tracks.get_mut(&id)) else {
                continue;
            };
            let Some(schedule) = job.submission.schedule else { continue };
            if job.progress.phase != Phase::Active {
                continue;
            }
            let tasks = job.submission.tasks() as u64;
            let mut backlog = track.backlog;
            let before = job.progress.begun;
            for _ in 0..MAX_BEGINS {
                let number = job.progress.begun;
                if number >= schedule.times || schedule.due_ms(number) > unix {
                    break;
                }
                let share = self.begun_work.share(backlog.begun, budget);
                if !backlog.admits(tasks, share) {
                    exceeded |= backlog.admits(tasks, u64::MAX);
                    if !std::mem::replace(&mut track.wait_logged, true) {
                        log::info!(
                            job:% = id, occurrence = number, waiting = backlog.waiting, begun = backlog.begun;
                            "occurrences that are due wait for the tasks of earlier ones"
                        );
                    }
                    break;
                }
                job.progress.occurrences.push(Occurrence::new(number, &job.submission));
                job.progress.begun += 1;
                backlog.add_new_occurrence(tasks);
                self.begun_work.add(tasks);
            }
            track.backlog.begun = backlog.begun;
            let begun = job.progress.begun;
            if begun < schedule.times {
                self.scheduled.insert(id);
            }
            if begun > before {
                self.touch(id);
                self.unchanged = false;
            }
        }
        self.begun_work.set_exceeded(exceeded, budget);
    }

    /// Removes ended jobs whose retention is over, and cancellations without a job.
    ///
    /// The record of their progress stays until their submission is deleted from the intake. Without it the next
    /// owner would take the submission for a new job.
    pub(in super::super) fn drop_ended(&mut self, now: u64) {
        if now < self.last_sweep + SWEEP_INTERVAL_MS {
            return;
        }
        self.last_sweep = now;
        self.dropped.append(&mut self.undeleted);
        while let Some(&(at, id)) = self.ended.front() {
            let stored = self.table.get(id).is_none_or(|job| job.state().ended());
            if at + self.options.retention_ms >= now || !stored {
                break;
            }
            self.ended.pop_front();
            self.table.remove(id);
            self.dirty_jobs.remove(&id);
            self.dropped.push(id);
        }
        let retention_ms = self.options.retention_ms.max(MIN_CANCELLATION_MS);
        let expired = |at: u64| at + retention_ms < now;
        let read = self.early_cancellations.iter();
        let ids: Vec<JobId> = read.filter(|(_, at)| expired(**at)).map(|(id, _)| *id).collect();
        for id in ids {
            self.early_cancellations.remove(&id);
            self.dropped_cancellations.push(id);
        }
    }

    /// Jobs whose records in the intake are to be deleted, since the last call.
    pub fn take_dropped(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.dropped)
    }

    /// Cancellations of jobs that were never stored, which are to be deleted from the intake, since the last call.
    pub fn take_dropped_cancellations(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.dropped_cancellations)
    }

    /// Handles that cancellations may not have been deleted from the intake. That is repeated with the next sweep.
    pub fn cancellations_kept(&mut self, ids: Vec<JobId>) {
        for id in ids.into_iter().filter(|id| self.table.canceled_early(*id)) {
            self.early_cancellations.entry(id).or_insert(0);
        }
    }

    /// Handles whether the records of jobs were deleted from the intake. If not, that is repeated with the next
    /// sweep.
    pub fn intake_deleted(&mut self, jobs: Vec<JobId>, stored: bool) {
        if stored {
            self.dirty_jobs.extend(jobs);
        } else {
            self.undeleted.extend(jobs);
        }
    }
}
