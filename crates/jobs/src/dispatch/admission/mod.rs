//! Admission of submissions: the owner decides on each one before it is stored.

mod budget;
mod declines;

use super::Dispatcher;
use super::systems::{Admitted, Candidate, STEP_OVERHEAD_MS, Work, peak};
use crate::ids::JobId;
use crate::spec::{Resources, Submission};

pub(super) use budget::Reservations;
pub use budget::job_bytes;
pub(super) use declines::Declines;

/// Bounds of the time after which a submission that can't be on time is to be repeated, in milliseconds, before callers are
/// spread. A forecast says little about the time after some seconds.
const MIN_RETRY_MS: u64 = 1_000;
const MAX_RETRY_MS: u64 = 10_000;

/// Why a submission is declined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Decline {
    /// The team sends more than it is owed, and there is no room for more.
    Share,
    /// The job can't be done by its objective.
    Deadline,
    /// The accepted jobs take all the memory that they may.
    Memory,
}

impl Decline {
    /// Name of the reason in the metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Share => "share",
            Self::Deadline => "deadline",
            Self::Memory => "memory",
        }
    }
}

/// Decision on a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// It may be stored.
    Admit,
    /// It is not to be stored.
    Decline {
        /// Why.
        reason: Decline,
        /// Time after which it will be admitted, in milliseconds.
        retry_ms: u64,
    },
}

impl Dispatcher {
    /// Decides whether a submission may be stored.
    ///
    /// A submission that is in the table or was admitted before is admitted without another charge. One that is declined
    /// takes no token.
    pub fn admit(&mut self, now: u64, submission: &Submission) -> Verdict {
        let id = submission.id;
        if self.table.get(id).is_some() || self.reservations.contains(id) {
            return Verdict::Admit;
        }
        if let Some(retry_ms) = self.memory_exceeded(now, submission) {
            return Verdict::Decline { reason: Decline::Memory, retry_ms };
        }
        if self.accounts.has_admitted(id) || self.options.quota_window_ms == 0 {
            self.reserve_memory(now, submission);
            return Verdict::Admit;
        }
        let terms = self.terms(submission);
        let pool = self.pools.key(&terms.pool);
        let claim = if submission.schedule.is_some() { Resources::default() } else { peak(submission) };
        let full = pool.filter(|pool| !self.capacity.has_room(*pool, claim));
        if full.is_some() && self.exceeds_account(now, submission) {
            let retry_ms = self.share_retry(now, submission);
            return self.decline(submission, Decline::Share, retry_ms);
        }
        let job = self.candidate(now, submission, terms.priority);
        if !submission.is_unbounded() {
            let in_pool = full.and_then(|pool| self.capacity.pool_ms(pool, job));
            let in_team = self.capacity.team_ms(job);
            let end = now.saturating_add(in_pool.max(in_team).unwrap_or(0));
            if end > job.objective {
                let retry_ms = deadline_retry(submission.id, end - job.objective);
                return self.decline(submission, Decline::Deadline, retry_ms);
            }
        }
        let surplus = self.charge(now, submission);
        self.counters.admitted += 1;
        self.counters.surplus += u64::from(surplus);
        if let Some(pool) = pool {
            self.capacity.claim(pool, claim);
            if !surplus && !submission.is_unbounded() {
                self.capacity.expect_work(pool, job);
            }
        }
        self.accounts.admit(id, Admitted { at: now, surplus, pool, claim });
        self.reserve_memory(now, submission);
        Verdict::Admit
    }

    /// What the forecast of a submission's end is made from.
    fn candidate(&self, now: u64, submission: &Submission, priority: u32) -> Candidate {
        let overhead = submission.depth().saturating_mul(STEP_OVERHEAD_MS);
        let team = submission.team.as_deref();
        let weight = team.and_then(|team| self.team(team)).map_or(1, |team| u64::from(team.weight.max(1)));
        Candidate {
            team: team.and_then(|team| self.teams.key(team)),
            weight,
            priority,
            objective: self.objective(now, submission),
            work: Work::of_job(submission, self.durations.of_job(submission)),
            chain_ms: submission.chain_ms().saturating_add(overhead),
        }
    }

    /// Counts a declined submission.
    fn decline(&mut self, submission: &Submission, reason: Decline, retry_ms: u64) -> Verdict {
        match reason {
            Decline::Share => {
                self.counters.declined_share += 1;
                self.note_share_declined(submission.team.as_deref().unwrap_or(""));
            }
            Decline::Deadline => self.counters.declined_deadline += 1,
            Decline::Memory => {}
        }
        Verdict::Decline { reason, retry_ms }
    }

    /// Time after which a submission in surplus is to be repeated, in milliseconds: when its team has a token. Callers are
    /// spread over the window of the account, since each token serves one of them.
    fn share_retry(&mut self, now: u64, submission: &Submission) -> u64 {
        let wait = self.token_wait(now, submission);
        wait + spread(submission.id, self.options.quota_window_ms)
    }
}

/// Time after which a submission is to be repeated whose objective is missed by some milliseconds. Callers are spread over as
/// much again.
const fn deadline_retry(id: JobId, late_ms: u64) -> u64 {
    let wait = if late_ms < MIN_RETRY_MS {
        MIN_RETRY_MS
    } else if late_ms > MAX_RETRY_MS {
        MAX_RETRY_MS
    } else {
        late_ms
    };
    wait + spread(id, wait)
}

/// Time below a bound, different for each job. Ids may be consecutive, so they are mixed first.
const fn spread(id: JobId, bound: u64) -> u64 {
    // Multiplier of Fibonacci hashing, 2^64 divided by the golden ratio.
    let mixed = id.0.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32;
    if bound == 0 { 0 } else { mixed % bound }
}
