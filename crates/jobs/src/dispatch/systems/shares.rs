//! Accounts of the teams: what a team sends beyond its owed rate is surplus.
//!
//! An account is a token bucket that fills at the owed rate. A job takes a token at its time of arrival, once: when it is
//! admitted, or when it is first read if it was stored without a decision. A new owner replays the jobs of the table in the
//! order of arrival.

use std::collections::BTreeMap;
use std::sync::Arc;

use slotmap::SecondaryMap;

use super::super::Dispatcher;
use super::super::names::{PoolKey, TeamKey};
use super::capacity::peak;
use super::jobs::MAX_AGE_MS;
use crate::ids::JobId;
use crate::spec::{Resources, Submission};

/// Tokens are counted in millionths, so that a rate in thousandths a second adds whole numbers each millisecond.
const TOKEN: u64 = 1_000_000;
/// Time for which the decision on a submission is kept until its record is read, in milliseconds. Longer than a call
/// lasts, with its repeats.
const ADMITTED_MS: u64 = 30_000;
/// Time for which an admitted submission that isn't read claims room, in milliseconds. A call doesn't wait longer for the
/// store.
const CLAIMED_MS: u64 = 4_000;
/// Largest number of decisions that are kept.
const MAX_ADMITTED: usize = 16_384;

/// Token bucket of one team.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    /// Tokens, in millionths.
    level: u64,
    /// Time of the last change. Negative for jobs that arrived before this process started.
    updated: i64,
}

impl Bucket {
    /// Adds what came in since the last change.
    fn fill(&mut self, at: i64, rate: u64, capacity: u64) {
        let elapsed = u64::try_from(at.saturating_sub(self.updated)).unwrap_or(0);
        self.level = self.level.saturating_add(rate.saturating_mul(elapsed)).min(capacity);
        self.updated = self.updated.max(at);
    }

    /// Takes a token. False if there is none.
    const fn take(&mut self) -> bool {
        let found = self.level >= TOKEN;
        if found {
            self.level -= TOKEN;
        }
        found
    }
}

/// Submission that was admitted and isn't in the table yet.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct Admitted {
    /// Time of the decision.
    pub(in super::super) at: u64,
    /// True if its team sent more than it was owed.
    pub(in super::super) surplus: bool,
    /// Pool that runs it; none if that has no workers.
    pub(in super::super) pool: Option<PoolKey>,
    /// What it claims there.
    pub(in super::super) claim: Resources,
}

/// Accounts of all teams.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct Accounts {
    buckets: SecondaryMap<TeamKey, Bucket>,
    admitted: BTreeMap<JobId, Admitted>,
    /// Surplus jobs and declined submissions of each team since the last log lines.
    recent: SecondaryMap<TeamKey, Recent>,
}

/// Surplus of one team since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    /// Jobs that were admitted or read.
    surplus: u64,
    /// Submissions that were declined.
    declined: u64,
}

impl Accounts {
    /// True if a submission was admitted and isn't in the table yet.
    pub(in super::super) fn has_admitted(&self, id: JobId) -> bool {
        self.admitted.contains_key(&id)
    }

    /// Keeps a decision until the record of the job is read.
    pub(in super::super) fn admit(&mut self, id: JobId, admitted: Admitted) {
        if self.admitted.len() >= MAX_ADMITTED {
            self.admitted.retain(|_, former| admitted.at <= former.at + CLAIMED_MS);
        }
        if self.admitted.len() < MAX_ADMITTED {
            self.admitted.insert(id, admitted);
        }
    }

    /// Forgets the decisions whose records don't come any more.
    pub(super) fn expire(&mut self, now: u64) {
        self.admitted.retain(|_, admitted| now <= admitted.at + ADMITTED_MS);
    }

    /// Admitted submissions whose records are still awaited.
    pub(super) fn awaited(&self, now: u64) -> impl Iterator<Item = &Admitted> {
        self.admitted.values().filter(move |admitted| now <= admitted.at + CLAIMED_MS)
    }
}

impl Dispatcher {
    /// Time of arrival of a submission on the local clock. Negative if it is before the start of this process.
    fn arrival(&self, now: u64, submission: &Submission) -> i64 {
        let now = i64::try_from(now).unwrap_or(i64::MAX);
        let unix = now.saturating_add(self.unix_offset);
        let age = unix.saturating_sub(i64::try_from(submission.arrived_ms).unwrap_or(i64::MAX));
        now - age.clamp(0, MAX_AGE_MS as i64)
    }

    /// Account that a submission is charged to, filled up to its arrival. None if the submission is always entitled.
    fn account(&mut self, now: u64, submission: &Submission) -> Option<&mut Bucket> {
        if self.options.quota_window_ms == 0 || submission.is_unbounded() {
            return None;
        }
        let name = submission.team.as_deref()?;
        let rate = self.team(name)?.rate_permille;
        if rate == 0 {
            return None;
        }
        let at = self.arrival(now, submission);
        let capacity = rate.saturating_mul(self.options.quota_window_ms).max(TOKEN);
        let team = self.teams.intern(name);
        let bucket = self.accounts.buckets.entry(team)?.or_insert(Bucket { level: capacity, updated: at });
        bucket.fill(at, rate, capacity);
        Some(bucket)
    }

    /// True if a submission would be in surplus. Nothing is charged.
    pub(in super::super) fn exceeds_account(&mut self, now: u64, submission: &Submission) -> bool {
        self.account(now, submission).is_some_and(|bucket| bucket.level < TOKEN)
    }

    /// Charges a submission to its team. True if it is in surplus.
    pub(in super::super) fn charge(&mut self, now: u64, submission: &Submission) -> bool {
        let surplus = self.account(now, submission).is_some_and(|bucket| !bucket.take());
        if surplus
            && let Some(team) = submission.team.as_deref().and_then(|team| self.teams.key(team))
            && let Some(recent) = self.accounts.recent.entry(team)
        {
            recent.or_default().surplus += 1;
        }
        surplus
    }

    /// Time until the account of a submission's team has a token, in milliseconds.
    pub(in super::super) fn token_wait(&mut self, now: u64, submission: &Submission) -> u64 {
        let rate = submission.team.as_deref().and_then(|team| self.team(team)).map_or(0, |t| t.rate_permille);
        let lacking = self.account(now, submission).map_or(0, |bucket| TOKEN.saturating_sub(bucket.level));
        lacking.div_ceil(rate.max(1))
    }

    /// True if a job in the table is in surplus. It is charged unless that was done when it was admitted.
    pub(super) fn classify(&mut self, now: u64, id: JobId) -> bool {
        if let Some(admitted) = self.accounts.admitted.remove(&id) {
            return admitted.surplus;
        }
        let Some(submission) = self.table.get(id).map(|job| Arc::clone(&job.submission)) else {
            return false;
        };
        // Later decisions of this tick see what it claims.
        if let Some(pool) = self.pools.key(&self.terms(&submission).pool) {
            self.capacity.claim(pool, peak(&submission));
        }
        self.charge(now, &submission)
    }

    /// Charges the jobs of the table in the order of their arrival, for a new owner.
    pub(super) fn replay_charges(&mut self, now: u64) {
        if self.options.quota_window_ms == 0 {
            return;
        }
        let mut jobs: Vec<Arc<Submission>> =
            self.table.jobs().map(|job| Arc::clone(&job.submission)).collect();
        jobs.sort_unstable_by_key(|submission| (submission.arrived_ms, submission.id));
        for submission in jobs {
            let surplus = self.charge(now, &submission);
            let replayed = Admitted { at: now, surplus, pool: None, claim: Resources::default() };
            self.accounts.admitted.insert(submission.id, replayed);
        }
    }

    /// Counts a declined submission of a team in surplus for the log.
    pub(in super::super) fn note_share_declined(&mut self, team: &str) {
        let team = self.teams.intern(team);
        if let Some(recent) = self.accounts.recent.entry(team) {
            recent.or_default().declined += 1;
        }
    }

    /// Logs the teams that sent more than they are owed since the last call.
    pub(super) fn log_surplus(&mut self) {
        for (key, recent) in std::mem::take(&mut self.accounts.recent) {
            let name = self.teams.name(key);
            let owed = self.team(name).map_or(0, |team| team.rate_permille);
            log::info!(
                team = name, surplus = recent.surplus, declined = recent.declined, owed_permille = owed;
                "the team sends more than it is owed"
            );
        }
    }

    /// True if a job is in surplus.
    #[must_use]
    pub fn in_surplus(&self, id: JobId) -> bool {
        self.tracks.get(&id).is_some_and(|track| track.surplus)
    }
}
