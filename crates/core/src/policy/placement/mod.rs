//! Placement: chooses the worker for a request or task.

use rand::{Rng, RngExt};

/// Weight of a new run time in the mean, so that about 30 answers replace an old mean.
const LEARN_WEIGHT: f64 = 0.1;

/// Round trip to another availability zone, in milliseconds (1 ms each way).
const ZONE_ROUND_TRIP_MS: f64 = 2.0;

/// Maximum fraction of a team's running work that should be in one rack.
const MAX_RACK_SHARE: f64 = 0.5;

/// Running work from which on a team is spread over racks.
const MIN_SPREAD_WORK: u32 = 4;

/// Difference in utilization from which on a worker in another zone is preferred to one in the own zone. A smaller
/// difference is noise of the random choice; with a larger one the own zone is about to run out of slots.
const ZONE_BIAS: f64 = 0.5;

/// Worker that accepts work of the pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Candidate {
    /// True if the worker is in the zone of the entry instance.
    pub own_zone: bool,
    /// Work in flight on the worker, as far as this instance knows.
    pub in_flight: u32,
    /// Work that the worker can run at a time.
    pub slots: u32,
    /// Running work of the team in the worker's rack.
    pub team_in_rack: u32,
    /// Mean run time on the worker, or in its pool if there is none yet, in milliseconds.
    pub run_ms: f64,
}

impl Candidate {
    fn is_free(&self) -> bool {
        self.in_flight < self.slots
    }
}

/// Exponentially decayed mean of run times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunTime {
    mean: Option<f64>,
}

impl RunTime {
    /// Adds the run time of one answer, in milliseconds.
    pub fn learn(&mut self, ms: f64) {
        self.mean = Some(self.mean.map_or(ms, |mean| mean + LEARN_WEIGHT * (ms - mean)));
    }

    /// Mean run time, in milliseconds; `None` before the first answer.
    #[must_use]
    pub const fn mean_ms(&self) -> Option<f64> {
        self.mean
    }
}

/// Index of the worker for the next request or task of a team; `None` if no worker has a free slot.
///
/// `team_running` is the team's running work in the pool. Two random workers of the preferred ones are compared (power
/// of two choices): with a comparison of all workers, the entry instances would all choose the same one while their
/// counts are out of date.
#[must_use]
pub fn place<R: Rng + ?Sized>(candidates: &[Candidate], team_running: u32, rng: &mut R) -> Option<usize> {
    let free: Vec<usize> = (0..candidates.len()).filter(|&i| candidates[i].is_free()).collect();
    let spread = filter_or_all(&free, |i| !exceeds_rack_share(&candidates[i], team_running));
    let local = filter_or_all(&spread, |i| candidates[i].own_zone);
    let cost = |i: usize| expected_ms(&candidates[i]);
    let first = best_of_two(&local, cost, rng)?;
    if local.len() == spread.len() {
        return Some(first);
    }
    let remote: Vec<usize> = spread.into_iter().filter(|&i| !candidates[i].own_zone).collect();
    let second = best_of_two(&remote, cost, rng)?;
    let bias = ZONE_ROUND_TRIP_MS + ZONE_BIAS * candidates[second].run_ms;
    Some(if cost(second) + bias < cost(first) { second } else { first })
}

/// The indices for which `wanted` holds, or all if there are none.
fn filter_or_all(indices: &[usize], wanted: impl Fn(usize) -> bool) -> Vec<usize> {
    let chosen: Vec<usize> = indices.iter().copied().filter(|&i| wanted(i)).collect();
    if chosen.is_empty() { indices.to_vec() } else { chosen }
}

fn exceeds_rack_share(candidate: &Candidate, team_running: u32) -> bool {
    team_running >= MIN_SPREAD_WORK
        && f64::from(candidate.team_in_rack) >= MAX_RACK_SHARE * f64::from(team_running)
}

/// Run time scaled by the worker's utilization, plus the team's work in the same rack as a tie-break.
fn expected_ms(candidate: &Candidate) -> f64 {
    let slots = f64::from(candidate.slots.max(1));
    let rack = f64::from(candidate.team_in_rack) / 1_000.0;
    candidate.run_ms * f64::from(candidate.in_flight + 1) / slots + rack
}

fn best_of_two<R: Rng + ?Sized>(
    indices: &[usize],
    cost: impl Fn(usize) -> f64,
    rng: &mut R,
) -> Option<usize> {
    let last = indices.len().checked_sub(1)?;
    let first = rng.random_range(0..=last);
    if last == 0 {
        return Some(indices[0]);
    }
    // The second index is drawn from the others.
    let other = rng.random_range(0..last);
    let second = if other >= first { other + 1 } else { other };
    let (first, second) = (indices[first], indices[second]);
    Some(if cost(second) < cost(first) { second } else { first })
}
