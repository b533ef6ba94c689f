//! Simulation of outlier ejection: one pool, six teams, and workers that fail quickly and thereby attract work.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rattanfall_core::engine::Millis;
use rattanfall_core::ids::{TeamId, WorkerId};
use rattanfall_core::policy::outlier::{Eligibility, Outcome, OutlierDetector};
use rattanfall_core::policy::placement::{Candidate, place};

/// Number of workers of the pool, and the slots of each.
const WORKERS: usize = 10;
const WORKER_SLOTS: u32 = 8;
/// Mean run time.
const RUN_MS: f64 = 100.0;
/// Run time of work that a faulty worker fails.
const FAILED_RUN_MS: u64 = 1;
/// Half of the capacity of the pool.
const ARRIVALS_PER_MS: f64 = 0.4;
/// Time in which the fault is present.
const FAULT_MS: std::ops::Range<u64> = 10_000..30_000;
const RUN_LENGTH_MS: u64 = 120_000;
/// Consecutive failures after which the baseline ejects a worker.
const STREAK_FAILURES: u32 = 5;
/// Time after which the baseline readmits a worker.
const STREAK_EJECTION_MS: u64 = 10_000;

/// Rule by which workers are ejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// No worker is ejected.
    Never,
    /// Ejects after consecutive failures, regardless of the other workers.
    Streak,
    /// Compares a worker with the others of its pool, as in production.
    Compare,
}

/// Fault that is simulated.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Name in the printed table.
    pub name: &'static str,
    /// Number of faulty workers, counted from the first.
    pub workers: usize,
    /// Fraction of its work that a faulty worker fails.
    pub part: f64,
    /// Number of teams whose jobs fail on any worker, counted from the first.
    pub teams: u32,
}

/// Faults of the simulation.
pub const FAULTS: [Fault; 6] = [
    Fault { name: "1 worker", workers: 1, part: 1.0, teams: 0 },
    Fault { name: "2 workers", workers: 2, part: 1.0, teams: 0 },
    Fault { name: "2 half bad", workers: 2, part: 0.5, teams: 0 },
    Fault { name: "4 workers", workers: 4, part: 1.0, teams: 0 },
    Fault { name: "1 team", workers: 0, part: 0.0, teams: 1 },
    Fault { name: "whole pool", workers: WORKERS, part: 1.0, teams: 0 },
];

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Fraction of work that failed during the fault, without teams whose jobs fail on any worker.
    pub failed: f64,
    /// Time from the fault to the first ejection of a faulty worker, in milliseconds.
    pub first_ms: Option<u64>,
    /// Number of ejections of workers that are not faulty, or of any if the whole pool is.
    pub wrong: u64,
    /// Largest number of workers ejected at once.
    pub most: usize,
    /// Time from the end of the fault until all workers are readmitted, in milliseconds.
    pub back_ms: u64,
}

struct Run {
    rule: Rule,
    fault: Fault,
    rng: StdRng,
    detector: OutlierDetector,
    streaks: [u32; WORKERS],
    ejected_until: [u64; WORKERS],
    /// End time, worker, team, job and failure of running work.
    work: Vec<(u64, usize, u32, u64, bool)>,
    jobs: u64,
    ended: f64,
    failed: f64,
    figures: Figures,
}

/// Simulates one fault under one rule.
#[must_use]
pub fn simulate(rule: Rule, fault: Fault, seed: u64) -> Figures {
    let mut run = Run {
        rule,
        fault,
        rng: StdRng::seed_from_u64(seed),
        detector: OutlierDetector::new(30),
        streaks: [0; WORKERS],
        ejected_until: [0; WORKERS],
        work: Vec::new(),
        jobs: 0,
        ended: 0.0,
        failed: 0.0,
        figures: Figures::default(),
    };
    for now in 0..RUN_LENGTH_MS {
        run.end_work(now);
        if run.rng.random::<f64>() < ARRIVALS_PER_MS {
            run.arrive(now);
        }
        if now.is_multiple_of(50) {
            run.assess(now);
        }
    }
    run.figures.failed = run.failed / run.ended;
    run.figures
}

impl Run {
    fn arrive(&mut self, now: u64) {
        let workers: Vec<usize> = (0..WORKERS).filter(|&w| self.admits(now, w)).collect();
        let candidates: Vec<Candidate> = workers.iter().map(|&w| self.candidate(w)).collect();
        let Some(index) = place(&candidates, 0, &mut self.rng) else { return };
        let worker = workers[index];
        self.detector.start_probe(Millis(now), WorkerId(worker as u32));
        let team = self.rng.random_range(0..6);
        let bad = FAULT_MS.contains(&now);
        let by_worker = bad && worker < self.fault.workers && self.rng.random::<f64>() < self.fault.part;
        let failed = by_worker || (bad && team < self.fault.teams) || self.rng.random::<f64>() < 0.02;
        let run = -RUN_MS * (1.0 - self.rng.random::<f64>()).ln();
        let end = now + if by_worker { FAILED_RUN_MS } else { run as u64 + 1 };
        self.jobs += 1;
        self.work.push((end, worker, team, self.jobs, failed));
    }

    fn candidate(&self, worker: usize) -> Candidate {
        let in_flight = self.work.iter().filter(|work| work.1 == worker).count() as u32;
        Candidate { own_zone: true, in_flight, slots: WORKER_SLOTS, team_in_rack: 0, run_ms: RUN_MS }
    }

    fn admits(&self, now: u64, worker: usize) -> bool {
        match self.rule {
            Rule::Never => true,
            Rule::Streak => now >= self.ejected_until[worker],
            Rule::Compare => {
                self.detector.eligibility(Millis(now), WorkerId(worker as u32)) != Eligibility::Ejected
            }
        }
    }

    fn end_work(&mut self, now: u64) {
        let (ended, left) = self.work.drain(..).partition(|work| work.0 <= now);
        self.work = left;
        let ended: Vec<(u64, usize, u32, u64, bool)> = ended;
        for (_, worker, team, job, failed) in ended {
            let outcome = Outcome { team: TeamId(team), job, failed };
            self.detector.record(Millis(now), WorkerId(worker as u32), outcome);
            self.count_streak(now, worker, failed);
            if FAULT_MS.contains(&now) && team >= self.fault.teams {
                self.ended += 1.0;
                self.failed += f64::from(u8::from(failed));
            }
        }
    }

    fn count_streak(&mut self, now: u64, worker: usize, failed: bool) {
        self.streaks[worker] = if failed { self.streaks[worker] + 1 } else { 0 };
        if self.rule == Rule::Streak
            && self.streaks[worker] >= STREAK_FAILURES
            && now >= self.ejected_until[worker]
        {
            self.ejected_until[worker] = now + STREAK_EJECTION_MS;
            self.record_ejection(now, worker);
        }
    }

    fn assess(&mut self, now: u64) {
        if self.rule == Rule::Compare {
            let pool: Vec<WorkerId> = (0..WORKERS as u32).map(WorkerId).collect();
            for worker in self.detector.eject_outliers(Millis(now), &pool) {
                self.record_ejection(now, worker.0 as usize);
            }
        }
        let ejected = (0..WORKERS).filter(|&w| self.is_ejected(now, w)).count();
        self.figures.most = self.figures.most.max(ejected);
        if ejected > 0 {
            self.figures.back_ms = now.saturating_sub(FAULT_MS.end);
        }
    }

    fn is_ejected(&self, now: u64, worker: usize) -> bool {
        self.detector.ejected().any(|w| w.0 as usize == worker && self.rule == Rule::Compare)
            || now < self.ejected_until[worker]
    }

    fn record_ejection(&mut self, now: u64, worker: usize) {
        if worker < self.fault.workers && self.fault.workers < WORKERS && FAULT_MS.contains(&now) {
            self.figures.first_ms.get_or_insert(now - FAULT_MS.start);
        } else {
            self.figures.wrong += 1;
        }
    }
}

impl Figures {
    /// Keeps the worse value of each figure, and sums the wrong ejections.
    pub fn worsen(&mut self, other: &Self) {
        self.failed = self.failed.max(other.failed);
        self.first_ms = self.first_ms.max(other.first_ms);
        self.wrong += other.wrong;
        self.most = self.most.max(other.most);
        self.back_ms = self.back_ms.max(other.back_ms);
    }
}
