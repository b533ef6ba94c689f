//! Requests, whose response carries the result.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use rattanfall_core::record::Class;
use rattanfall_wire::caller::{CLASS_HEADER, IDEMPOTENT_HEADER, OUTCOME_HEADER, REASON_HEADER, RefusalBody};
use rattanfall_wire::worker::{DEADLINE_HEADER, POOL_HEADER, REFUSED_HEADER, REQUEST_ID_HEADER};

use super::verify::TOKEN_HEADER;
use super::{Context, Outcome, Reason, Violation, verify};
use crate::client::{Failure, Reply};
use crate::flow::WorkItem;

/// Time that a caller waits beyond its deadline, so that the instance's timeout response arrives first.
pub(super) const GRACE: Duration = Duration::from_millis(1_000);

/// Sends a request to the first target that can be reached, as a load balancer does.
pub(super) async fn run(context: &Context, item: &WorkItem) -> Outcome {
    let limit = context.flow(item).timeout + GRACE;
    for target in context.targets(item) {
        let Ok(request) = build(context, item, &target) else {
            return Outcome::NotRun("malformed-request".into());
        };
        match context.client.send(&target, request, limit).await {
            Ok(reply) => return classify(context, item, &reply),
            Err(Failure::Unreachable | Failure::Unsent) => {}
            Err(failure) => return failed_exchange(context, &failure),
        }
    }
    Outcome::NotRun("unreachable".into())
}

fn build(context: &Context, item: &WorkItem, target: &str) -> http::Result<Request<Full<Bytes>>> {
    let flow = context.flow(item);
    let token = context.token(item);
    let path =
        if context.is_direct() { "/work".into() } else { format!("/v1/pools/{}/call/work", flow.pool) };
    let mut builder = Request::post(path)
        .header("host", target)
        .header(CLASS_HEADER, class_name(flow.class))
        .header(IDEMPOTENT_HEADER, if item.idempotent { "true" } else { "false" })
        .header(DEADLINE_HEADER, flow.timeout.as_millis().to_string())
        .header(REQUEST_ID_HEADER, &token)
        .header(TOKEN_HEADER, &token)
        .header("x-team", &*flow.team)
        .header("x-work-ms", item.work_ms)
        .header("x-answer-bytes", flow.answer_bytes);
    if context.is_direct() {
        builder = builder.header(POOL_HEADER, &*flow.pool);
    }
    if !flow.key.is_empty() {
        builder = builder.header("authorization", format!("Bearer {}", flow.key));
    }
    builder.body(Full::new(vec![b'.'; flow.body_bytes as usize].into()))
}

/// Value of the class header.
pub(crate) const fn class_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Normal => "normal",
        Class::Batch => "batch",
    }
}

fn classify(context: &Context, item: &WorkItem, reply: &Reply) -> Outcome {
    match outcome_name(context, reply) {
        "done" => done(context, item, reply),
        "not-run" => Outcome::NotRun(reason(reply)),
        "unknown" => Outcome::Unknown(reason(reply)),
        _ => Outcome::Unknown("no-outcome".into()),
    }
}

fn outcome_name<'a>(context: &Context, reply: &'a Reply) -> &'a str {
    if !context.is_direct() {
        return text(&reply.headers, OUTCOME_HEADER);
    }
    match reply.status {
        StatusCode::SERVICE_UNAVAILABLE => "not-run",
        StatusCode::GATEWAY_TIMEOUT => "unknown",
        _ => "done",
    }
}

fn done(context: &Context, item: &WorkItem, reply: &Reply) -> Outcome {
    let flow = context.flow(item);
    let sizes = (flow.answer_bytes as usize, flow.body_bytes as usize);
    match verify(&context.token(item), sizes.0, sizes.1, &reply.headers, &reply.body) {
        Ok(()) => Outcome::Done { failed: !reply.status.is_success() },
        Err(violation) => Outcome::Broken(violation),
    }
}

/// Reason from the entry instance's header, the worker's refusal header or the body; otherwise the status.
pub(super) fn reason(reply: &Reply) -> Reason {
    for name in [REASON_HEADER, REFUSED_HEADER] {
        let value = text(&reply.headers, name);
        if !value.is_empty() {
            return value.to_owned().into();
        }
    }
    let body = serde_json::from_slice::<RefusalBody>(&reply.body);
    body.map_or_else(|_| format!("status-{}", reply.status.as_u16()), |body| body.reason).into()
}

/// Value of a header; empty if it is absent or not text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn failed_exchange(context: &Context, failure: &Failure) -> Outcome {
    match failure {
        Failure::Truncated(headers) => truncated(context, headers),
        Failure::TimedOut => Outcome::Unknown("client-timeout".into()),
        Failure::Unreachable | Failure::Unsent | Failure::Broken => {
            Outcome::Unknown("connection-broken".into())
        }
    }
}

fn truncated(context: &Context, headers: &HeaderMap) -> Outcome {
    let is_done = context.is_direct() || text(headers, OUTCOME_HEADER) == "done";
    if is_done && !context.tolerate_cuts {
        return Outcome::Broken(Violation::TruncatedAnswer);
    }
    Outcome::Unknown("answer-cut".into())
}
