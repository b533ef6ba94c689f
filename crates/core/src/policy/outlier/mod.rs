//! Outlier detection: ejects workers that fail much more than the other workers of their pool.
//!
//! A worker that fails all work immediately appears idle and attracts more work. Failures are compared for each team
//! separately, so that a team whose jobs fail everywhere does not count against a worker, and a failure of the whole
//! pool ejects no worker. Probes with exponential backoff readmit an ejected worker.

mod window;

use std::collections::BTreeMap;

use crate::engine::Millis;
use crate::ids::{TeamId, WorkerId};
use window::{Count, Window};

/// Minimum jobs of a worker that can be compared with peers; below it the worker is not ejected.
const MIN_SAMPLE: u32 = 10;

/// Excess failures over the peers' rate with the same teams, as a fraction of the sample, from which a worker is
/// ejected.
const MIN_EXCESS: f64 = 0.4;

/// Minimum distance of the failures from their expectation, in standard deviations. Without it, a team that fails half
/// of its jobs everywhere would get healthy workers ejected by chance.
const MIN_DEVIATIONS: f64 = 4.0;

/// Minimum jobs of a team on a worker for the team to count in [`fails_one_team_only`].
const MIN_TEAM_SAMPLE: u32 = 5;

/// First wait until a probe, in milliseconds.
const MIN_BACKOFF_MS: u64 = 2_000;

/// Maximum wait until a probe, in milliseconds. A probe risks one request or task on a failing worker; the cap bounds
/// how long a repaired worker stays ejected.
const MAX_BACKOFF_MS: u64 = 16_000;

/// Time after a readmission within which a new ejection doubles the backoff, in milliseconds.
const RELAPSE_MS: u64 = 60_000;

/// Consecutive successful probes after which a worker is readmitted. A single success is likely even for a worker that
/// fails half of its work.
const READMIT_PROBES: u32 = 3;

/// Result of one request or task attempt on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Team that the work belongs to.
    pub team: TeamId,
    /// Identity of the job within the team, the same for all its attempts. Its failures count once per worker.
    pub job: u64,
    /// True after an error of the worker, a broken connection or a timeout.
    pub failed: bool,
}

/// Whether a worker may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// The worker is not ejected.
    Eligible,
    /// The worker is ejected and a probe is due: one idempotent request or task. Call
    /// [`OutlierDetector::start_probe`] when it is sent.
    ProbeDue,
    /// The worker is ejected and no probe is due.
    Ejected,
}

/// Ejection of a worker and the state of its probes.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    excess: f64,
    backoff_ms: u64,
    next_probe: Millis,
    probing: bool,
    successes: u32,
}

#[derive(Clone, Debug, Default)]
struct Row {
    window: Window,
    ejection: Option<Ejection>,
    /// Backoff at the end of the last ejection, and when that was.
    last_ejection: Option<(u64, Millis)>,
}

/// Detects failing workers of one pool from the outcomes that one entry instance sees.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    max_percent: u32,
    rows: BTreeMap<WorkerId, Row>,
}

impl OutlierDetector {
    /// Creates a detector without outcomes. At most `max_percent` of the pool's workers are ejected at a time.
    #[must_use]
    pub const fn new(max_percent: u32) -> Self {
        Self { max_percent, rows: BTreeMap::new() }
    }

    /// Records an outcome. On an ejected worker it belongs to a probe, or to work that was sent before the ejection.
    pub fn record(&mut self, now: Millis, worker: WorkerId, outcome: Outcome) {
        let row = self.rows.entry(worker).or_default();
        row.window.add(now, outcome);
        if let Some(ejection) = &mut row.ejection {
            ejection.learn(now, outcome.failed);
            if ejection.successes >= READMIT_PROBES {
                row.readmit(now);
            }
        }
    }

    /// Ejects workers that fail much more than their peers, worst first and up to the cap, and returns them. `pool`
    /// lists all serving workers of the pool. To be called on each tick.
    pub fn eject_outliers(&mut self, now: Millis, pool: &[WorkerId]) -> Vec<WorkerId> {
        self.rows.retain(|worker, _| pool.contains(worker));
        let cap = pool.len() * self.max_percent as usize / 100;
        self.enforce_cap(now, cap);
        let remaining = cap - self.ejected().count();
        if remaining == 0 {
            return Vec::new();
        }
        let mut bad = self.suspects(now);
        bad.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        bad.truncate(remaining);
        for &(worker, excess) in &bad {
            self.eject(now, worker, excess);
        }
        bad.into_iter().map(|(worker, _)| worker).collect()
    }

    /// Whether a worker may be given work now.
    #[must_use]
    pub fn eligibility(&self, now: Millis, worker: WorkerId) -> Eligibility {
        match self.rows.get(&worker).and_then(|row| row.ejection) {
            None => Eligibility::Eligible,
            Some(ejection) if now >= ejection.next_probe => Eligibility::ProbeDue,
            Some(_) => Eligibility::Ejected,
        }
    }

    /// Records that a probe was sent. The next one is due after its outcome, or after the backoff if there is none.
    pub fn start_probe(&mut self, now: Millis, worker: WorkerId) {
        if let Some(ejection) = self.rows.get_mut(&worker).and_then(|row| row.ejection.as_mut()) {
            ejection.next_probe = now.plus(ejection.backoff_ms);
            ejection.probing = true;
        }
    }

    /// Workers that are currently ejected.
    pub fn ejected(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.rows.iter().filter(|(_, row)| row.ejection.is_some()).map(|(worker, _)| *worker)
    }

    /// Workers whose excess failures reach the threshold, in the last seconds or in the whole window. The short span
    /// detects a sudden failure while earlier successes are still in the window; the long one detects workers with
    /// little work.
    fn suspects(&mut self, now: Millis) -> Vec<(WorkerId, f64)> {
        for row in self.rows.values_mut() {
            row.window.expire(now);
        }
        let mut suspects = self.suspects_within(now, window::SHORT_BUCKETS);
        for (worker, excess) in self.suspects_within(now, window::BUCKETS) {
            if suspects.iter().all(|(suspect, _)| *suspect != worker) {
                suspects.push((worker, excess));
            }
        }
        suspects
    }

    fn suspects_within(&self, now: Millis, buckets: u64) -> Vec<(WorkerId, f64)> {
        let tally = |row: &Row| row.window.tally(now, buckets);
        let tallies: BTreeMap<WorkerId, Tally> = self.rows.iter().map(|(w, row)| (*w, tally(row))).collect();
        let medians = medians(&tallies);
        let open =
            tallies.iter().filter(|(worker, _)| self.eligibility(now, **worker) == Eligibility::Eligible);
        let excesses = open.filter_map(|(worker, tally)| Some((*worker, excess(tally, &medians)?)));
        excesses.filter(|(_, excess)| *excess >= MIN_EXCESS).collect()
    }

    fn eject(&mut self, now: Millis, worker: WorkerId, excess: f64) {
        let row = self.rows.entry(worker).or_default();
        let relapse = row.last_ejection.filter(|(_, end)| now.since(*end) < RELAPSE_MS);
        let backoff_ms = relapse.map_or(MIN_BACKOFF_MS, |(backoff, _)| (backoff * 2).min(MAX_BACKOFF_MS));
        let next_probe = now.plus(backoff_ms);
        row.ejection = Some(Ejection { excess, backoff_ms, next_probe, probing: false, successes: 0 });
    }

    /// Readmits the ejected workers with the lowest excess until the cap holds, for instance after the pool shrank.
    fn enforce_cap(&mut self, now: Millis, cap: usize) {
        let ejected = self.rows.values_mut().filter(|row| row.ejection.is_some());
        let mut rows: Vec<&mut Row> = ejected.collect();
        rows.sort_by(|a, b| excess_of(b).total_cmp(&excess_of(a)));
        for row in rows.into_iter().skip(cap) {
            row.readmit(now);
        }
    }
}

impl Ejection {
    /// Processes the outcome of a probe. Work that was sent before the ejection is ignored: its failures have led to
    /// the ejection and would only lengthen the backoff.
    fn learn(&mut self, now: Millis, failed: bool) {
        if !std::mem::take(&mut self.probing) {
            return;
        }
        if failed {
            self.successes = 0;
            self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
            self.next_probe = now.plus(self.backoff_ms);
        } else {
            self.successes += 1;
            self.next_probe = now;
        }
    }
}

impl Row {
    fn readmit(&mut self, now: Millis) {
        self.last_ejection = self.ejection.take().map(|ejection| (ejection.backoff_ms, now));
        self.window = Window::default();
    }
}

/// Outcomes of one worker by team.
type Tally = BTreeMap<TeamId, Count>;

/// Median failure rate of each team over the workers that ran its work.
fn medians(tallies: &BTreeMap<WorkerId, Tally>) -> BTreeMap<TeamId, f64> {
    let mut rates: BTreeMap<TeamId, Vec<f64>> = BTreeMap::new();
    for tally in tallies.values() {
        for (team, count) in tally {
            rates.entry(*team).or_default().push(count.rate());
        }
    }
    // With fewer than three workers there is no majority to compare with.
    let comparable = rates.into_iter().filter(|(_, rates)| rates.len() >= 3);
    comparable.map(|(team, rates)| (team, median(rates))).collect()
}

/// Upper median, so that failures on half of the workers are attributed to the team.
fn median(mut rates: Vec<f64>) -> f64 {
    rates.sort_by(f64::total_cmp);
    rates.get(rates.len() / 2).copied().unwrap_or(0.0)
}

/// Excess failures as a fraction of the sample; `None` if the sample is too small, the excess may be chance, or only
/// one of several teams fails.
fn excess(tally: &Tally, medians: &BTreeMap<TeamId, f64>) -> Option<f64> {
    let comparable = tally.iter().filter_map(|(team, count)| Some((*count, *medians.get(team)?)));
    let comparable: Vec<(Count, f64)> = comparable.collect();
    let sample: u32 = comparable.iter().map(|(count, _)| count.jobs).sum();
    if sample < MIN_SAMPLE || fails_one_team_only(&comparable) {
        return None;
    }
    let variance: f64 =
        comparable.iter().map(|(count, rate)| f64::from(count.jobs) * rate * (1.0 - rate)).sum();
    let failures: f64 = comparable.iter().map(|(count, rate)| excess_failures(*count, *rate)).sum();
    (failures >= MIN_DEVIATIONS * variance.sqrt()).then(|| failures / f64::from(sample))
}

/// True if several teams ran enough work on the worker and at most one of them fails more than on the peers.
fn fails_one_team_only(comparable: &[(Count, f64)]) -> bool {
    let sampled = comparable.iter().filter(|(count, _)| count.jobs >= MIN_TEAM_SAMPLE);
    let sampled: Vec<&(Count, f64)> = sampled.collect();
    let fails = |(count, rate): &&&(Count, f64)| {
        excess_failures(*count, *rate) >= MIN_EXCESS / 2.0 * f64::from(count.jobs)
    };
    sampled.len() > 1 && sampled.iter().filter(fails).count() < 2
}

/// Failures above those expected at the peers' failure rate.
fn excess_failures(count: Count, rate: f64) -> f64 {
    f64::from(count.failed) - rate * f64::from(count.jobs)
}

fn excess_of(row: &Row) -> f64 {
    row.ejection.map_or(0.0, |ejection| ejection.excess)
}
