//! Retry budget: a token bucket that is filled by first attempts.

/// Parts that one retry costs; a first attempt deposits as many parts as the percentage.
const PARTS_PER_RETRY: u64 = 100;

/// Maximum retries that the budget can accumulate. Bounds the burst of retries after an outage of many workers.
const MAX_SAVED_RETRIES: u64 = 100;

/// Retry budget of one team.
///
/// It starts empty and only first attempts add to it, so retries always stay strictly below the percentage of first
/// attempts: at 10 percent, there are fewer than 1.1 attempts per request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryBudget {
    percent: u64,
    parts: u64,
}

impl RetryBudget {
    /// Creates an empty budget that allows retries up to a percentage of first attempts.
    #[must_use]
    pub fn new(percent: u32) -> Self {
        Self { percent: u64::from(percent), parts: 0 }
    }

    /// Adds the share of one first attempt.
    pub fn deposit(&mut self) {
        let cap = (MAX_SAVED_RETRIES * PARTS_PER_RETRY).max(self.percent);
        self.parts = (self.parts + self.percent).min(cap);
    }

    /// Removes one retry from the budget; returns false if there is none.
    #[must_use]
    pub fn withdraw(&mut self) -> bool {
        // At least one part stays, so that retries stay strictly below the percentage.
        let allowed = self.parts > PARTS_PER_RETRY;
        if allowed {
            self.parts -= PARTS_PER_RETRY;
        }
        allowed
    }

    /// Number of whole retries that can be withdrawn.
    #[must_use]
    pub const fn balance(&self) -> u64 {
        self.parts.saturating_sub(1) / PARTS_PER_RETRY
    }
}
