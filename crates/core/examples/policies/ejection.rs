//! Ejection in virtual time: one pool, six teams, workers that fail at once and so attract work.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rattanfall_core::engine::Millis;
use rattanfall_core::ids::{TeamId, WorkerId};
use rattanfall_core::policy::outlier::{Eligibility, Outcome, OutlierDetector};
use rattanfall_core::policy::placement::{Candidate, place};

/// Workers of the pool and their slots.
const WORKERS: usize = 10;
const SLOTS: u32 = 8;
/// Mean run time, and time after which a bad worker fails, in milliseconds.
const RUN_MS: f64 = 100.0;
const FAIL_MS: u64 = 1;
/// Arrivals for each millisecond: half of what the pool can run.
const RATE: f64 = 0.4;
/// Time in which workers or jobs are bad, and length of a run, in milliseconds.
const BAD: std::ops::Range<u64> = 10_000..30_000;
const END_MS: u64 = 120_000;
/// Failures in a row that eject under the baseline, and the time until it readmits.
const STREAK: u32 = 5;
const STREAK_MS: u64 = 10_000;

/// Rule that ejects workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rule {
    /// Ejects nobody.
    Never,
    /// Ejects after some failures in a row, whatever the peers do.
    Streak,
    /// Compares with the peers.
    Compare,
}

/// What fails.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Name in tables.
    pub name: &'static str,
    /// Bad workers, from the first.
    pub workers: usize,
    /// Part of the work that a bad worker fails.
    pub part: f64,
    /// Teams whose jobs fail everywhere, from the first.
    pub teams: u32,
}

/// Faults of the measurement.
pub const FAULTS: [Fault; 6] = [
    Fault { name: "1 worker", workers: 1, part: 1.0, teams: 0 },
    Fault { name: "2 workers", workers: 2, part: 1.0, teams: 0 },
    Fault { name: "2 half bad", workers: 2, part: 0.5, teams: 0 },
    Fault { name: "4 workers", workers: 4, part: 1.0, teams: 0 },
    Fault { name: "1 team", workers: 0, part: 0.0, teams: 1 },
    Fault { name: "whole pool", workers: WORKERS, part: 1.0, teams: 0 },
];

/// Measures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Failed part of the work in the bad time, without teams whose jobs fail everywhere.
    pub failed: f64,
    /// Time until the first ejection of a bad worker, in milliseconds.
    pub first_ms: Option<u64>,
    /// Ejections of good workers, or of any in a failure of the whole pool.
    pub wrong: u64,
    /// Most workers ejected at once.
    pub most: usize,
    /// Time after the fault until all were back, in milliseconds.
    pub back_ms: u64,
}

struct Run {
    rule: Rule,
    fault: Fault,
    rng: StdRng,
    judgement: OutlierDetector,
    streaks: [u32; WORKERS],
    out_until: [u64; WORKERS],
    /// End, worker, team, job and failure of running work.
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
        judgement: OutlierDetector::new(30),
        streaks: [0; WORKERS],
        out_until: [0; WORKERS],
        work: Vec::new(),
        jobs: 0,
        ended: 0.0,
        failed: 0.0,
        figures: Figures::default(),
    };
    for now in 0..END_MS {
        run.end(now);
        if run.rng.random::<f64>() < RATE {
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
        self.judgement.start_probe(Millis(now), WorkerId(worker as u32));
        let team = self.rng.random_range(0..6);
        let bad = BAD.contains(&now);
        let by_worker = bad && worker < self.fault.workers && self.rng.random::<f64>() < self.fault.part;
        let failed = by_worker || (bad && team < self.fault.teams) || self.rng.random::<f64>() < 0.02;
        let run = -RUN_MS * (1.0 - self.rng.random::<f64>()).ln();
        let end = now + if by_worker { FAIL_MS } else { run as u64 + 1 };
        self.jobs += 1;
        self.work.push((end, worker, team, self.jobs, failed));
    }

    fn candidate(&self, worker: usize) -> Candidate {
        let in_flight = self.work.iter().filter(|work| work.1 == worker).count() as u32;
        Candidate { own_zone: true, in_flight, slots: SLOTS, team_in_rack: 0, run_ms: RUN_MS }
    }

    fn admits(&self, now: u64, worker: usize) -> bool {
        match self.rule {
            Rule::Never => true,
            Rule::Streak => now >= self.out_until[worker],
            Rule::Compare => {
                self.judgement.eligibility(Millis(now), WorkerId(worker as u32)) != Eligibility::Ejected
            }
        }
    }

    fn end(&mut self, now: u64) {
        let (ended, left) = self.work.drain(..).partition(|work| work.0 <= now);
        self.work = left;
        let ended: Vec<(u64, usize, u32, u64, bool)> = ended;
        for (_, worker, team, job, failed) in ended {
            let outcome = Outcome { team: TeamId(team), job, failed };
            self.judgement.record(Millis(now), WorkerId(worker as u32), outcome);
            self.streak(now, worker, failed);
            if BAD.contains(&now) && team >= self.fault.teams {
                self.ended += 1.0;
                self.failed += f64::from(u8::from(failed));
            }
        }
    }

    fn streak(&mut self, now: u64, worker: usize, failed: bool) {
        self.streaks[worker] = if failed { self.streaks[worker] + 1 } else { 0 };
        if self.rule == Rule::Streak && self.streaks[worker] >= STREAK && now >= self.out_until[worker] {
            self.out_until[worker] = now + STREAK_MS;
            self.ejected(now, worker);
        }
    }

    fn assess(&mut self, now: u64) {
        if self.rule == Rule::Compare {
            let pool: Vec<WorkerId> = (0..WORKERS as u32).map(WorkerId).collect();
            for worker in self.judgement.eject_outliers(Millis(now), &pool) {
                self.ejected(now, worker.0 as usize);
            }
        }
        let out = (0..WORKERS).filter(|&w| self.is_out(now, w)).count();
        self.figures.most = self.figures.most.max(out);
        if out > 0 {
            self.figures.back_ms = now.saturating_sub(BAD.end);
        }
    }

    fn is_out(&self, now: u64, worker: usize) -> bool {
        self.judgement.ejected().any(|w| w.0 as usize == worker && self.rule == Rule::Compare)
            || now < self.out_until[worker]
    }

    fn ejected(&mut self, now: u64, worker: usize) {
        if worker < self.fault.workers && self.fault.workers < WORKERS && BAD.contains(&now) {
            self.figures.first_ms.get_or_insert(now - BAD.start);
        } else {
            self.figures.wrong += 1;
        }
    }
}

impl Figures {
    /// Keeps the worse of each figure.
    pub fn worsen(&mut self, other: &Self) {
        self.failed = self.failed.max(other.failed);
        self.first_ms = self.first_ms.max(other.first_ms);
        self.wrong += other.wrong;
        self.most = self.most.max(other.most);
        self.back_ms = self.back_ms.max(other.back_ms);
    }
}
