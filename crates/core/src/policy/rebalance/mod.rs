//! Planning of worker moves between pools.
//!
//! A move costs the drain and the reboot of a worker. The planner learns how long demand surges last. Until it knows,
//! it expects a surge that has lasted about as long as a move takes to last as long again, so that a move pays off; for
//! a shorter one nothing is moved and the work waits. For each pool it keeps decayed means of how much of an additional
//! worker would be used and how much of the last worker is used.

use std::collections::BTreeMap;

use crate::engine::Millis;
use crate::ids::PoolId;

/// Minimum net gain of a move, as a fraction of a worker. A surge in an idle pool reaches it after 0.7 times the
/// duration of a move.
const MIN_GAIN: f64 = 0.5;

/// Minimum net gain for a pool whose surges are known to last at least three times as long as a move; reached after
/// 0.35 times the duration of a move.
const MIN_GAIN_LONG: f64 = 0.3;
/// Minimum net gain for a pool whose surges are known to end within 1.5 times the duration of a move; reached after 1.2
/// times that duration.
const MIN_GAIN_SHORT: f64 = 0.7;

/// Time constant of the mean loss, in durations of a move. It is longer than that of the mean gain, so that a pool
/// keeps workers that it needed recently; otherwise pools with alternating surges would give away workers that they
/// need for the next one.
const SOURCE_DECAY_MOVES: f64 = 3.0;

/// Fraction of the maximum wait that work may spend in the queue before a move is considered.
const TOLERATED_WAIT: f64 = 0.5;

/// Assumed duration of a move until one was measured, in milliseconds.
const INITIAL_MOVE_MS: f64 = 10_000.0;

/// Weight of a new value in the mean durations of moves and surges.
const LEARN_WEIGHT: f64 = 0.2;

/// Load of a pool over the fleet, at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Pool that the figures are of.
    pub pool: PoolId,
    /// True if the pool only holds workers for other pools.
    pub spare: bool,
    /// Serving workers in zones that are in service.
    pub serving: u32,
    /// Workers that are moving to the pool.
    pub arriving: u32,
    /// Minimum number of serving workers.
    pub min_serving: u32,
    /// Slots of one worker.
    pub slots: u32,
    /// Slots in use.
    pub running: u32,
    /// Slots needed by waiting work that is within its team's limit.
    pub waiting: u32,
    /// Offered load, in slots: arrival rate over the last seconds times the run time.
    pub offered: f64,
    /// Mean run time, in milliseconds.
    pub run_ms: f64,
    /// Time for which work of the pool can wait, in milliseconds; for instance the default deadline.
    pub max_wait_ms: f64,
}

/// Move of one worker to another pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Pool that loses a worker.
    pub from: PoolId,
    /// Pool that receives the worker.
    pub to: PoolId,
}

/// Candidate for a move, with the figures that [`choose_worker`] compares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Slots in use on the worker.
    pub running: u32,
    /// Serving workers of the source pool in the worker's zone.
    pub source_in_zone: u32,
    /// Serving workers of the target pool in the worker's zone.
    pub target_in_zone: u32,
}

/// Decayed means and surges of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolTrend {
    /// Use that one more worker would have, as a fraction of it.
    gain: f64,
    /// Use of the last worker, as a fraction of it.
    loss: f64,
    /// Start of the current surge, and the capacity at that time in slots.
    surge: Option<(Millis, f64)>,
    /// Mean duration of surges, in milliseconds.
    surge_ms: Option<f64>,
}

/// Statistics of a planner since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlannerStats {
    /// Number of planned moves.
    pub moves: u64,
    /// Unused capacity of all pools, in slot-seconds.
    pub idle_capacity: f64,
}

/// Decides when a worker moves from one pool to another.
#[derive(Clone, Debug)]
pub struct Planner {
    pools: BTreeMap<PoolId, PoolTrend>,
    at: Option<Millis>,
    move_ms: f64,
    stats: PlannerStats,
}

impl Default for Planner {
    fn default() -> Self {
        Self { pools: BTreeMap::new(), at: None, move_ms: INITIAL_MOVE_MS, stats: PlannerStats::default() }
    }
}

impl Planner {
    /// Records how long a move took, from its start to the first work on the worker, in milliseconds.
    pub fn learn(&mut self, ms: f64) {
        self.move_ms += LEARN_WEIGHT * (ms - self.move_ms);
    }

    /// Statistics since the creation of the planner.
    #[must_use]
    pub const fn stats(&self) -> PlannerStats {
        self.stats
    }

    /// Records the loads and returns the move with the highest net gain, if any is worth its cost. To be called on
    /// each tick with the loads of all pools. After a planned move, the next loads should have one worker less in
    /// `serving` of the source and one more in `arriving` of the target.
    pub fn plan(&mut self, now: Millis, loads: &[PoolLoad]) -> Option<Move> {
        self.observe(now, loads);
        let to = self.target(loads)?;
        let from = self.source(loads, to.pool)?;
        let net_gain = self.trend(to.pool).gain - self.trend(from.pool).loss;
        if net_gain < self.trend(to.pool).min_gain(self.move_ms) {
            return None;
        }
        self.stats.moves += 1;
        Some(Move { from: from.pool, to: to.pool })
    }

    fn observe(&mut self, now: Millis, loads: &[PoolLoad]) {
        let elapsed = float(self.at.map_or(0, |at| now.since(at)));
        self.at = Some(now);
        let keep = (-elapsed / self.move_ms.max(1.0)).exp();
        let keep_loss = (-elapsed / (SOURCE_DECAY_MOVES * self.move_ms).max(1.0)).exp();
        self.pools.retain(|pool, _| loads.iter().any(|load| load.pool == *pool));
        for load in loads {
            let trend = self.pools.entry(load.pool).or_default();
            trend.track_surge(now, load);
            trend.gain = trend.gain * keep + load.gain() * (1.0 - keep);
            trend.loss = trend.loss * keep_loss + load.loss() * (1.0 - keep_loss);
            let idle = load.serving.saturating_mul(load.slots).saturating_sub(load.running);
            self.stats.idle_capacity += f64::from(idle) * elapsed / 1_000.0;
        }
    }

    /// Pool with late work that would use an additional worker most.
    fn target<'a>(&self, loads: &'a [PoolLoad]) -> Option<&'a PoolLoad> {
        let candidates = loads.iter().filter(|load| !load.spare && load.gain() > 0.0 && load.has_late_work());
        candidates.max_by(|a, b| self.trend(a.pool).gain.total_cmp(&self.trend(b.pool).gain))
    }

    /// Pool that uses its last worker least, spare pools first. A pool at its minimum of serving workers is left out.
    fn source<'a>(&self, loads: &'a [PoolLoad], to: PoolId) -> Option<&'a PoolLoad> {
        let able = loads.iter().filter(|load| load.pool != to && load.serving > load.min_serving);
        able.min_by(|a, b| {
            let order = self.trend(a.pool).loss.total_cmp(&self.trend(b.pool).loss);
            b.spare.cmp(&a.spare).then(order)
        })
    }

    fn trend(&self, pool: PoolId) -> PoolTrend {
        self.pools.get(&pool).copied().unwrap_or_default()
    }
}

impl PoolTrend {
    /// Measures surges: from the time when the offered load exceeds the capacity until it falls to that capacity again.
    fn track_surge(&mut self, now: Millis, load: &PoolLoad) {
        match self.surge {
            None if load.gain() > 0.0 => self.surge = Some((now, load.capacity())),
            Some((begin, capacity)) if load.offered <= capacity => {
                let ms = float(now.since(begin));
                self.surge_ms = Some(self.surge_ms.map_or(ms, |mean| mean + LEARN_WEIGHT * (ms - mean)));
                self.surge = None;
            }
            _ => {}
        }
    }

    fn min_gain(&self, move_ms: f64) -> f64 {
        match self.surge_ms {
            Some(ms) if ms >= 3.0 * move_ms => MIN_GAIN_LONG,
            Some(ms) if ms <= 1.5 * move_ms => MIN_GAIN_SHORT,
            _ => MIN_GAIN,
        }
    }
}

impl PoolLoad {
    /// Slots of the serving and arriving workers.
    fn capacity(&self) -> f64 {
        (f64::from(self.serving) + f64::from(self.arriving)) * f64::from(self.slots)
    }

    /// True if the queue is so long that its work will wait longer than tolerated.
    fn has_late_work(&self) -> bool {
        let capacity = f64::from(self.serving) * f64::from(self.slots);
        f64::from(self.waiting) * self.run_ms > TOLERATED_WAIT * self.max_wait_ms * capacity
    }

    /// Use that one more worker would have now, as a fraction of it. The backlog is not counted: its size depends on
    /// how long the surge has lasted, not on how many workers it needs.
    fn gain(&self) -> f64 {
        self.workers(self.offered - self.capacity())
    }

    /// Use of the last worker now, as a fraction of it.
    fn loss(&self) -> f64 {
        let others = (f64::from(self.serving) - 1.0) * f64::from(self.slots);
        self.workers(self.offered.max(f64::from(self.running)) - others)
    }

    /// Slots as a fraction of one worker, from 0 to 1.
    fn workers(&self, slots: f64) -> f64 {
        (slots / f64::from(self.slots.max(1))).clamp(0.0, 1.0)
    }
}

/// Index of the worker to move, or `None` if there are no candidates. The worker is taken from the zone in which the
/// source has most workers compared with the target, and within it the one with the least running work, which drains
/// first.
#[must_use]
pub fn choose_worker(workers: &[WorkerLoad]) -> Option<usize> {
    let key = |worker: &WorkerLoad| {
        let balance = i64::from(worker.target_in_zone) - i64::from(worker.source_in_zone);
        (balance, worker.running)
    };
    workers.iter().enumerate().min_by_key(|(_, worker)| key(worker)).map(|(index, _)| index)
}

#[expect(clippy::cast_precision_loss, reason = "elapsed milliseconds are far below 2^52")]
fn float(value: u64) -> f64 {
    value as f64
}
