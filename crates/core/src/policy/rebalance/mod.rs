//! Moves of workers between pools.
//!
//! A move costs the drain and the reboot of a worker. How long a surge lasts is learned; until then, a surge that
//! has lasted about as long as a move takes is expected to last as long again, so that the move pays. A shorter one
//! moves nothing, and its work waits. The planner keeps decayed means, with the time of a move as time constant, of how much
//! each pool could use one more worker and how much it needs its last one.

use std::collections::BTreeMap;

use crate::engine::Millis;
use crate::ids::PoolId;

/// Least difference between what the receiver gains and the giver loses, as a part of a worker. A surge from rest
/// reaches it after 0.7 times the time of a move.
const MIN_GAIN: f64 = 0.5;

/// The same for a pool whose surges are known to last three times as long as a move and more, reached after 0.35 times
/// the time of a move; and for one whose surges end within 1.5 times that time, reached after 1.2 times.
const MIN_GAIN_LONG: f64 = 0.3;
const MIN_GAIN_SHORT: f64 = 0.7;

/// Time constant of what givers need, in times of a move. Longer than that of receivers: a pool that needed its workers
/// lately keeps them, or pools with surges in quick turns would give away what they need next.
const SOURCE_DECAY_MOVES: f64 = 3.0;

/// Part of the patience of work that may pass in the queue before a move is considered.
const TOLERATED_WAIT: f64 = 0.5;

/// Time of a move before one has been measured, in milliseconds.
const INITIAL_MOVE_MS: f64 = 10_000.0;

/// Weight of a new measurement in the learned times of moves and surges.
const LEARN_WEIGHT: f64 = 0.2;

/// Load of one pool at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// Pool.
    pub pool: PoolId,
    /// True if the pool only keeps workers for others.
    pub spare: bool,
    /// Workers that serve in zones that are in service.
    pub serving: u32,
    /// Workers on the way into the pool.
    pub arriving: u32,
    /// Availability budget, in workers.
    pub min_serving: u32,
    /// Slots of one worker.
    pub slots: u32,
    /// Running work over the fleet, in slots.
    pub running: u32,
    /// Waiting work over the fleet that no upper limit holds back, in slots.
    pub waiting: u32,
    /// Work that arrives over the fleet, in slots: arrivals for each millisecond of the last seconds, times the run time.
    pub offered: f64,
    /// Learned run time, in milliseconds.
    pub run_ms: f64,
    /// Time for which work of the pool can wait, in milliseconds; for instance the default deadline.
    pub max_wait_ms: f64,
}

/// Move of one worker to another pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Move {
    /// Pool that gives a worker.
    pub from: PoolId,
    /// Pool that gets it.
    pub to: PoolId,
}

/// Worker of the pool that gives one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WorkerLoad {
    /// Running work over the fleet, in slots.
    pub running: u32,
    /// Serving workers of the giving pool in the worker's zone.
    pub source_in_zone: u32,
    /// Workers of the receiving pool in the worker's zone.
    pub target_in_zone: u32,
}

/// Decayed means of one pool, as parts of a worker.
#[derive(Clone, Copy, Debug, Default)]
struct PoolTrend {
    /// Use that one more worker would have.
    gain: f64,
    /// Use that the last worker has.
    loss: f64,
    /// Begin of the present surge and the capacity then, in slots.
    surge: Option<(Millis, f64)>,
    /// Learned length of surges, in milliseconds.
    surge_ms: Option<f64>,
}

/// Counts of a planner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlannerStats {
    /// Moves planned.
    pub moves: u64,
    /// Idle capacity kept in all pools, in slot-seconds.
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
    /// Learns how long a move took from its start to the first work, in milliseconds.
    pub fn learn(&mut self, ms: f64) {
        self.move_ms += LEARN_WEIGHT * (ms - self.move_ms);
    }

    /// Counts so far.
    #[must_use]
    pub const fn stats(&self) -> PlannerStats {
        self.stats
    }

    /// Learns the loads and returns the move that pays most, if any pays. Call it on each tick with the loads of all
    /// pools. A planned move shows as one worker less in `serving` and one more in `arriving` of the next loads.
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

    /// Pool that is short now and could use one more worker most.
    fn target<'a>(&self, loads: &'a [PoolLoad]) -> Option<&'a PoolLoad> {
        let candidates = loads.iter().filter(|load| !load.spare && load.gain() > 0.0 && load.has_late_work());
        candidates.max_by(|a, b| self.trend(a.pool).gain.total_cmp(&self.trend(b.pool).gain))
    }

    /// Pool that needs its last worker least, spare pools first. Budgets hold after the move.
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
    /// Learns how long surges last: from the offered work exceeding the capacity until it falls below that capacity.
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
    /// Slots of the workers that serve or arrive.
    fn capacity(&self) -> f64 {
        (f64::from(self.serving) + f64::from(self.arriving)) * f64::from(self.slots)
    }

    /// True if work waits for so long that more capacity is needed.
    fn has_late_work(&self) -> bool {
        let capacity = f64::from(self.serving) * f64::from(self.slots);
        f64::from(self.waiting) * self.run_ms > TOLERATED_WAIT * self.max_wait_ms * capacity
    }

    /// Use that one more worker would have now, as a part of it. The backlog does not count: its size tells how long
    /// the surge has lasted, not how many workers it needs.
    fn gain(&self) -> f64 {
        self.workers(self.offered - self.capacity())
    }

    /// Use that the last worker has now, as a part of it.
    fn loss(&self) -> f64 {
        let others = (f64::from(self.serving) - 1.0) * f64::from(self.slots);
        self.workers(self.offered.max(f64::from(self.running)) - others)
    }

    /// Slots as a part of one worker.
    fn workers(&self, slots: f64) -> f64 {
        (slots / f64::from(self.slots.max(1))).clamp(0.0, 1.0)
    }
}

/// Index of the worker to move: from the zone where the giver has most and the receiver fewest workers, then the one
/// that drains soonest; `None` if there is none.
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
