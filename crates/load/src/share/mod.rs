//! Weighted max-min fair shares of the teams.
//!
//! Computed independently of the allocation in the entry instances, so that the report can reveal errors in it.

mod window;

pub use window::{ShareDeviation, WINDOW_S, WorkPerSecond, share_deviation};

/// Weight and demand of one team.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TeamDemand {
    /// Weight in the split of the capacity.
    pub weight: f64,
    /// Requested work, in the unit of the capacity.
    pub demand: f64,
}

/// Splits a capacity by weight, up to each demand (water-filling). In each round, teams that demand no more than their
/// part get their demand, and the rest is split again among the others.
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
