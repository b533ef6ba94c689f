//! Simulation of overload: one pool, six teams, requests with deadlines, retries and mass cancellations.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rattanfall_core::policy::placement::RunTime;
use rattanfall_core::policy::retry::RetryBudget;
use rattanfall_core::policy::shed::{QueuePosition, can_meet_deadline};

const TEAMS: usize = 6;
const POOL_SLOTS: usize = 80;
/// Mean time that a request runs.
const MEAN_RUN_MS: f64 = 100.0;
const DEADLINE_MS: u64 = 1_000;
/// Fraction of attempts that fail.
const FAILURE_RATE: f64 = 0.2;
/// Attempts per request in the baselines.
const MAX_ATTEMPTS: u32 = 4;
/// Interval at which half of the waiting requests are cancelled.
const CANCEL_INTERVAL_MS: u64 = 5_000;
const SIMULATION_MS: u64 = 30_000;
/// Maximum number of waiting requests of one team.
const QUEUE_LENGTH: usize = 1_000;

/// Overload policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// First in, first out; failed attempts are retried up to three times.
    Queue,
    /// Like `Queue`, but requests past their deadline are neither started nor retried.
    Expire,
    /// Requests that cannot meet their deadline are shed, and retries have a budget, as in production.
    Shed,
}

/// Results of one simulation.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Responses within the deadline, per second.
    pub goodput: f64,
    /// Attempts per started request.
    pub amplification: f64,
    /// Fraction of the used slot time that gave no response within the deadline.
    pub wasted: f64,
    /// Lowest goodput of a team relative to the mean over all teams.
    pub least_team: f64,
}

#[derive(Clone, Copy)]
struct Request {
    team: usize,
    deadline: u64,
    attempts: u32,
}

struct Simulation {
    policy: Policy,
    load: f64,
    rng: StdRng,
    queues: [VecDeque<Request>; TEAMS],
    running: [u32; TEAMS],
    /// Attempts in progress: end and start in milliseconds, and the request.
    work: Vec<(u64, u64, Request)>,
    budgets: [RetryBudget; TEAMS],
    run_time: RunTime,
    in_time: [f64; TEAMS],
    started: f64,
    attempts: f64,
    used_ms: f64,
    useful_ms: f64,
}

/// Simulates a load, given relative to the capacity.
#[must_use]
pub fn simulate(policy: Policy, load: f64, seed: u64) -> Figures {
    let mut simulation = Simulation {
        policy,
        load,
        rng: StdRng::seed_from_u64(seed),
        queues: std::array::from_fn(|_| VecDeque::new()),
        running: [0; TEAMS],
        work: Vec::new(),
        // Retries may make up 10 % of the first attempts.
        budgets: [RetryBudget::new(10); TEAMS],
        run_time: RunTime::default(),
        in_time: [0.0; TEAMS],
        started: 0.0,
        attempts: 0.0,
        used_ms: 0.0,
        useful_ms: 0.0,
    };
    for now in 0..SIMULATION_MS {
        simulation.end_work(now);
        simulation.arrive(now);
        if now.is_multiple_of(CANCEL_INTERVAL_MS) {
            simulation.cancel_half();
        }
        while simulation.work.len() < POOL_SLOTS && simulation.start(now) {}
    }
    simulation.figures()
}

impl Simulation {
    fn arrive(&mut self, now: u64) {
        let mut left = self.load * POOL_SLOTS as f64 / MEAN_RUN_MS;
        while left > 0.0 && self.rng.random::<f64>() < left.min(1.0) {
            left -= 1.0;
            let team = self.rng.random_range(0..TEAMS);
            let request = Request { team, deadline: now + DEADLINE_MS, attempts: 0 };
            let ahead = self.queues[team].len();
            if ahead < QUEUE_LENGTH && self.admits(now, &request, ahead) {
                self.queues[team].push_back(request);
            }
        }
    }

    fn admits(&self, now: u64, request: &Request, ahead: usize) -> bool {
        let left_ms = request.deadline.saturating_sub(now);
        let position = QueuePosition {
            ahead: ahead as u32,
            waiting: self.queues[request.team].len() as u32,
            running: self.running[request.team],
            slots: POOL_SLOTS as f64 / TEAMS as f64,
            run_ms: self.run_time.mean_ms().unwrap_or(0.0),
            left_ms,
            asked_ms: DEADLINE_MS,
        };
        match self.policy {
            Policy::Queue => true,
            Policy::Expire => left_ms > 0,
            Policy::Shed => can_meet_deadline(&position),
        }
    }

    fn cancel_half(&mut self) {
        for queue in &mut self.queues {
            let rng = &mut self.rng;
            queue.retain(|_| rng.random());
        }
    }

    /// Starts the next request of the team with the fewest running ones. Returns false if none is waiting.
    fn start(&mut self, now: u64) -> bool {
        let waiting = (0..TEAMS).filter(|&team| !self.queues[team].is_empty());
        let Some(team) = waiting.min_by_key(|&team| self.running[team]) else { return false };
        let Some(request) = self.queues[team].pop_front() else { return false };
        if self.admits(now, &request, 0) {
            self.started += 1.0;
            self.budgets[team].deposit();
            self.attempt(now, request);
        }
        true
    }

    fn attempt(&mut self, now: u64, mut request: Request) {
        request.attempts += 1;
        self.attempts += 1.0;
        self.running[request.team] += 1;
        let run = -MEAN_RUN_MS * (1.0 - self.rng.random::<f64>()).ln();
        self.work.push((now + run as u64 + 1, now, request));
    }

    fn end_work(&mut self, now: u64) {
        let (ended, left): (Vec<_>, Vec<_>) = self.work.drain(..).partition(|work| work.0 <= now);
        self.work = left;
        for (_, start, request) in ended {
            let run = (now - start) as f64;
            self.running[request.team] -= 1;
            self.used_ms += run;
            self.run_time.learn(run);
            if self.rng.random::<f64>() < FAILURE_RATE {
                if self.may_retry(now, &request) {
                    self.attempt(now, request);
                }
            } else if now <= request.deadline {
                self.in_time[request.team] += 1.0;
                self.useful_ms += run;
            }
        }
    }

    fn may_retry(&mut self, now: u64, request: &Request) -> bool {
        match self.policy {
            Policy::Queue => request.attempts < MAX_ATTEMPTS,
            Policy::Expire => request.attempts < MAX_ATTEMPTS && now < request.deadline,
            Policy::Shed => self.admits(now, request, 0) && self.budgets[request.team].withdraw(),
        }
    }

    fn figures(&self) -> Figures {
        let sum: f64 = self.in_time.iter().sum();
        let least = self.in_time.iter().copied().fold(f64::INFINITY, f64::min);
        Figures {
            goodput: sum * 1_000.0 / SIMULATION_MS as f64,
            amplification: self.attempts / self.started,
            wasted: 1.0 - self.useful_ms / self.used_ms,
            least_team: least * TEAMS as f64 / sum.max(1.0),
        }
    }
}

impl Figures {
    /// Keeps the worse value of each figure.
    pub fn worsen(&mut self, other: &Self) {
        self.goodput = self.goodput.min(other.goodput);
        self.amplification = self.amplification.max(other.amplification);
        self.wasted = self.wasted.max(other.wasted);
        self.least_team = self.least_team.min(other.least_team);
    }

    /// Initial value for [`Figures::worsen`], which any simulation makes worse.
    #[must_use]
    pub fn best() -> Self {
        Self { goodput: f64::INFINITY, least_team: f64::INFINITY, ..Self::default() }
    }
}
