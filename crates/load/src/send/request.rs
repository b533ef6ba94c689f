//! Requests whose caller waits on the connection.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use rattanfall_core::record::Class;
use rattanfall_wire::caller::{CLASS_HEADER, IDEMPOTENT_HEADER, OUTCOME_HEADER, REASON_HEADER, RefusalBody};
use rattanfall_wire::worker::{DEADLINE_HEADER, POOL_HEADER, REFUSED_HEADER, REQUEST_ID_HEADER};

use super::verify::TOKEN_HEADER;
use super::{Breach, Context, Outcome, Reason, verify};
use crate::client::{Failure, Reply};
use crate::flow::Order;

/// Time that a caller waits beyond its deadline, so that the instance's own answer arrives first.
pub(super) const GRACE: Duration = Duration::from_millis(1_000);

/// Sends a request. A target that cannot be reached is passed over, as by a load balancer.
pub(super) async fn run(context: &Context, order: &Order) -> Outcome {
    let limit = context.flow(order).timeout + GRACE;
    for target in context.targets(order) {
        let Ok(request) = build(context, order, &target) else {
            return Outcome::NotRun("malformed-request".into());
        };
        match context.client.send(&target, request, limit).await {
            Ok(reply) => return classify(context, order, &reply),
            Err(Failure::Unreachable | Failure::Unsent) => {}
            Err(failure) => return broken(context, &failure),
        }
    }
    Outcome::NotRun("unreachable".into())
}

fn build(context: &Context, order: &Order, target: &str) -> http::Result<Request<Full<Bytes>>> {
    let flow = context.flow(order);
    let token = context.token(order);
    let path =
        if context.is_direct() { "/work".into() } else { format!("/v1/pools/{}/call/work", flow.pool) };
    let mut builder = Request::post(path)
        .header("host", target)
        .header(CLASS_HEADER, class_name(flow.class))
        .header(IDEMPOTENT_HEADER, if order.idempotent { "true" } else { "false" })
        .header(DEADLINE_HEADER, flow.timeout.as_millis().to_string())
        .header(REQUEST_ID_HEADER, &token)
        .header(TOKEN_HEADER, &token)
        .header("x-team", &*flow.team)
        .header("x-work-ms", order.work_ms)
        .header("x-answer-bytes", flow.answer_bytes);
    if context.is_direct() {
        builder = builder.header(POOL_HEADER, &*flow.pool);
    }
    if !flow.key.is_empty() {
        builder = builder.header("authorization", format!("Bearer {}", flow.key));
    }
    builder.body(Full::new(vec![b'.'; flow.body_bytes as usize].into()))
}

/// Text of a class in its header.
pub(crate) const fn class_name(class: Class) -> &'static str {
    match class {
        Class::Urgent => "urgent",
        Class::Normal => "normal",
        Class::Batch => "batch",
    }
}

fn classify(context: &Context, order: &Order, reply: &Reply) -> Outcome {
    match outcome_name(context, reply) {
        "done" => done(context, order, reply),
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

fn done(context: &Context, order: &Order, reply: &Reply) -> Outcome {
    let flow = context.flow(order);
    let sizes = (flow.answer_bytes as usize, flow.body_bytes as usize);
    match verify(&context.token(order), sizes.0, sizes.1, &reply.headers, &reply.body) {
        Ok(()) => Outcome::Done { failed: !reply.status.is_success() },
        Err(breach) => Outcome::Broken(breach),
    }
}

/// Reason that an answer names: its header, the worker's refusal, or its body.
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

/// Text of a header; empty if it is absent.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

fn broken(context: &Context, failure: &Failure) -> Outcome {
    match failure {
        Failure::Cut(headers) => cut(context, headers),
        Failure::TimedOut => Outcome::Unknown("client-timeout".into()),
        Failure::Unreachable | Failure::Unsent | Failure::Broken => {
            Outcome::Unknown("connection-broken".into())
        }
    }
}

fn cut(context: &Context, headers: &HeaderMap) -> Outcome {
    let promised = context.is_direct() || text(headers, OUTCOME_HEADER) == "done";
    if promised && !context.tolerate_cuts {
        return Outcome::Broken(Breach::TruncatedAnswer);
    }
    Outcome::Unknown("answer-cut".into())
}
