//! Table of requests, and queues of waiting work by pool and team.
//!
//! Cancelling a request removes its row in O(1). Its queue entry stays and is skipped when it reaches the front.

mod queue;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use slotmap::SlotMap;

use super::holds::Permit;
use super::{Millis, RequestKey};
use crate::ids::{KeyId, PoolId, TaskId, TeamId, WorkerId};
use crate::record::Class;

pub(super) use queue::TeamQueue;

/// Waiting work: a request of a connected caller, or an accepted task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Item {
    Request(RequestKey),
    Task(TaskId),
}

/// Waiting or running request.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) pool: PoolId,
    pub(super) team: TeamId,
    pub(super) key: Option<KeyId>,
    pub(super) class: Class,
    pub(super) idempotent: bool,
    pub(super) deadline: Millis,
    /// Time limit from arrival to answer, in milliseconds.
    pub(super) limit_ms: u64,
    pub(super) attempts: u32,
    pub(super) stage: Stage,
}

/// State of a request.
#[derive(Debug)]
pub(super) enum Stage {
    Waiting,
    Running { worker: WorkerId, permit: Permit, sent: Millis },
}

/// Requests, and queues of requests and tasks.
#[derive(Debug, Default)]
pub(super) struct Requests {
    pub(super) rows: SlotMap<RequestKey, Request>,
    pub(super) queues: BTreeMap<(PoolId, TeamId), TeamQueue>,
    deadlines: BinaryHeap<Reverse<(Millis, RequestKey)>>,
}

impl Requests {
    /// Adds a waiting request to the end of its queue, or to the front if it is tried again.
    pub(super) fn enqueue(&mut self, key: RequestKey, front: bool) {
        let Some(row) = self.rows.get(key) else {
            return;
        };
        let queue = self.queues.entry((row.pool, row.team)).or_default();
        queue.push(row.class, Item::Request(key), front);
        self.deadlines.push(Reverse((row.deadline, key)));
    }

    /// Adds a task to the end of its queue.
    pub(super) fn enqueue_task(&mut self, pool: PoolId, team: TeamId, class: Class, task: TaskId) {
        self.queues.entry((pool, team)).or_default().push(class, Item::Task(task), false);
    }

    /// Removes a waiting request from the table and from the length of its queue.
    pub(super) fn remove_waiting(&mut self, key: RequestKey) -> Option<Request> {
        let row = self.rows.remove(key)?;
        if let Some(queue) = self.queues.get_mut(&(row.pool, row.team)) {
            queue.remove_one();
        }
        Some(row)
    }

    /// Returns the waiting requests whose deadline has passed.
    pub(super) fn take_expired(&mut self, now: Millis) -> BTreeSet<RequestKey> {
        let mut expired = BTreeSet::new();
        while let Some(Reverse((deadline, key))) = self.deadlines.peek().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.pop();
            let waiting = self.rows.get(key).is_some_and(|r| matches!(r.stage, Stage::Waiting));
            if waiting {
                expired.insert(key);
            }
        }
        expired
    }

    /// Length of a team's queue in a pool.
    pub(super) fn waiting(&self, pool: PoolId, team: TeamId) -> u32 {
        self.queues.get(&(pool, team)).map_or(0, TeamQueue::len)
    }

    /// Total length of each team's queues over all pools.
    pub(super) fn waiting_by_team(&self) -> BTreeMap<TeamId, u32> {
        let mut waiting = BTreeMap::new();
        for ((_, team), queue) in &self.queues {
            *waiting.entry(*team).or_default() += queue.len();
        }
        waiting
    }

    /// Number of queued items that start before a new request of a class.
    pub(super) fn ahead(&self, pool: PoolId, team: TeamId, class: Class) -> u32 {
        self.queues.get(&(pool, team)).map_or(0, |queue| queue.ahead(class))
    }
}

impl Requests {
    /// Returns a key that no row has or will have, for a request that is refused on arrival.
    pub(super) fn unused_key(&mut self) -> RequestKey {
        let key = self.rows.insert(Request::placeholder());
        self.rows.remove(key);
        key
    }
}

impl Request {
    fn placeholder() -> Self {
        Self {
            pool: PoolId(0),
            team: TeamId(0),
            key: None,
            class: Class::Normal,
            idempotent: false,
            deadline: Millis(0),
            limit_ms: 0,
            attempts: 0,
            stage: Stage::Waiting,
        }
    }
}
