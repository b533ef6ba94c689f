//! Use of the fleet by each team against its share, over the last seconds.
//!
//! The use of a team is its dominant resource of processor and memory. A share is the part of the whole use that a team is due
//! by its weight; what a team doesn't want is divided among the others. What a team used beyond its share is summed up with a
//! decay, and added to its present excess: the sum alone reacts too late, and the present use alone is off by the tasks of one
//! pass.
//!
//! A new owner knows the present use from the stored placements. The sums start at zero.

use std::fmt;

use slotmap::SecondaryMap;

use super::super::names::{PoolKey, TeamKey};
use super::super::{Dispatcher, TeamUsage};
use crate::spec::Resources;

/// Time over which the excess is summed up, in milliseconds.
const WINDOW_MS: i64 = 10_000;
/// Time in which a sum is to be evened out, in milliseconds. Longer than most tasks, so that teams don't take turns.
const CORRECTION_MS: i64 = 3_000;
/// Largest sum, in millionths of the fleet times milliseconds: half a second of the fleet. A team that can't use its share for
/// another reason would else take the whole fleet for seconds once it can.
const MAX_EXCESS: i64 = 500_000_000;
/// The whole fleet, in the unit of use.
const WHOLE: u64 = 1_000_000;

/// Use of one team, in millionths of the fleet.
#[derive(Clone, Copy, Debug, Default)]
struct TeamShare {
    /// What its waiting tasks would use.
    wanted: u64,
    /// What it used beyond its share, in millionths of the fleet times milliseconds.
    excess: i64,
    /// Use from which its jobs go after those of other teams.
    target: u64,
}

/// Use of all teams.
#[derive(Clone, Default)]
pub(in super::super) struct Usage {
    teams: SecondaryMap<TeamKey, TeamShare>,
    /// Capacity of the listed workers.
    capacity: Resources,
    updated: u64,
    /// What waiting tasks could use at once, in millionths of the fleet.
    room: u64,
}

/// Shows nothing, because the model checker compares states by what they show. The figures change at each moment and affect
/// only the order of jobs.
impl fmt::Debug for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Usage").finish_non_exhaustive()
    }
}

impl Usage {
    /// Dominant part of an amount, in millionths of the fleet.
    fn dominant(&self, amount: Resources) -> u64 {
        let of = |amount, whole: u64| part(amount, whole.max(1));
        of(amount.cpu, self.capacity.cpu).max(of(amount.memory, self.capacity.memory)).min(WHOLE)
    }

    /// Dominant part of what waiting tasks could use of free resources, in millionths of the fleet. The scarcer resource limits
    /// both.
    fn usable(&self, ready: Resources, free: Resources) -> u64 {
        let fitting = part(free.cpu, ready.cpu).min(part(free.memory, ready.memory)).min(WHOLE);
        let scaled = |amount: u64| amount.saturating_mul(fitting) / WHOLE;
        let usable = Resources { cpu: scaled(ready.cpu), memory: scaled(ready.memory), accelerators: 0 };
        self.dominant(usable)
    }
}

/// Part that an amount is of another one, in millionths. Beyond all bounds if that is zero.
fn part(amount: u64, whole: u64) -> u64 {
    amount.saturating_mul(WHOLE).checked_div(whole).unwrap_or(u64::MAX)
}

/// Claim of one team to a share.
#[derive(Clone, Copy, Debug)]
struct Claim {
    team: TeamKey,
    weight: u64,
    used: u64,
    /// What it uses and wants.
    demand: u64,
    share: u64,
}

/// Divides an amount by weight; what a team doesn't want goes to the others.
fn divide(claims: &mut [Claim], mut rest: u64) {
    claims.sort_unstable_by_key(|claim| claim.demand * WHOLE / claim.weight.max(1));
    let mut weights: u64 = claims.iter().map(|claim| claim.weight).sum();
    for claim in claims {
        let fair = u128::from(rest) * u128::from(claim.weight) / u128::from(weights.max(1));
        claim.share = u64::try_from(fair).unwrap_or(u64::MAX).min(claim.demand);
        rest -= claim.share.min(rest);
        weights -= claim.weight;
    }
}

impl Dispatcher {
    /// Claims of the active teams, and what they use together.
    fn claims(&self) -> (Vec<Claim>, u64) {
        let active = self.team_usage.iter().filter(|(_, usage)| usage.jobs > 0);
        let claim = |(team, usage): (TeamKey, &TeamUsage)| {
            let used = self.usage.dominant(usage.used);
            let wanted = self.usage.teams.get(team).map_or(0, |share| share.wanted);
            let weight = self.team(self.teams.name(team)).map_or(1, |team| u64::from(team.weight.max(1)));
            Claim { team, weight, used, demand: used.saturating_add(wanted), share: 0 }
        };
        let claims: Vec<Claim> = active.map(claim).collect();
        let used = claims.iter().map(|claim| claim.used).fold(0, u64::saturating_add);
        (claims, used)
    }

    /// Sums up what the teams use beyond their shares.
    pub(in super::super) fn update_usage(&mut self, now: u64) {
        let (mut claims, used) = self.claims();
        divide(&mut claims, used);
        let elapsed = i64::try_from(now.saturating_sub(self.usage.updated)).unwrap_or(0).min(WINDOW_MS);
        self.usage.updated = now;
        for share in self.usage.teams.values_mut() {
            share.excess -= share.excess * elapsed / WINDOW_MS;
        }
        for claim in claims {
            let Some(entry) = self.usage.teams.entry(claim.team) else { continue };
            let share = entry.or_default();
            let excess = claim.used.cast_signed() - claim.share.cast_signed();
            share.excess = (share.excess + excess * elapsed).clamp(-MAX_EXCESS, MAX_EXCESS);
        }
    }

    /// Sets the use up to which each team is served first in a pass: its share of what can be used, less what it used beyond
    /// its share before.
    pub(super) fn set_targets(&mut self) {
        self.refresh_wanted();
        let (mut claims, used) = self.claims();
        divide(&mut claims, used.saturating_add(self.usage.room));
        for claim in claims {
            let Some(entry) = self.usage.teams.entry(claim.team) else { continue };
            let share = entry.or_default();
            let target = claim.share.cast_signed() - share.excess / CORRECTION_MS;
            share.target = u64::try_from(target).unwrap_or(0);
        }
    }

    /// True if a team uses its share or more, so that its jobs go after those of other teams.
    pub(super) fn is_over_share(&self, team: TeamKey) -> bool {
        let used = self.team_usage.get(team).map_or(0, |usage| self.usage.dominant(usage.used));
        self.usage.teams.get(team).is_some_and(|share| used >= share.target)
    }

    /// Computes what the waiting tasks of each team want, how much of it could be used at once, and the capacity of the fleet.
    fn refresh_wanted(&mut self) {
        let mut wanted: SecondaryMap<TeamKey, Resources> = SecondaryMap::new();
        let mut ready: SecondaryMap<PoolKey, Resources> = SecondaryMap::new();
        for track in self.tracks.values().filter(|track| track.backlog.ready > 0) {
            let backlog = &track.backlog;
            let amount = Resources { cpu: backlog.ready_cpu, memory: backlog.ready_memory, accelerators: 0 };
            if let Some(entry) = ready.entry(track.pool) {
                entry.or_default().add(amount);
            }
            if let Some(entry) = track.team.and_then(|team| wanted.entry(team)) {
                entry.or_default().add(amount);
            }
        }
        let mut free: SecondaryMap<PoolKey, Resources> = SecondaryMap::new();
        let mut capacity = Resources::default();
        for worker in self.workers.values().filter(|worker| worker.listed) {
            capacity.add(worker.record.capacity);
            if let Some(entry) = free.entry(worker.pool) {
                entry.or_default().add(worker.free_resources());
            }
        }
        self.usage.capacity = capacity;
        self.usage.room = 0;
        for (pool, amount) in ready {
            let free = free.get(pool).copied().unwrap_or_default();
            let room = self.usage.usable(amount, free);
            self.usage.room = self.usage.room.saturating_add(room);
        }
        let active = &self.team_usage;
        self.usage.teams.retain(|team, share| {
            share.wanted = 0;
            active.get(team).is_some_and(|usage| usage.jobs > 0)
        });
        for (team, amount) in wanted {
            let wanted = self.usage.dominant(amount);
            if let Some(entry) = self.usage.teams.entry(team) {
                entry.or_default().wanted = wanted;
            }
        }
    }
}
