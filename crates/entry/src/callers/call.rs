//! Handles one request of a caller: submits it to the engine, makes the attempts that the engine orders, and forwards
//! the worker's response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::OptionFuture;
use http::{HeaderValue, Method, Request, header};
use rattanfall_core::engine::command::{Refusal, Send, Unknown};
use rattanfall_core::engine::event::{AttemptOutcome, Submission};
use rattanfall_wire::worker::{DEADLINE_HEADER, POOL_HEADER, REQUEST_ID_HEADER};
use tokio::task::yield_now;
use tokio::time::Instant;
use xitca_web::body::RequestBody;
use xitca_web::http::{WebRequest, WebResponse};

use super::Callers;
use super::error::EdgeError;
use super::headers;
use super::stream::{Forwarded, Target, forward};
use super::upload::{Upload, body_limit};
use crate::server::wait_for_disconnect;
use crate::shell::{self, Decision};
use crate::upstreams::{Failure, SendBody, exchange};

/// Path segments that are removed before forwarding: `v1`, `pools`, the pool's name and `call`.
const PREFIX_SEGMENTS: usize = 4;
/// Timeout for reading a buffered body if the request has no deadline.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(10);

/// The parts of the worker's request that are the same for every attempt.
struct Template {
    address: SocketAddr,
    method: Method,
    path: String,
    headers: http::HeaderMap,
}

/// Handles a request and returns the worker's response.
pub(super) async fn call(
    callers: &Arc<Callers>,
    request: &WebRequest<()>,
    pool: &str,
    body: RequestBody,
) -> Result<WebResponse, EdgeError> {
    let mut submission = headers::submission(request, pool)?;
    let length = headers::length(request.headers())?;
    let limit = body_limit(callers, &submission).unwrap_or(u64::MAX);
    if length.is_some_and(|length| length > limit) {
        return Err(EdgeError::BodyTooLarge(limit));
    }
    let limit = (limit, submission.deadline_ms.map_or(UPLOAD_TIMEOUT, Duration::from_millis));
    let started = Instant::now();
    let template = template(request);
    let upload = Upload::read(callers, body, template.address, length, limit).await?;
    submission.deadline_ms = submission.deadline_ms.map(|ms| ms.saturating_sub(elapsed_ms(started)));
    // A streamed body can be sent only once, so the request must not be retried after it may have run.
    submission.idempotent &= matches!(upload, Upload::Buffered(_));
    let (mut attempt_body, forwarder) = match upload {
        Upload::Buffered(bytes) => (AttemptBody::Bytes(bytes), None),
        Upload::Streamed { body, forwarder } => (AttemptBody::Stream(Some(body)), Some(forwarder)),
    };
    // The body is forwarded in a separate task because a worker may respond before the whole body has arrived.
    let forwarding = forwarder.map(|forwarder| tokio::task::spawn_local(forwarder.run()));
    let disconnected = async {
        if let Some(Ok(Err(error))) = OptionFuture::from(forwarding).await {
            // A worker may have acted on the part that was passed on.
            return Err(EdgeError::UploadBroken(Box::new(error)));
        }
        wait_for_disconnect(template.address).await;
        Err(EdgeError::ClientDisconnected)
    };
    tokio::select! {
        result = attempts(callers, submission, &template, &mut attempt_body) => result,
        error = disconnected => error,
    }
}

fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}

/// Request body of the next attempt: buffered and reusable, or a stream that can be sent once.
enum AttemptBody {
    Bytes(bytes::Bytes),
    Stream(Option<SendBody>),
}

impl AttemptBody {
    fn next(&mut self) -> Option<SendBody> {
        match self {
            Self::Bytes(bytes) => Some(SendBody::buffered(bytes.clone())),
            Self::Stream(body) => body.take(),
        }
    }

    fn put_back(&mut self, request: Request<SendBody>) {
        if let Self::Stream(body) = self {
            *body = Some(request.into_body());
        }
    }

    const fn is_consumed(&self) -> bool {
        matches!(self, Self::Stream(None))
    }
}

fn template(request: &WebRequest<()>) -> Template {
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str());
    let own = path.match_indices('/').nth(PREFIX_SEGMENTS).map(|(index, _)| &path[index..]);
    let query = request.uri().query().map(|query| format!("/?{query}"));
    let path = own.map(str::to_owned).or(query).unwrap_or_else(|| "/".into());
    Template {
        address: *request.body().socket_addr(),
        method: request.method().clone(),
        path,
        headers: headers::forwarded(request.headers()),
    }
}

/// Makes attempts as the engine decides until one yields a response or the request fails.
async fn attempts(
    callers: &Arc<Callers>,
    submission: Submission,
    template: &Template,
    attempt_body: &mut AttemptBody,
) -> Result<WebResponse, EdgeError> {
    let mut request = shell::Request::submit(&callers.shell, submission);
    let mut last_outcome = None;
    loop {
        let send = match request.decision().await {
            Some(Decision::Send(send)) => send,
            Some(Decision::Refuse(refusal)) => return Err(EdgeError::Refused(refusal)),
            None => return Err(error_after_rejoin(last_outcome)),
        };
        let deadline = Instant::now() + Duration::from_millis(send.left_ms);
        let target = Target { callers, address: template.address, method: &template.method, deadline };
        let failure = match attempt(callers, template, attempt_body, &send, deadline).await {
            Ok(upstream) => match forward(&target, request, upstream).await {
                Forwarded::Response(response) => return Ok(*response),
                Forwarded::Failed(returned, failure) => {
                    request = *returned;
                    failure
                }
            },
            Err(failure) => failure,
        };
        if matches!(failure, Failure::UploadBroken) {
            // The worker is not at fault. The forwarder of the body has ended by now, and its error tells more than this one.
            drop(request);
            yield_now().await;
            return Err(EdgeError::UploadBroken(Box::new(EdgeError::BodyTruncated)));
        }
        let outcome = AttemptOutcome::from(&failure);
        if let Failure::Unsent(returned) = failure {
            attempt_body.put_back(*returned);
        }
        if attempt_body.is_consumed() && matches!(outcome, AttemptOutcome::Refused(_)) {
            request.aborted(outcome);
            return Err(EdgeError::BodyConsumed);
        }
        last_outcome = Some(outcome);
        request.attempt_ended(outcome);
    }
}

/// Error of a request whose engine was replaced by a rejoin. It depends on the last attempt, which may have run.
const fn error_after_rejoin(last_outcome: Option<AttemptOutcome>) -> EdgeError {
    match last_outcome {
        None | Some(AttemptOutcome::Refused(_) | AttemptOutcome::Unsent) => EdgeError::Rejoining,
        Some(AttemptOutcome::TimedOut) => EdgeError::Refused(Refusal::Unknown(Unknown::TimedOut)),
        Some(AttemptOutcome::Corrupt) => EdgeError::Refused(Refusal::Unknown(Unknown::CorruptAnswer)),
        Some(AttemptOutcome::Broken | AttemptOutcome::Answered { .. }) => {
            EdgeError::Refused(Refusal::Unknown(Unknown::Broken))
        }
    }
}

async fn attempt(
    callers: &Arc<Callers>,
    template: &Template,
    attempt_body: &mut AttemptBody,
    send: &Send,
    deadline: Instant,
) -> Result<crate::upstreams::PooledResponse, Failure> {
    // The body is consumed only after a refusal, which ends the request, so the empty default is never sent.
    let body = attempt_body.next().unwrap_or(SendBody::Buffered(None));
    let request = build(callers, template, body, send);
    exchange(&callers.pool, &send.address, request, deadline).await
}

fn build(callers: &Callers, template: &Template, body: SendBody, send: &Send) -> Request<SendBody> {
    let mut request = Request::new(body);
    *request.method_mut() = template.method.clone();
    *request.uri_mut() = template.path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    *headers = template.headers.clone();
    let mut set = |name: &'static str, text: &str| {
        if let Ok(value) = HeaderValue::from_str(text) {
            headers.insert(name, value);
        }
    };
    set(header::HOST.as_str(), &send.address);
    set(REQUEST_ID_HEADER, &request_id(callers));
    set(POOL_HEADER, &send.pool);
    set(DEADLINE_HEADER, &send.left_ms.to_string());
    request
}

/// Returns the id of one attempt. The random prefix keeps the ids of different entry instances distinct.
fn request_id(callers: &Callers) -> String {
    static COUNT: AtomicU64 = AtomicU64::new(1);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}-{count:x}", callers.id_prefix)
}
