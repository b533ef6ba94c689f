//! Forwards workers' responses to callers. Small responses are buffered, large ones are streamed.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{HeaderValue, Method, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::{Body as _, Incoming};
use rattanfall_core::engine::event::AttemptOutcome;
use rattanfall_wire::caller::{OUTCOME_HEADER, Outcome, REASON_HEADER};
use thiserror::Error;
use tokio::time::{Instant, Sleep, sleep_until, timeout_at};
use xitca_web::body::{Body, Frame, ResponseBody, SizeHint};
use xitca_web::http::WebResponse;

use super::{Callers, headers};
use crate::server::wait_for_disconnect;
use crate::shell;
use crate::upstreams::{Failure, PooledResponse};

/// Largest response that is read completely before it is forwarded, in bytes. If such a response turns out to be
/// truncated, a retry or a clear error is still possible.
const MAX_BUFFERED_BYTES: u64 = 64 << 10;

/// Outcome of forwarding a response.
pub(super) enum Forwarded {
    /// Response for the caller. The engine's request is ended here or, for a streamed body, at the end of the body.
    Response(Box<WebResponse>),
    /// Nothing was sent to the caller, so another attempt is possible.
    Failed(Box<shell::Request>, Failure),
}

/// The caller that a response is forwarded to.
pub(super) struct Target<'a> {
    /// State shared by the handlers.
    pub(super) callers: &'a Callers,
    /// Address of the caller's connection.
    pub(super) address: SocketAddr,
    /// Method of the request; a response to `HEAD` has no body.
    pub(super) method: &'a Method,
    /// Deadline for the end of the response.
    pub(super) deadline: Instant,
}

/// Converts a worker's response to the response for the caller.
pub(super) async fn forward(
    target: &Target<'_>,
    request: shell::Request,
    mut upstream: PooledResponse,
) -> Forwarded {
    let status = upstream.response.status();
    let exact_length = upstream.response.body().size_hint().exact();
    if exact_length.is_some_and(|length| length > target.callers.answer_bytes) {
        target.callers.edge.count("answer-too-large");
        return Forwarded::Failed(Box::new(request), Failure::Corrupt);
    }
    let mut response = response_head(&upstream.response, target.method);
    if exact_length.is_none_or(|length| length > MAX_BUFFERED_BYTES) {
        *response.body_mut() =
            ResponseBody::boxed(ForwardedBody::new(target, request, upstream, exact_length));
        return Forwarded::Response(Box::new(response));
    }
    match timeout_at(target.deadline, upstream.response.body_mut().collect()).await {
        Ok(Ok(body)) => {
            if status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED {
                *response.body_mut() = ResponseBody::bytes(body.to_bytes());
            }
            upstream.release();
            request.answered(status.is_server_error());
            Forwarded::Response(Box::new(response))
        }
        Ok(Err(_)) => Forwarded::Failed(Box::new(request), Failure::Corrupt),
        Err(_) => Forwarded::Failed(Box::new(request), Failure::TimedOut),
    }
}

fn response_head(upstream: &Response<Incoming>, method: &Method) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::none());
    *response.status_mut() = upstream.status();
    let headers = response.headers_mut();
    *headers = headers::forwarded(upstream.headers());
    headers.remove(REASON_HEADER);
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Done.name()));
    let length = upstream.headers().get(header::CONTENT_LENGTH);
    if let Some(length) = length.filter(|_| *method == Method::HEAD) {
        headers.insert(header::CONTENT_LENGTH, length.clone());
    }
    response
}

/// Error that ends a streamed body early. The server then closes the caller's connection, so that the caller cannot
/// mistake the truncated body for a complete one.
#[derive(Clone, Copy, Debug, Error)]
#[error("the worker's response was truncated")]
struct Truncated;

/// Response body that is forwarded while it arrives.
struct ForwardedBody {
    running: Option<(shell::Request, PooledResponse)>,
    deadline: Pin<Box<Sleep>>,
    disconnected: Pin<Box<dyn Future<Output = ()>>>,
    exact_length: Option<u64>,
    remaining: u64,
}

impl ForwardedBody {
    fn new(
        target: &Target<'_>,
        request: shell::Request,
        upstream: PooledResponse,
        exact_length: Option<u64>,
    ) -> Self {
        Self {
            running: Some((request, upstream)),
            deadline: Box::pin(sleep_until(target.deadline)),
            disconnected: Box::pin(wait_for_disconnect(target.address)),
            exact_length,
            remaining: target.callers.answer_bytes,
        }
    }

    fn abort(&mut self, outcome: AttemptOutcome) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if let Some((request, upstream)) = self.running.take() {
            drop(upstream);
            request.aborted(outcome);
        }
        Poll::Ready(Some(Err(Truncated)))
    }

    fn finish(&mut self) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        if let Some((request, upstream)) = self.running.take() {
            let failed = upstream.response.status().is_server_error();
            upstream.release();
            request.answered(failed);
        }
        Poll::Ready(None)
    }

    fn accept(&mut self, part: Bytes) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let Some(remaining) = self.remaining.checked_sub(part.len() as u64) else {
            return self.abort(AttemptOutcome::Corrupt);
        };
        self.remaining = remaining;
        Poll::Ready(Some(Ok(Frame::Data(part))))
    }
}

impl Body for ForwardedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        let this = self.get_mut();
        loop {
            let Some((_, upstream)) = &mut this.running else {
                return Poll::Ready(None);
            };
            let frame = Pin::new(upstream.response.body_mut()).poll_frame(cx);
            if frame.is_pending() {
                if this.deadline.as_mut().poll(cx).is_ready() {
                    return this.abort(AttemptOutcome::TimedOut);
                }
                if this.disconnected.as_mut().poll(cx).is_ready() {
                    return this.abort(AttemptOutcome::Broken);
                }
            }
            match ready!(frame) {
                Some(Ok(frame)) => {
                    if let Ok(part) = frame.into_data() {
                        return this.accept(part);
                    }
                }
                Some(Err(_)) => return this.abort(AttemptOutcome::Corrupt),
                None => return this.finish(),
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.exact_length.map_or(SizeHint::Unknown, SizeHint::Exact)
    }
}
