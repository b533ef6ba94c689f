//! Simulation of weighted fair sharing: one full pool, six teams, six entry instances with uneven arrivals.
//!
//! Held and owed slot-seconds are compared over every 10 s window in which work was always waiting. Owed is the weighted
//! max-min allocation of the whole pool over the window. A team whose work was always waiting counts with unlimited
//! demand. Any other team got what it demanded; its waiting times are measured instead.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rattanfall_core::share::{
    Candidate, Demand, Usage, entitlement, jain, max_deviation, member_quota, next_team, quotas,
};

/// Number of teams.
pub const TEAMS: usize = 6;
/// Number of entry instances.
const MEMBERS: usize = 6;
/// Slots of the pool: 10 workers with 8 slots each.
const POOL_SLOTS: u32 = 80;
/// Weights of the teams.
const SHARES: [u32; TEAMS] = [30, 25, 20, 12, 8, 5];
/// Interval of ticks of an instance.
const TICK_MS: u64 = 50;
/// Interval at which an instance sends its load to the others.
const DIGEST_MS: u64 = 250;
/// Length of the windows over which shares are compared, and the distance between their starts.
const WINDOW_MS: u64 = 10_000;
const STEP_MS: u64 = 250;
/// Maximum number of waiting requests of one team at one instance.
const QUEUE_LENGTH: usize = 1_000;

/// Policy that allocates free slots to teams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Oldest request of each instance first.
    FirstCome,
    /// Each instance shares fairly among its own requests.
    PerInstance,
    /// Fleet-wide allocation.
    Fleet(FleetOptions),
}

/// Optional parts of the fleet-wide policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetOptions {
    /// Corrects the allocation by the decayed past usage.
    pub corrected: bool,
    /// Splits the allocation of a waiting team by the demand that was last sent, which all members have.
    pub snapshot: bool,
    /// Starts work beyond the allocation, on ticks only, in slots that appear to be unused.
    pub spare: bool,
}

/// Load pattern of one run.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Name in the printed table.
    pub name: &'static str,
    /// Demand of each team in the surge, relative to its share of the pool.
    pub factors: [f64; TEAMS],
    /// Mean run time, in milliseconds; run times are exponentially distributed.
    pub run_ms: f64,
    /// Length of the surge, in milliseconds.
    pub surge_ms: u64,
}

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Largest relative deviation of a team from its entitlement, over all windows.
    pub worst: f64,
    /// Mean over all windows of the largest deviation in the window.
    pub mean: f64,
    /// Lowest Jain's fairness index of held per owed slots, over all windows.
    pub jain: f64,
    /// Mean utilisation of the pool, over all windows.
    pub used: f64,
    /// Longest wait of a request of a team that demands less than its share, in milliseconds.
    pub small_wait_ms: u64,
    /// Refusals by a full pool, per start.
    pub refused: f64,
}

struct Member {
    queues: [VecDeque<u64>; TEAMS],
    running: [u32; TEAMS],
    used: [Usage; TEAMS],
    owed: [Usage; TEAMS],
    /// Last reported usage and load of each member.
    reported: [[MemberLoad; TEAMS]; MEMBERS],
    /// True from a refusal by the pool until work of this member ends or the next tick.
    refused: bool,
    /// True during a tick.
    ticking: bool,
}

#[derive(Clone, Copy, Default)]
struct MemberLoad {
    running: u32,
    waiting: u32,
    used: f64,
}

struct Run {
    policy: Policy,
    load: Load,
    rng: StdRng,
    members: Vec<Member>,
    /// Fraction of each team's requests that arrives at each member.
    arrival_weights: [[f64; MEMBERS]; TEAMS],
    /// End time, member and team of running work.
    work: Vec<(u64, usize, usize)>,
    starts: u64,
    refusals: u64,
    small_wait_ms: u64,
    /// Slot-milliseconds held by each team since the start.
    held: [u64; TEAMS],
    trace: Vec<Sample>,
}

#[derive(Clone, Copy)]
struct Sample {
    held: [u64; TEAMS],
    waiting: [bool; TEAMS],
    full: bool,
}

/// Simulates one surge between two windows of low load, and evaluates it.
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
        let mut arrival_weights = [[0.0; MEMBERS]; TEAMS];
        for team in &mut arrival_weights {
            // Up to ten times as many requests of a team arrive at one member as at another.
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
            arrival_weights,
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

    /// Current load relative to the surge: a hundredth (a twentieth of the mean) before and after it.
    fn load_factor(&self, now: u64) -> f64 {
        if (WINDOW_MS..WINDOW_MS + self.load.surge_ms).contains(&now) { 1.0 } else { 0.01 }
    }

    fn arrive(&mut self, now: u64) {
        let total: u32 = SHARES.iter().sum();
        for (team, share) in SHARES.into_iter().enumerate() {
            let part = f64::from(share) / f64::from(total) * f64::from(POOL_SLOTS);
            let rate = part * self.load.factors[team] * self.load_factor(now) / self.load.run_ms;
            for member in 0..MEMBERS {
                let mut left = rate * self.arrival_weights[team][member];
                while left > 0.0 && self.rng.random::<f64>() < left.min(1.0) {
                    if self.members[member].queues[team].len() < QUEUE_LENGTH {
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
                members[member].update_usage(now, team);
                members[member].running[team] -= 1;
                ended.push(member);
            }
            end > now
        });
        ended
    }

    /// Reports a member's load to all members.
    fn digest(&mut self, from: usize) {
        let reported: [MemberLoad; TEAMS] = std::array::from_fn(|team| self.members[from].own(team));
        for member in &mut self.members {
            member.reported[from] = reported;
        }
    }

    /// Starts work of one member until none may start or the pool refuses it.
    fn dispatch(&mut self, now: u64, member: usize) {
        if self.members[member].refused {
            return;
        }
        for team in 0..TEAMS {
            self.members[member].update_usage(now, team);
        }
        while let Some(team) = self.pick(now, member) {
            if self.work.len() >= POOL_SLOTS as usize {
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
            Policy::Fleet(options) => row.fleet_pick(now, member, options, &waiting),
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
        let capacity = u64::from(POOL_SLOTS) * WINDOW_MS;
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

/// Jain's index and largest deviation over the teams whose work was waiting throughout a window.
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
        let reported = [[MemberLoad::default(); TEAMS]; MEMBERS];
        let refused = false;
        let ticking = false;
        Self { queues, running: [0; TEAMS], used, owed, reported, refused, ticking }
    }

    fn update_usage(&mut self, now: u64, team: usize) {
        self.used[team].advance(now, f64::from(self.running[team]));
    }

    fn own(&self, team: usize) -> MemberLoad {
        let waiting = self.queues[team].len() as u32;
        MemberLoad { running: self.running[team], waiting, used: self.used[team].value() }
    }

    /// Team whose work this member starts next under the fleet-wide allocation.
    fn fleet_pick(
        &mut self,
        now: u64,
        own: usize,
        options: FleetOptions,
        waiting: &[usize],
    ) -> Option<usize> {
        let sent = self.reported[own];
        for team in 0..TEAMS {
            self.reported[own][team] = self.own(team);
        }
        let demands: [Demand; TEAMS] = std::array::from_fn(|team| {
            let demand = self.reported.iter().map(|h| h[team].running + h[team].waiting).sum();
            Demand { share: SHARES[team], demand, limit: u32::MAX }
        });
        let owed_now = entitlement(POOL_SLOTS, &demands);
        for (owed, &slots) in self.owed.iter_mut().zip(&owed_now) {
            owed.advance(now, slots);
        }
        let teams: [Candidate; TEAMS] =
            std::array::from_fn(|team| self.candidate(team, owed_now[team], demands[team].demand, options));
        let quotas = quotas(POOL_SLOTS, &teams);
        let spare = options.spare && self.ticking && self.spare(own, now) > 0;
        let may_start = |team: &usize| {
            let mut parts: [u32; MEMBERS] =
                std::array::from_fn(|m| self.reported[m][*team].running + self.reported[m][*team].waiting);
            if options.snapshot && quotas[*team] < demands[*team].demand {
                let known = sent[*team].running + sent[*team].waiting;
                parts[own] = if known > 0 { known } else { parts[own] };
            }
            spare || self.running[*team] < member_quota(quotas[*team], &parts, own)
        };
        let eligible: Vec<usize> = waiting.iter().copied().filter(may_start).collect();
        let candidates: Vec<Candidate> = eligible.iter().map(|&team| teams[team]).collect();
        self.reported[own] = sent;
        next_team(&candidates).map(|index| eligible[index])
    }

    /// This member's part of the slots that appear to be unused. The remainder rotates over the members.
    fn spare(&self, own: usize, now: u64) -> u32 {
        let running: u32 = self.reported.iter().flatten().map(|reported| reported.running).sum();
        let turn = (own as u64 + now / DIGEST_MS) % MEMBERS as u64;
        (POOL_SLOTS.saturating_sub(running) + turn as u32) / MEMBERS as u32
    }

    fn candidate(&self, team: usize, owed_now: f64, usable: u32, options: FleetOptions) -> Candidate {
        let running = self.reported.iter().map(|h| h[team].running).sum();
        let used: f64 = self.reported.iter().map(|h| h[team].used).sum();
        let owed = if options.corrected { self.owed[team].value() } else { used };
        Candidate { owed_now, usable, running, owed, used }
    }
}

/// Policies by name, in the order of the printed table.
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
    Policy::Fleet(FleetOptions { corrected, snapshot, spare })
}

/// Loads of the simulation: all teams demand more than their share, or three of them less.
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
    /// Keeps the worse value of each figure.
    pub fn worsen(&mut self, other: &Self) {
        self.worst = self.worst.max(other.worst);
        self.mean = self.mean.max(other.mean);
        self.jain = self.jain.min(other.jain);
        self.used = self.used.min(other.used);
        self.small_wait_ms = self.small_wait_ms.max(other.small_wait_ms);
        self.refused = self.refused.max(other.refused);
    }
}
