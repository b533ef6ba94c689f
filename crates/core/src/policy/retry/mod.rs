//! Retry budget of one team: a token bucket that first attempts fill.

/// Parts of one retry: a first attempt adds as many parts as the percentage.
const PARTS_PER_RETRY: u64 = 100;

/// Retries that a quiet period can save up. Bounds the burst of retries after an outage of many workers.
const MAX_SAVED_RETRIES: u64 = 100;

/// Token bucket for the retries of one team.
///
/// The bucket starts empty and is filled only by first attempts, so retries stay strictly below the percentage of
/// first attempts at any time: at 10 percent, attempts per request stay below 1.1.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    percent: u64,
    parts: u64,
}

impl RetryBudget {
    /// An empty budget that allows retries up to a percentage of first attempts.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self { percent: u64::from(percent), parts: 0 }
    }

    /// Accounts for a first attempt.
    pub fn deposit(&mut self) {
        let cap = (MAX_SAVED_RETRIES * PARTS_PER_RETRY).max(self.percent);
        self.parts = (self.parts + self.percent).min(cap);
    }

    /// Takes a retry out of the budget; false if it is spent.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        // At least one part stays, so that the bound on amplification is strict.
        let allowed = self.parts > PARTS_PER_RETRY;
        if allowed {
            self.parts -= PARTS_PER_RETRY;
        }
        allowed
    }

    /// Whole retries that can be taken now.
    #[must_use]
    pub const fn balance(&self) -> u64 {
        self.parts.saturating_sub(1) / PARTS_PER_RETRY
    }
}
