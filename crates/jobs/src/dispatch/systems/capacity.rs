//! Room of each pool, on which the decision on a submission is based.
//!
//! The figures are computed in the owner's tick. A decision only subtracts what the job claims, so several decisions between
//! two ticks see each other. Room is a sum over workers: that it may lie on several workers is not considered, so the
//! figures err towards admission.

use slotmap::SecondaryMap;

use super::super::Dispatcher;
use super::super::event::MachineState;
use super::super::names::{PoolKey, TeamKey};
use super::fleet::{Goal, MachineRow};
use super::forecast::{Candidate, Forecast, Supply};
use crate::spec::{Resources, Submission};

/// Interval between two computations, in milliseconds.
const REFRESH_MS: u64 = 100;
/// Part of the listed workers that must have answered before a new owner declines anything, in percent.
const ANSWERED_PERCENT: u64 = 90;
/// Time after which a new owner decides also if fewer have answered, in milliseconds. Workers that don't answer by then
/// are down.
const SETTLE_MS: u64 = 5_000;

/// Amounts that may be overdrawn.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Balance {
    /// Processor, in thousandths of a core.
    cpu: i64,
    /// Memory, in MB.
    memory: i64,
}

impl Balance {
    const fn plus(self, other: Self) -> Self {
        Self { cpu: self.cpu.saturating_add(other.cpu), memory: self.memory.saturating_add(other.memory) }
    }

    const fn minus(self, other: Self) -> Self {
        Self { cpu: self.cpu.saturating_sub(other.cpu), memory: self.memory.saturating_sub(other.memory) }
    }

    /// The part above zero.
    fn positive(self) -> Self {
        Self { cpu: self.cpu.max(0), memory: self.memory.max(0) }
    }

    const fn covers(self, other: Self) -> bool {
        self.cpu >= other.cpu && self.memory >= other.memory
    }

    /// A part of it, given as two numbers.
    fn scaled(self, part: u64, whole: u64) -> Self {
        let scale = |amount: i64| {
            let scaled = i128::from(amount) * i128::from(part) / i128::from(whole.max(1));
            i64::try_from(scaled).unwrap_or(i64::MAX)
        };
        Self { cpu: scale(self.cpu), memory: scale(self.memory) }
    }
}

impl From<Resources> for Balance {
    fn from(amount: Resources) -> Self {
        let signed = |amount| i64::try_from(amount).unwrap_or(i64::MAX);
        Self { cpu: signed(amount.cpu), memory: signed(amount.memory) }
    }
}

/// Room of one pool.
#[derive(Clone, Copy, Debug, Default)]
struct PoolRoom {
    /// What is free and on its way, less what waiting and admitted work claims.
    room: Balance,
    /// Machines of the pool that it doesn't need.
    unneeded: Balance,
    /// Largest worker.
    size: Resources,
    workers: u64,
    /// Workers without runs that take tasks.
    idle: u64,
    /// Machines on their way.
    coming: u64,
    /// Processor of the workers that take tasks, and the part that runs use, in thousandths of a core.
    total_cpu: u64,
    used_cpu: u64,
    /// Processor of the machines on their way, in thousandths of a core.
    coming_cpu: u64,
    /// Processor that waiting entitled tasks reserve, in thousandths of a core.
    entitled_cpu: u64,
}

/// Room of all pools.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct Capacity {
    refreshed: u64,
    /// True once enough workers have answered.
    known: bool,
    pools: SecondaryMap<PoolKey, PoolRoom>,
    /// Machines that are idle in standby pools.
    standby: Balance,
    forecast: Forecast,
}

impl Capacity {
    /// Adds the work of an admitted job to the forecast.
    pub(in super::super) fn expect_work(&mut self, pool: PoolKey, job: Candidate) {
        self.forecast.add(pool, job);
    }

    /// Time that a job takes at least in its pool, in milliseconds. None if the figures don't tell.
    pub(in super::super) fn pool_ms(&self, pool: PoolKey, job: Candidate) -> Option<u64> {
        if self.known { self.forecast.pool_ms(pool, job) } else { None }
    }

    /// Time that a job takes at least within the upper limit of its team, in milliseconds. None if that doesn't bind.
    pub(in super::super) fn team_ms(&self, job: Candidate) -> Option<u64> {
        if self.known { self.forecast.team_ms(job) } else { None }
    }

    /// What is left for one more job of a pool. None if the pool isn't known.
    fn left(&self, pool: PoolKey) -> Option<Balance> {
        let own = self.pools.get(pool)?;
        let mut spare = self.standby;
        for (key, other) in &self.pools {
            // What a pool claims beyond its own room is taken from the machines that are spare.
            spare = spare.plus(other.room).minus(other.room.positive());
            if key != pool {
                spare = spare.plus(other.unneeded);
            }
        }
        Some(own.room.positive().plus(spare.positive()))
    }

    /// Takes the room for a job.
    pub(in super::super) fn claim(&mut self, pool: PoolKey, claim: Resources) {
        if let Some(own) = self.pools.get_mut(pool) {
            own.room = own.room.minus(claim.into());
        }
    }

    /// True if there is room for a job after all that was claimed, or if the figures don't tell.
    pub(in super::super) fn has_room(&self, pool: PoolKey, claim: Resources) -> bool {
        !self.known || self.left(pool).is_none_or(|left| left.covers(claim.into()))
    }
}

/// Largest amount that a job reserves at once if all tasks of its steps of equal depth run at the same time.
pub(in super::super) fn peak(submission: &Submission) -> Resources {
    let mut depths: Vec<usize> = Vec::with_capacity(submission.steps.len());
    let mut levels: Vec<Resources> = Vec::new();
    for step in &submission.steps {
        let before = step.after.iter().filter_map(|&index| depths.get(usize::from(index)));
        let depth = before.max().map_or(0, |depth| depth + 1);
        depths.push(depth);
        if levels.len() <= depth {
            levels.resize(depth + 1, Resources::default());
        }
        let (count, need) = (u64::from(step.count), step.reserved());
        levels[depth].add(Resources {
            cpu: need.cpu.saturating_mul(count),
            memory: need.memory.saturating_mul(count),
            accelerators: 0,
        });
    }
    levels.into_iter().fold(Resources::default(), |peak, level| Resources {
        cpu: peak.cpu.max(level.cpu),
        memory: peak.memory.max(level.memory),
        accelerators: 0,
    })
}

impl Dispatcher {
    /// Computes the room of all pools, if that is due.
    pub(in super::super) fn refresh_capacity(&mut self, now: u64) {
        if self.options.quota_window_ms == 0 || now < self.capacity.refreshed + REFRESH_MS {
            return;
        }
        self.accounts.expire(now);
        let known = self.capacity.known;
        let forecast = Forecast::new(now);
        let mut capacity = Capacity { refreshed: now, known, forecast, ..Capacity::default() };
        let mut answered = 0;
        let mut listed = 0;
        for pool in self.catalog.pools.iter().filter(|pool| !pool.standby) {
            if let Some(key) = self.pools.key(&pool.name) {
                capacity.pools.insert(key, PoolRoom::default());
            }
        }
        let mut largest = Resources::default();
        for worker in self.workers.values().filter(|worker| worker.listed) {
            listed += 1;
            answered += u64::from(worker.usable());
            let size = worker.record.capacity;
            largest = larger(largest, size);
            let Some(pool) = capacity.pools.get_mut(worker.pool) else { continue };
            pool.workers += 1;
            pool.size = larger(pool.size, size);
            if worker.accepts_tasks(now) && !self.evacuated.contains(&worker.record.zone) {
                pool.room = pool.room.plus(worker.free_resources().into());
                pool.idle += u64::from(worker.runs.is_empty());
                pool.total_cpu += size.cpu;
                pool.used_cpu += worker.used.cpu;
            }
        }
        let settled = now >= self.begun + SETTLE_MS || answered * 100 >= listed * ANSWERED_PERCENT;
        capacity.known |= self.fleet.has_list() && listed > 0 && settled;
        let standby = self.count_spare(now, &mut capacity);
        capacity.standby = Balance::from(largest).scaled(standby, 1);
        for (key, pool) in &mut capacity.pools {
            let size = if pool.workers == 0 { largest } else { pool.size };
            pool.room = pool.room.plus(Balance::from(size).scaled(pool.coming, 1));
            pool.coming_cpu = size.cpu.saturating_mul(pool.coming);
            pool.total_cpu += pool.coming_cpu;
            let wanted = self.fleet.demand.get(self.pools.name(key)).map_or(0, |demand| demand.machines);
            let unneeded = (pool.workers + pool.coming).saturating_sub(wanted).min(pool.idle);
            pool.unneeded = Balance::from(size).scaled(unneeded, 1);
        }
        let bound = self.subtract_claims(now, &mut capacity);
        self.forecast_work(&mut capacity, &bound);
        self.capacity = capacity;
    }

    /// Counts the machines on their way to each pool. Returns the number of machines that are idle in standby or on their way
    /// there.
    fn count_spare(&self, now: u64, capacity: &mut Capacity) -> u64 {
        let mut standby = 0;
        let spare = |name: &str| self.catalog.pools.iter().any(|pool| pool.standby && pool.name == name);
        for row in self.fleet.rows.values() {
            if let Some(goal) = coming_to(row) {
                if spare(goal) {
                    standby += 1;
                } else if let Some(pool) = self.pools.key(goal).and_then(|key| capacity.pools.get_mut(key)) {
                    pool.coming += 1;
                }
            } else if row.is_available(now)
                && row.machine.worker.is_none()
                && !self.evacuated.contains(&row.machine.zone)
                && spare(&row.machine.pool)
            {
                standby += 1;
            }
        }
        standby
    }

    /// Subtracts what waiting tasks and admitted submissions claim. Tasks that wait for the upper limit of their team claim
    /// nothing. Returns the teams whose waiting work exceeds their limit.
    fn subtract_claims(&self, now: u64, capacity: &mut Capacity) -> Vec<TeamKey> {
        let mut bound = Vec::new();
        let mut limited: SecondaryMap<TeamKey, SecondaryMap<PoolKey, Resources>> = SecondaryMap::new();
        let limits = self.limited_teams();
        for track in self.tracks.values().filter(|track| track.backlog.ready > 0) {
            let backlog = &track.backlog;
            let claim = Resources { cpu: backlog.ready_cpu, memory: backlog.ready_memory, accelerators: 0 };
            match track.team.filter(|team| limits.contains_key(*team)) {
                Some(team) => {
                    let pools = limited.entry(team).map(|entry| entry.or_default());
                    if let Some(sum) = pools.and_then(|pools| pools.entry(track.pool)) {
                        sum.or_default().add(claim);
                    }
                }
                None => capacity.claim(track.pool, claim),
            }
        }
        for (team, pools) in &limited {
            let total = pools.values().fold(Resources::default(), |sum, claim| sum.plus(*claim));
            let rest = limits.get(team).copied().unwrap_or_default();
            let (part, whole) = fitting_part(total, rest);
            if part < whole {
                bound.push(team);
            }
            for (pool, claim) in pools {
                if let Some(room) = capacity.pools.get_mut(pool) {
                    room.room = room.room.minus(Balance::from(*claim).scaled(part, whole));
                }
            }
        }
        for admitted in self.accounts.awaited(now) {
            if let Some(pool) = admitted.pool {
                capacity.claim(pool, admitted.claim);
            }
        }
        bound
    }

    /// Adds the waiting entitled work, and the processor that each pool could have.
    fn forecast_work(&self, capacity: &mut Capacity, bound: &[TeamKey]) {
        for team in bound {
            let limit = self.team(self.teams.name(*team)).map(|team| team.limit).unwrap_or_default();
            capacity.forecast.bind_team(*team, limit);
        }
        for track in self.tracks.values().filter(|track| !track.surplus && track.backlog.waiting > 0) {
            let job = Candidate {
                team: track.team,
                weight: track.team.map_or(1, |team| self.weight(team)),
                priority: track.priority,
                objective: track.objective,
                work: track.backlog.work,
                chain_ms: track.backlog.chain.length,
            };
            capacity.forecast.add(track.pool, job);
            let limited = track.team.is_some_and(|team| bound.contains(&team));
            if let Some(pool) = capacity.pools.get_mut(track.pool).filter(|_| !limited) {
                pool.entitled_cpu = pool.entitled_cpu.saturating_add(track.backlog.ready_cpu);
            }
        }
        let rest =
            |pool: &PoolRoom| pool.total_cpu.saturating_sub(pool.used_cpu.saturating_add(pool.entitled_cpu));
        let standby = u64::try_from(capacity.standby.cpu).unwrap_or(0);
        let spare = capacity.pools.values().map(rest).fold(standby, u64::saturating_add);
        for (key, pool) in &capacity.pools {
            let present = pool.total_cpu.saturating_sub(pool.coming_cpu);
            let coming = pool.coming_cpu.saturating_add(spare.saturating_sub(rest(pool)));
            capacity.forecast.set_supply(key, Supply { present, coming });
        }
    }

    /// Weight of a team.
    fn weight(&self, team: TeamKey) -> u64 {
        self.team(self.teams.name(team)).map_or(1, |team| u64::from(team.weight.max(1)))
    }

    /// What each team with an upper limit may still use. An amount without a limit is the largest number.
    fn limited_teams(&self) -> SecondaryMap<TeamKey, Resources> {
        let mut limits = SecondaryMap::new();
        for (key, usage) in &self.team_usage {
            let Some(team) = self.team(self.teams.name(key)) else { continue };
            if team.limit == Resources::default() {
                continue;
            }
            let rest = |limit: u64, used: u64| if limit == 0 { u64::MAX } else { limit.saturating_sub(used) };
            let rest = Resources {
                cpu: rest(team.limit.cpu, usage.used.cpu),
                memory: rest(team.limit.memory, usage.used.memory),
                accelerators: rest(team.limit.accelerators, usage.used.accelerators),
            };
            limits.insert(key, rest);
        }
        limits
    }
}

/// Part of an amount that fits, as two numbers.
fn fitting_part(amount: Resources, rest: Resources) -> (u64, u64) {
    let cpu = (rest.cpu.min(amount.cpu), amount.cpu);
    let memory = (rest.memory.min(amount.memory), amount.memory);
    let smaller = u128::from(cpu.0) * u128::from(memory.1) <= u128::from(memory.0) * u128::from(cpu.1);
    match (cpu.1, memory.1) {
        (0, 0) => (1, 1),
        (_, 0) => cpu,
        (0, _) => memory,
        _ if smaller => cpu,
        _ => memory,
    }
}

/// The larger amount of each resource.
fn larger(one: Resources, other: Resources) -> Resources {
    Resources {
        cpu: one.cpu.max(other.cpu),
        memory: one.memory.max(other.memory),
        accelerators: one.accelerators.max(other.accelerators),
    }
}

/// Pool that a machine is on its way to.
fn coming_to(row: &MachineRow) -> Option<&str> {
    match row.order.as_ref().map(|order| &order.goal) {
        Some(Goal::Pool(pool)) => Some(pool),
        Some(Goal::Upkeep(_)) => None,
        None => (row.machine.state == MachineState::Moving).then_some(row.machine.pool.as_str()),
    }
}
