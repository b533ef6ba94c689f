//! Requests on any path. Headers or query parameters set the duration of the work and the size of the answer.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use rattanfall_core::engine::event::WorkerRefusal;
use rattanfall_wire::worker::{
    DEADLINE_HEADER, POOL_HEADER, REFUSED_HEADER, REQUEST_ID_HEADER, refusal_name,
};
use tokio::time::sleep;

use super::{
    ANSWER_BYTES_HEADER, RECEIVED_BYTES_HEADER, RunOutcome, StartedWork, TEAM_HEADER, TOKEN_HEADER,
    WORK_MS_HEADER, Worker,
};
use crate::http::{Answer, Parts, Request};

/// Upper bound of the requested answer size, 64 MiB.
const MAX_ANSWER_BYTES: u64 = 64 << 20;

/// Parameters of a request, from its headers and query.
struct RequestParams {
    id: String,
    token: String,
    team: String,
    /// Pool that the worker must be in; `None` accepts any.
    pool: Option<String>,
    work: Duration,
    deadline: Option<Duration>,
    answer_bytes: usize,
    received_bytes: usize,
}

impl From<&Request> for RequestParams {
    fn from(request: &Request) -> Self {
        let text = |name| request.header(name).unwrap_or_default().to_owned();
        let number = |name| request.header(name).and_then(|value| value.parse::<u64>().ok());
        let work = number(WORK_MS_HEADER).or_else(|| request.query_number("work_ms")).unwrap_or(0);
        let bytes = number(ANSWER_BYTES_HEADER).or_else(|| request.query_number("answer_bytes")).unwrap_or(0);
        Self {
            id: text(REQUEST_ID_HEADER),
            token: text(TOKEN_HEADER),
            team: text(TEAM_HEADER),
            pool: request.header(POOL_HEADER).map(str::to_owned),
            work: Duration::from_millis(work),
            deadline: number(DEADLINE_HEADER).map(Duration::from_millis),
            answer_bytes: usize::try_from(bytes.min(MAX_ANSWER_BYTES)).unwrap_or(usize::MAX),
            received_bytes: request.body.len(),
        }
    }
}

impl RequestParams {
    fn journal_start(&self, pool: &str) -> StartedWork {
        StartedWork {
            request: self.id.clone(),
            token: self.token.clone(),
            team: self.team.clone(),
            pool: pool.to_owned(),
            ..StartedWork::default()
        }
    }
}

/// Answer to work that was refused and did not start.
pub(super) fn refusal_answer(refusal: WorkerRefusal) -> Answer {
    let name = refusal_name(refusal);
    Answer::error(StatusCode::SERVICE_UNAVAILABLE, "the work was refused and did not run")
        .with(REFUSED_HEADER, name)
}

impl Worker {
    /// Simulates the work of a request and builds its answer. A reboot ends the work and closes the connection.
    pub(super) async fn run_request(&self, request: &Request) -> Answer {
        let params = RequestParams::from(request);
        let mut reboots = self.reboots.subscribe();
        let entry = match self.start_request(&params) {
            Ok(entry) => entry,
            Err(refusal) => return refusal_answer(refusal).with(REQUEST_ID_HEADER, &params.id),
        };
        let work = async {
            tokio::select! {
                end = self.run(&params) => end,
                _ = reboots.changed() => RunOutcome::Rebooted,
            }
        };
        let end = work.await;
        let delay = self.end_request(entry, end);
        if !delay.is_zero() {
            sleep(delay).await;
        }
        self.answer_request(&params, end)
    }

    fn start_request(&self, params: &RequestParams) -> Result<u64, WorkerRefusal> {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.advance(now);
        if let Some(refusal) = state.refusal(params.pool.as_deref()) {
            return Err(refusal);
        }
        let start = params.journal_start(&state.pool);
        state.start_request(now, self.spec.slots, start)
    }

    async fn run(&self, params: &RequestParams) -> RunOutcome {
        if self.state.lock().faults.fail {
            return RunOutcome::Failed;
        }
        let time = params.deadline.map_or(params.work, |deadline| params.work.min(deadline));
        if !time.is_zero() {
            sleep(time).await;
        }
        if params.deadline.is_some_and(|deadline| params.work > deadline) {
            RunOutcome::Stopped
        } else {
            RunOutcome::Done
        }
    }

    /// Frees the slot and returns the time by which to delay the answer.
    fn end_request(&self, entry: u64, end: RunOutcome) -> Duration {
        let mut state = self.state.lock();
        state.end_request(Instant::now(), entry, end);
        Duration::from_millis(state.faults.late_ms)
    }

    fn answer_request(&self, params: &RequestParams, end: RunOutcome) -> Answer {
        let status = match end {
            RunOutcome::Done | RunOutcome::Running => StatusCode::OK,
            RunOutcome::Failed => StatusCode::INTERNAL_SERVER_ERROR,
            RunOutcome::Stopped => StatusCode::GATEWAY_TIMEOUT,
            RunOutcome::Rebooted => return Answer::Closed,
        };
        let mut ids = (params.id.clone(), params.token.clone());
        let mut state = self.state.lock();
        if state.faults.crossed {
            std::mem::swap(&mut state.last_answer, &mut ids);
        } else {
            state.last_answer.clone_from(&ids);
        }
        let truncated = state.faults.truncated;
        drop(state);
        let (id, token) = ids;
        let name = if token.is_empty() { &id } else { &token };
        let body = body(name, params.answer_bytes);
        let parts = Box::new(Parts { status, headers: HeaderMap::new(), body });
        let answer = if truncated { Answer::Truncated(parts) } else { Answer::Whole(parts) };
        let answer = answer.with(RECEIVED_BYTES_HEADER, &params.received_bytes.to_string());
        let answer = answer.with(REQUEST_ID_HEADER, &id);
        if token.is_empty() { answer } else { answer.with(TOKEN_HEADER, &token) }
    }
}

/// Builds a body of `size` bytes: the name and a line feed, padded with dots. A longer name is not cut.
fn body(name: &str, size: usize) -> Bytes {
    let mut body = Vec::with_capacity(size.max(name.len() + 1));
    body.extend_from_slice(name.as_bytes());
    body.push(b'\n');
    if body.len() < size {
        body.resize(size, b'.');
    }
    body.into()
}
