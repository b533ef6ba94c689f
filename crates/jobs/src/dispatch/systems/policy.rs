//! Requests to the queues' policy, and the tickets that it grants.
//!
//! One service decides for all queues. It handles the requests of an instance one after the other and refuses them while
//! too many wait. The rules here hold in bursts, in which far more steps wait than it can decide on at once: few requests
//! are outstanding, so that none waits at the service until it is given up, and each pass over the waiting tasks chooses
//! the next ones in the order in which jobs are served.

use std::collections::BTreeMap;

use super::super::Dispatcher;
use super::super::command::{Command, PolicyRequest};
use super::super::worker::WorkerKey;
use crate::catalog::Policy;
use crate::ids::{JobId, StepId, TaskId};
use crate::table::{Table, TaskState};

/// Largest number of workers in one request. The service needs time for each of them.
const MAX_WORKERS_ASKED: usize = 30;
/// Largest number of outstanding requests. With a second one the service is busy while an answer is under way.
const MAX_OUTSTANDING: usize = 2;
/// Time limit of an answer in addition to the declared time of the outstanding requests, in milliseconds.
const ANSWER_SLACK_MS: u64 = 3_000;
/// Number of times that the time limit is doubled after consecutive failures. The service may still handle requests that
/// were given up.
const MAX_DOUBLINGS: u32 = 2;
/// Delay of the next request after a failure, in milliseconds. Doubles with each further failure.
const RETRY_DELAY_MS: u64 = 100;
/// Longest delay after a failure, in milliseconds. Shorter than the time for which a job may make no progress.
const MAX_RETRY_DELAY_MS: u64 = 800;
/// Time for which other steps go before one whose last request let no task start, in milliseconds. Doubles with each
/// further one.
const STEP_DELAY_MS: u64 = 1_000;
/// Longest time for which other steps go first, in milliseconds.
const MAX_STEP_DELAY_MS: u64 = 16_000;

/// Decision of the policy about a step on one worker.
#[derive(Clone, Debug)]
struct Decision {
    /// Ticket for a start; none if the worker may not run the step.
    ticket: Option<String>,
    /// Time until which the decision is used.
    until: u64,
}

/// What is known of one step.
#[derive(Clone, Debug, Default)]
struct StepDecisions {
    /// Decisions by worker.
    workers: BTreeMap<String, Decision>,
    /// Requests about workers with room since a worker last took a task of the step.
    fruitless: u32,
    /// Time until which other steps go first.
    deferred_until: u64,
}

impl StepDecisions {
    /// Lets other steps go first for some time, at least for as long as before.
    fn defer(&mut self, now: u64, delay_ms: u64) {
        self.deferred_until = self.deferred_until.max(now + delay_ms);
    }

    /// Counts a request about workers with room. Other steps go first until a task starts.
    fn count_request(&mut self, now: u64) {
        let delay = STEP_DELAY_MS << self.fruitless.min(MAX_STEP_DELAY_MS.ilog2());
        self.defer(now, delay.min(MAX_STEP_DELAY_MS));
        self.fruitless += 1;
    }

    /// Removes the decisions that are no longer used. True if there is none left and no delay.
    fn expire(&mut self, now: u64) -> bool {
        self.workers.retain(|_, decision| decision.until > now);
        self.workers.is_empty() && self.deferred_until <= now
    }
}

/// Urgency of a request. The order of the variants is the order in which requests are sent.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Urgency {
    /// A task of the step could start at once.
    Prompt,
    /// A task of the step could start at once, but earlier requests let none start.
    Deferred,
    /// No worker has room for a task of the step.
    Ahead,
}

/// Request that could be sent after the present pass.
#[derive(Clone, Debug)]
struct Proposal {
    step: StepId,
    workers: Vec<String>,
    /// Time that the service declares for it, in milliseconds.
    declared_ms: u64,
    urgency: Urgency,
}

/// Request without an answer.
#[derive(Clone, Debug)]
struct Outstanding {
    workers: Vec<String>,
    /// Time that the service declares for it, in milliseconds.
    declared_ms: u64,
    urgency: Urgency,
}

/// Decisions of the policy and the requests for them.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct PolicyTickets {
    steps: BTreeMap<StepId, StepDecisions>,
    outstanding: BTreeMap<StepId, Outstanding>,
    /// Requests that the present pass proposes, in its order.
    proposals: Vec<Proposal>,
    /// Consecutive requests without a usable answer.
    failures: u32,
    /// Earliest time of the next request.
    next_request: u64,
}

impl PolicyTickets {
    /// True if the present pass may propose one more request of an urgency.
    fn has_room(&self, now: u64, urgency: Urgency) -> bool {
        let free = MAX_OUTSTANDING.saturating_sub(self.outstanding.len());
        let proposed = self.proposals.iter().filter(|proposal| proposal.urgency == urgency).count();
        now >= self.next_request
            && match urgency {
                Urgency::Prompt => proposed < free,
                // A prompt request waits at most for one of these.
                Urgency::Deferred | Urgency::Ahead => proposed == 0 && self.outstanding.is_empty(),
            }
    }

    /// True if a request about a step is outstanding or proposed.
    fn is_requested(&self, step: StepId) -> bool {
        self.outstanding.contains_key(&step) || self.proposals.iter().any(|proposal| proposal.step == step)
    }

    /// Ends a request. None if it is unknown.
    fn close_request(&mut self, step: StepId) -> Option<Outstanding> {
        self.outstanding.remove(&step)
    }
}

impl Dispatcher {
    /// Stores the decision of the policy about a step.
    pub fn policy_answered(
        &mut self,
        now: u64,
        step: StepId,
        valid_ms: u64,
        permitted: Vec<(String, String)>,
    ) {
        self.policy_tickets.failures = 0;
        let Some(request) = self.policy_tickets.close_request(step) else { return };
        self.unchanged = false;
        self.remove_expired(now);
        if !self.tracks.contains_key(&step.job) {
            return;
        }
        // A ticket must still be valid when the worker gets the start.
        let usable_ms = valid_ms - (valid_ms / 2).min(self.options.start_ttl_ms / 2);
        let until = now.saturating_add(usable_ms);
        let mut tickets: BTreeMap<String, String> = permitted.into_iter().collect();
        let decisions = self.policy_tickets.steps.entry(step).or_default();
        match request.urgency {
            Urgency::Prompt | Urgency::Deferred => decisions.count_request(now),
            // No task could have started, whatever the policy decides.
            Urgency::Ahead => decisions.defer(now, STEP_DELAY_MS),
        }
        for worker in request.workers {
            let ticket = tickets.remove(&worker);
            decisions.workers.insert(worker, Decision { ticket, until });
        }
    }

    /// Handles a request to the policy that got no usable answer.
    pub fn policy_unanswered(&mut self, now: u64, step: StepId) {
        self.counters.policy_failures += 1;
        let tickets = &mut self.policy_tickets;
        if tickets.close_request(step).is_none() {
            return;
        }
        let delay = RETRY_DELAY_MS << tickets.failures.min(MAX_RETRY_DELAY_MS.ilog2());
        tickets.next_request = now + delay.min(MAX_RETRY_DELAY_MS);
        tickets.failures += 1;
        if self.tracks.contains_key(&step.job) {
            let decisions = tickets.steps.entry(step).or_default();
            // Tells nothing about the step, so its delay does not grow.
            decisions.defer(now, STEP_DELAY_MS);
        }
    }

    /// Removes what is known of steps and no longer used. The number of a step's requests is used while its tasks wait.
    fn remove_expired(&mut self, now: u64) {
        let table = &self.table;
        self.policy_tickets.steps.retain(|step, decisions| {
            !decisions.expire(now) || decisions.fruitless > 0 && has_waiting_tasks(table, *step)
        });
    }

    /// Workers that may run a task's step, with tickets that stay valid long enough for a start.
    pub(super) fn permitted_workers(&self, now: u64, task: TaskId) -> Vec<WorkerKey> {
        let Some(decisions) = self.policy_tickets.steps.get(&task.step_id()) else { return Vec::new() };
        let usable = decisions.workers.iter().filter(|(_, decision)| decision.until > now);
        usable
            .filter(|(_, decision)| decision.ticket.is_some())
            .filter_map(|(worker, _)| self.worker_key(worker))
            .collect()
    }

    /// Ticket for a task's step on a worker, if it stays valid long enough for a start.
    pub(super) fn ticket(&self, now: u64, task: TaskId, worker: &str) -> Option<String> {
        let decision = self.policy_tickets.steps.get(&task.step_id())?.workers.get(worker)?;
        decision.ticket.clone().filter(|_| decision.until > now)
    }

    /// Records that a worker took a task of a step.
    pub(super) fn ticket_used(&mut self, task: TaskId) {
        if let Some(decisions) = self.policy_tickets.steps.get_mut(&task.step_id()) {
            decisions.fruitless = 0;
            decisions.deferred_until = 0;
        }
    }

    /// Removes a ticket that a worker refused, so that the policy is asked about that worker again.
    pub(super) fn remove_ticket(&mut self, worker: &str, task: TaskId) {
        if let Some(decisions) = self.policy_tickets.steps.get_mut(&task.step_id()) {
            decisions.workers.remove(worker);
        }
    }

    /// Removes the decisions about a job that ended.
    pub(super) fn remove_tickets(&mut self, job: JobId) {
        let steps: Vec<StepId> =
            self.policy_tickets.steps.range(StepId::all_of(job)).map(|(step, _)| *step).collect();
        for step in steps {
            self.policy_tickets.steps.remove(&step);
        }
    }

    /// Urgency of a request about a task's step, by whether a worker has room for the task. None if the present pass sends
    /// no such request.
    pub(super) fn request_urgency(&self, now: u64, task: TaskId, fits: bool) -> Option<Urgency> {
        let step = task.step_id();
        let decisions = self.policy_tickets.steps.get(&step);
        let urgency = if !fits {
            Urgency::Ahead
        } else if decisions.is_some_and(|decisions| decisions.deferred_until > now) {
            Urgency::Deferred
        } else {
            Urgency::Prompt
        };
        let sends = self.policy_tickets.has_room(now, urgency) && !self.policy_tickets.is_requested(step);
        sends.then_some(urgency)
    }

    /// Proposes to ask the policy about those of the workers about which it has not decided. False if there are none.
    pub(super) fn propose_request(
        &mut self,
        now: u64,
        policy: Policy,
        task: TaskId,
        urgency: Urgency,
        workers: impl IntoIterator<Item = WorkerKey>,
    ) -> bool {
        let step = task.step_id();
        let decisions = self.policy_tickets.steps.get(&step);
        let decided = |id: &str| {
            let decision = decisions.and_then(|decisions| decisions.workers.get(id));
            decision.is_some_and(|decision| decision.until > now)
        };
        let ids = workers.into_iter().filter_map(|key| Some(&self.workers.get(key)?.record.worker));
        let undecided = ids.filter(|id| !decided(id)).take(MAX_WORKERS_ASKED);
        let workers: Vec<String> = undecided.cloned().collect();
        if workers.is_empty() {
            return false;
        }
        let declared_ms =
            policy.decision_ms.saturating_add(policy.worker_ms.saturating_mul(workers.len() as u64));
        self.policy_tickets.proposals.push(Proposal { step, workers, declared_ms, urgency });
        true
    }

    /// Sends the most urgent requests that the last pass proposed.
    pub(super) fn send_requests(&mut self) {
        let mut proposals = std::mem::take(&mut self.policy_tickets.proposals);
        proposals.sort_by_key(|proposal| proposal.urgency);
        for Proposal { step, workers, declared_ms, urgency } in proposals {
            let tickets = &mut self.policy_tickets;
            let most = if urgency == Urgency::Prompt { MAX_OUTSTANDING } else { 1 };
            if tickets.outstanding.len() >= most {
                return;
            }
            tickets.outstanding.insert(step, Outstanding { workers: workers.clone(), declared_ms, urgency });
            let declared = tickets.outstanding.values().map(|request| request.declared_ms);
            let expected_ms = declared.fold(ANSWER_SLACK_MS, u64::saturating_add);
            let timeout_ms = expected_ms.saturating_mul(1 << tickets.failures.min(MAX_DOUBLINGS));
            self.counters.policy_requests += 1;
            self.commands.push(Command::AskPolicy(PolicyRequest { step, workers, timeout_ms }));
        }
    }
}

/// True if tasks of a step wait to be placed.
fn has_waiting_tasks(table: &Table, step: StepId) -> bool {
    let Some(job) = table.get(step.job) else { return false };
    let occurrence = job.progress.occurrence(step.occurrence);
    let rows = occurrence.map_or(&[][..], |o| o.step(&job.submission, usize::from(step.step)));
    rows.iter().any(|task| task.state == TaskState::Waiting)
}
