//! Share of the requests to workers that get no answer although the worker lives, and the time that answers take.
//!
//! A request counts once its worker has answered a later one, so workers that are gone don't count. While many are lost, an answer is
//! waited for only as long as answers usually take. The requests that are repeated early have a budget.

/// Time after which outcomes count for three quarters, in milliseconds.
const STEP_MS: u64 = 150;
/// Weight of one request.
const UNIT: u64 = 1_000;
/// Requests that must be known before their share counts.
const MIN_REQUESTS: u64 = 8;
/// Share of lost answers from which they are expected to get lost, in percent.
const LOSSY_PERCENT: u64 = 10;
/// Lost answers of a worker that count at one of its answers. A worker that was cut off for long says little about others.
const MAX_LOST: u32 = 6;
/// Requests that may be repeated early for each answer.
const EARLY_PER_ANSWER: u64 = 3;
/// Largest number of early repeats that are saved up.
const MAX_EARLY: u64 = 1_000;
/// Shortest and longest time that an answer is waited for, in milliseconds.
const MIN_LIMIT_MS: u64 = 60;
const MAX_LIMIT_MS: u64 = 500;
/// Time limit of a first start in usual times of an answer while few are lost, and its bounds in milliseconds.
const CALM_FACTOR: u64 = 8;
const CALM_LIMITS_MS: (u64, u64) = (300, 700);

/// Recent answers of the fleet.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct Losses {
    /// Weight of the answers.
    answered: u64,
    /// Weight of the lost answers.
    lost: u64,
    /// Time up to which both are decayed.
    decayed: u64,
    /// Requests that may still be repeated early.
    early: u64,
    /// Smoothed time of an answer and its mean deviation, in eighths of a millisecond; none without one.
    answer_time: Option<(u64, u64)>,
}

impl Losses {
    /// Records an answer of a worker after a number of lost ones.
    pub(super) fn record(&mut self, now: u64, lost: u32) {
        self.decay(now);
        self.answered += UNIT;
        self.lost += u64::from(lost.min(MAX_LOST)) * UNIT;
        self.early = (self.early + EARLY_PER_ANSWER).min(MAX_EARLY);
    }

    /// Records the time that an answer took, in milliseconds.
    pub(super) fn record_time(&mut self, took_ms: u64) {
        let sample = took_ms.min(MAX_LIMIT_MS) * 8;
        self.answer_time = Some(match self.answer_time {
            None => (sample, sample / 2),
            Some((mean, deviation)) => ((mean * 7 + sample) / 8, (deviation * 3 + mean.abs_diff(sample)) / 4),
        });
    }

    fn decay(&mut self, now: u64) {
        while self.decayed + STEP_MS <= now && self.answered + self.lost > 0 {
            self.answered = self.answered * 3 / 4;
            self.lost = self.lost * 3 / 4;
            self.decayed += STEP_MS;
        }
        self.decayed = self.decayed.max(now.saturating_sub(STEP_MS));
    }

    /// True while answers are expected to get lost.
    pub(super) const fn expected(&self) -> bool {
        let total = self.answered + self.lost;
        total >= MIN_REQUESTS * UNIT && self.lost * 100 >= total * LOSSY_PERCENT
    }

    /// Share of lost answers, in percent.
    pub(super) fn percent(&self) -> u64 {
        (self.lost * 100).checked_div(self.answered + self.lost).unwrap_or(0)
    }

    /// Time for which to wait for an answer after this many lost ones in a row, in milliseconds; none for the usual time, as few
    /// answers are lost or the budget is used up.
    pub(super) fn limit_ms(&mut self, missed: u32) -> Option<u64> {
        if !self.expected() || self.early == 0 {
            return None;
        }
        let usual = self.usual_ms()?;
        let limit = usual + usual * u64::from(missed) / 4;
        if limit >= MAX_LIMIT_MS {
            return None;
        }
        self.early -= 1;
        Some(limit)
    }

    /// Time for which to wait for the answer to a start, likewise. The first start of a run shows soon that answers get lost.
    pub(super) fn start_limit_ms(&mut self, unanswered: u32) -> Option<u64> {
        let (least, most) = CALM_LIMITS_MS;
        let calm = self.usual_ms().filter(|_| unanswered == 0);
        self.limit_ms(unanswered).or_else(|| calm.map(|usual| (usual * CALM_FACTOR).clamp(least, most)))
    }

    /// Time within which most answers arrive, in milliseconds; none before the first one.
    fn usual_ms(&self) -> Option<u64> {
        self.answer_time.map(|(mean, deviation)| ((mean + 4 * deviation) / 8).max(MIN_LIMIT_MS))
    }
}
