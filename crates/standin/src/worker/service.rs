//! HTTP routes of a worker: `/control/...`, `/worker/...` for status, leases and tasks, and every other path for
//! requests.

use std::time::Instant;

use http::{Method, StatusCode};
use rattanfall_core::engine::event::WorkerRefusal;
use rattanfall_wire::worker::{LeaseRequest, StartTask, WorkerStatus};

use super::request::refusal_answer;
use super::{NAME_HEADER, NONCE_HEADER, Worker};
use crate::http::{Answer, Request, Service};

impl Service for Worker {
    async fn answer(&self, request: Request) -> Answer {
        let answer = match request.segments().as_slice() {
            ["control", path @ ..] => self.control(&request, path).unwrap_or_else(|error| error),
            _ if self.state.lock().is_silenced(request.peer) => return Answer::Silent,
            ["worker", path @ ..] => self.answer_tasks(&request, path).unwrap_or_else(|error| error),
            _ => self.run_request(&request).await,
        };
        let nonce = self.state.lock().nonce;
        answer.with(NAME_HEADER, &self.spec.name).with(NONCE_HEADER, &nonce.to_string())
    }
}

impl Worker {
    fn answer_tasks(&self, request: &Request, path: &[&str]) -> Result<Answer, Answer> {
        self.state.lock().advance(Instant::now());
        match (&request.method, path) {
            (&Method::GET, ["status"]) => Ok(self.status()),
            (&Method::POST, ["leases"]) => self.grant(request),
            (&Method::POST, ["leases", lease, "renew"]) => self.renew(request, lease),
            (&Method::POST, ["tasks"]) => self.start(request),
            (&Method::GET, ["tasks", task]) => self.query(task),
            (&Method::DELETE, ["tasks", task]) => self.stop(task),
            _ => Ok(Answer::error(StatusCode::NOT_FOUND, "no such endpoint")),
        }
    }

    fn status(&self) -> Answer {
        let state = self.state.lock();
        if state.rebooting_until.is_some() {
            return refusal_answer(WorkerRefusal::Leaving);
        }
        Answer::ok(&WorkerStatus {
            name: self.spec.name.clone(),
            nonce: state.nonce,
            pool: state.pool.clone(),
            slots: self.spec.slots,
            running: state.slots_used(),
            leaving: state.faults.leaving,
        })
    }

    fn grant(&self, request: &Request) -> Result<Answer, Answer> {
        let lease_request: LeaseRequest = request.json()?;
        let mut state = self.state.lock();
        if let Some(refusal) = state.refusal(Some(&lease_request.pool)) {
            return Err(refusal_answer(refusal));
        }
        let request_slots = state.running_requests;
        let lease = state.tasks.grant(Instant::now(), &lease_request, self.spec.slots, request_slots);
        lease.map(|lease| Answer::ok(&lease)).map_err(refusal_answer)
    }

    fn renew(&self, request: &Request, lease: &str) -> Result<Answer, Answer> {
        let malformed = |_| Answer::error(StatusCode::BAD_REQUEST, "the lease id is not a number");
        let lease: u64 = lease.parse().map_err(malformed)?;
        let lease_request: Option<LeaseRequest> = if lease == 0 { Some(request.json()?) } else { None };
        let renewed = self.state.lock().tasks.renew(Instant::now(), lease, lease_request.as_ref());
        renewed.map(|lease| Answer::ok(&lease)).map_err(refusal_answer)
    }

    fn start(&self, request: &Request) -> Result<Answer, Answer> {
        let start: StartTask = request.json()?;
        let now = Instant::now();
        let mut guard = self.state.lock();
        let state = &mut *guard;
        if state.rebooting_until.is_some() {
            return Err(refusal_answer(WorkerRefusal::Leaving));
        }
        state.tasks.start(now, &start, &state.pool, &mut state.journal).map_err(refusal_answer)?;
        if state.faults.fail {
            state.tasks.fail(now, &start.task, "failure injected by the `fail` switch", &mut state.journal);
        }
        Ok(Answer::ok(&state.tasks.query(&start.task)))
    }

    fn query(&self, task: &str) -> Result<Answer, Answer> {
        let state = self.state.lock();
        if state.rebooting_until.is_some() {
            return Err(Answer::error(StatusCode::SERVICE_UNAVAILABLE, "the worker is rebooting"));
        }
        Ok(Answer::ok(&state.tasks.query(task)))
    }

    fn stop(&self, task: &str) -> Result<Answer, Answer> {
        let mut guard = self.state.lock();
        let state = &mut *guard;
        Ok(Answer::ok(&state.tasks.stop(Instant::now(), task, &mut state.journal)))
    }
}
