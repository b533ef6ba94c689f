//! Tasks: submitted with a token, then polled until they end.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use rattanfall_wire::caller::{
    CLASS_HEADER, IDEMPOTENT_HEADER, OUTCOME_HEADER, SubmittedTask, TOKEN_HEADER, TaskBody,
};
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::request::{class_name, reason, text};
use super::{Context, Outcome, Violation};
use crate::client::Reply;
use crate::flow::WorkItem;

/// Attempts to submit one task. All use the same token, so that at most one is accepted.
const MAX_SUBMISSIONS: usize = 5;
/// Pause between two attempts to submit.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(200);
/// Pause before each poll.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Limit for one call, including the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Submits a task and polls it until it ends.
pub(super) async fn run(context: &Context, item: &WorkItem) -> Outcome {
    match submit(context, item).await {
        Ok(id) => poll_until_ended(context, item, &id).await,
        Err(outcome) => outcome,
    }
}

async fn submit(context: &Context, item: &WorkItem) -> Result<String, Outcome> {
    let targets = context.targets(item);
    let mut last = Outcome::NotRun("unreachable".into());
    // "Not run" is final only if no earlier attempt had an uncertain result, since that one may have been accepted.
    let mut uncertain = false;
    for target in targets.iter().cycle().take(MAX_SUBMISSIONS) {
        match submit_once(context, item, target).await {
            Some(reply) if reply.status.is_success() => {
                let task = serde_json::from_slice::<SubmittedTask>(&reply.body);
                return task.map(|task| task.id).map_err(|_| Outcome::Broken(Violation::TruncatedAnswer));
            }
            Some(reply) if text(&reply.headers, OUTCOME_HEADER) == "not-run" => {
                last = Outcome::NotRun(reason(&reply));
                if !uncertain {
                    return Err(last);
                }
            }
            Some(reply) => {
                uncertain = true;
                last = Outcome::Unknown(reason(&reply));
            }
            None => {
                uncertain = true;
                last = Outcome::Unknown("no-answer".into());
            }
        }
        sleep(SUBMIT_INTERVAL).await;
    }
    Err(if uncertain { Outcome::Unknown("submission-unknown".into()) } else { last })
}

async fn submit_once(context: &Context, item: &WorkItem, target: &Arc<str>) -> Option<Reply> {
    let flow = context.flow(item);
    let token = context.token(item);
    let payload = json!({
        "work_ms": item.work_ms,
        "checkpoint": true,
        "token": token,
        "team": &*flow.team,
    });
    let builder = Request::post(format!("/v1/pools/{}/tasks", flow.pool))
        .header("host", &**target)
        .header(CLASS_HEADER, class_name(flow.class))
        .header(IDEMPOTENT_HEADER, if item.idempotent { "true" } else { "false" })
        .header(TOKEN_HEADER, &token)
        .header("authorization", format!("Bearer {}", flow.key));
    let request = builder.body(Full::new(payload.to_string().into())).ok()?;
    context.client.send(target, request, CALL_TIMEOUT).await.ok()
}

async fn poll_until_ended(context: &Context, item: &WorkItem, id: &str) -> Outcome {
    let targets = context.targets(item);
    let mut not_found = false;
    for target in targets.iter().cycle() {
        if Instant::now() >= context.task_deadline {
            break;
        }
        sleep(POLL_INTERVAL).await;
        let Some(reply) = poll_once(context, item, target, id).await else { continue };
        let Ok(body) = serde_json::from_slice::<TaskBody>(&reply.body) else {
            // An instance that is behind may not know the task yet, so it counts as lost only if it is still unknown at
            // the deadline.
            not_found |= reply.status == http::StatusCode::NOT_FOUND;
            continue;
        };
        not_found = false;
        if let Some(outcome) = ended(&context.token(item), &body) {
            return outcome;
        }
    }
    if not_found { Outcome::Broken(Violation::LostTask) } else { Outcome::Unknown("unfinished".into()) }
}

async fn poll_once(context: &Context, item: &WorkItem, target: &Arc<str>, id: &str) -> Option<Reply> {
    let builder = Request::get(format!("/v1/tasks/{id}")).header("host", &**target);
    let builder = builder.header("authorization", format!("Bearer {}", context.flow(item).key));
    let request = builder.body(Full::new(Bytes::new())).ok()?;
    context.client.send(target, request, CALL_TIMEOUT).await.ok()
}

fn ended(token: &str, body: &TaskBody) -> Option<Outcome> {
    let reason = body.reason.clone().filter(|reason| !reason.is_empty());
    match (body.state.as_str(), reason) {
        ("waiting" | "running", _) => None,
        ("done", _) => Some(done(token, body)),
        ("failed", Some(_)) => Some(Outcome::Done { failed: true }),
        ("unknown", Some(reason)) => Some(Outcome::Unknown(reason.into())),
        // Nothing in the load cancels tasks, so a cancelled task counts as lost, like one without a reason.
        _ => Some(Outcome::Broken(Violation::LostTask)),
    }
}

fn done(token: &str, body: &TaskBody) -> Outcome {
    let result = body.result.as_deref().unwrap_or_default();
    let Ok(result) = serde_json::from_str::<Value>(result) else {
        return Outcome::Broken(Violation::TruncatedAnswer);
    };
    if result["token"] == token {
        Outcome::Done { failed: false }
    } else {
        Outcome::Broken(Violation::CrossedAnswer)
    }
}
