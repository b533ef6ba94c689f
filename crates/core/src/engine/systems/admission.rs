//! Admission control: checks key, pool, queue length and deadline of incoming work.

use super::super::command::{Command, NotRun, Refusal};
use super::super::event::{Submission, TaskSubmission};
use super::super::requests::{Request, Stage};
use super::super::{Engine, Millis, RequestKey, Ticket};
use crate::fleet::task_bytes;
use crate::ids::{KeyId, PoolId, TeamId};
use crate::policy::retry::RetryBudget;
use crate::policy::shed::{QueuePosition, can_meet_deadline};
use crate::record::{KeyHash, Record, TaskAccepted};

/// Memory that a team's accepted tasks may take, as a multiple of what is free. A team that holds little is thereby admitted
/// beside others that take all they may.
const TEAM_FACTOR: u64 = 3;
/// Tasks of the same size for which an accepted task must find room, and the part of the budget that this is at most. Small
/// tasks of a team are thereby still accepted when its large ones no longer are.
const HEADROOM_TASKS: u64 = 16;
const HEADROOM_DIVISOR: u64 = 8;

/// Pool and team that admitted work belongs to.
struct Target {
    pool: PoolId,
    team: TeamId,
    key: Option<KeyId>,
}

impl Engine {
    pub(in crate::engine) fn admit_request(&mut self, now: Millis, submission: Submission) -> RequestKey {
        self.counters.submitted += 1;
        let admitted = self.admit(submission.key, &submission.pool);
        let target = match admitted {
            Ok(target) => target,
            Err(reason) => return self.refuse_new(reason),
        };
        let limit_ms = self.deadline_ms(&target, submission.deadline_ms);
        let ahead = self.requests.ahead(target.pool, target.team, submission.class);
        if !self.can_meet_deadline(target.pool, target.team, ahead, limit_ms, limit_ms) {
            return self.refuse_new(NotRun::Deadline);
        }
        let deadline = now.plus(limit_ms);
        let row = Request {
            pool: target.pool,
            team: target.team,
            key: target.key,
            class: submission.class,
            idempotent: submission.idempotent,
            deadline,
            limit_ms,
            attempts: 0,
            stage: Stage::Waiting,
        };
        self.budget(target.team).deposit();
        let run_ms = self.upstreams.request_time(target.pool, target.team);
        self.shares.row(target.pool, target.team).add_arrival(run_ms);
        let key = self.requests.rows.insert(row);
        self.requests.enqueue(key, false);
        self.schedule(now, target.pool);
        key
    }

    pub(in crate::engine) fn admit_task(
        &mut self,
        now: Millis,
        work: TaskSubmission,
    ) -> Result<Ticket, NotRun> {
        self.counters.submitted += 1;
        let target = self.admit(work.key, &work.pool).inspect_err(|reason| self.count_not_run(*reason))?;
        if self.appends.log_down {
            self.count_not_run(NotRun::PlatformUnavailable);
            return Err(NotRun::PlatformUnavailable);
        }
        if !self.has_memory(&target, &work) {
            self.count_not_run(NotRun::QueueFull);
            return Err(NotRun::QueueFull);
        }
        self.last_task += 1;
        let run_ms = self.upstreams.run_time(target.pool);
        self.shares.row(target.pool, target.team).add_arrival(run_ms);
        let team = self.fleet.teams[&target.team].name.clone();
        let accepted = TaskAccepted {
            number: self.last_task,
            team,
            pool: work.pool,
            token: work.token,
            idempotent: work.idempotent,
            class: work.class,
            payload: work.payload,
        };
        Ok(self.propose_for(now, Record::TaskAccepted(accepted)))
    }

    /// True if the memory of accepted tasks has room for one more of its team. A task that may have been accepted before is
    /// known by its token.
    fn has_memory(&self, target: &Target, work: &TaskSubmission) -> bool {
        let budget = self.options.accepted_bytes;
        let mut team_bytes = self.fleet.open.of_team(target.team);
        let mut free = budget.saturating_sub(self.fleet.open.total());
        let name = &self.fleet.teams[&target.team].name;
        let mut known = work
            .token
            .as_ref()
            .is_some_and(|token| self.fleet.tokens.contains_key(&(target.team, token.clone())));
        for record in self.appends.records() {
            let Record::TaskAccepted(task) = record else { continue };
            let bytes = task_bytes(&task.payload);
            free = free.saturating_sub(bytes);
            if task.team == *name {
                team_bytes = team_bytes.saturating_add(bytes);
                known |= work.token.is_some() && task.token == work.token;
            }
        }
        let headroom =
            task_bytes(&work.payload).saturating_mul(HEADROOM_TASKS).min(budget / HEADROOM_DIVISOR);
        known || free > 0 && team_bytes.saturating_add(headroom) <= free.saturating_mul(TEAM_FACTOR)
    }

    fn admit(&self, key: Option<KeyHash>, pool: &str) -> Result<Target, NotRun> {
        if self.stopping {
            return Err(NotRun::Stopping);
        }
        if self.member().is_none() {
            return Err(NotRun::NotReady);
        }
        let pool = self
            .fleet
            .pool(pool)
            .filter(|id| self.fleet.declaration.pools.contains_key(&self.fleet.pools[id].name));
        let pool = pool.ok_or(NotRun::UnknownPool)?;
        let target = match key {
            Some(hash) => self.target_by_key(pool, hash)?,
            None => self.open_target(pool)?,
        };
        let bound =
            self.fleet.effective_default(target.pool, target.team, |d| d.queue_length.into(), "queue_length");
        if u64::from(self.requests.waiting(target.pool, target.team)) >= bound {
            return Err(NotRun::QueueFull);
        }
        Ok(target)
    }

    fn target_by_key(&self, pool: PoolId, hash: KeyHash) -> Result<Target, NotRun> {
        let id = *self.fleet.hashes.get(&hash).ok_or(NotRun::KeyUnknown)?;
        if self.is_withdrawn(id) {
            return Err(NotRun::KeyWithdrawn);
        }
        Ok(Target { pool, team: self.fleet.keys[&id].team, key: Some(id) })
    }

    fn open_target(&self, pool: PoolId) -> Result<Target, NotRun> {
        let team = self.fleet.pools[&pool].open.ok_or(NotRun::KeyMissing)?;
        Ok(Target { pool, team, key: None })
    }

    /// True if the log or any peer says that the key was withdrawn.
    pub(super) fn is_withdrawn(&self, id: KeyId) -> bool {
        self.peers.withdrawn.contains(&id) || self.fleet.keys.get(&id).is_none_or(|key| key.withdrawn)
    }

    fn deadline_ms(&self, target: &Target, limit_ms: Option<u64>) -> u64 {
        let usual = self.fleet.effective_default(target.pool, target.team, |d| d.deadline_ms, "deadline_ms");
        let cap =
            self.fleet.effective_default(target.pool, target.team, |d| d.deadline_cap_ms, "deadline_cap_ms");
        limit_ms.unwrap_or(usual).min(cap)
    }

    fn budget(&mut self, team: TeamId) -> &mut RetryBudget {
        let percent = self.options.retry_percent;
        self.budgets.entry(team).or_insert_with(|| RetryBudget::new(percent))
    }

    /// Withdraws one retry from the team's budget; false if it is exhausted.
    pub(super) fn take_retry(&mut self, team: TeamId) -> bool {
        self.budget(team).withdraw()
    }

    /// True if a request with `ahead` items of its team before it can probably be answered in time.
    pub(super) fn can_meet_deadline(
        &self,
        pool: PoolId,
        team: TeamId,
        ahead: u32,
        left_ms: u64,
        asked_ms: u64,
    ) -> bool {
        let slots = self.usable_slots(pool, team);
        let position = QueuePosition {
            ahead,
            waiting: self.requests.waiting(pool, team),
            running: self.shares.own_running(pool, team),
            // A quota of 0 lasts only until the next digest.
            slots: f64::from(slots.max(1)),
            run_ms: self.upstreams.request_time(pool, team),
            left_ms,
            asked_ms,
        };
        can_meet_deadline(&position)
    }

    /// Slots that a team can expect at this member: its hold, or an even share of its limit while that is more because
    /// holds have not been transferred here yet; in a contended pool at most its quota.
    fn usable_slots(&self, pool: PoolId, team: TeamId) -> u32 {
        let members = u32::try_from(self.fleet.live_members().count()).unwrap_or(u32::MAX).max(1);
        let even = self.fleet.teams.get(&team).map_or(0, |t| t.limit / members);
        let held = self.member().map_or(0, |me| self.fleet.hold(team, me)).max(even);
        self.shares.own_quota(pool, team).map_or(held, |quota| quota.min(held))
    }

    fn refuse_new(&mut self, reason: NotRun) -> RequestKey {
        self.count_not_run(reason);
        let request = self.requests.unused_key();
        self.emit(Command::Refuse { request, refusal: Refusal::NotRun(reason) });
        request
    }

    pub(super) fn count_not_run(&mut self, reason: NotRun) {
        *self.counters.not_run.entry(reason).or_default() += 1;
    }
}
