//! Fairness metrics.

/// Jain's fairness index: 1 if all values are equal, `1/n` if one of `n` values is the whole sum. 1 for no values or
/// only zeros.
#[must_use]
pub fn jain(values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    let squares: f64 = values.iter().map(|value| value * value).sum();
    let count: f64 = values.iter().map(|_| 1.0).sum();
    if squares > 0.0 { sum * sum / (count * squares) } else { 1.0 }
}

/// Largest deviation of what a team held from what it was owed, relative to what it was owed. Teams that were owed
/// nothing are ignored.
#[must_use]
pub fn max_deviation(held: &[f64], owed: &[f64]) -> f64 {
    let pairs = held.iter().zip(owed).filter(|(_, owed)| **owed > 0.0);
    pairs.map(|(held, owed)| (held - owed).abs() / owed).fold(0.0, f64::max)
}
