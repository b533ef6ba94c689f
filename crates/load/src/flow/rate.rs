//! Rate patterns and random arrival times.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Rate during a surge, as a multiple of the mean rate.
pub const SURGE_FACTOR: f64 = 5.0;
/// Rate outside of surges, as a multiple of the mean rate.
const BASE_FACTOR: f64 = 0.05;
/// Fraction of a cycle spent in the surge, so that the factor averages 1 over the cycle.
const SURGE_FRACTION: f64 = (1.0 - BASE_FACTOR) / (SURGE_FACTOR - BASE_FACTOR);

/// Pattern of a rate over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// The mean rate at all times.
    Steady,
    /// Each pool surges once in a cycle, in turn.
    Waves(Surges),
}

/// Position of a pool's surge in the cycle of all pools.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Surges {
    /// Duration of a surge.
    pub surge: Duration,
    /// Position of the pool in the cycle, from 0.
    pub pool_index: u32,
    /// Pools in the cycle.
    pub pool_count: u32,
}

impl Pattern {
    /// Rate at a time since the start, as a multiple of the mean rate.
    #[must_use]
    pub fn factor(&self, at: Duration) -> f64 {
        match self {
            Self::Steady => 1.0,
            Self::Waves(wave) => wave.factor(at),
        }
    }

    const fn peak(&self) -> f64 {
        match self {
            Self::Steady => 1.0,
            Self::Waves(_) => SURGE_FACTOR,
        }
    }
}

impl Surges {
    fn factor(&self, at: Duration) -> f64 {
        let cycle = self.surge.as_secs_f64() / SURGE_FRACTION;
        let offset = cycle * f64::from(self.pool_index) / f64::from(self.pool_count.max(1));
        let phase = (at.as_secs_f64() - offset).rem_euclid(cycle);
        if phase < self.surge.as_secs_f64() { SURGE_FACTOR } else { BASE_FACTOR }
    }
}

/// Poisson process with a rate that changes over time.
#[derive(Clone, Debug)]
pub struct Arrivals {
    mean: f64,
    pattern: Pattern,
    at: f64,
}

impl Arrivals {
    /// Creates a process with a mean rate per second.
    #[must_use]
    pub const fn new(mean: f64, pattern: Pattern) -> Self {
        Self { mean, pattern, at: 0.0 }
    }

    /// Time of the next arrival since the start; `None` if the mean is 0.
    ///
    /// Uses thinning: candidates are sampled at the peak rate, and each is kept with a probability of the current
    /// rate divided by the peak rate.
    pub fn next<R: Rng>(&mut self, random: &mut R) -> Option<Duration> {
        let peak = self.pattern.peak();
        if self.mean <= 0.0 {
            return None;
        }
        loop {
            self.at -= (1.0 - random.random::<f64>()).ln() / (self.mean * peak);
            let at = Duration::from_secs_f64(self.at);
            if random.random::<f64>() * peak < self.pattern.factor(at) {
                return Some(at);
            }
        }
    }
}
