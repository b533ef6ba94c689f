//! Requests: any path, answered after the wanted work with the wanted size.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, StatusCode};
use rattanfall_core::engine::event::WorkerRefusal;
use rattanfall_wire::worker::{
    DEADLINE_HEADER, POOL_HEADER, REFUSED_HEADER, REQUEST_ID_HEADER, refusal_name,
};
use tokio::time::sleep;

use super::{ANSWER_HEADER, RECEIVED_HEADER, RunEnd, Start, TEAM_HEADER, TOKEN_HEADER, WORK_HEADER, Worker};
use crate::http::{Answer, Parts, Request};

/// Largest answer, in bytes.
const ANSWER_LIMIT: u64 = 64 << 20;

/// What a request asks for.
struct Order {
    id: String,
    token: String,
    team: String,
    pool: Option<String>,
    work: Duration,
    deadline: Option<Duration>,
    answer_bytes: usize,
    received: usize,
}

impl From<&Request> for Order {
    fn from(request: &Request) -> Self {
        let text = |name| request.header(name).unwrap_or_default().to_owned();
        let number = |name| request.header(name).and_then(|value| value.parse::<u64>().ok());
        let work = number(WORK_HEADER).or_else(|| request.number("work_ms")).unwrap_or(0);
        let bytes = number(ANSWER_HEADER).or_else(|| request.number("answer_bytes")).unwrap_or(0);
        Self {
            id: text(REQUEST_ID_HEADER),
            token: text(TOKEN_HEADER),
            team: text(TEAM_HEADER),
            pool: request.header(POOL_HEADER).map(str::to_owned),
            work: Duration::from_millis(work),
            deadline: number(DEADLINE_HEADER).map(Duration::from_millis),
            answer_bytes: usize::try_from(bytes.min(ANSWER_LIMIT)).unwrap_or(usize::MAX),
            received: request.body.len(),
        }
    }
}

impl Order {
    fn start(&self, pool: &str) -> Start {
        Start {
            request: self.id.clone(),
            token: self.token.clone(),
            team: self.team.clone(),
            pool: pool.to_owned(),
            ..Start::default()
        }
    }
}

/// Answer to work that was not started.
pub(super) fn refused(refusal: WorkerRefusal) -> Answer {
    let name = refusal_name(refusal);
    Answer::error(StatusCode::SERVICE_UNAVAILABLE, "not run").with(REFUSED_HEADER, name)
}

impl Worker {
    /// Runs a request and answers it.
    pub(super) async fn run_request(&self, request: &Request) -> Answer {
        let order = Order::from(request);
        let mut reboots = self.reboots.subscribe();
        let number = match self.start_request(&order) {
            Ok(number) => number,
            Err(refusal) => return refused(refusal).with(REQUEST_ID_HEADER, &order.id),
        };
        let work = async {
            tokio::select! {
                end = self.run(&order) => end,
                _ = reboots.changed() => RunEnd::Rebooted,
            }
        };
        let end = work.await;
        let late = self.end_request(number, end);
        if !late.is_zero() {
            sleep(late).await;
        }
        self.answer_request(&order, end)
    }

    fn start_request(&self, order: &Order) -> Result<u64, WorkerRefusal> {
        let now = Instant::now();
        let mut state = self.state.lock();
        state.settle(now);
        if let Some(refusal) = state.refusal(order.pool.as_deref()) {
            return Err(refusal);
        }
        let start = order.start(&state.pool);
        state.start_request(now, self.spec.slots, start)
    }

    async fn run(&self, order: &Order) -> RunEnd {
        if self.state.lock().faults.fail {
            return RunEnd::Failed;
        }
        let time = order.deadline.map_or(order.work, |deadline| order.work.min(deadline));
        if !time.is_zero() {
            sleep(time).await;
        }
        if order.deadline.is_some_and(|deadline| order.work > deadline) {
            RunEnd::Stopped
        } else {
            RunEnd::Done
        }
    }

    fn end_request(&self, number: u64, end: RunEnd) -> Duration {
        let mut state = self.state.lock();
        state.end_request(Instant::now(), number, end);
        Duration::from_millis(state.faults.late_ms)
    }

    fn answer_request(&self, order: &Order, end: RunEnd) -> Answer {
        let status = match end {
            RunEnd::Done | RunEnd::Running => StatusCode::OK,
            RunEnd::Failed => StatusCode::INTERNAL_SERVER_ERROR,
            RunEnd::Stopped => StatusCode::GATEWAY_TIMEOUT,
            RunEnd::Rebooted => return Answer::Closed,
        };
        let mut own = (order.id.clone(), order.token.clone());
        let mut state = self.state.lock();
        if state.faults.crossed {
            std::mem::swap(&mut state.last, &mut own);
        } else {
            state.last.clone_from(&own);
        }
        let truncated = state.faults.truncated;
        drop(state);
        let (id, token) = own;
        let name = if token.is_empty() { &id } else { &token };
        let body = body(name, order.answer_bytes);
        let parts = Box::new(Parts { status, headers: HeaderMap::new(), body });
        let answer = if truncated { Answer::Truncated(parts) } else { Answer::Whole(parts) };
        let answer = answer.with(RECEIVED_HEADER, &order.received.to_string());
        let answer = answer.with(REQUEST_ID_HEADER, &id);
        if token.is_empty() { answer } else { answer.with(TOKEN_HEADER, &token) }
    }
}

/// The name of the work and a line end, filled with dots up to a size.
fn body(name: &str, size: usize) -> Bytes {
    let mut body = Vec::with_capacity(size.max(name.len() + 1));
    body.extend_from_slice(name.as_bytes());
    body.push(b'\n');
    if body.len() < size {
        body.resize(size, b'.');
    }
    body.into()
}
