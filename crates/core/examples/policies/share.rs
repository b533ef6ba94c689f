//! Closeness to share in virtual time: one full pool, six teams, six entry instances with uneven arrivals.
//!
//! Held and owed slot-seconds are compared over every 10 s window in which work waits all the time. Owed is the weighted
//! max-min allocation of the whole pool over the window. A team whose work waited all the time can use any number of
//! slots; any other team got what it asked for, and its waits are measured instead.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rattanfall_core::share::{
    Candidate, Demand, Usage, entitlement, jain, max_deviation, member_quota, next_team, quotas,
};

/// Teams of the pool.
pub const TEAMS: usize = 6;
/// Entry instances.
const MEMBERS: usize = 6;
/// Slots of the pool: 10 workers of 8.
const CAPACITY: u32 = 80;
/// Weights of the teams.
const SHARES: [u32; TEAMS] = [30, 25, 20, 12, 8, 5];
/// Interval of ticks and of digests, in milliseconds.
const TICK_MS: u64 = 50;
const DIGEST_MS: u64 = 250;
/// Window of the measure and the step between windows, in milliseconds.
const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 250;
/// Waiting requests of one team at one instance.
const QUEUE: usize = 1_000;

/// Way in which free slots are given to teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Oldest request of the instance first.
    FirstCome,
    /// Each instance is fair among its own requests.
    PerInstance,
    /// Allocation over the fleet.
    Fleet(Plan),
}

/// Parts of the policy over the fleet that can be left out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Corrects the allocation by decayed use.
    pub corrected: bool,
    /// Splits the allocation of a waiting team by the demand that was last sent, which all members know.
    pub snapshot: bool,
    /// Starts work above the allocation, on ticks only, on slots that nobody seems to use.
    pub spare: bool,
}

/// Load of one run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Name in tables.
    pub name: &'static str,
    /// Work that a team asks for in the surge, relative to its part of the pool.
    pub factors: [f64; TEAMS],
    /// Mean run time, in milliseconds; run times are exponential.
    pub run_ms: f64,
    /// Length of the surge, in milliseconds.
    pub surge_ms: u64,
}

/// Measures of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Largest relative distance from share over all windows.
    pub worst: f64,
    /// Mean over the windows of the largest distance.
    pub mean: f64,
    /// Least Jain's index of held per owed.
    pub jain: f64,
    /// Used part of the pool while it was full.
    pub used: f64,
    /// Longest wait of a team that asks for less than its share, in milliseconds.
    pub small_wait_ms: u64,
    /// Refusals by a full pool for each start.
    pub refused: f64,
}

struct Member {
    queues: [VecDeque<u64>; TEAMS],
    running: [u32; TEAMS],
    used: [Usage; TEAMS],
    owed: [Usage; TEAMS],
    /// Usage and load of each member as last heard.
    heard: [[Heard; TEAMS]; MEMBERS],
    /// True from a refusal until work of this member ends or the next tick.
    refused: bool,
    /// True during a tick.
    ticking: bool,
}

#[derive(Clone, Copy, Default)]
struct Heard {
    running: u32,
    waiting: u32,
    used: f64,
}

struct Run {
    policy: Policy,
    load: Load,
    rng: StdRng,
    members: Vec<Member>,
    /// Parts of a team's requests that arrive at each member.
    arrivals: [[f64; MEMBERS]; TEAMS],
    /// End, member and team of running work.
    work: Vec<(u64, usize, usize)>,
    starts: u64,
    refusals: u64,
    small_wait_ms: u64,
    /// Slot-milliseconds held per team since the start.
    held: [u64; TEAMS],
    trace: Vec<Sample>,
}

#[derive(Clone, Copy)]
struct Sample {
    held: [u64; TEAMS],
    waiting: [bool; TEAMS],
    full: bool,
}

/// Simulates one surge after a quiet time and measures it.
#[must_use]
pub fn simulate(policy: Policy, load: Load, seed: u64) -> Outcome {
    let mut run = Run::new(policy, load, seed);
    for now in 0..load.surge_ms + 2 * WINDOW_MS {
        run.step(now);
    }
    run.measure()
}

impl Run {
    fn new(policy: Policy, load: Load, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut arrivals = [[0.0; MEMBERS]; TEAMS];
        for team in &mut arrivals {
            // A team reaches some members ten times as often as others.
            let weights: [f64; MEMBERS] = std::array::from_fn(|_| rng.random_range(0.1..1.0_f64));
            let sum: f64 = weights.iter().sum();
            *team = weights.map(|weight| weight / sum);
        }
        let members = (0..MEMBERS).map(|_| Member::new()).collect();
        let work = Vec::new();
        let (held, trace) = ([0; TEAMS], Vec::new());
        Self {
            policy,
            load,
            rng,
            members,
            arrivals,
            work,
            starts: 0,
            refusals: 0,
            small_wait_ms: 0,
            held,
            trace,
        }
    }

    fn step(&mut self, now: u64) {
        self.arrive(now);
        let ended = self.end(now);
        for member in ended {
            self.members[member].refused = false;
            self.dispatch(now, member);
        }
        for member in 0..MEMBERS {
            let phase = member as u64 * 7;
            if (now + phase).is_multiple_of(DIGEST_MS) {
                self.digest(member);
            }
            if (now + phase).is_multiple_of(TICK_MS) {
                self.members[member].refused = false;
                self.members[member].ticking = true;
                self.dispatch(now, member);
                self.members[member].ticking = false;
            }
        }
        for (_, _, team) in &self.work {
            self.held[*team] += 1;
        }
        if now.is_multiple_of(STEP_MS) {
            self.sample();
        }
    }

    /// Part of its surge load that the pool is asked for now: a hundredth (a twentieth of the mean) before and after.
    fn level(&self, now: u64) -> f64 {
        if (WINDOW_MS..WINDOW_MS + self.load.surge_ms).contains(&now) { 1.0 } else { 0.01 }
    }

    fn arrive(&mut self, now: u64) {
        let total: u32 = SHARES.iter().sum();
        for (team, share) in SHARES.into_iter().enumerate() {
            let part = f64::from(share) / f64::from(total) * f64::from(CAPACITY);
            let rate = part * self.load.factors[team] * self.level(now) / self.load.run_ms;
            for member in 0..MEMBERS {
                let mut left = rate * self.arrivals[team][member];
                while left > 0.0 && self.rng.random::<f64>() < left.min(1.0) {
                    if self.members[member].queues[team].len() < QUEUE {
                        self.members[member].queues[team].push_back(now);
                    }
                    self.dispatch(now, member);
                    left -= 1.0;
                }
            }
        }
    }

    fn end(&mut self, now: u64) -> Vec<usize> {
        let mut ended = Vec::new();
        let members = &mut self.members;
        self.work.retain(|&(end, member, team)| {
            if end <= now {
                members[member].account(now, team);
                members[member].running[team] -= 1;
                ended.push(member);
            }
            end > now
        });
        ended
    }

    /// Sends a member's load to all others.
    fn digest(&mut self, from: usize) {
        let heard: [Heard; TEAMS] = std::array::from_fn(|team| self.members[from].own(team));
        for member in &mut self.members {
            member.heard[from] = heard;
        }
    }

    /// Starts work of one member until nothing may start or the pool refuses.
    fn dispatch(&mut self, now: u64, member: usize) {
        if self.members[member].refused {
            return;
        }
        for team in 0..TEAMS {
            self.members[member].account(now, team);
        }
        while let Some(team) = self.pick(now, member) {
            if self.work.len() >= CAPACITY as usize {
                self.refusals += 1;
                self.members[member].refused = true;
                return;
            }
            let row = &mut self.members[member];
            let Some(arrived) = row.queues[team].pop_front() else { return };
            row.running[team] += 1;
            self.starts += 1;
            if self.load.factors[team] < 1.0 {
                self.small_wait_ms = self.small_wait_ms.max(now - arrived);
            }
            let run = -self.load.run_ms * (1.0 - self.rng.random::<f64>()).ln();
            self.work.push((now + (run.ceil() as u64).max(1), member, team));
        }
    }

    fn pick(&mut self, now: u64, member: usize) -> Option<usize> {
        let row = &mut self.members[member];
        let waiting: Vec<usize> = (0..TEAMS).filter(|&team| !row.queues[team].is_empty()).collect();
        match self.policy {
            Policy::FirstCome => waiting.into_iter().min_by_key(|&team| row.queues[team].front().copied()),
            Policy::PerInstance => {
                let key = |team: usize| row.used[team].value() / f64::from(SHARES[team]);
                waiting.into_iter().min_by(|&a, &b| key(a).total_cmp(&key(b)))
            }
            Policy::Fleet(plan) => row.fleet_pick(now, member, plan, &waiting),
        }
    }

    fn sample(&mut self) {
        let waiting = std::array::from_fn(|team| self.members.iter().any(|m| !m.queues[team].is_empty()));
        let full = waiting.contains(&true);
        self.trace.push(Sample { held: self.held, waiting, full });
    }

    fn measure(&self) -> Outcome {
        let size = (WINDOW_MS / STEP_MS) as usize;
        let windows = self.trace.windows(size + 1).filter(|window| window.iter().all(|s| s.full));
        let capacity = u64::from(CAPACITY) * WINDOW_MS;
        let mut outcome = Outcome { jain: 1.0, ..Outcome::default() };
        let mut count = 0.0;
        for window in windows {
            let (first, last) = (&window[0], &window[size]);
            let held = std::array::from_fn(|team| (last.held[team] - first.held[team]) as f64);
            let waited = std::array::from_fn(|team| window.iter().all(|s| s.waiting[team]));
            let (near, far) = compare(&held, &waited, capacity);
            outcome.worst = outcome.worst.max(far);
            outcome.jain = outcome.jain.min(near);
            outcome.mean += far;
            outcome.used += held.iter().sum::<f64>() / capacity as f64;
            count += 1.0;
        }
        outcome.mean /= count;
        outcome.used /= count;
        outcome.small_wait_ms = self.small_wait_ms;
        outcome.refused = self.refusals as f64 / self.starts as f64;
        outcome
    }
}

/// Jain's index and largest distance over the teams that waited all through one window.
fn compare(held: &[f64; TEAMS], waited: &[bool; TEAMS], capacity: u64) -> (f64, f64) {
    let demands: [Demand; TEAMS] = std::array::from_fn(|team| Demand {
        share: SHARES[team],
        demand: if waited[team] { u32::MAX } else { held[team] as u32 },
        limit: u32::MAX,
    });
    let all = entitlement(capacity as u32, &demands);
    let teams = || (0..TEAMS).filter(|&team| waited[team]);
    let owed: Vec<f64> = teams().map(|team| all[team]).collect();
    let held: Vec<f64> = teams().map(|team| held[team]).collect();
    let ratios: Vec<f64> = held.iter().zip(&owed).map(|(held, owed)| held / owed).collect();
    (jain(&ratios), max_deviation(&held, &owed))
}

impl Member {
    fn new() -> Self {
        let queues = std::array::from_fn(|_| VecDeque::new());
        let (used, owed) = ([Usage::new(0); TEAMS], [Usage::new(0); TEAMS]);
        let heard = [[Heard::default(); TEAMS]; MEMBERS];
        let refused = false;
        let ticking = false;
        Self { queues, running: [0; TEAMS], used, owed, heard, refused, ticking }
    }

    fn account(&mut self, now: u64, team: usize) {
        self.used[team].advance(now, f64::from(self.running[team]));
    }

    fn own(&self, team: usize) -> Heard {
        let waiting = self.queues[team].len() as u32;
        Heard { running: self.running[team], waiting, used: self.used[team].value() }
    }

    /// Team whose work this member starts next under the allocation over the fleet.
    fn fleet_pick(&mut self, now: u64, own: usize, plan: Plan, waiting: &[usize]) -> Option<usize> {
        let sent = self.heard[own];
        for team in 0..TEAMS {
            self.heard[own][team] = self.own(team);
        }
        let demands: [Demand; TEAMS] = std::array::from_fn(|team| {
            let demand = self.heard.iter().map(|h| h[team].running + h[team].waiting).sum();
            Demand { share: SHARES[team], demand, limit: u32::MAX }
        });
        let owed_now = entitlement(CAPACITY, &demands);
        for (owed, &slots) in self.owed.iter_mut().zip(&owed_now) {
            owed.advance(now, slots);
        }
        let teams: [Candidate; TEAMS] =
            std::array::from_fn(|team| self.candidate(team, owed_now[team], demands[team].demand, plan));
        let quotas = quotas(CAPACITY, &teams);
        let spare = plan.spare && self.ticking && self.spare(own, now) > 0;
        let may_start = |team: &usize| {
            let mut parts: [u32; MEMBERS] =
                std::array::from_fn(|m| self.heard[m][*team].running + self.heard[m][*team].waiting);
            if plan.snapshot && quotas[*team] < demands[*team].demand {
                let known = sent[*team].running + sent[*team].waiting;
                parts[own] = if known > 0 { known } else { parts[own] };
            }
            spare || self.running[*team] < member_quota(quotas[*team], &parts, own)
        };
        let eligible: Vec<usize> = waiting.iter().copied().filter(may_start).collect();
        let candidates: Vec<Candidate> = eligible.iter().map(|&team| teams[team]).collect();
        self.heard[own] = sent;
        next_team(&candidates).map(|index| eligible[index])
    }

    /// This member's part of the slots that nobody seems to use.
    fn spare(&self, own: usize, now: u64) -> u32 {
        let running: u32 = self.heard.iter().flatten().map(|heard| heard.running).sum();
        let turn = (own as u64 + now / DIGEST_MS) % MEMBERS as u64;
        (CAPACITY.saturating_sub(running) + turn as u32) / MEMBERS as u32
    }

    fn candidate(&self, team: usize, owed_now: f64, usable: u32, plan: Plan) -> Candidate {
        let running = self.heard.iter().map(|h| h[team].running).sum();
        let used: f64 = self.heard.iter().map(|h| h[team].used).sum();
        let owed = if plan.corrected { self.owed[team].value() } else { used };
        Candidate { owed_now, usable, running, owed, used }
    }
}

/// Policies by name in the order of the table.
pub const POLICIES: [(&str, Policy); 7] = [
    ("first come", Policy::FirstCome),
    ("per instance", Policy::PerInstance),
    ("bare", fleet(false, false, false)),
    ("corrected", fleet(true, false, false)),
    ("snapshot", fleet(true, true, false)),
    ("uncorrected", fleet(false, true, true)),
    ("all", fleet(true, true, true)),
];

const fn fleet(corrected: bool, snapshot: bool, spare: bool) -> Policy {
    Policy::Fleet(Plan { corrected, snapshot, spare })
}

/// Loads of the measurement: every team above its part, or three of them below it.
#[must_use]
pub fn loads() -> Vec<Load> {
    let all = [3.0, 1.2, 1.5, 1.1, 2.5, 1.3];
    let some = [4.0, 0.5, 2.0, 0.3, 1.5, 0.6];
    let load = |name, factors, run_ms| Load { name, factors, run_ms, surge_ms: 30_000 };
    vec![
        load("all 50 ms", all, 50.0),
        load("all 200 ms", all, 200.0),
        load("all 1000 ms", all, 1_000.0),
        load("some 50 ms", some, 50.0),
        load("some 200 ms", some, 200.0),
        load("some 1000 ms", some, 1_000.0),
    ]
}

impl Outcome {
    /// Keeps the worse of each figure.
    pub fn worsen(&mut self, other: &Self) {
        self.worst = self.worst.max(other.worst);
        self.mean = self.mean.max(other.mean);
        self.jain = self.jain.min(other.jain);
        self.used = self.used.min(other.used);
        self.small_wait_ms = self.small_wait_ms.max(other.small_wait_ms);
        self.refused = self.refused.max(other.refused);
    }
}
