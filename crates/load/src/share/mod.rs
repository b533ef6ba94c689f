//! Share owed: water-filling of a capacity by weight, up to each demand.
//!
//! Computed independently of the entry instances' own allocation, so that the report can find errors in it.

mod window;

pub use window::{ShareDeviation, WINDOW_S, WorkPerSecond, share_deviation};

/// Weight and demand of one team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamDemand {
    /// Weight.
    pub weight: f64,
    /// Work asked for.
    pub demand: f64,
}

/// Splits a capacity: in each round the teams that ask for less than their part get what they ask for, and the rest is
/// split again by weight.
#[must_use]
pub fn fair_shares(demands: &[TeamDemand], capacity: f64) -> Vec<f64> {
    let mut parts = vec![0.0; demands.len()];
    let mut open: Vec<usize> = (0..demands.len()).collect();
    let mut left = capacity;
    while !open.is_empty() {
        let weights: f64 = open.iter().map(|&i| demands[i].weight).sum();
        let level = |i: usize| if weights > 0.0 { left * demands[i].weight / weights } else { 0.0 };
        let (filled, rest): (Vec<usize>, Vec<usize>) =
            open.iter().partition(|&&i| demands[i].demand <= level(i));
        if filled.is_empty() {
            for &i in &open {
                parts[i] = level(i);
            }
            break;
        }
        for &i in &filled {
            parts[i] = demands[i].demand;
        }
        left -= filled.iter().map(|&i| demands[i].demand).sum::<f64>();
        open = rest;
    }
    parts
}
