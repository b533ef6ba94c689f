//! Simulation of worker moves between pools: four pools of ten workers and a spare pool, in steps of 0.5 s.
//!
//! Work is measured in slots. In each step a pool completes as much waiting work as it has slots; work that has waited
//! longer than the deadline is dropped.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rattanfall_core::engine::Millis;
use rattanfall_core::ids::PoolId;
use rattanfall_core::policy::rebalance::{Move, Planner, PoolLoad};

/// Number of pools with work; the spare pool has the next index.
const POOLS: usize = 4;
const SPARE: usize = POOLS;
const POOL_WORKERS: u32 = 10;
const MIN_SERVING: u32 = 4;
const WORKER_SLOTS: u32 = 8;
const STEP_MS: u64 = 500;
const RUN_MS: f64 = 200.0;
/// Duration of a move: a drain and a reboot, 10 s.
const MOVE_STEPS: usize = 20;
/// Deadline of the work, 10 s.
const DEADLINE_STEPS: usize = 20;
/// Length of a run, 10 minutes.
const RUN_STEPS: usize = 1_200;

/// New work for each pool in each step, in slots.
pub type Demand = Vec<[f64; POOLS]>;
/// Number of serving workers of each pool.
type Serving = [u32; POOLS + 1];

/// Demand patterns of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// Each pool in turn has five times its mean demand for 5 to 11 s.
    Short,
    /// Each pool in turn has five times its mean demand for 50 to 70 s.
    Long,
    /// Half-way through the run, the demand of two pools rises above their capacity and stays there.
    Shift,
}

/// Rule that decides when workers are moved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Never.
    Never,
    /// Whenever the work of a pool exceeds its capacity, from the pool with the most idle slots.
    Naive,
    /// When the expected gain exceeds the cost, as in production.
    Planner,
    /// With knowledge of the future demand; an approximate upper bound.
    Offline,
}

/// Results of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// Fraction of the demanded work that was completed before its deadline.
    pub done: f64,
    /// Number of workers moved.
    pub moves: f64,
    /// Mean fraction of the fleet's slots that was idle or moving.
    pub buffer: f64,
}

/// Generates the demand of a pattern. In a surge, a pool needs 100 to 160 slots but has 80.
#[must_use]
pub fn demand(pattern: Pattern, seed: u64) -> Demand {
    let mut rng = StdRng::seed_from_u64(seed);
    if pattern == Pattern::Shift {
        let base: [f64; POOLS] = std::array::from_fn(|_| rng.random_range(20.0..60.0));
        let high =
            |step: usize, pool: usize| if step > RUN_STEPS / 2 && pool < 2 { 110.0 } else { base[pool] };
        return (0..RUN_STEPS).map(|step| std::array::from_fn(|pool| high(step, pool))).collect();
    }
    let lengths = if pattern == Pattern::Short { 10..23 } else { 100..141 };
    let mut demand = Vec::new();
    for turn in 0.. {
        if demand.len() >= RUN_STEPS {
            break;
        }
        let mean = rng.random_range(20.0..32.0);
        let surge: [f64; POOLS] =
            std::array::from_fn(|pool| if pool == turn % POOLS { 5.0 * mean } else { mean / 20.0 });
        demand.extend(vec![surge; rng.random_range(lengths.clone())]);
    }
    demand.truncate(RUN_STEPS);
    demand
}

/// Runs a policy against a demand. The offline plan ignores that work can wait, so it is replaced by no moves at all if
/// that completes more.
#[must_use]
pub fn simulate(policy: Policy, demand: &Demand) -> Figures {
    let figures = run(policy, demand);
    let never = run(Policy::Never, demand);
    if policy == Policy::Offline && never.done > figures.done { never } else { figures }
}

fn run(policy: Policy, demand: &Demand) -> Figures {
    let plan = if policy == Policy::Offline { offline(demand) } else { Vec::new() };
    let mut fleet = Fleet::new();
    let mut planner = Planner::default();
    for (step, demanded) in demand.iter().enumerate() {
        fleet.arrive(step, demanded);
        match policy {
            Policy::Never => {}
            Policy::Naive => fleet.naive(step),
            Policy::Planner => {
                // The engine plans on each tick of 50 ms, ten times per step.
                for tick in 0..10 {
                    let now = Millis(step as u64 * STEP_MS + tick * STEP_MS / 10);
                    if let Some(step_move) = planner.plan(now, &fleet.loads(demanded)) {
                        fleet.start(step, step_move);
                    }
                }
            }
            Policy::Offline => {
                for &(_, step_move) in plan.iter().filter(|(at, _)| *at == step) {
                    fleet.start(step, step_move);
                }
            }
        }
        fleet.work(step);
    }
    let demanded: f64 = demand.iter().flatten().sum();
    let slots = f64::from(WORKER_SLOTS * POOL_WORKERS) * (POOLS + 1) as f64 * demand.len() as f64;
    Figures { done: fleet.done / demanded, moves: fleet.moves, buffer: 1.0 - fleet.done / slots }
}

struct Fleet {
    serving: Serving,
    /// Arrival step and target pool of each moving worker.
    moving: Vec<(usize, usize)>,
    /// Arrival step and slots of the waiting work of each pool, oldest first.
    waiting: [VecDeque<(usize, f64)>; POOLS],
    done: f64,
    moves: f64,
}

impl Fleet {
    fn new() -> Self {
        let waiting = std::array::from_fn(|_| VecDeque::new());
        Self { serving: [POOL_WORKERS; POOLS + 1], moving: Vec::new(), waiting, done: 0.0, moves: 0.0 }
    }

    fn arrive(&mut self, step: usize, demanded: &[f64; POOLS]) {
        for (queue, slots) in self.waiting.iter_mut().zip(demanded) {
            queue.push_back((step, *slots));
        }
        let arrived = self.moving.iter().filter(|(at, _)| *at <= step);
        for (_, pool) in arrived {
            self.serving[*pool] += 1;
        }
        self.moving.retain(|(at, _)| *at > step);
    }

    fn work(&mut self, step: usize) {
        for (pool, queue) in self.waiting.iter_mut().enumerate() {
            let mut left = f64::from(self.serving[pool] * WORKER_SLOTS);
            while let Some((at, slots)) = queue.front_mut() {
                let slots_done = if *at + DEADLINE_STEPS < step { 0.0 } else { slots.min(left) };
                self.done += slots_done;
                left -= slots_done;
                *slots -= slots_done;
                if *slots > 0.0 && *at + DEADLINE_STEPS >= step {
                    break;
                }
                queue.pop_front();
            }
        }
    }

    fn start(&mut self, step: usize, step_move: Move) {
        let (from, to) = (step_move.from.0 as usize, step_move.to.0 as usize);
        if self.serving[from] > 0 {
            self.serving[from] -= 1;
            self.moving.push((step + MOVE_STEPS, to));
            self.moves += 1.0;
        }
    }

    fn arriving(&self, pool: usize) -> u32 {
        self.moving.iter().filter(|(_, to)| *to == pool).count() as u32
    }

    fn loads(&self, demanded: &[f64; POOLS]) -> Vec<PoolLoad> {
        let load = |pool: usize| {
            let capacity = f64::from(self.serving[pool] * WORKER_SLOTS);
            let all: f64 = self.waiting.get(pool).map_or(0.0, |queue| queue.iter().map(|w| w.1).sum());
            // Work beyond the capacity of this step, converted to requests of the mean run time.
            let waiting = (all - capacity).max(0.0) * STEP_MS as f64 / RUN_MS;
            PoolLoad {
                pool: PoolId(pool as u32),
                spare: pool == SPARE,
                serving: self.serving[pool],
                arriving: self.arriving(pool),
                min_serving: if pool == SPARE { 0 } else { MIN_SERVING },
                slots: WORKER_SLOTS,
                running: all.min(capacity) as u32,
                waiting: waiting as u32,
                offered: demanded.get(pool).copied().unwrap_or(0.0),
                run_ms: RUN_MS,
                max_wait_ms: (DEADLINE_STEPS as u64 * STEP_MS) as f64,
            }
        };
        (0..=POOLS).map(load).collect()
    }

    /// Moves workers until the backlog of each pool is covered or no pool has idle workers.
    fn naive(&mut self, step: usize) {
        for to in 0..POOLS {
            loop {
                let backlog = |pool: usize| -> f64 {
                    self.waiting.get(pool).map_or(0.0, |queue| queue.iter().map(|w| w.1).sum())
                };
                let capacity = f64::from((self.serving[to] + self.arriving(to)) * WORKER_SLOTS);
                let idle = |pool: usize| f64::from(self.serving[pool] * WORKER_SLOTS) - backlog(pool);
                let donors = (0..=POOLS).filter(|&pool| pool != to && idle(pool) >= f64::from(WORKER_SLOTS));
                let donors = donors.filter(|&pool| pool == SPARE || self.serving[pool] > MIN_SERVING);
                let Some(from) = donors.max_by(|&a, &b| idle(a).total_cmp(&idle(b))) else { break };
                if backlog(to) <= capacity {
                    break;
                }
                self.start(step, Move { from: PoolId(from as u32), to: PoolId(to as u32) });
            }
        }
    }
}

/// Plans with knowledge of the demand: in two rounds, finds the best path through time and pools for one worker after
/// another, given the coverage by the others. A move must gain at least half of its duration.
fn offline(demand: &Demand) -> Vec<(usize, Move)> {
    let mut paths: Vec<Vec<usize>> = (0..(POOLS + 1) * POOL_WORKERS as usize)
        .map(|w| vec![w / POOL_WORKERS as usize; demand.len()])
        .collect();
    let mut coverage = vec![[0_u32; POOLS + 2]; demand.len()];
    for path in &paths {
        count(&mut coverage, path, 1);
    }
    for _ in 0..2 {
        for (worker, path) in paths.iter_mut().enumerate() {
            count(&mut coverage, path, -1);
            *path = best_path(demand, &coverage, worker / POOL_WORKERS as usize);
            count(&mut coverage, path, 1);
        }
    }
    let starts = (0..paths.len()).map(|worker| worker / POOL_WORKERS as usize);
    paths.iter().zip(starts).flat_map(|(path, start)| moves(path, start)).collect()
}

/// Index in a path for a worker that is moving.
const MOVING: usize = POOLS + 1;

fn count(coverage: &mut [[u32; POOLS + 2]], path: &[usize], change: i32) {
    for (row, &pool) in coverage.iter_mut().zip(path) {
        row[pool] = row[pool].saturating_add_signed(change);
    }
}

/// Utilisation of one more worker in a pool at a step, 0 to 1. Below the availability budget the gain is 10, so that
/// the budget is filled first.
fn gain(demand: &Demand, coverage: &[[u32; POOLS + 2]], step: usize, pool: usize) -> f64 {
    if pool == SPARE {
        return 0.0;
    }
    let others = coverage[step][pool];
    let free = (demand[step][pool] - f64::from(others * WORKER_SLOTS)) / f64::from(WORKER_SLOTS);
    if others < MIN_SERVING { 10.0 } else { free.clamp(0.0, 1.0) }
}

fn best_path(demand: &Demand, coverage: &[[u32; POOLS + 2]], start: usize) -> Vec<usize> {
    let steps = demand.len();
    let mut value = vec![[0.0; POOLS + 1]; steps + MOVE_STEPS + 1];
    let mut next = vec![[0; POOLS + 1]; steps];
    for step in (0..steps).rev() {
        for pool in 0..=POOLS {
            let stay = gain(demand, coverage, step, pool) + value[step + 1][pool];
            let go = |to: usize| value[step + MOVE_STEPS][to] - MOVE_STEPS as f64 / 2.0;
            let targets = (0..POOLS).filter(|&to| to != pool);
            let best = targets.max_by(|&a, &b| go(a).total_cmp(&go(b))).unwrap_or(pool);
            let goes = go(best) > stay;
            next[step][pool] = if goes { best } else { pool };
            value[step][pool] = if goes { go(best) } else { stay };
        }
    }
    let (mut path, mut pool) = (Vec::with_capacity(steps + MOVE_STEPS), start);
    while path.len() < steps {
        let to = next[path.len()][pool];
        let (place, length) = if to == pool { (pool, 1) } else { (MOVING, MOVE_STEPS) };
        path.extend(std::iter::repeat_n(place, length));
        pool = to;
    }
    path.truncate(steps);
    path
}

fn moves(path: &[usize], start: usize) -> Vec<(usize, Move)> {
    let mut moves = Vec::new();
    let mut from = start;
    for (step, &place) in path.iter().enumerate() {
        if place == MOVING {
            continue;
        }
        if place != from {
            let begin = step.saturating_sub(MOVE_STEPS);
            moves.push((begin, Move { from: PoolId(from as u32), to: PoolId(place as u32) }));
        }
        from = place;
    }
    moves
}

impl Figures {
    /// Adds a run to the mean over `runs` runs.
    pub fn add(&mut self, other: &Self, runs: f64) {
        self.done += other.done / runs;
        self.moves += other.moves / runs;
        self.buffer += other.buffer / runs;
    }
}
