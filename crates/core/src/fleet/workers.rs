//! Upstream workers: pools, drains, maintenance, moves and availability budgets.

use super::{Effect, Fleet, TaskState, VoidReason, Worker, WorkerState, ZoneState, config::next_id};
use crate::ids::{Offset, PoolId, WorkerId, ZoneId};
use crate::record::WorkerSeen;

impl Fleet {
    /// Whether work may start on the worker: it is serving and its zone is in service.
    #[must_use]
    pub fn takes_work(&self, worker: &Worker) -> bool {
        let in_service = self.zones.get(&worker.zone).is_some_and(|z| z.state == ZoneState::InService);
        in_service && worker.state == WorkerState::Serving
    }

    /// Number of workers of a pool that take work.
    #[must_use]
    pub fn serving(&self, pool: PoolId) -> u32 {
        self.count_serving(pool, |_| true)
    }

    fn count_serving(&self, pool: PoolId, keep: impl Fn(&Worker) -> bool) -> u32 {
        let workers = self.workers.values().filter(|w| w.pool == pool);
        let left = workers.filter(|w| self.takes_work(w) && keep(w)).count();
        u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// Checks the budget of a pool as if only the workers selected by `keep` were left. A change that removes no
    /// serving worker is allowed even if losses have already brought the pool below its budget.
    pub(super) fn check_budget(
        &self,
        pool: PoolId,
        keep: impl Fn(&Worker) -> bool,
    ) -> Result<(), VoidReason> {
        let row = self.pools.get(&pool).ok_or(VoidReason::Unknown("pool"))?;
        let left = self.count_serving(pool, keep);
        if left < row.min_serving && left < self.serving(pool) {
            return Err(VoidReason::Budget { pool: row.name.clone(), needed: row.min_serving, left });
        }
        Ok(())
    }

    /// Adds a worker from the platform's list or updates a known one. The pool of a known worker stays as it is unless
    /// it was removed; zone and rack change only with a new process, because the platform may start it elsewhere.
    pub(super) fn update_worker(&mut self, seen: &WorkerSeen) -> Result<Effect, VoidReason> {
        let Some(id) = self.worker(&seen.name) else {
            let pool = self.declared_pool(&seen.pool)?;
            let zone = self.zone_or_new(&seen.zone);
            return Ok(self.add_worker(seen, pool, zone));
        };
        let pool = self.returning_pool(id, seen)?;
        let zone = self.zone_or_new(&seen.zone);
        let Some(worker) = self.workers.get_mut(&id) else {
            return Err(VoidReason::Unknown("worker"));
        };
        worker.pool = pool;
        worker.state = next_state(worker, seen);
        if worker.nonce != seen.nonce {
            worker.zone = zone;
            worker.rack.clone_from(&seen.rack);
        }
        worker.nonce = seen.nonce;
        worker.address.clone_from(&seen.address);
        worker.slots = seen.slots;
        Ok(Effect::Worker(id))
    }

    /// Pool of a known worker. A lost worker whose pool was removed in the meantime returns like a new one.
    fn returning_pool(&self, id: WorkerId, seen: &WorkerSeen) -> Result<PoolId, VoidReason> {
        let worker = self.workers.get(&id).ok_or(VoidReason::Unknown("worker"))?;
        let name = self.pools.get(&worker.pool).map_or("", |p| &p.name);
        let removed = !self.declaration.pools.contains_key(name);
        if removed { self.declared_pool(&seen.pool) } else { Ok(worker.pool) }
    }

    fn add_worker(&mut self, seen: &WorkerSeen, pool: PoolId, zone: ZoneId) -> Effect {
        let id = WorkerId(next_id(self.workers.len()));
        let state = if seen.leaving { WorkerState::Leaving } else { WorkerState::Serving };
        let worker = Worker {
            name: seen.name.clone(),
            nonce: seen.nonce,
            address: seen.address.clone(),
            zone,
            rack: seen.rack.clone(),
            pool,
            slots: seen.slots,
            due: false,
            reboot: None,
            state,
        };
        self.workers.insert(id, worker);
        Effect::Worker(id)
    }

    pub(super) fn mark_lost(&mut self, id: WorkerId) -> Result<Effect, VoidReason> {
        self.set_state(id, |state| (state != WorkerState::Lost).then_some(WorkerState::Lost))
    }

    /// Marks all workers of a pool as due for maintenance. The members then drain them within the budget and the limit
    /// on concurrent drains.
    pub(super) fn start_wave(&mut self, pool: &str) -> Result<Effect, VoidReason> {
        let pool = self.declared_pool(pool)?;
        for worker in self.workers.values_mut().filter(|w| w.pool == pool) {
            worker.due = worker.state != WorkerState::Lost;
        }
        Ok(Effect::Done)
    }

    pub(super) fn start_drain(&mut self, offset: Offset, id: WorkerId) -> Result<Effect, VoidReason> {
        let worker = self.workers.get(&id).ok_or(VoidReason::Unknown("worker"))?;
        self.check_drains(worker.pool)?;
        self.stop_serving(id, WorkerState::Draining(offset))
    }

    /// Whether the limit on drains and the budget of its pool allow the worker to be drained now.
    #[must_use]
    pub fn can_drain(&self, id: WorkerId) -> bool {
        let Some(worker) = self.workers.get(&id) else {
            return false;
        };
        self.check_drains(worker.pool).is_ok()
            && self.check_budget(worker.pool, |w| w.name != worker.name).is_ok()
    }

    /// Whether nothing runs any more on a worker that was stopped at offset `since`: every live member has confirmed
    /// the stop, no started task is left on it, and the holds of gone members are reclaimed.
    #[must_use]
    pub fn is_quiescent(&self, id: WorkerId, since: Offset) -> bool {
        self.check_quiescent(id, since).is_ok()
    }

    fn check_drains(&self, pool: PoolId) -> Result<(), VoidReason> {
        let name = &self.pools[&pool].name;
        let allowed = self.declaration.exception("drains", name, "");
        let allowed = allowed.unwrap_or(u64::from(self.declaration.defaults.drains));
        let stopped = |w: &&Worker| matches!(w.state, WorkerState::Draining(_) | WorkerState::Maintenance);
        let drained = self.workers.values().filter(|w| w.pool == pool).filter(stopped).count();
        if drained as u64 >= allowed {
            return Err(VoidReason::Drains { pool: name.clone(), allowed });
        }
        Ok(())
    }

    pub(super) fn start_move(
        &mut self,
        offset: Offset,
        id: WorkerId,
        to: &str,
    ) -> Result<Effect, VoidReason> {
        let to = self.declared_pool(to)?;
        let worker = self.workers.get(&id).ok_or(VoidReason::Unknown("worker"))?;
        if worker.pool == to {
            return Err(VoidReason::State);
        }
        self.stop_serving(id, WorkerState::Moving { to, since: offset })
    }

    fn stop_serving(&mut self, id: WorkerId, state: WorkerState) -> Result<Effect, VoidReason> {
        let worker = self.workers.get(&id).ok_or(VoidReason::Unknown("worker"))?;
        if worker.state != WorkerState::Serving {
            return Err(VoidReason::State);
        }
        let name = worker.name.clone();
        self.check_budget(worker.pool, |other| other.name != name)?;
        self.set_state(id, |_| Some(state))
    }

    /// Cancels a drain or a move that has not passed its quiescence barrier.
    pub(super) fn cancel_drain(&mut self, id: WorkerId) -> Result<Effect, VoidReason> {
        self.set_state(id, |state| {
            let stopping = matches!(state, WorkerState::Draining(_) | WorkerState::Moving { .. });
            stopping.then_some(WorkerState::Serving)
        })
    }

    /// Allows a drained worker to reboot once it is quiescent.
    pub(super) fn start_maintenance(&mut self, id: WorkerId) -> Result<Effect, VoidReason> {
        let worker = self.workers.get(&id).ok_or(VoidReason::Unknown("worker"))?;
        let WorkerState::Draining(since) = worker.state else {
            return Err(VoidReason::State);
        };
        self.check_quiescent(id, since)?;
        self.allow_reboot(id)
    }

    fn allow_reboot(&mut self, id: WorkerId) -> Result<Effect, VoidReason> {
        let worker = self.workers.get_mut(&id).ok_or(VoidReason::Unknown("worker"))?;
        worker.state = WorkerState::Maintenance;
        worker.reboot = Some(worker.nonce);
        Ok(Effect::Worker(id))
    }

    pub(super) fn end_maintenance(&mut self, id: WorkerId) -> Result<Effect, VoidReason> {
        let ended =
            self.set_state(id, |state| (state == WorkerState::Maintenance).then_some(WorkerState::Serving))?;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.due = false;
            worker.reboot = None;
        }
        Ok(ended)
    }

    /// Changes the pool of a moving worker once it is quiescent. The worker then reboots into the new pool and serves
    /// after `MaintenanceEnded`.
    pub(super) fn end_move(&mut self, id: WorkerId) -> Result<Effect, VoidReason> {
        let worker = self.workers.get(&id).ok_or(VoidReason::Unknown("worker"))?;
        let WorkerState::Moving { to, since } = worker.state else {
            return Err(VoidReason::State);
        };
        self.check_quiescent(id, since)?;
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.pool = to;
        }
        self.allow_reboot(id)
    }

    /// Checks the quiescence barrier. Confirmations are not enough: a task taken over from an ended member can still
    /// run on the worker after its new owner has confirmed, and requests of a gone member can run until its holds are
    /// reclaimed. The reboot must interrupt neither.
    fn check_quiescent(&self, id: WorkerId, since: Offset) -> Result<(), VoidReason> {
        let on_worker =
            |state: &TaskState| matches!(state, TaskState::Started { worker, .. } if *worker == id);
        let busy = || self.tasks.values().find(|t| on_worker(&t.state)).map(|t| t.owner);
        let unreclaimed = || self.holds.keys().map(|(_, holder)| *holder).find(|id| self.is_gone(*id));
        let member = self.first_unconfirmed(since).or_else(busy).or_else(unreclaimed);
        member.map_or(Ok(()), |member| Err(VoidReason::NotQuiescent(member)))
    }

    fn set_state(
        &mut self,
        id: WorkerId,
        next: impl FnOnce(WorkerState) -> Option<WorkerState>,
    ) -> Result<Effect, VoidReason> {
        let worker = self.workers.get_mut(&id).ok_or(VoidReason::Unknown("worker"))?;
        worker.state = next(worker.state).ok_or(VoidReason::State)?;
        Ok(Effect::Worker(id))
    }
}

/// New state of a known worker that the platform's list shows.
fn next_state(worker: &Worker, seen: &WorkerSeen) -> WorkerState {
    let restarted = worker.nonce != seen.nonce;
    // The permitted reboot may be still outstanding, or the platform may have restarted the worker in its old pool.
    let returned = if worker.reboot.is_some() { WorkerState::Maintenance } else { WorkerState::Serving };
    match worker.state {
        WorkerState::Maintenance => WorkerState::Maintenance,
        _ if seen.leaving => WorkerState::Leaving,
        WorkerState::Lost => returned,
        WorkerState::Leaving if restarted => returned,
        state => state,
    }
}
