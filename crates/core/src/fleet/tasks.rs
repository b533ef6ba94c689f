//! Accepted tasks. Only the owner of a task records its starts, requeues and end; any member may cancel it.

use super::{Effect, Fleet, Task, TaskState, VoidReason};
use crate::ids::{MemberId, Offset, TaskId, TeamId, WorkerId};
use crate::record::{StopProof, TaskAccepted, TaskOutcome};

impl Fleet {
    /// Accepts a task. If the team has used the token before, returns the task that was accepted with it.
    pub(super) fn accept_task(
        &mut self,
        author: MemberId,
        accepted: &TaskAccepted,
    ) -> Result<Effect, VoidReason> {
        let team = self.declared_team(&accepted.team)?;
        let pool = self.declared_pool(&accepted.pool)?;
        let id = TaskId { member: author, number: accepted.number };
        if let Some(first) = self.find_token(team, accepted.token.as_ref()) {
            return Ok(Effect::Task(first));
        }
        if self.tasks.contains_key(&id) {
            return Err(VoidReason::State);
        }
        if let Some(token) = &accepted.token {
            self.tokens.insert((team, token.clone()), id);
        }
        let task = Task {
            owner: author,
            team,
            pool,
            token: accepted.token.clone(),
            idempotent: accepted.idempotent,
            class: accepted.class,
            payload: accepted.payload.clone(),
            attempts: 0,
            failed: Vec::new(),
            cancelled: false,
            state: TaskState::Waiting,
        };
        self.open.add(&task);
        self.tasks.insert(id, task);
        Ok(Effect::Task(id))
    }

    fn find_token(&self, team: TeamId, token: Option<&String>) -> Option<TaskId> {
        self.tokens.get(&(team, token?.clone())).copied()
    }

    /// Records a start. For a non-idempotent task the record precedes the dispatch to the worker.
    pub(super) fn start_task(
        &mut self,
        author: MemberId,
        id: TaskId,
        attempt: u32,
        worker: WorkerId,
        nonce: u64,
    ) -> Result<Effect, VoidReason> {
        let row = self.workers.get(&worker).ok_or(VoidReason::Unknown("worker"))?;
        let (takes_work, pool) = (self.takes_work(row), row.pool);
        let task = self.owned_task(author, id)?;
        let startable = task.state == TaskState::Waiting && !task.cancelled && attempt == task.attempts + 1;
        if !startable || !takes_work || task.pool != pool {
            return Err(VoidReason::State);
        }
        task.attempts = attempt;
        task.state = TaskState::Started { attempt, worker, nonce };
        Ok(Effect::Task(id))
    }

    /// Returns a task to waiting once its attempt is proven to have stopped. A cancelled task ends instead, and so does
    /// one whose team or pool was removed.
    pub(super) fn requeue_task(
        &mut self,
        offset: Offset,
        author: MemberId,
        id: TaskId,
        attempt: u32,
        proof: StopProof,
    ) -> Result<Effect, VoidReason> {
        let task = self.tasks.get_mut(&id).ok_or(VoidReason::Unknown("task"))?;
        if task.owner != author {
            return Err(VoidReason::State);
        }
        let TaskState::Started { attempt: started, worker, nonce } = task.state else {
            return Err(VoidReason::State);
        };
        let restarted = self.workers.get(&worker).is_none_or(|w| w.nonce != nonce);
        let proven = task.idempotent || proves_not_run(proof, restarted);
        if started != attempt || !proven {
            return Err(VoidReason::State);
        }
        if proof == StopProof::Failed && !task.failed.contains(&worker) {
            task.failed.push(worker);
        }
        task.state = TaskState::Waiting;
        if task.cancelled {
            self.set_ended(offset, id, TaskOutcome::Cancelled);
        } else if let Some(reason) = self.removal_reason(id) {
            self.set_ended(offset, id, TaskOutcome::Failed(reason));
        }
        Ok(Effect::Task(id))
    }

    pub(super) fn end_task(
        &mut self,
        offset: Offset,
        author: MemberId,
        id: TaskId,
        attempt: u32,
        outcome: &TaskOutcome,
    ) -> Result<Effect, VoidReason> {
        let task = self.owned_task(author, id)?;
        let current = match task.state {
            // An idempotent task is sent without waiting for its start record, so it may have run although the record
            // is void.
            TaskState::Waiting => attempt == task.attempts || attempt == 0 || task.idempotent,
            TaskState::Started { attempt: started, .. } => attempt == started,
            TaskState::Ended { .. } => false,
        };
        if !current {
            return Err(VoidReason::State);
        }
        self.set_ended(offset, id, outcome.clone());
        Ok(Effect::Task(id))
    }

    /// Cancels a task: a waiting one ends at once, a started one when its owner has stopped it.
    pub(super) fn cancel_task(&mut self, offset: Offset, id: TaskId) -> Result<Effect, VoidReason> {
        let task = self.tasks.get_mut(&id).ok_or(VoidReason::Unknown("task"))?;
        match task.state {
            TaskState::Waiting => self.set_ended(offset, id, TaskOutcome::Cancelled),
            TaskState::Started { .. } => task.cancelled = true,
            TaskState::Ended { .. } => return Err(VoidReason::State),
        }
        Ok(Effect::Task(id))
    }

    fn owned_task(&mut self, author: MemberId, id: TaskId) -> Result<&mut Task, VoidReason> {
        let task = self.tasks.get_mut(&id).ok_or(VoidReason::Unknown("task"))?;
        if task.owner == author { Ok(task) } else { Err(VoidReason::State) }
    }

    pub(super) fn set_ended(&mut self, offset: Offset, id: TaskId, outcome: TaskOutcome) {
        if let Some(task) = self.tasks.get_mut(&id) {
            if !matches!(task.state, TaskState::Ended { .. }) {
                self.open.remove(task);
            }
            task.state = TaskState::Ended { outcome, at: offset };
            task.payload = Vec::new();
            self.ended.push_back(id);
        }
        self.evict_ended();
    }

    /// Drops the oldest ended tasks beyond `ended_tasks` of the declaration, and their tokens.
    fn evict_ended(&mut self) {
        let kept = self.declaration.defaults.ended_tasks as usize;
        while self.ended.len() > kept {
            let Some(task) = self.ended.pop_front().and_then(|id| self.tasks.remove(&id)) else {
                continue;
            };
            if let Some(token) = task.token {
                self.tokens.remove(&(task.team, token));
            }
        }
    }
}

/// Whether the proof allows another start of a non-idempotent task: it never ran, or it resumes from a checkpoint. A
/// worker that has restarted since the start record has lost its record of what it ran, so its report proves nothing.
fn proves_not_run(proof: StopProof, restarted: bool) -> bool {
    match proof {
        StopProof::Refused | StopProof::Checkpointed => true,
        StopProof::NeverStarted => !restarted,
        StopProof::Stopped | StopProof::Failed | StopProof::WorkerLost => false,
    }
}
