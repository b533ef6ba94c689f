//! Fleet-wide use and entitlement of each team in each pool.

use std::collections::{BTreeMap, BTreeSet};

use super::Millis;
use super::event::Load;
use crate::ids::{MemberId, PoolId, TeamId};
use crate::share::{Candidate, Demand, Usage, entitlement, member_quota, quotas};

/// Time constant of the decayed mean of the offered load, in milliseconds.
const OFFERED_DECAY_MS: f64 = 1_000.0;

/// Load of a team in a pool, at one member or summed over members.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct LoadSum {
    pub(super) running: u32,
    pub(super) waiting: u32,
    /// Offered load, in slots.
    pub(super) offered: f64,
}

impl From<&Load> for LoadSum {
    fn from(load: &Load) -> Self {
        Self { running: load.running, waiting: load.waiting, offered: load.offered }
    }
}

/// Use and entitlement of one team in one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct Row {
    /// Running work at this member.
    pub(super) running: u32,
    /// Running work at peers with a recent digest.
    peer_running: u32,
    /// Waiting work at all members.
    waiting: u32,
    /// Offered load at all members, in slots.
    fleet_offered: f64,
    /// Offered load at this member, in slots.
    pub(super) offered: f64,
    /// Sum of the expected run times of the arrivals since the last update, in milliseconds.
    arrived_ms: f64,
    updated: Millis,
    /// Current entitlement, in slots.
    owed_now: f64,
    /// Slots that the team can use: its demand, at most its limit.
    usable: u32,
    /// Decayed use.
    used: Usage,
    /// Decayed entitlement.
    owed: Usage,
    /// Slots that the team may use at this member; `None` if the pool is not contended.
    quota: Option<u32>,
}

/// Shares of the teams that have or had work in a pool. A pair of pool and team without a row uses nothing and is owed
/// nothing, so the cost of a tick grows with the pairs that have work and not with pools times teams.
#[derive(Debug, Default)]
pub(super) struct Shares {
    pub(super) rows: BTreeMap<(PoolId, TeamId), Row>,
    /// Pools whose teams can use more slots than there are.
    contended: BTreeSet<PoolId>,
    /// Time of the last update of all pools.
    updated: Millis,
}

/// Load of one team in one pool, by member.
pub(super) struct TeamLoad {
    pub(super) team: TeamId,
    pub(super) share: u32,
    pub(super) limit: u32,
    /// Sorted by member id, so that all members use the same order.
    pub(super) members: Vec<(MemberId, LoadSum)>,
    /// Load of this member as of its last digest. Members split a quota by the figures that all of them know, so that
    /// the results add up to the quota.
    pub(super) sent: LoadSum,
}

impl TeamLoad {
    fn total(&self) -> LoadSum {
        let add = |a: LoadSum, (_, b): &(MemberId, LoadSum)| LoadSum {
            running: a.running + b.running,
            waiting: a.waiting + b.waiting,
            offered: a.offered + b.offered,
        };
        self.members.iter().fold(LoadSum::default(), add)
    }

    fn position(&self, member: MemberId) -> Result<usize, usize> {
        self.members.binary_search_by_key(&member, |(id, _)| *id)
    }

    fn running_at(&self, member: MemberId) -> u32 {
        self.position(member).map_or(0, |index| self.members[index].1.running)
    }

    /// This member's share of a team's quota.
    fn own_quota(&self, me: MemberId, quota: u32) -> u32 {
        let sent = self.sent.running + self.sent.waiting > 0;
        let known = |(id, sum): &(MemberId, LoadSum)| if *id == me && sent { self.sent } else { *sum };
        let own: Vec<u32> = self.members.iter().map(known).map(|sum| sum.running + sum.waiting).collect();
        let index = self.position(me).ok();
        index.map_or(0, |index| member_quota(quota, &own, index))
    }

    fn demand(&self) -> Demand {
        let total = self.total();
        Demand { share: self.share, demand: total.running + total.waiting, limit: self.limit }
    }
}

impl Shares {
    pub(super) fn row(&mut self, pool: PoolId, team: TeamId) -> &mut Row {
        let quota = self.new_team_quota(pool);
        let updated = self.updated;
        self.rows.entry((pool, team)).or_insert_with(|| Row::new(updated, quota))
    }

    /// Quota of a team without a row: 0 in a contended pool, until the next update takes its work into account.
    fn new_team_quota(&self, pool: PoolId) -> Option<u32> {
        self.contended.contains(&pool).then_some(0)
    }

    /// Teams that have or had work in a pool.
    pub(super) fn teams(&self, pool: PoolId) -> impl Iterator<Item = TeamId> + '_ {
        self.rows.range((pool, TeamId(0))..=(pool, TeamId(u32::MAX))).map(|((_, team), _)| *team)
    }

    /// Marks the update of all pools as done.
    pub(super) fn end_update(&mut self, now: Millis) {
        self.updated = now;
    }

    /// Accounts for the use since the last call, and computes entitlements and this member's quotas for one pool.
    pub(super) fn update(
        &mut self,
        now: Millis,
        me: MemberId,
        pool: PoolId,
        capacity: u32,
        teams: &[TeamLoad],
    ) {
        let demands: Vec<Demand> = teams.iter().map(TeamLoad::demand).collect();
        let owed = entitlement(capacity, &demands);
        for ((load, demand), owed_now) in teams.iter().zip(&demands).zip(owed) {
            self.row(pool, load.team).account(now, me, load, demand.usable(), owed_now);
        }
        let usable: u64 = demands.iter().map(|d| u64::from(d.usable())).sum();
        let contended = usable > u64::from(capacity);
        if contended {
            self.contended.insert(pool);
        } else {
            self.contended.remove(&pool);
        }
        let candidates: Vec<Candidate> = teams.iter().map(|load| self.candidate(pool, load.team)).collect();
        let quotas = quotas(capacity + unused(capacity, &candidates), &candidates);
        for (load, quota) in teams.iter().zip(quotas) {
            self.row(pool, load.team).quota = contended.then(|| load.own_quota(me, quota));
        }
    }

    /// True if one more start of the team at this member stays within its quota.
    pub(super) fn allows(&self, pool: PoolId, team: TeamId) -> bool {
        self.own_quota(pool, team).is_none_or(|quota| self.own_running(pool, team) < quota)
    }

    /// Slots that a team may use at this member; `None` if the pool is not contended.
    pub(super) fn own_quota(&self, pool: PoolId, team: TeamId) -> Option<u32> {
        self.rows.get(&(pool, team)).map_or_else(|| self.new_team_quota(pool), |row| row.quota)
    }

    /// Running work of a team in a pool at this member.
    pub(super) fn own_running(&self, pool: PoolId, team: TeamId) -> u32 {
        self.rows.get(&(pool, team)).map_or(0, |row| row.running)
    }

    /// Load of a team in a pool over the fleet.
    pub(super) fn total(&self, pool: PoolId, team: TeamId) -> LoadSum {
        let row = self.rows.get(&(pool, team));
        row.map_or_else(LoadSum::default, |row| LoadSum {
            running: row.running + row.peer_running,
            waiting: row.waiting,
            offered: row.fleet_offered,
        })
    }

    /// Running work of each team over all pools and the fleet.
    pub(super) fn running_by_team(&self) -> BTreeMap<TeamId, u32> {
        let mut running = BTreeMap::new();
        for ((_, team), row) in &self.rows {
            *running.entry(*team).or_default() += row.running + row.peer_running;
        }
        running
    }

    /// Figures of a team in a pool for [`next_team`](crate::share::next_team) and [`quotas`].
    pub(super) fn candidate(&self, pool: PoolId, team: TeamId) -> Candidate {
        self.rows.get(&(pool, team)).map_or_else(Candidate::default, Row::candidate)
    }
}

/// Half of the slots that are not in use, at most a quarter of the capacity. A member whose demand fell since its last
/// digest does not use its whole quota; these slots are added to the quotas, so that a contended pool is not idle
/// between digests. Workers refuse work beyond their slots.
fn unused(capacity: u32, teams: &[Candidate]) -> u32 {
    let running: u32 = teams.iter().map(|team| team.running).sum();
    (capacity.saturating_sub(running) / 2).min(capacity / 4)
}

impl Row {
    /// Creates a row without work, with use and entitlement counted from `updated`.
    fn new(updated: Millis, quota: Option<u32>) -> Self {
        let usage = Usage::new(updated.0);
        Self { updated, used: usage, owed: usage, quota, ..Self::default() }
    }

    fn account(&mut self, now: Millis, me: MemberId, load: &TeamLoad, usable: u32, owed_now: f64) {
        let total = load.total();
        self.used.advance(now.0, f64::from(total.running));
        self.owed.advance(now.0, owed_now);
        self.owed_now = owed_now;
        self.usable = usable;
        self.peer_running = total.running.saturating_sub(load.running_at(me));
        self.waiting = total.waiting;
        self.fleet_offered = total.offered;
        self.update_offered(now);
    }

    fn candidate(&self) -> Candidate {
        Candidate {
            owed_now: self.owed_now,
            usable: self.usable,
            running: self.running + self.peer_running,
            owed: self.owed.value(),
            used: self.used.value(),
        }
    }

    /// Counts an arrival with its expected run time in milliseconds.
    pub(super) fn add_arrival(&mut self, run_ms: f64) {
        self.arrived_ms += run_ms;
    }

    fn update_offered(&mut self, now: Millis) {
        let elapsed = now.since(self.updated) as f64;
        if elapsed > 0.0 {
            let keep = (-elapsed / OFFERED_DECAY_MS).exp();
            self.offered = self.offered * keep + self.arrived_ms / elapsed * (1.0 - keep);
            self.arrived_ms = 0.0;
            self.updated = now;
        }
    }
}
