//! Decayed sums of observations, and the regression of a victim's figures on the speed of a neighbour.

/// Time after which an observation counts half, in milliseconds. Effects change within seconds; with a much shorter
/// time too few observations are left to be certain of an effect.
const HALF_LIFE_MS: f64 = 10_000.0;
/// Least standard deviation of observations that is assumed, on the logarithmic scale. A few observations may be equal
/// by chance.
const MIN_DEVIATION: f64 = 0.15;
/// Least spread of the neighbour's speed from which an effect is computed.
const MIN_SPREAD: f64 = 1e-3;

/// Sums that lose half of their values in each half-life.
#[derive(Clone, Copy, Debug)]
struct Decayed<const N: usize> {
    values: [f64; N],
    /// Time up to which they are decayed, in milliseconds.
    at: u64,
}

impl<const N: usize> Default for Decayed<N> {
    fn default() -> Self {
        Self { values: [0.0; N], at: 0 }
    }
}

impl<const N: usize> Decayed<N> {
    /// Values at a time.
    fn at(&self, now: u64) -> [f64; N] {
        let factor = (-(now.saturating_sub(self.at) as f64) / HALF_LIFE_MS).exp2();
        self.values.map(|value| value * factor)
    }

    /// Adds to the values.
    fn add(&mut self, now: u64, more: [f64; N]) {
        let before = self.at(now);
        self.values = std::array::from_fn(|index| before[index] + more[index]);
        self.at = self.at.max(now);
    }
}

/// Weight, sum and sum of squares of the observations of a victim.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sums(Decayed<3>);

impl Sums {
    /// Adds an observation.
    pub(super) fn add(&mut self, now: u64, weight: f64, value: f64) {
        self.0.add(now, [weight, weight * value, weight * value * value]);
    }
}

/// Observations of a victim with one neighbour on its worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Pair {
    /// Observations during which it is not known how fast the neighbour was.
    unsure: Sums,
    /// Weighted sums of the speed, of its square and of its product with the observed value.
    speeds: Decayed<3>,
    /// What the sum and the sum of squares of the victim lack, where the effect of this neighbour was subtracted.
    subtracted: Decayed<2>,
}

/// Effect of an image on another one at full speed, on the logarithmic scale.
#[derive(Clone, Copy, Debug)]
pub(super) struct Effect {
    /// Estimate.
    pub(super) mean: f64,
    /// Standard error of the estimate.
    pub(super) error: f64,
    /// Spread of the neighbour's speed over the observations: about the number of independent observations beside it,
    /// or of those without it if these are fewer.
    pub(super) weight: f64,
}

impl Pair {
    /// Adds an observation beside the neighbour at a share of full speed. `own` is the value that was added to the
    /// victim's sums, and `known` the effect of this neighbour that was subtracted from it.
    pub(super) fn add(&mut self, now: u64, weight: f64, speed: f64, own: f64, known: f64) {
        let value = own + known;
        self.speeds.add(now, [weight * speed, weight * speed * speed, weight * speed * value]);
        self.subtracted.add(now, [weight * known, weight * (value * value - own * own)]);
    }

    /// Adds an observation during which it is not known how fast the neighbour was.
    pub(super) fn add_unsure(&mut self, now: u64, weight: f64, own: f64) {
        self.unsure.add(now, weight, own);
    }

    /// Weight of the observations with the neighbour on the worker.
    pub(super) fn weight(&self, now: u64) -> f64 {
        let [[unsure, ..], [beside, ..]] = [self.unsure.0.at(now), self.speeds.at(now)];
        unsure.max(beside)
    }

    /// Regression of all observations of the victim on the neighbour's speed; none without a difference in speed.
    pub(super) fn effect(&self, now: u64, all: Sums) -> Option<Effect> {
        let ([weight, sum, squares], [left, less, lower]) = (all.0.at(now), self.unsure.0.at(now));
        let [speed, speeds, product] = self.speeds.at(now);
        let [subtracted, subtracted_squares] = self.subtracted.at(now);
        let weight = weight - left;
        if weight < MIN_SPREAD {
            return None;
        }
        let (sum, squares) = (sum - less + subtracted, squares - lower + subtracted_squares);
        let spread = speeds - speed * speed / weight;
        if spread < MIN_SPREAD {
            return None;
        }
        let covariance = product - speed * sum / weight;
        let mean = covariance / spread;
        let residual = (squares - sum * sum / weight - mean * covariance).max(0.0);
        let variance = (residual / (weight - 2.0).max(1.0)).max(MIN_DEVIATION * MIN_DEVIATION);
        Some(Effect { mean, error: (variance / spread).sqrt(), weight: spread })
    }
}
