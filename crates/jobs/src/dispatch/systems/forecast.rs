//! Optimistic forecast of the time at which a new job can be done, by which an entitled one is declined.
//!
//! The entitled work that is due before the job goes before it, late work included: it was accepted and has to be done. If only work
//! counted that can still be on time, the queue would stay as long as the time to spare, and each job would become late shortly
//! before its turn. The pool has every machine that the fleet could give it, once it has arrived, and a team its share of the pool and
//! all that its upper limit allows. A job that misses its objective even so has no prospect.

use std::collections::BTreeMap;

use slotmap::SecondaryMap;

use super::super::names::{PoolKey, TeamKey};
use super::durations::JobTimes;
use crate::spec::{Resources, Step, Submission};

/// Length of a class of objectives, in milliseconds.
const CLASS_MS: u64 = 100;
/// Number of classes. Objectives of jobs that end by themselves are some seconds ahead; later ones share the last class.
const CLASSES: usize = 96;
/// Time until a machine on its way to a pool takes tasks, in milliseconds.
const LEAD_MS: u64 = 2_000;

/// Work of tasks that are ready, in thousandths of a core and in MB, each times milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(in super::super) struct Work {
    /// Processor.
    pub(super) cpu: u64,
    /// Memory.
    pub(super) memory: u64,
}

impl Work {
    pub(super) const fn plus(self, other: Self) -> Self {
        Self { cpu: self.cpu.saturating_add(other.cpu), memory: self.memory.saturating_add(other.memory) }
    }

    /// Work of some tasks of a step.
    pub(super) fn of(step: &Step, tasks: u64, mean_ms: u64) -> Self {
        let amount = |need: u64| tasks.saturating_mul(need).saturating_mul(mean_ms);
        Self { cpu: amount(step.reserved().cpu), memory: amount(step.need.memory) }
    }

    /// Work of the first steps of a job.
    pub(in super::super) fn of_job(submission: &Submission, times: JobTimes<'_>) -> Self {
        let steps = submission.steps.iter().filter(|step| !step.long_running && step.after.is_empty());
        let work = steps.map(|step| Self::of(step, u64::from(step.count), times.of_step(step).mean_ms));
        work.fold(Self::default(), Self::plus)
    }
}

/// Waiting work by class of the objective.
#[derive(Clone, Debug)]
struct Classes(Vec<Work>);

impl Default for Classes {
    fn default() -> Self {
        Self(vec![Work::default(); CLASSES])
    }
}

impl Classes {
    fn add(&mut self, class: usize, work: Work) {
        self.0[class] = self.0[class].plus(work);
    }

    /// Sum of the classes before one.
    fn before(&self, class: usize) -> Work {
        self.0[..class].iter().copied().fold(Work::default(), Work::plus)
    }
}

/// Waiting work of a team in one pool.
#[derive(Clone, Debug, Default)]
struct TeamInPool {
    /// Its share when all is full, relative to the others.
    weight: u64,
    by_priority: BTreeMap<u32, Classes>,
}

impl TeamInPool {
    /// Work that goes before a job of a priority and a class.
    fn before(&self, priority: u32, class: usize) -> Work {
        let ahead = self.by_priority.range(..=priority);
        let ahead =
            ahead.map(|(other, classes)| classes.before(if *other < priority { CLASSES } else { class }));
        ahead.fold(Work::default(), Work::plus)
    }
}

/// Processor of a pool, in thousandths of a core.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Supply {
    /// What its workers have.
    pub(super) present: u64,
    /// What machines on their way and those that the fleet could give it add.
    pub(super) coming: u64,
}

impl Supply {
    /// Time in which some work is done, in milliseconds. None if there is no processor.
    fn time(self, work: u64) -> Option<u64> {
        let first = self.present.saturating_mul(LEAD_MS);
        if work <= first {
            return work.checked_div(self.present).or(Some(0));
        }
        let rest = (work - first).checked_div(self.present.saturating_add(self.coming))?;
        Some(rest.saturating_add(LEAD_MS))
    }

    /// The part that a team gets by its share.
    fn part(self, weight: u64, weights: u64) -> Self {
        let part = |cpu: u64| cpu.saturating_mul(weight) / weights.max(1);
        Self { present: part(self.present), coming: part(self.coming) }
    }
}

/// Waiting entitled work of one pool.
#[derive(Clone, Debug, Default)]
struct PoolWork {
    /// By team; jobs without one count as a team.
    teams: BTreeMap<Option<TeamKey>, TeamInPool>,
    supply: Supply,
}

/// Waiting work of a team whose tasks wait for its upper limit.
#[derive(Clone, Debug, Default)]
struct TeamWork {
    classes: Classes,
    /// Upper limit; an amount of 0 means that there is none.
    limit: Resources,
}

/// Job whose end is to be forecast.
#[derive(Clone, Copy, Debug)]
pub(in super::super) struct Candidate {
    /// Its team.
    pub(in super::super) team: Option<TeamKey>,
    /// Weight of the team.
    pub(in super::super) weight: u64,
    /// Priority of its queue; 0 goes first.
    pub(in super::super) priority: u32,
    /// Time by which it should complete.
    pub(in super::super) objective: u64,
    /// Its work.
    pub(in super::super) work: Work,
    /// Length of its longest chain, in milliseconds.
    pub(in super::super) chain_ms: u64,
}

/// Waiting entitled work of all pools, and of the teams at their upper limits.
#[derive(Clone, Debug, Default)]
pub(super) struct Forecast {
    /// Time from which the classes count.
    at: u64,
    pools: SecondaryMap<PoolKey, PoolWork>,
    teams: SecondaryMap<TeamKey, TeamWork>,
}

impl Forecast {
    /// Creates a forecast without any work.
    pub(super) fn new(at: u64) -> Self {
        Self { at, ..Self::default() }
    }

    fn class(&self, objective: u64) -> usize {
        let class = objective.saturating_sub(self.at) / CLASS_MS;
        usize::try_from(class).map_or(CLASSES - 1, |class| class.min(CLASSES - 1))
    }

    /// Sets the processor of a pool.
    pub(super) fn set_supply(&mut self, pool: PoolKey, supply: Supply) {
        if let Some(entry) = self.pools.entry(pool) {
            entry.or_default().supply = supply;
        }
    }

    /// Adds a team whose tasks wait for its upper limit.
    pub(super) fn bind_team(&mut self, team: TeamKey, limit: Resources) {
        self.teams.insert(team, TeamWork { limit, ..TeamWork::default() });
    }

    /// Adds waiting work of a job, which is due by its objective.
    pub(super) fn add(&mut self, pool: PoolKey, job: Candidate) {
        let class = self.class(job.objective);
        if let Some(own) = job.team.and_then(|team| self.teams.get_mut(team)) {
            own.classes.add(class, job.work);
        }
        let Some(entry) = self.pools.entry(pool) else { return };
        let team = entry.or_default().teams.entry(job.team).or_default();
        team.weight = job.weight;
        team.by_priority.entry(job.priority).or_default().add(class, job.work);
    }

    /// Time that a job takes at least in its pool, in milliseconds. None if nothing is known of the pool.
    ///
    /// It waits for the work of all teams that goes before it, or for that of its own team if that is done sooner with the team's
    /// share of the pool.
    pub(super) fn pool_ms(&self, pool: PoolKey, job: Candidate) -> Option<u64> {
        let pool = self.pools.get(pool)?;
        // Work of the same class may go after the job, so it doesn't count.
        let class = self.class(job.objective);
        let ahead = |team: &TeamInPool| team.before(job.priority, class).cpu;
        let all = pool.teams.values().map(ahead).fold(0, u64::saturating_add);
        let own = pool.teams.get(&job.team).map_or(0, ahead);
        let others = pool.teams.iter().filter(|(team, _)| **team != job.team);
        let weights: u64 = others.map(|(_, team)| team.weight).sum();
        let share = pool.supply.part(job.weight, job.weight.saturating_add(weights));
        let wait = match (pool.supply.time(all), share.time(own)) {
            (Some(all), Some(own)) => all.min(own),
            (one, other) => one.or(other)?,
        };
        Some(wait.saturating_add(job.chain_ms))
    }

    /// Time that a job of a team takes at least within its upper limit, in milliseconds. None if the team is below it.
    pub(super) fn team_ms(&self, job: Candidate) -> Option<u64> {
        let own = self.teams.get(job.team?)?;
        let ahead = own.classes.before(self.class(job.objective));
        let cpu = ahead.cpu.checked_div(own.limit.cpu).unwrap_or(0);
        let memory = ahead.memory.checked_div(own.limit.memory).unwrap_or(0);
        Some(cpu.max(memory).saturating_add(job.chain_ms))
    }
}
