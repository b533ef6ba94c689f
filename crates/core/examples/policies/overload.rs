//! Overload in virtual time: one pool, six teams, requests with deadlines, retries and waves of cancellations.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rattanfall_core::policy::placement::RunTime;
use rattanfall_core::policy::retry::RetryBudget;
use rattanfall_core::policy::shed::{QueuePosition, can_meet_deadline};

const TEAMS: usize = 6;
const SLOTS: usize = 80;
/// Mean run time and deadline, in milliseconds.
const RUN_MS: f64 = 100.0;
const DEADLINE_MS: u64 = 1_000;
/// Part of the attempts that break, and attempts of the baselines for each request.
const BREAK: f64 = 0.2;
const ATTEMPTS: u32 = 4;
/// Every 5 s, half of the waiting requests are cancelled.
const WAVE_MS: u64 = 5_000;
const END_MS: u64 = 30_000;
/// Waiting requests of one team.
const QUEUE: usize = 1_000;

/// Way in which overload is met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// First in, first out; broken attempts are repeated up to three times.
    Queue,
    /// As above, but requests past their deadline are dropped before they start.
    Expire,
    /// Requests that cannot meet their deadline are shed; retries have a budget.
    Shed,
}

/// Measures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Answers within the deadline for each second.
    pub goodput: f64,
    /// Attempts for each request that was started.
    pub amplification: f64,
    /// Part of the used slot time that answered nobody in time.
    pub wasted: f64,
    /// Least goodput of a team relative to the mean of teams.
    pub least_team: f64,
}

#[derive(Clone, Copy)]
struct Request {
    team: usize,
    deadline: u64,
    attempts: u32,
}

struct Run {
    policy: Policy,
    load: f64,
    rng: StdRng,
    queues: [VecDeque<Request>; TEAMS],
    running: [u32; TEAMS],
    work: Vec<(u64, u64, Request)>,
    budgets: [RetryBudget; TEAMS],
    run_time: RunTime,
    good: [f64; TEAMS],
    started: f64,
    attempts: f64,
    used: f64,
    useful: f64,
}

/// Simulates a load relative to the capacity.
#[must_use]
pub fn simulate(policy: Policy, load: f64, seed: u64) -> Figures {
    let mut run = Run {
        policy,
        load,
        rng: StdRng::seed_from_u64(seed),
        queues: std::array::from_fn(|_| VecDeque::new()),
        running: [0; TEAMS],
        work: Vec::new(),
        budgets: [RetryBudget::new(10); TEAMS],
        run_time: RunTime::default(),
        good: [0.0; TEAMS],
        started: 0.0,
        attempts: 0.0,
        used: 0.0,
        useful: 0.0,
    };
    for now in 0..END_MS {
        run.end(now);
        run.arrive(now);
        if now.is_multiple_of(WAVE_MS) {
            run.cancel();
        }
        while run.work.len() < SLOTS && run.start(now) {}
    }
    run.figures()
}

impl Run {
    fn arrive(&mut self, now: u64) {
        let mut left = self.load * SLOTS as f64 / RUN_MS;
        while left > 0.0 && self.rng.random::<f64>() < left.min(1.0) {
            left -= 1.0;
            let team = self.rng.random_range(0..TEAMS);
            let request = Request { team, deadline: now + DEADLINE_MS, attempts: 0 };
            let ahead = self.queues[team].len();
            if ahead < QUEUE && self.keeps(now, &request, ahead) {
                self.queues[team].push_back(request);
            }
        }
    }

    fn keeps(&self, now: u64, request: &Request, ahead: usize) -> bool {
        let left_ms = request.deadline.saturating_sub(now);
        let outlook = QueuePosition {
            ahead: ahead as u32,
            waiting: self.queues[request.team].len() as u32,
            running: self.running[request.team],
            slots: SLOTS as f64 / TEAMS as f64,
            run_ms: self.run_time.mean_ms().unwrap_or(0.0),
            left_ms,
            asked_ms: DEADLINE_MS,
        };
        match self.policy {
            Policy::Queue => true,
            Policy::Expire => left_ms > 0,
            Policy::Shed => can_meet_deadline(&outlook),
        }
    }

    fn cancel(&mut self) {
        for queue in &mut self.queues {
            let rng = &mut self.rng;
            queue.retain(|_| rng.random());
        }
    }

    /// Starts the next request of the team that runs least; false if none waits.
    fn start(&mut self, now: u64) -> bool {
        let waiting = (0..TEAMS).filter(|&team| !self.queues[team].is_empty());
        let Some(team) = waiting.min_by_key(|&team| self.running[team]) else { return false };
        let Some(request) = self.queues[team].pop_front() else { return false };
        if self.keeps(now, &request, 0) {
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
        let run = -RUN_MS * (1.0 - self.rng.random::<f64>()).ln();
        self.work.push((now + run as u64 + 1, now, request));
    }

    fn end(&mut self, now: u64) {
        let (ended, left): (Vec<_>, Vec<_>) = self.work.drain(..).partition(|work| work.0 <= now);
        self.work = left;
        for (_, start, request) in ended {
            let run = (now - start) as f64;
            self.running[request.team] -= 1;
            self.used += run;
            self.run_time.learn(run);
            if self.rng.random::<f64>() < BREAK {
                if self.retries(now, &request) {
                    self.attempt(now, request);
                }
            } else if now <= request.deadline {
                self.good[request.team] += 1.0;
                self.useful += run;
            }
        }
    }

    fn retries(&mut self, now: u64, request: &Request) -> bool {
        match self.policy {
            Policy::Queue => request.attempts < ATTEMPTS,
            Policy::Expire => request.attempts < ATTEMPTS && now < request.deadline,
            Policy::Shed => self.keeps(now, request, 0) && self.budgets[request.team].withdraw(),
        }
    }

    fn figures(&self) -> Figures {
        let sum: f64 = self.good.iter().sum();
        let least = self.good.iter().copied().fold(f64::INFINITY, f64::min);
        Figures {
            goodput: sum * 1_000.0 / END_MS as f64,
            amplification: self.attempts / self.started,
            wasted: 1.0 - self.useful / self.used,
            least_team: least * TEAMS as f64 / sum.max(1.0),
        }
    }
}

impl Figures {
    /// Keeps the worse of each figure.
    pub fn worsen(&mut self, other: &Self) {
        self.goodput = self.goodput.min(other.goodput);
        self.amplification = self.amplification.max(other.amplification);
        self.wasted = self.wasted.max(other.wasted);
        self.least_team = self.least_team.min(other.least_team);
    }

    /// Figures that any run makes worse.
    #[must_use]
    pub fn best() -> Self {
        Self { goodput: f64::INFINITY, least_team: f64::INFINITY, ..Self::default() }
    }
}
