//! Moves of workers between pools.
//!
//! A move costs the drain and the reboot of a worker, so it must pay over a longer time than one surge of some seconds
//! lasts. The planner keeps decayed means of how much each pool could use one more worker and how much it needs its
//! last one. A move is made when the difference, over the time that the decision is expected to hold, exceeds its cost.

use std::collections::BTreeMap;

use crate::engine::Millis;
use crate::ids::PoolId;

/// Time constant of the decayed means, in milliseconds. Several times a surge, so that one surge moves nothing, but
/// surges that come back do.
const TIME_CONSTANT_MS: f64 = 30_000.0;

/// Time over which a move is expected to pay, in milliseconds. Two time constants: beyond, the means say nothing.
const HORIZON_MS: f64 = 60_000.0;

/// Least difference between what the receiver gains and the donor loses, as a part of a worker. A surge from rest
/// needs about 9 s to reach it.
const LEAST_GAIN: f64 = 0.25;

/// Time of a move before one has been measured, in milliseconds.
const FIRST_MOVE_MS: f64 = 10_000.0;

/// Weight of a new measurement in the learned time of a move.
const LEARN: f64 = 0.2;

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
    /// Learned run time, in milliseconds.
    pub run_ms: f64,
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
    pub giver_in_zone: u32,
    /// Workers of the receiving pool in the worker's zone.
    pub receiver_in_zone: u32,
}

/// Decayed means of one pool, as parts of a worker.
#[derive(Clone, Copy, Debug, Default)]
struct Need {
    /// Use that one more worker would have.
    short: f64,
    /// Use that the last worker has.
    tight: f64,
}

/// Counts of a planner.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    /// Moves planned.
    pub moves: u64,
    /// Idle capacity kept in all pools, in slot-seconds.
    pub buffer: f64,
}

/// Decides when a worker moves from one pool to another.
#[derive(Clone, Debug)]
pub struct Planner {
    needs: BTreeMap<PoolId, Need>,
    at: Option<Millis>,
    move_ms: f64,
    tally: Tally,
}

impl Default for Planner {
    fn default() -> Self {
        Self { needs: BTreeMap::new(), at: None, move_ms: FIRST_MOVE_MS, tally: Tally::default() }
    }
}

impl Planner {
    /// Learns how long a move took from its start to the first work, in milliseconds.
    pub fn learn(&mut self, ms: f64) {
        self.move_ms += LEARN * (ms - self.move_ms);
    }

    /// Counts so far.
    #[must_use]
    pub const fn tally(&self) -> Tally {
        self.tally
    }

    /// Learns the loads and returns the move that pays most, if any pays. Call it on each tick with the loads of all
    /// pools. A planned move shows as one worker less in `serving` and one more in `arriving` of the next loads.
    pub fn plan(&mut self, now: Millis, loads: &[PoolLoad]) -> Option<Move> {
        self.observe(now, loads);
        let threshold = LEAST_GAIN.max(self.move_ms / HORIZON_MS);
        let to = self.receiver(loads)?;
        let from = self.giver(loads, to.pool)?;
        let gain = self.need(to.pool).short - self.need(from.pool).tight;
        if gain < threshold {
            return None;
        }
        self.tally.moves += 1;
        Some(Move { from: from.pool, to: to.pool })
    }

    fn observe(&mut self, now: Millis, loads: &[PoolLoad]) {
        let elapsed = float(self.at.map_or(0, |at| now.since(at)));
        self.at = Some(now);
        let keep = (-elapsed / TIME_CONSTANT_MS).exp();
        self.needs.retain(|pool, _| loads.iter().any(|load| load.pool == *pool));
        for load in loads {
            let need = self.needs.entry(load.pool).or_default();
            need.short = need.short * keep + load.short(self.move_ms) * (1.0 - keep);
            need.tight = need.tight * keep + load.tight(self.move_ms) * (1.0 - keep);
            let idle = load.serving.saturating_mul(load.slots).saturating_sub(load.running);
            self.tally.buffer += f64::from(idle) * elapsed / 1_000.0;
        }
    }

    /// Pool that is short now and could use one more worker most.
    fn receiver<'a>(&self, loads: &'a [PoolLoad]) -> Option<&'a PoolLoad> {
        let short = loads.iter().filter(|load| !load.spare && load.short(self.move_ms) > 0.0);
        short.max_by(|a, b| self.need(a.pool).short.total_cmp(&self.need(b.pool).short))
    }

    /// Pool that needs its last worker least, spare pools first. Budgets hold after the move.
    fn giver<'a>(&self, loads: &'a [PoolLoad], to: PoolId) -> Option<&'a PoolLoad> {
        let able = loads.iter().filter(|load| load.pool != to && load.serving > load.min_serving);
        able.min_by(|a, b| {
            let order = self.need(a.pool).tight.total_cmp(&self.need(b.pool).tight);
            b.spare.cmp(&a.spare).then(order)
        })
    }

    fn need(&self, pool: PoolId) -> Need {
        self.needs.get(&pool).copied().unwrap_or_default()
    }
}

impl PoolLoad {
    /// Slots that would clear the waiting work within the time of a move. A backlog that the pool clears sooner by
    /// itself is no reason to move.
    fn wanted(&self, move_ms: f64) -> f64 {
        f64::from(self.running) + f64::from(self.waiting) * self.run_ms / move_ms.max(1.0)
    }

    /// Use that one more worker would have now, as a part of it.
    fn short(&self, move_ms: f64) -> f64 {
        self.use_of(f64::from(self.serving) + f64::from(self.arriving), move_ms)
    }

    /// Use that the last worker has now, as a part of it.
    fn tight(&self, move_ms: f64) -> f64 {
        self.use_of(f64::from(self.serving) + f64::from(self.arriving) - 1.0, move_ms)
    }

    fn use_of(&self, workers_below: f64, move_ms: f64) -> f64 {
        let slots = f64::from(self.slots.max(1));
        ((self.wanted(move_ms) - workers_below * slots) / slots).clamp(0.0, 1.0)
    }
}

/// Index of the worker to move: from the zone where the giver has most and the receiver fewest workers, then the one
/// that drains soonest; `None` if there is none.
#[must_use]
pub fn choose(workers: &[WorkerLoad]) -> Option<usize> {
    let key = |worker: &WorkerLoad| {
        let balance = i64::from(worker.receiver_in_zone) - i64::from(worker.giver_in_zone);
        (balance, worker.running)
    };
    workers.iter().enumerate().min_by_key(|(_, worker)| key(worker)).map(|(index, _)| index)
}

#[expect(clippy::cast_precision_loss, reason = "elapsed milliseconds are far below 2^52")]
fn float(value: u64) -> f64 {
    value as f64
}
