//! Rate patterns and the random times of arrival that they lead to.

use std::time::Duration;

use rand::{Rng, RngExt};

/// Rate during a surge, in means.
pub const SURGE_FACTOR: f64 = 5.0;
/// Rate outside of surges, in means.
const CALM_FACTOR: f64 = 0.05;
/// Part of the time in a surge that makes the mean over a cycle 1.
const SURGE_PART: f64 = (1.0 - CALM_FACTOR) / (SURGE_FACTOR - CALM_FACTOR);

/// Pattern of a rate over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// Always the mean.
    Steady,
    /// The pools surge in turn.
    Waves(Wave),
}

/// Turn of a pool in a cycle of surges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wave {
    /// Duration of a surge.
    pub surge: Duration,
    /// Turn of the pool, from 0.
    pub turn: u32,
    /// Pools that take turns.
    pub turns: u32,
}

impl Pattern {
    /// Rate at a time since the start, in means.
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

impl Wave {
    fn factor(&self, at: Duration) -> f64 {
        let cycle = self.surge.as_secs_f64() / SURGE_PART;
        let offset = cycle * f64::from(self.turn) / f64::from(self.turns.max(1));
        let phase = (at.as_secs_f64() - offset).rem_euclid(cycle);
        if phase < self.surge.as_secs_f64() { SURGE_FACTOR } else { CALM_FACTOR }
    }
}

/// Poisson arrivals with a rate that changes over time.
#[derive(Clone, Debug)]
pub struct Arrivals {
    mean: f64,
    pattern: Pattern,
    at: f64,
}

impl Arrivals {
    /// Arrivals with a mean per second.
    #[must_use]
    pub const fn new(mean: f64, pattern: Pattern) -> Self {
        Self { mean, pattern, at: 0.0 }
    }

    /// Time of the next arrival since the start; `None` if the mean is 0.
    ///
    /// Draws candidates at the peak rate and keeps each with the part that the rate has of the peak (thinning).
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
