//! Records of operators: declarations, access keys and availability zones.

use super::{AccessKey, Effect, Fleet, Pool, TaskState, Team, VoidReason, WorkerState, Zone, ZoneState};
use crate::declaration::{Declaration, Defaults};
use crate::ids::{KeyId, Offset, PoolId, TaskId, TeamId, ZoneId};
use crate::record::{KeyHash, TaskOutcome};

impl Fleet {
    pub(super) fn configure(
        &mut self,
        offset: Offset,
        base: u64,
        declaration: &Declaration,
    ) -> Result<Effect, VoidReason> {
        if base != self.version {
            return Err(VoidReason::Conflict { base, current: self.version });
        }
        if let Some(problem) = declaration.validate().first() {
            return Err(VoidReason::Invalid(problem.to_string()));
        }
        self.check_removed_pools(declaration)?;
        self.update_teams(declaration);
        self.update_pools(declaration);
        self.declaration = declaration.clone();
        self.deadline_cap_ms = self.deadline_cap_ms.max(declaration.defaults.deadline_cap_ms);
        for exception in declaration.exceptions.iter().filter(|e| e.field == "deadline_cap_ms") {
            self.deadline_cap_ms = self.deadline_cap_ms.max(exception.value);
        }
        self.version += 1;
        self.end_removed_tasks(offset);
        Ok(Effect::Configured(self.version))
    }

    /// Looks up a declared team. Removed teams keep their rows but take no keys and no tasks.
    pub(super) fn declared_team(&self, name: &str) -> Result<TeamId, VoidReason> {
        let declared = self.declaration.teams.contains_key(name);
        self.team(name).filter(|_| declared).ok_or(VoidReason::Unknown("team"))
    }

    /// Looks up a declared pool. Removed pools keep their rows but take no workers and no tasks.
    pub(super) fn declared_pool(&self, name: &str) -> Result<PoolId, VoidReason> {
        let declared = self.declaration.pools.contains_key(name);
        self.pool(name).filter(|_| declared).ok_or(VoidReason::Unknown("pool"))
    }

    /// Ends the waiting tasks whose team or pool was removed: no worker would ever run them.
    fn end_removed_tasks(&mut self, offset: Offset) {
        let waiting = self.tasks.iter().filter(|(_, task)| task.state == TaskState::Waiting);
        let waiting: Vec<TaskId> = waiting.map(|(id, _)| *id).collect();
        for id in waiting {
            if let Some(reason) = self.removal_reason(id) {
                self.set_ended(offset, id, TaskOutcome::Failed(reason));
            }
        }
    }

    /// Reason why a task can never start, if its team or pool was removed from the declaration.
    pub(super) fn removal_reason(&self, id: TaskId) -> Option<String> {
        let task = self.tasks.get(&id)?;
        let team = &self.teams.get(&task.team)?.name;
        let pool = &self.pools.get(&task.pool)?.name;
        if !self.declaration.teams.contains_key(team) {
            return Some(format!("team {team} was removed from the configuration"));
        }
        let removed = !self.declaration.pools.contains_key(pool);
        removed.then(|| format!("pool {pool} was removed from the configuration"))
    }

    fn check_removed_pools(&self, declaration: &Declaration) -> Result<(), VoidReason> {
        for worker in self.workers.values().filter(|w| w.state != WorkerState::Lost) {
            let target = if let WorkerState::Moving { to, .. } = worker.state { to } else { worker.pool };
            for pool in [worker.pool, target] {
                let name = &self.pools[&pool].name;
                if !declaration.pools.contains_key(name) {
                    return Err(VoidReason::Invalid(format!("pool {name} still has workers")));
                }
            }
        }
        Ok(())
    }

    fn update_teams(&mut self, declaration: &Declaration) {
        for team in self.teams.values_mut() {
            team.share = 0;
            team.limit = 0;
        }
        for (name, declared) in &declaration.teams {
            let id = self.team(name).unwrap_or_else(|| TeamId(next_id(self.teams.len())));
            let team = Team { name: name.clone(), share: declared.share, limit: declared.limit };
            self.teams.insert(id, team);
        }
    }

    fn update_pools(&mut self, declaration: &Declaration) {
        for pool in self.pools.values_mut() {
            pool.min_serving = 0;
            pool.open = None;
        }
        for (name, declared) in &declaration.pools {
            let id = self.pool(name).unwrap_or_else(|| PoolId(next_id(self.pools.len())));
            let open = if declared.open { declared.open_team.as_deref() } else { None };
            let pool = Pool {
                name: name.clone(),
                min_serving: declaration.min_serving(name),
                open: open.and_then(|team| self.team(team)),
                spare: declared.spare,
            };
            self.pools.insert(id, pool);
        }
    }

    /// Value of a default for work of the team in the pool: the most specific exception, or else the default. `name`
    /// is the name of the field that `field` reads.
    #[must_use]
    pub fn effective_default(
        &self,
        pool: PoolId,
        team: TeamId,
        field: fn(&Defaults) -> u64,
        name: &str,
    ) -> u64 {
        let pool = self.pools.get(&pool).map_or("", |p| &p.name);
        let team = self.teams.get(&team).map_or("", |t| &t.name);
        let exception = self.declaration.exception(name, pool, team);
        exception.unwrap_or_else(|| field(&self.declaration.defaults))
    }

    pub(super) fn grant_key(&mut self, team: &str, hash: KeyHash) -> Result<Effect, VoidReason> {
        let team = self.declared_team(team)?;
        if self.hashes.contains_key(&hash) {
            return Err(VoidReason::KeyExists);
        }
        let id = KeyId(next_id(self.keys.len()));
        self.keys.insert(id, AccessKey { hash, team, withdrawn: false });
        self.hashes.insert(hash, id);
        Ok(Effect::Key(id))
    }

    pub(super) fn withdraw_key(&mut self, id: KeyId) -> Result<Effect, VoidReason> {
        let key = self.keys.get_mut(&id).ok_or(VoidReason::Unknown("key"))?;
        key.withdrawn = true;
        Ok(Effect::Key(id))
    }

    /// Takes a zone out of service, unless a pool would then have fewer serving workers than its budget.
    pub(super) fn remove_zone(&mut self, name: &str, base: u64) -> Result<Effect, VoidReason> {
        let id = self.check_zone(name, base, ZoneState::InService)?;
        for pool in self.pools.keys() {
            self.check_budget(*pool, |worker| worker.zone != id)?;
        }
        Ok(self.set_zone(id, ZoneState::Removed))
    }

    pub(super) fn restore_zone(&mut self, name: &str, base: u64) -> Result<Effect, VoidReason> {
        let id = self.check_zone(name, base, ZoneState::Removed)?;
        Ok(self.set_zone(id, ZoneState::InService))
    }

    fn check_zone(&self, name: &str, base: u64, expected: ZoneState) -> Result<ZoneId, VoidReason> {
        let id = self.zone(name).ok_or(VoidReason::Unknown("availability zone"))?;
        let zone = &self.zones[&id];
        if zone.version != base {
            return Err(VoidReason::Conflict { base, current: zone.version });
        }
        if zone.state != expected {
            return Err(VoidReason::State);
        }
        Ok(id)
    }

    fn set_zone(&mut self, id: ZoneId, state: ZoneState) -> Effect {
        let Some(zone) = self.zones.get_mut(&id) else {
            return Effect::Done;
        };
        zone.state = state;
        zone.version += 1;
        Effect::Zone(zone.version)
    }

    pub(super) fn zone_or_new(&mut self, name: &str) -> ZoneId {
        if let Some(id) = self.zone(name) {
            return id;
        }
        let id = ZoneId(next_id(self.zones.len()));
        self.zones.insert(id, Zone { name: name.to_owned(), version: 0, state: ZoneState::InService });
        id
    }
}

/// Next identifier in a table that never drops rows; the first is 1.
pub(super) fn next_id(rows: usize) -> u32 {
    u32::try_from(rows).unwrap_or(u32::MAX).saturating_add(1)
}
