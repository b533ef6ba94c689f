//! Service that decides on which workers a step may run. It handles requests one after the other, also those that were
//! given up, and refuses them while too many wait.

use std::collections::{BTreeSet, VecDeque};

use rattanfall_jobs::catalog::Policy;
use rattanfall_jobs::dispatch::command::PolicyRequest;
use rattanfall_jobs::ids::StepId;

/// Largest number of waiting requests.
const MAX_WAITING: usize = 32;

/// Workers that may run a step, with their tickets.
pub(crate) type Permitted = Vec<(String, String)>;

/// Request that the service has accepted.
#[derive(Debug)]
struct Accepted {
    request: PolicyRequest,
    /// Time at which it is decided.
    done: u64,
    /// Time at which its sender gives it up.
    expires: u64,
    /// True once its sender has given it up.
    abandoned: bool,
}

/// Simulated service.
#[derive(Debug)]
pub(crate) struct PolicyService {
    pub(crate) terms: Policy,
    queue: VecDeque<Accepted>,
    /// Time at which it has decided all accepted requests.
    busy_until: u64,
    /// True while it decides nothing.
    pub(crate) stalled: bool,
    /// True while it refuses all requests.
    pub(crate) refusing: bool,
    /// Workers on which no step may run.
    pub(crate) denied: BTreeSet<String>,
    /// Jobs that may run on no worker.
    pub(crate) denied_jobs: BTreeSet<u64>,
    /// Requests in the order of their arrival, with their times.
    pub(crate) requests: Vec<(u64, PolicyRequest)>,
    /// Number of requests refused.
    pub(crate) refused: usize,
    /// Number of requests that were given up.
    pub(crate) abandoned: usize,
}

impl PolicyService {
    /// Creates an idle service.
    pub(crate) const fn new(terms: Policy) -> Self {
        Self {
            terms,
            queue: VecDeque::new(),
            busy_until: 0,
            stalled: false,
            refusing: false,
            denied: BTreeSet::new(),
            denied_jobs: BTreeSet::new(),
            requests: Vec::new(),
            refused: 0,
            abandoned: 0,
        }
    }

    /// Accepts a request, or refuses it if too many wait.
    pub(super) fn accept(&mut self, now: u64, request: PolicyRequest) -> bool {
        self.requests.push((now, request.clone()));
        // One of the accepted requests is being handled.
        if self.refusing || self.queue.len() > MAX_WAITING {
            self.refused += 1;
            return false;
        }
        let length = self.terms.decision_ms + self.terms.worker_ms * request.workers.len() as u64;
        self.busy_until = self.busy_until.max(now) + length;
        let expires = now + request.timeout_ms;
        self.queue.push_back(Accepted { request, done: self.busy_until, expires, abandoned: false });
        true
    }

    /// Delays all requests by a round in which the service was stalled.
    fn delay(&mut self, ms: u64) {
        self.busy_until += ms;
        self.queue.iter_mut().for_each(|accepted| accepted.done += ms);
    }

    /// Outcomes of requests since the last round: none for those that were given up.
    pub(super) fn advance(&mut self, now: u64, round_ms: u64) -> Vec<(StepId, Option<Permitted>)> {
        if self.stalled {
            self.delay(round_ms);
        }
        let mut outcomes = Vec::new();
        while self.queue.front().is_some_and(|accepted| accepted.done <= now) {
            let Some(accepted) = self.queue.pop_front() else { break };
            if !accepted.abandoned {
                outcomes.push((accepted.request.step, Some(self.permitted(&accepted.request))));
            }
        }
        for accepted in
            self.queue.iter_mut().filter(|accepted| !accepted.abandoned && accepted.expires <= now)
        {
            accepted.abandoned = true;
            self.abandoned += 1;
            outcomes.push((accepted.request.step, None));
        }
        outcomes
    }

    fn permitted(&self, request: &PolicyRequest) -> Permitted {
        if self.denied_jobs.contains(&request.step.job.0) {
            return Vec::new();
        }
        let workers = request.workers.iter().filter(|id| !self.denied.contains(*id));
        workers.map(|id| (id.clone(), format!("ticket-{id}"))).collect()
    }
}
