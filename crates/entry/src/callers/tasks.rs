//! Handlers for callers' tasks: submission, lookup and cancellation.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use rattanfall_core::engine::command::{NotRun, ProposalError, Refusal, Unknown};
use rattanfall_core::engine::event::TaskSubmission;
use rattanfall_core::fleet::{Effect, Fleet, VoidReason};
use rattanfall_core::ids::{TaskId, TeamId};
use rattanfall_core::record::{KeyHash, Record};
use rattanfall_wire::caller::{Outcome, SubmittedTask, TOKEN_HEADER, TaskBody};
use tokio::sync::oneshot;
use tokio::time::timeout;
use xitca_web::body::RequestBody;
use xitca_web::http::{WebRequest, WebResponse};

use super::Callers;
use super::error::EdgeError;
use super::headers;
use super::response::json;
use super::upload::read_whole;
use crate::shell::Resolution;

/// Timeout for reading a payload.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout of the wait for a record's offset. It is a fallback; the engine gives up earlier.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(60);

/// Submits a task and responds once its record is in the log.
pub(super) async fn submit(
    callers: &Arc<Callers>,
    request: &WebRequest<()>,
    pool: &str,
    body: RequestBody,
) -> Result<WebResponse, EdgeError> {
    let headers = request.headers();
    let length = headers::length(headers)?;
    let key = headers::key_hash(headers)?;
    let limit = callers.shell.read(|engine| payload_limit(engine.fleet(), pool, key));
    let address = *request.body().socket_addr();
    let limit = (limit.unwrap_or(u64::MAX), UPLOAD_TIMEOUT);
    let payload = read_whole(callers, body, address, length, limit).await?;
    let task = TaskSubmission {
        key,
        pool: pool.to_owned(),
        class: headers::class(headers)?,
        idempotent: headers::idempotent(request.method(), headers)?,
        token: headers::text(headers, TOKEN_HEADER)?.map(str::to_owned),
        payload: payload.to_vec(),
    };
    let resolution = callers.shell.submit_task(task).map_err(not_run)?;
    match await_resolution(resolution).await {
        Ok((_, Effect::Task(id))) => {
            Ok(json(StatusCode::ACCEPTED, Outcome::Unknown, None, &SubmittedTask { id: id.to_string() }))
        }
        Ok(_) => Err(EdgeError::Refused(Refusal::Unknown(Unknown::AppendUnknown))),
        Err(error) => Err(from_proposal_error(&error)),
    }
}

/// Returns the payload limit of a pool and team in bytes, or the fleet-wide default if they are unknown.
fn payload_limit(fleet: &Fleet, pool: &str, key: Option<KeyHash>) -> Option<u64> {
    let team = team(fleet, key).or_else(|| fleet.pools.get(&fleet.pool(pool)?)?.open);
    let pool = fleet.pool(pool).unwrap_or_default();
    Some(fleet.effective_default(pool, team.unwrap_or_default(), |d| d.payload_bytes, "payload_bytes"))
}

fn team(fleet: &Fleet, key: Option<KeyHash>) -> Option<TeamId> {
    let key = fleet.keys.get(fleet.hashes.get(&key?)?)?;
    (!key.withdrawn).then_some(key.team)
}

fn not_run(reason: NotRun) -> EdgeError {
    EdgeError::Refused(Refusal::NotRun(reason))
}

fn from_proposal_error(error: &ProposalError) -> EdgeError {
    EdgeError::Refused(match error {
        ProposalError::Void(VoidReason::Unknown("pool")) => Refusal::NotRun(NotRun::UnknownPool),
        ProposalError::Void(VoidReason::Unknown(_)) => Refusal::NotRun(NotRun::KeyUnknown),
        ProposalError::Void(_) => Refusal::NotRun(NotRun::NotReady),
        ProposalError::Unavailable => Refusal::NotRun(NotRun::PlatformUnavailable),
        ProposalError::Unknown => Refusal::Unknown(Unknown::AppendUnknown),
    })
}

/// Waits for the result of a proposal. The result is unknown if the engine was replaced, which closes the channel.
async fn await_resolution(resolution: oneshot::Receiver<Resolution>) -> Resolution {
    match timeout(RESOLVE_TIMEOUT, resolution).await {
        Ok(Ok(resolution)) => resolution,
        _ => Err(ProposalError::Unknown),
    }
}

/// Returns the state of a task.
pub(super) fn get(
    callers: &Arc<Callers>,
    request: &WebRequest<()>,
    id: &str,
) -> Result<WebResponse, EdgeError> {
    let body = find_task(callers, request, id)?.1;
    Ok(json(StatusCode::OK, task_outcome(&body), None, &body))
}

/// Cancels a task.
pub(super) async fn cancel(
    callers: &Arc<Callers>,
    request: &WebRequest<()>,
    id: &str,
) -> Result<WebResponse, EdgeError> {
    let (task, _) = find_task(callers, request, id)?;
    match await_resolution(callers.shell.propose(Record::TaskCancelled { task })).await {
        Ok(_) => {
            let body = find_task(callers, request, id)?.1;
            Ok(json(StatusCode::ACCEPTED, task_outcome(&body), None, &body))
        }
        Err(ProposalError::Void(VoidReason::State)) => Err(EdgeError::TaskEnded),
        Err(ProposalError::Void(VoidReason::Unknown(_))) => Err(EdgeError::UnknownTask),
        Err(error) => Err(from_proposal_error(&error)),
    }
}

/// Finds a task that the caller may see: one of the key's team or, without a key, one of the team of an open pool.
fn find_task(callers: &Callers, request: &WebRequest<()>, id: &str) -> Result<(TaskId, TaskBody), EdgeError> {
    let key = headers::key_hash(request.headers())?;
    let id: TaskId = id.parse().map_err(|_| EdgeError::UnknownTask)?;
    callers.shell.read(|engine| {
        let fleet = engine.fleet();
        let task = fleet.tasks.get(&id).ok_or(EdgeError::UnknownTask)?;
        let team = match key {
            Some(_) => team(fleet, key),
            None => fleet.pools.get(&task.pool).and_then(|pool| pool.open),
        };
        let own = team == Some(task.team);
        if own { Ok((id, TaskBody::from((id, task)))) } else { Err(EdgeError::UnknownTask) }
    })
}

fn task_outcome(body: &TaskBody) -> Outcome {
    match body.state.as_str() {
        "done" => Outcome::Done,
        "cancelled" if body.attempts == 0 => Outcome::NotRun,
        _ => Outcome::Unknown,
    }
}
