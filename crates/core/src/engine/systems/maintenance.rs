//! Maintenance: drains the workers of a wave, waits until every member has stopped using them, and reboots them.

use super::super::command::Command;
use super::super::{Engine, Millis};
use super::duty::Duty;
use crate::fleet::WorkerState;
use crate::ids::{MemberId, Offset, PoolId, WorkerId};
use crate::record::Record;

/// Time after which an unfinished reboot is requested again, in milliseconds.
const REBOOT_RETRY_MS: u64 = 60_000;

impl Engine {
    pub(in crate::engine) fn run_maintenance(&mut self, now: Millis) {
        let Some(me) = self.member() else {
            return;
        };
        self.report_progress(now, me);
        self.run_waves(now);
        self.end_barriers(now);
        self.run_reboots(now);
    }

    /// Appends the offset up to which this member has no work left on stopped workers.
    fn report_progress(&mut self, now: Millis, me: MemberId) {
        let stops: Vec<(Offset, WorkerId)> = self.stops().collect();
        let confirmed = self.fleet.members[&me].progress;
        let Some(newest) = stops.iter().map(|(since, _)| *since).max().filter(|since| *since > confirmed)
        else {
            return;
        };
        let busy = stops.iter().filter(|(_, worker)| !self.upstreams.idle(*worker, now));
        let first_busy = busy.map(|(since, _)| *since).min();
        let applied = first_busy.map_or(newest, |since| Offset(since.0.saturating_sub(1)));
        let sent = self.appends.contains(|r| matches!(r, Record::Progress { applied: a } if *a >= applied));
        if applied > confirmed && !sent {
            self.append_record(now, Record::Progress { applied });
        }
    }

    /// Workers that are draining or moving, with the offset of the record that stopped them.
    fn stops(&self) -> impl Iterator<Item = (Offset, WorkerId)> + '_ {
        self.upstreams.stopped().iter().filter_map(|id| match self.fleet.workers[id].state {
            WorkerState::Draining(since) | WorkerState::Moving { since, .. } => Some((since, *id)),
            _ => None,
        })
    }

    /// Starts to drain the next due worker of each pool if its minimum of serving workers and the limit on drains
    /// allow it.
    fn run_waves(&mut self, now: Millis) {
        for pool in self.fleet.pools.keys().copied().collect::<Vec<_>>() {
            let Some(worker) = self.next_due(pool) else {
                self.clear_duty(Duty::Wave(pool));
                continue;
            };
            if self.is_turn(now, Duty::Wave(pool)) && self.drains_pending(pool) == 0 {
                self.append_record(now, Record::DrainStarted { worker });
            }
        }
    }

    fn next_due(&self, pool: PoolId) -> Option<WorkerId> {
        self.upstreams.due(pool).iter().copied().find(|id| self.fleet.can_drain(*id))
    }

    fn drains_pending(&self, pool: PoolId) -> usize {
        let of_pool = |id: &WorkerId| self.fleet.workers.get(id).is_some_and(|w| w.pool == pool);
        usize::from(
            self.appends.contains(|r| matches!(r, Record::DrainStarted { worker } if of_pool(worker))),
        )
    }

    /// Ends the drain of a worker once every live member has confirmed that it has no work left on it.
    fn end_barriers(&mut self, now: Millis) {
        for (since, worker) in self.stops().collect::<Vec<_>>() {
            let duty = Duty::Barrier(worker);
            if self.fleet.is_quiescent(worker, since) && self.is_turn(now, duty) {
                let moving = matches!(self.fleet.workers[&worker].state, WorkerState::Moving { .. });
                let end = if moving {
                    Record::MoveJoined { worker }
                } else {
                    Record::MaintenanceStarted { worker }
                };
                self.append_once(now, end);
            }
        }
    }

    /// Requests the reboot of workers in maintenance. The member that requests it also ends the maintenance.
    fn run_reboots(&mut self, now: Millis) {
        let reboots = |id: &WorkerId| self.fleet.workers[id].state == WorkerState::Maintenance;
        let workers: Vec<WorkerId> = self.upstreams.stopped().iter().copied().filter(reboots).collect();
        self.reboots.retain(|id, _| workers.contains(id));
        for worker in workers {
            self.clear_duty(Duty::Barrier(worker));
            let (_, ordered) = *self.reboots.entry(worker).or_insert((now, None));
            let due = ordered.is_none_or(|at| now.since(at) >= REBOOT_RETRY_MS);
            if due && self.is_reboot_turn(now, worker) {
                self.request_reboot(now, worker);
            }
        }
    }

    /// True if this member may request a reboot. Members that rank later wait for the time of a whole reboot for each
    /// earlier one, so that a worker is not rebooted again while it reboots.
    fn is_reboot_turn(&mut self, now: Millis, worker: WorkerId) -> bool {
        let entered = self.reboots.get(&worker).map_or(now, |(entered, _)| *entered);
        self.member()
            .is_some_and(|me| now.since(entered) >= self.rank(me, Duty::Reboot(worker)) * REBOOT_RETRY_MS)
    }

    fn request_reboot(&mut self, now: Millis, worker: WorkerId) {
        let row = &self.fleet.workers[&worker];
        let pool = self.fleet.pools[&row.pool].name.clone();
        let (name, address) = (row.name.clone(), row.address.clone());
        if let Some(reboot) = self.reboots.get_mut(&worker) {
            reboot.1 = Some(now);
        }
        self.emit(Command::Reboot { worker, name, address, pool });
    }

    pub(in crate::engine) fn end_reboot(&mut self, now: Millis, worker: WorkerId) {
        self.upstreams.row(worker).reset_backoff();
        self.append_once(now, Record::MaintenanceEnded { worker });
    }
}
