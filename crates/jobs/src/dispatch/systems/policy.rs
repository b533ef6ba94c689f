//! Tickets from the policies of queues, which decide on which workers a step may run.

use std::collections::BTreeMap;

use super::super::Dispatcher;
use super::super::command::Command;
use super::super::worker::WorkerKey;
use crate::ids::TaskId;

/// Largest number of workers in one request. The policy needs time for each of them.
const MAX_WORKERS_ASKED: usize = 30;
/// Time after which a request without an answer is repeated, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 3_000;

/// Tickets for one step.
#[derive(Clone, Debug, Default)]
struct StepTickets {
    /// Ticket and the time until which it is valid, by worker.
    tickets: BTreeMap<String, (String, u64)>,
    /// Workers that the policy was asked about.
    asked: Vec<String>,
    /// Time of a request that has no answer yet.
    asked_at: Option<u64>,
}

/// Tickets of all steps, by the name of the step.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct PolicyTickets {
    steps: BTreeMap<String, StepTickets>,
}

/// Name of a task's step in requests to the policy.
fn step_name(task: TaskId) -> String {
    format!("{}.{}.{}", task.job, task.occurrence, task.step)
}

impl Dispatcher {
    /// Adds the tickets that the policy granted for a step.
    pub fn policy_answered(&mut self, now: u64, step: &str, valid_ms: u64, permitted: Vec<(String, String)>) {
        let Some(entry) = self.policy_tickets.steps.get_mut(step) else { return };
        entry.asked_at = None;
        for (worker, ticket) in permitted {
            entry.tickets.insert(worker, (ticket, now.saturating_add(valid_ms)));
        }
        self.unchanged = false;
    }

    /// Handles a request to the policy that got no answer; all workers may be asked about again.
    pub fn policy_unanswered(&mut self, step: &str) {
        self.counters.policy_failures += 1;
        if let Some(entry) = self.policy_tickets.steps.get_mut(step) {
            entry.asked_at = None;
            entry.asked.clear();
        }
    }

    /// Workers that may run a task's step, with tickets that stay valid long enough for a start.
    pub(super) fn permitted_workers(&self, now: u64, task: TaskId) -> Vec<WorkerKey> {
        let Some(entry) = self.policy_tickets.steps.get(&step_name(task)) else { return Vec::new() };
        let valid = entry.tickets.iter().filter(|(_, (_, until))| self.outlasts_start(now, *until));
        valid.filter_map(|(worker, _)| self.worker_key(worker)).collect()
    }

    /// True if a ticket that is valid until then outlasts a start.
    const fn outlasts_start(&self, now: u64, until: u64) -> bool {
        until > now + self.options.start_ttl_ms / 2
    }

    /// Ticket for a task's step on a worker, if it stays valid long enough for a start.
    pub(super) fn ticket(&self, now: u64, task: TaskId, worker: &str) -> Option<String> {
        let entry = self.policy_tickets.steps.get(&step_name(task))?;
        let (ticket, until) = entry.tickets.get(worker)?;
        self.outlasts_start(now, *until).then(|| ticket.clone())
    }

    /// Removes a ticket that a worker refused, so that the policy is asked about that worker again.
    pub(super) fn remove_ticket(&mut self, worker: &str, task: TaskId) {
        if let Some(entry) = self.policy_tickets.steps.get_mut(&step_name(task)) {
            entry.tickets.remove(worker);
            entry.asked.retain(|asked| asked != worker);
        }
    }

    /// Asks the policy about workers that it was not asked about for this step.
    pub(super) fn ask_policy(&mut self, now: u64, task: TaskId, candidates: &[WorkerKey]) {
        let name = step_name(task);
        let entry = self.policy_tickets.steps.entry(name.clone()).or_default();
        if entry.asked_at.is_some_and(|at| at + ANSWER_TIMEOUT_MS > now) {
            return;
        }
        entry.tickets.retain(|_, (_, until)| *until > now);
        if entry.tickets.is_empty() && entry.asked.len() >= candidates.len() {
            entry.asked.clear();
        }
        let mut workers = Vec::new();
        for key in candidates {
            let Some(worker) = self.workers.get(*key) else { continue };
            let id = &worker.record.worker;
            if workers.len() < MAX_WORKERS_ASKED && !entry.asked.contains(id) {
                workers.push(id.clone());
            }
        }
        if workers.is_empty() {
            return;
        }
        self.counters.policy_requests += 1;
        entry.asked_at = Some(now);
        entry.asked.extend(workers.iter().cloned());
        self.commands.push(Command::AskPolicy(name, workers));
    }

    /// Removes the tickets of a job that ended.
    pub(super) fn remove_tickets(&mut self, job: crate::ids::JobId) {
        let prefix = format!("{job}.");
        self.policy_tickets.steps.retain(|name, _| !name.starts_with(&prefix));
    }
}
