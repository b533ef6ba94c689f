//! Scheduling: chooses the waiting work that starts next, and its worker.

use super::super::command::{Command, NotRun, Refusal, Send};
use super::super::holds::Permit;
use super::super::requests::{Item, Stage};
use super::super::{Engine, Millis, RequestKey};
use crate::fleet::Worker;
use crate::ids::{PoolId, TaskId, TeamId, WorkerId};
use crate::policy::outlier::Eligibility;
use crate::policy::placement::{self, place};
use crate::record::Class;
use crate::share::next_team;

/// Maximum attempts of one request, not counting those that a full worker refused.
pub(super) const MAX_ATTEMPTS: u32 = 4;

impl Engine {
    pub(in crate::engine) fn schedule_all(&mut self, now: Millis) {
        let mut pools: Vec<PoolId> = self.requests.queues.keys().map(|(pool, _)| *pool).collect();
        pools.dedup();
        for pool in pools {
            self.schedule(now, pool);
        }
    }

    /// Starts waiting work of a pool until no team may start work or no worker is free.
    pub(super) fn schedule(&mut self, now: Millis, pool: PoolId) {
        if self.member().is_none() {
            return;
        }
        while let Some(team) = self.choose_team(pool) {
            if !self.start_next(now, pool, team) {
                return;
            }
        }
    }

    fn choose_team(&self, pool: PoolId) -> Option<TeamId> {
        let first = (pool, TeamId(0));
        let last = (pool, TeamId(u32::MAX));
        let waiting = self.requests.queues.range(first..=last).filter(|(_, queue)| queue.len() > 0);
        let teams: Vec<TeamId> =
            waiting.map(|((_, team), _)| *team).filter(|team| self.may_start(pool, *team)).collect();
        if teams.len() < 2 {
            return teams.first().copied();
        }
        let candidates: Vec<_> = teams.iter().map(|team| self.shares.candidate(pool, *team)).collect();
        next_team(&candidates).map(|index| teams[index])
    }

    fn may_start(&self, pool: PoolId, team: TeamId) -> bool {
        let Some(me) = self.member() else {
            return false;
        };
        self.slot_usage.spare(team, self.fleet.hold(team, me)) > 0 && self.shares.allows(pool, team)
    }

    fn choose_worker(&mut self, now: Millis, pool: PoolId, team: TeamId, item: Item) -> Option<WorkerId> {
        let workers = self.upstreams.of_pool(pool).iter().copied();
        let mut available: Vec<WorkerId> =
            workers.filter(|id| self.is_available(now, *id) && self.fits(now, *id, item)).collect();
        if let Item::Task(task) = item {
            self.avoid_failed(task, &mut available);
        }
        let candidates: Vec<_> = available.iter().map(|id| self.candidate(*id, team)).collect();
        let running = self.shares.row(pool, team).running;
        place(&candidates, running, &mut self.rng).map(|index| available[index])
    }

    /// True if the worker may be given the item. Tasks leave one slot of each worker with two or more slots to
    /// requests, which cannot wait for a long task to end. An ejected worker gets only idempotent work, as a probe.
    fn fits(&self, now: Millis, id: WorkerId, item: Item) -> bool {
        let worker = &self.fleet.workers[&id];
        let has_slot = matches!(item, Item::Request(_))
            || worker.slots < 2
            || self.upstreams.tasks(id) + 1 < worker.slots;
        has_slot
            && match self.eligibility(now, worker.pool, id) {
                Eligibility::Eligible => true,
                Eligibility::ProbeDue => self.is_idempotent(item),
                Eligibility::Ejected => false,
            }
    }

    fn is_idempotent(&self, item: Item) -> bool {
        match item {
            Item::Request(key) => self.requests.rows.get(key).is_some_and(|row| row.idempotent),
            Item::Task(id) => self.fleet.tasks.get(&id).is_some_and(|task| task.idempotent),
        }
    }

    /// Removes the workers on which a task has failed, unless there are no others.
    fn avoid_failed(&self, task: TaskId, available: &mut Vec<WorkerId>) {
        let failed = self.fleet.tasks.get(&task).map_or(&[][..], |task| &task.failed);
        if available.iter().any(|id| !failed.contains(id)) {
            available.retain(|id| !failed.contains(id));
        }
    }

    fn is_available(&self, now: Millis, id: WorkerId) -> bool {
        let takes_work = self.fleet.workers.get(&id).is_some_and(|worker| self.may_use(worker));
        takes_work && self.upstreams.rows.get(&id).is_none_or(|row| row.is_available(now))
    }

    /// True if the worker accepts work and neither the log nor a peer says that its zone was removed.
    pub(super) fn may_use(&self, worker: &Worker) -> bool {
        let version = self.fleet.zones.get(&worker.zone).map_or(0, |zone| zone.version);
        let removed = self.peers.removed.get(&worker.zone).is_some_and(|removal| *removal > version);
        !removed && self.fleet.takes_work(worker)
    }

    fn candidate(&self, id: WorkerId, team: TeamId) -> placement::Candidate {
        let worker = &self.fleet.workers[&id];
        let own_zone = self.fleet.zones.get(&worker.zone).is_some_and(|zone| zone.name == self.options.zone);
        let slots = worker.slots.min(self.options.connections);
        let suspected = u32::from(self.peers.suspects(id)) * slots / 2;
        let in_flight = self.upstreams.in_flight(id) + suspected;
        let team_in_rack = self.upstreams.team_in_rack(team, id);
        let run_ms = self.upstreams.run_time_on(worker.pool, id);
        placement::Candidate { own_zone, in_flight, slots, team_in_rack, run_ms }
    }

    /// Starts the next item of a queue, or ends it if it must not start any more. Returns false if the queue is empty
    /// or no worker is free.
    fn start_next(&mut self, now: Millis, pool: PoolId, team: TeamId) -> bool {
        let Some((class, item)) = self.pop(pool, team) else {
            return false;
        };
        if self.end_unstartable(now, item) {
            return true;
        }
        let held = self.member().map_or(0, |me| self.fleet.hold(team, me));
        let worker = self.choose_worker(now, pool, team, item);
        let permit = worker.and_then(|_| self.slot_usage.try_acquire(team, held));
        let (Some(worker), Some(permit)) = (worker, permit) else {
            self.push_back(class, item, pool, team);
            return false;
        };
        self.count_start(now, pool, team, worker, item);
        match item {
            Item::Request(key) => self.send_request(now, key, worker, permit),
            Item::Task(task) => self.start_task(now, task, worker, permit),
        }
        true
    }

    /// Ends a request that can no longer meet its deadline, or whose key was withdrawn while it waited.
    fn end_unstartable(&mut self, now: Millis, item: Item) -> bool {
        let Item::Request(key) = item else {
            return false;
        };
        let Some(reason) = self.reason_to_refuse(now, key) else {
            return false;
        };
        self.requests.rows.remove(key);
        self.refuse(key, Refusal::NotRun(reason));
        true
    }

    fn pop(&mut self, pool: PoolId, team: TeamId) -> Option<(Class, Item)> {
        let queue = self.requests.queues.get_mut(&(pool, team))?;
        let (rows, queued) = (&self.requests.rows, &self.runs.queued);
        queue.pop(|item| match item {
            Item::Request(key) => rows.get(key).is_some_and(|row| matches!(row.stage, Stage::Waiting)),
            Item::Task(id) => queued.contains(&id),
        })
    }

    fn push_back(&mut self, class: Class, item: Item, pool: PoolId, team: TeamId) {
        self.requests.queues.entry((pool, team)).or_default().push(class, item, true);
    }

    fn reason_to_refuse(&self, now: Millis, key: RequestKey) -> Option<NotRun> {
        let row = self.requests.rows.get(key)?;
        if !self.can_meet_deadline(row.pool, row.team, 0, row.deadline.since(now), row.limit_ms) {
            return Some(NotRun::Deadline);
        }
        let withdrawn = row.key.is_some_and(|id| self.is_withdrawn(id));
        withdrawn.then_some(NotRun::KeyWithdrawn)
    }

    fn count_start(&mut self, now: Millis, pool: PoolId, team: TeamId, worker: WorkerId, item: Item) {
        if self.caught_up.is_none_or(|at| now.since(at) > self.options.stale_ms) {
            self.counters.stale_starts += 1;
        }
        self.start_probe(now, pool, worker);
        self.shares.row(pool, team).running += 1;
        self.upstreams.start(worker, team, matches!(item, Item::Task(_)));
    }

    fn send_request(&mut self, now: Millis, key: RequestKey, worker: WorkerId, permit: Permit) {
        let Some(row) = self.requests.rows.get_mut(key) else {
            permit.release(&mut self.slot_usage);
            return;
        };
        row.attempts += 1;
        row.stage = Stage::Running { worker, permit, sent: now };
        let order = Send {
            request: key,
            attempt: row.attempts,
            worker,
            address: self.fleet.workers[&worker].address.clone(),
            pool: self.fleet.pools[&row.pool].name.clone(),
            left_ms: row.deadline.since(now),
            retryable: row.attempts < MAX_ATTEMPTS,
        };
        self.emit(Command::Send(order));
    }

    /// Reports the end of a request without an answer; its row has been removed already.
    pub(super) fn refuse(&mut self, request: RequestKey, refusal: Refusal) {
        match refusal {
            Refusal::NotRun(reason) => self.count_not_run(reason),
            Refusal::Unknown(reason) => *self.counters.unknown.entry(reason).or_default() += 1,
        }
        self.emit(Command::Refuse { request, refusal });
    }

    /// Ends waiting requests whose deadline has passed, releases orphaned permits and drops old digests.
    pub(in crate::engine) fn expire(&mut self, now: Millis) {
        for key in self.requests.take_expired(now) {
            self.requests.remove_waiting(key);
            self.refuse(key, Refusal::NotRun(NotRun::Deadline));
        }
        self.slot_usage.expire(now);
        self.peers.expire(now, self.options.digest_ttl_ms);
    }
}
