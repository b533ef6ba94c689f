//! Ejection of workers that fail much more than their peers.
//!
//! A worker that fails everything at once looks idle and attracts work, so it is compared with the other workers of
//! its pool. Failures are compared team by team: a team whose jobs fail everywhere says nothing about a worker, and a
//! failure of the whole pool ejects nobody. An ejected worker returns by probes with exponential backoff.

mod window;

use std::collections::BTreeMap;

use crate::engine::Millis;
use crate::ids::{TeamId, WorkerId};
use window::{Count, Window};

/// Jobs with comparable peers that a judgement needs.
const MIN_SAMPLE: u32 = 10;

/// Failures above what peers had with the same teams, as a part of the sample, from which a worker is ejected.
const MIN_EXCESS: f64 = 0.4;

/// Standard deviations that the failures must lie above the expectation. Without this bound, a team that fails half of
/// its jobs everywhere would get good workers ejected by chance.
const MIN_DEVIATIONS: f64 = 4.0;

/// Jobs of one team on a worker from which the team is heard on its own.
const MIN_TEAM_SAMPLE: u32 = 5;

/// First wait until a probe, in milliseconds.
const MIN_BACKOFF_MS: u64 = 2_000;

/// Longest wait until a probe, in milliseconds. A probe costs one piece of work on a bad worker; the cap bounds how
/// long a repaired worker stays out.
const MAX_BACKOFF_MS: u64 = 16_000;

/// Time after a return in which a new ejection doubles the backoff, in milliseconds.
const RELAPSE_MS: u64 = 60_000;

/// Successful probes in a row after which a worker is readmitted. One success is not evidence for a worker that
/// fails half of its work.
const READMIT_PROBES: u32 = 3;

/// How one piece of work ended on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Team.
    pub team: TeamId,
    /// Identity of the job within the team; the same for each attempt. Its failures count once per worker.
    pub job: u64,
    /// True if the worker failed it, broke the connection or let it time out.
    pub failed: bool,
}

/// Whether a worker may be given work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Eligibility {
    /// It takes work.
    Eligible,
    /// It is ejected; one piece of idempotent work is due as a probe. Call [`OutlierDetector::start_probe`] when it is sent.
    ProbeDue,
    /// It is ejected.
    Ejected,
}

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
    /// Backoff of the last ejection, and when it ended; a worker that fails again soon waits longer.
    last_ejection: Option<(u64, Millis)>,
}

/// Judgement of one entry instance on the workers of one pool.
#[derive(Clone, Debug)]
pub struct OutlierDetector {
    max_percent: u32,
    rows: BTreeMap<WorkerId, Row>,
}

impl OutlierDetector {
    /// A judgement without evidence. At most `max_percent` of the pool are ejected at once.
    #[must_use]
    pub const fn new(max_percent: u32) -> Self {
        Self { max_percent, rows: BTreeMap::new() }
    }

    /// Learns how work ended. On an ejected worker, this is the outcome of a probe or of work sent earlier.
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

    /// Ejects the workers that fail much more than their peers, worst first, up to the cap; returns the new ones.
    /// `pool` lists all workers of the pool that serve. Call it on each tick.
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

    /// Notes that a probe was sent. The next one is due after its outcome, or after the backoff if there is none.
    pub fn start_probe(&mut self, now: Millis, worker: WorkerId) {
        if let Some(ejection) = self.rows.get_mut(&worker).and_then(|row| row.ejection.as_mut()) {
            ejection.next_probe = now.plus(ejection.backoff_ms);
            ejection.probing = true;
        }
    }

    /// Workers that are ejected now.
    pub fn ejected(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.rows.iter().filter(|(_, row)| row.ejection.is_some()).map(|(worker, _)| *worker)
    }

    /// Workers that fail more than the margin above what their peers had with the same teams, in the last seconds or in
    /// the whole window. The short span finds a sudden failure before the successes before it have expired; the long one
    /// finds workers with little work.
    fn suspects(&mut self, now: Millis) -> Vec<(WorkerId, f64)> {
        for row in self.rows.values_mut() {
            row.window.expire(now);
        }
        let mut suspects = self.suspects_within(now, window::SHORT_BUCKETS);
        for (worker, excess) in self.suspects_within(now, window::BUCKETS) {
            if suspects.iter().all(|(comparable, _)| *comparable != worker) {
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

    /// Readmits the least bad workers until the cap holds, for instance after the pool became smaller.
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
    /// Learns the outcome of a probe. Work that was sent before the ejection is not one: its failures are already
    /// accounted for and would only lengthen the backoff.
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

type Tally = BTreeMap<TeamId, Count>;

/// Median failure rate of each team over the workers that ran its work.
fn medians(tallies: &BTreeMap<WorkerId, Tally>) -> BTreeMap<TeamId, f64> {
    let mut rates: BTreeMap<TeamId, Vec<f64>> = BTreeMap::new();
    for tally in tallies.values() {
        for (team, count) in tally {
            rates.entry(*team).or_default().push(count.rate());
        }
    }
    // A team seen on fewer than three workers has no majority that could be compared with.
    let comparable = rates.into_iter().filter(|(_, rates)| rates.len() >= 3);
    comparable.map(|(team, rates)| (team, median(rates))).collect()
}

/// Upper median, so that half of the workers failing a team counts as the team's fault.
fn median(mut rates: Vec<f64>) -> f64 {
    rates.sort_by(f64::total_cmp);
    rates.get(rates.len() / 2).copied().unwrap_or(0.0)
}

/// Failures above the expectation as a part of the sample; `None` if they are too few to tell, within chance, or of one
/// team only while others ran well.
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

/// True if several teams ran enough work on the worker, but at most one of them failed more than with its peers.
fn fails_one_team_only(comparable: &[(Count, f64)]) -> bool {
    let sampled = comparable.iter().filter(|(count, _)| count.jobs >= MIN_TEAM_SAMPLE);
    let sampled: Vec<&(Count, f64)> = sampled.collect();
    let fails = |(count, rate): &&&(Count, f64)| {
        excess_failures(*count, *rate) >= MIN_EXCESS / 2.0 * f64::from(count.jobs)
    };
    sampled.len() > 1 && sampled.iter().filter(fails).count() < 2
}

fn excess_failures(count: Count, rate: f64) -> f64 {
    f64::from(count.failed) - rate * f64::from(count.jobs)
}

fn excess_of(row: &Row) -> f64 {
    row.ejection.map_or(0.0, |ejection| ejection.excess)
}
