//! Tickets of queues whose policy decides which workers may run a step.

use std::collections::BTreeMap;

use super::super::Dispatcher;
use super::super::command::Command;
use super::super::worker::WorkerKey;
use crate::ids::TaskId;

/// Most workers named in one question. The decision takes time for each.
const MAX_WORKERS_ASKED: usize = 30;
/// Time after which a question without an answer is put again, in milliseconds.
const ANSWER_TIMEOUT_MS: u64 = 3_000;

/// Answer of the policy for one step.
#[derive(Clone, Debug, Default)]
struct StepTickets {
    /// Tickets and the times until which they are valid, by worker.
    tickets: BTreeMap<String, (String, u64)>,
    /// Workers asked about so far.
    asked: Vec<String>,
    /// Time of an open question.
    asked_at: Option<u64>,
}

/// What the policies said.
#[derive(Clone, Debug, Default)]
pub(in super::super) struct PolicyTickets {
    steps: BTreeMap<String, StepTickets>,
}

/// Name of a task's step.
fn step_name(task: TaskId) -> String {
    format!("{}.{}.{}", task.job, task.occurrence, task.step)
}

impl Dispatcher {
    /// Takes note of the tickets for a step.
    pub fn policy_answered(&mut self, now: u64, step: &str, valid_ms: u64, permitted: Vec<(String, String)>) {
        let Some(entry) = self.policy_tickets.steps.get_mut(step) else { return };
        entry.asked_at = None;
        for (worker, ticket) in permitted {
            entry.tickets.insert(worker, (ticket, now + valid_ms));
        }
        self.unchanged = false;
    }

    /// Takes note that a question got no answer.
    pub fn policy_unanswered(&mut self, step: &str) {
        if let Some(entry) = self.policy_tickets.steps.get_mut(step) {
            entry.asked_at = None;
            entry.asked.clear();
        }
    }

    /// Ticket of a step on a worker.
    pub(super) fn ticket(&self, now: u64, task: TaskId, worker: &str) -> Option<String> {
        let entry = self.policy_tickets.steps.get(&step_name(task))?;
        let (ticket, until) = entry.tickets.get(worker)?;
        (*until > now + self.options.start_ttl_ms / 2).then(|| ticket.clone())
    }

    /// Drops a ticket that a worker refused.
    pub(super) fn remove_ticket(&mut self, worker: &str, task: TaskId) {
        if let Some(entry) = self.policy_tickets.steps.get_mut(&step_name(task)) {
            entry.tickets.remove(worker);
            entry.asked.retain(|asked| asked != worker);
        }
    }

    /// Asks the policy about the workers of a step that it has not been asked about.
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
        entry.asked_at = Some(now);
        entry.asked.extend(workers.iter().cloned());
        self.commands.push(Command::AskPolicy(name, workers));
    }

    /// Forgets the tickets of a job that ended.
    pub(super) fn remove_tickets(&mut self, job: crate::ids::JobId) {
        let prefix = format!("{job}.");
        self.policy_tickets.steps.retain(|name, _| !name.starts_with(&prefix));
    }
}
