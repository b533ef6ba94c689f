//! Calls to workers that lease, start, query and stop tasks, and liveness probes.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use http::Method;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use rattanfall_core::engine::command::{TaskAction, TaskCall};
use rattanfall_core::engine::event::{TaskAnswer, TaskReport, WorkerRefusal};
use rattanfall_wire::worker::{
    Lease, LeaseRequest, REFUSED_HEADER, RunState, StartTask, TaskStatus, parse_refusal,
};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::{Call, CallError, Pool, Reply, SendBody, call};
use crate::shell::Shell;

/// Timeout of one call to a worker about a task.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a probe, including the connect.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Makes a call about a task and reports the worker's answer.
pub async fn run_task_call(shell: &Shell, pool: &Arc<Pool>, task_call: TaskCall) -> TaskReport {
    let TaskCall { task, attempt, worker, address, action } = task_call;
    let id = task.to_string();
    let owner = shell.member().map_or(0, |member| member.0);
    let lease_request = LeaseRequest { task: id.clone(), attempt, owner, pool: String::new() };
    let asked = shell.now();
    let leased = |reply: &Reply| {
        let lease: Lease = reply.parse()?;
        Some((TaskAnswer::Leased { lease: lease.lease, ttl_ms: lease.ttl_ms, asked }, lease.nonce))
    };
    let status = |reply: &Reply| status_answer(reply, attempt);
    let (answer, nonce) = match action {
        TaskAction::Lease { pool: name } => {
            let request = Call::new(Method::POST, "/worker/leases", CALL_TIMEOUT)
                .json(&LeaseRequest { pool: name, ..lease_request });
            parse_reply(call(pool, &address, request).await, leased)
        }
        TaskAction::Renew { lease } => {
            let request = Call::new(Method::POST, format!("/worker/leases/{lease}/renew"), CALL_TIMEOUT)
                .json(&lease_request);
            parse_reply(call(pool, &address, request).await, leased)
        }
        TaskAction::Start { lease, payload, checkpoint } => {
            let payload = STANDARD.encode(payload);
            let checkpoint = checkpoint.map(|bytes| STANDARD.encode(bytes));
            let start = StartTask { lease, task: id, attempt, payload, checkpoint };
            let request = Call::new(Method::POST, "/worker/tasks", CALL_TIMEOUT).json(&start);
            parse_reply(call(pool, &address, request).await, |_| Some((TaskAnswer::Running, 0)))
        }
        TaskAction::Query => {
            let request = Call::new(Method::GET, format!("/worker/tasks/{id}"), CALL_TIMEOUT);
            parse_reply(call(pool, &address, request).await, status)
        }
        TaskAction::Stop => {
            let request = Call::new(Method::DELETE, format!("/worker/tasks/{id}"), CALL_TIMEOUT);
            parse_reply(call(pool, &address, request).await, status)
        }
    };
    TaskReport { task, attempt, worker, answer, nonce }
}

/// Converts a reply to the worker's answer and its nonce; 0 if the reply has none.
fn parse_reply(
    reply: Result<Reply, CallError>,
    parse: impl FnOnce(&Reply) -> Option<(TaskAnswer, u64)>,
) -> (TaskAnswer, u64) {
    let reply = match reply {
        Ok(reply) => reply,
        Err(CallError::Unsent) => return (TaskAnswer::Unsent, 0),
        Err(_) => return (TaskAnswer::NoAnswer, 0),
    };
    if let Some(refusal) = refusal(&reply) {
        return (TaskAnswer::Refused(refusal), 0);
    }
    let parsed = if reply.status.is_success() { parse(&reply) } else { None };
    parsed.unwrap_or((TaskAnswer::NoAnswer, 0))
}

fn refusal(reply: &Reply) -> Option<WorkerRefusal> {
    let text = reply.headers.get(REFUSED_HEADER)?.to_str().ok()?;
    parse_refusal(text)
}

/// Converts a task's status to the answer about one attempt. The status describes the worker's latest attempt: if that
/// is an earlier one, this attempt never started; if it is a later one, this attempt has stopped.
fn status_answer(reply: &Reply, attempt: u32) -> Option<(TaskAnswer, u64)> {
    let status: TaskStatus = reply.parse()?;
    let nonce = status.nonce;
    let answer = match status.attempt.cmp(&attempt) {
        Ordering::Less => TaskAnswer::Never,
        Ordering::Greater => TaskAnswer::Stopped { checkpoint: None },
        Ordering::Equal => current_answer(status)?,
    };
    Some((answer, nonce))
}

fn current_answer(status: TaskStatus) -> Option<TaskAnswer> {
    Some(match status.state {
        RunState::Never => TaskAnswer::Never,
        RunState::Running => TaskAnswer::Running,
        RunState::Done => TaskAnswer::Done(decode(&status.result.unwrap_or_default())?),
        RunState::Failed => TaskAnswer::Failed(status.reason.unwrap_or_else(|| "no reason given".into())),
        RunState::Stopped => TaskAnswer::Stopped { checkpoint: status.checkpoint.and_then(|c| decode(&c)) },
    })
}

fn decode(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}

/// Returns whether the worker at an address answers a status call on a new connection.
pub async fn probe(address: &str) -> bool {
    timeout(PROBE_TIMEOUT, try_probe(address)).await.ok().flatten().is_some()
}

async fn try_probe(address: &str) -> Option<()> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = handshake::<_, SendBody>(TokioIo::new(stream)).await.ok()?;
    let request = http::Request::get("/worker/status").header(http::header::HOST, address);
    let request = request.body(SendBody::Buffered(None)).ok()?;
    let response = async { sender.send_request(request).await.ok().filter(|r| r.status().is_success()) };
    tokio::select! {
        response = response => response.map(|_| ()),
        _ = connection => None,
    }
}
