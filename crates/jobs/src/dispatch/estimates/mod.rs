//! Expected duration of a task by its declared one, learned from done tasks.
//!
//! Declared durations are wrong by factors, with a standard deviation of 0.5 to 0.9 in the logarithm. Where the durations
//! themselves differ as much, the longest declarations are mostly errors, so one ratio for all would be wrong for both
//! ends. The estimate is therefore a regression of the logarithms. 3 in 100 tasks may take 7 times as long as their like:
//! they must count as work, but not move what is typical.

use std::fmt;

/// Evidence after which older evidence has lost most of its weight, in steps of jobs.
const WINDOW: f64 = 200.0;
/// Evidence up to which the declared duration holds, in steps of jobs.
const MIN_EVIDENCE: f64 = 10.0;
/// Evidence from which the learned duration holds.
const FULL_EVIDENCE: f64 = 30.0;
/// Largest factor by which a task counts as longer or shorter than declared, and by which an estimate differs from the
/// declared duration. Errors of declaration are within it for more than 95 in 100 jobs.
const MAX_FACTOR: f64 = 8.0;
/// Evidence for a slope of 1, as a sum of squared deviations of the logarithm. Equals that of two to four steps; without it a
/// few declarations that differ little would decide the slope.
const SLOPE_PRIOR: f64 = 1.0;
/// Change of the logarithm of an estimate from which it is applied to the jobs that wait.
const MOVED: f64 = 0.1;

/// Expected duration of a task, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Estimate {
    /// Geometric mean: how long most tasks take.
    pub typical_ms: u64,
    /// Arithmetic mean, which contains the few that take far longer.
    pub mean_ms: u64,
}

impl Estimate {
    /// Estimate before anything is learned.
    #[must_use]
    pub const fn declared(ms: u64) -> Self {
        Self { typical_ms: ms, mean_ms: ms }
    }
}

/// Weighted regression of the logarithm of durations on that of the declared ones, with decaying weights.
#[derive(Clone, Copy, Default)]
pub struct Regression {
    /// Sum of the weights, in steps of jobs.
    evidence: f64,
    /// Mean logarithm of the declared durations.
    declared: f64,
    /// Mean logarithm of the durations.
    taken: f64,
    /// Sum of the squared deviations of the declared ones.
    variance: f64,
    /// Sum of the products of the deviations of both.
    covariance: f64,
    /// Mean ratio of a duration to the one on the line.
    excess: f64,
    /// Logarithm of the mean ratio of estimates to declarations that was last applied.
    applied: f64,
    /// Number of times that it was applied.
    revision: u32,
}

/// Shows nothing while the declared durations hold, because the sums have no effect until then.
impl fmt::Debug for Regression {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = f.debug_struct("Regression");
        if self.trust() > 0.0 {
            shown.field("taken", &self.taken).field("slope", &self.slope()).field("evidence", &self.evidence);
        }
        shown.finish_non_exhaustive()
    }
}

impl Regression {
    /// Learns from a done task, which counts as this part of a step. True if the estimate has moved so far that it is to be
    /// applied again.
    pub fn learn(&mut self, declared_ms: u64, took_ms: u64, share: f64) -> bool {
        // A declaration of 0 says nothing.
        if declared_ms == 0 || share <= 0.0 {
            return false;
        }
        let limit = MAX_FACTOR.ln();
        let declared = (declared_ms as f64).ln();
        let taken = (took_ms.max(1) as f64).ln().clamp(declared - limit, declared + limit);
        let kept = 1.0 - share.min(1.0) / WINDOW;
        self.variance *= kept;
        self.covariance *= kept;
        self.evidence = self.evidence * kept + share;
        let part = share / self.evidence;
        let (left, right) = (declared - self.declared, taken - self.taken);
        self.declared += left * part;
        self.taken += right * part;
        self.variance += share * left * (declared - self.declared);
        self.covariance += share * left * (taken - self.taken);
        let ratio = (taken - self.line(declared)).clamp(-limit, limit).exp();
        self.excess += (ratio - self.excess) * part;
        let centre = (self.taken - self.declared + self.excess.max(f64::MIN_POSITIVE).ln()) * self.trust();
        let moved = (centre - self.applied).abs() > MOVED;
        if moved {
            self.applied = centre;
            self.revision = self.revision.wrapping_add(1);
        }
        moved
    }

    /// Expected duration of a task by its declared one.
    #[must_use]
    pub fn estimate(&self, declared_ms: u64) -> Estimate {
        let trust = self.trust();
        if trust <= 0.0 || declared_ms == 0 {
            return Estimate::declared(declared_ms);
        }
        let limit = MAX_FACTOR.ln();
        let declared = (declared_ms as f64).ln();
        let typical = (self.line(declared) - declared).clamp(-limit, limit);
        let mean = (typical + self.excess.ln()).clamp(-limit, limit);
        let scaled = |factor: f64| ((declared_ms as f64) * (factor * trust).exp()).round() as u64;
        Estimate { typical_ms: scaled(typical), mean_ms: scaled(mean) }
    }

    /// Number that changes when the estimates have moved notably.
    #[must_use]
    pub const fn revision(&self) -> u32 {
        self.revision
    }

    /// Evidence, in steps of jobs.
    #[must_use]
    pub const fn evidence(&self) -> f64 {
        self.evidence
    }

    /// Change of the logarithm of the duration with that of the declared one, between 0 and 1.
    #[must_use]
    pub fn slope(&self) -> f64 {
        ((self.covariance + SLOPE_PRIOR) / (self.variance + SLOPE_PRIOR)).clamp(0.0, 1.0)
    }

    /// Logarithm of the typical duration for that of a declared one.
    fn line(&self, declared: f64) -> f64 {
        self.taken + self.slope() * (declared - self.declared)
    }

    /// Weight of the learned duration against the declared one, between 0 and 1.
    fn trust(&self) -> f64 {
        ((self.evidence - MIN_EVIDENCE) / (FULL_EVIDENCE - MIN_EVIDENCE)).clamp(0.0, 1.0)
    }
}
