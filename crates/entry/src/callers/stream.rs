//! Answers of workers on their way to the caller.

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
use crate::upstreams::{Answer, Failure};

/// Largest answer that is read in whole before any of it is passed on, in bytes. A truncated answer of that size
/// is noticed while another attempt or a clear error is still possible.
const HELD_BYTES: u64 = 64 << 10;

/// What became of an answer.
pub(super) enum Passed {
    /// Response for the caller; the request ends with it.
    Response(Box<WebResponse>),
    /// Nothing was passed on.
    Failed(Box<shell::Request>, Failure),
}

/// Where and until when an answer goes.
pub(super) struct Target<'a> {
    /// Shared state.
    pub(super) callers: &'a Callers,
    /// Caller's address.
    pub(super) address: SocketAddr,
    /// Method of the request.
    pub(super) method: &'a Method,
    /// Deadline of the answer.
    pub(super) deadline: Instant,
}

/// Turns a worker's answer into the caller's response.
pub(super) async fn pass_on(target: &Target<'_>, request: shell::Request, mut answer: Answer) -> Passed {
    let status = answer.response.status();
    let exact = answer.response.body().size_hint().exact();
    if exact.is_some_and(|length| length > target.callers.answer_bytes) {
        target.callers.edge.count("answer-too-large");
        return Passed::Failed(Box::new(request), Failure::Corrupt);
    }
    let mut response = response_head(&answer.response, target.method);
    if exact.is_none_or(|length| length > HELD_BYTES) {
        *response.body_mut() = ResponseBody::boxed(Passing::new(target, request, answer, exact));
        return Passed::Response(Box::new(response));
    }
    match timeout_at(target.deadline, answer.response.body_mut().collect()).await {
        Ok(Ok(body)) => {
            if status != StatusCode::NO_CONTENT && status != StatusCode::NOT_MODIFIED {
                *response.body_mut() = ResponseBody::bytes(body.to_bytes());
            }
            answer.release();
            request.answered(status.is_server_error());
            Passed::Response(Box::new(response))
        }
        Ok(Err(_)) => Passed::Failed(Box::new(request), Failure::Corrupt),
        Err(_) => Passed::Failed(Box::new(request), Failure::TimedOut),
    }
}

fn response_head(answer: &Response<Incoming>, method: &Method) -> WebResponse {
    let mut response = WebResponse::new(ResponseBody::none());
    *response.status_mut() = answer.status();
    let headers = response.headers_mut();
    *headers = headers::passed_on(answer.headers());
    headers.remove(REASON_HEADER);
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(Outcome::Done.name()));
    let length = answer.headers().get(header::CONTENT_LENGTH);
    if let Some(length) = length.filter(|_| *method == Method::HEAD) {
        headers.insert(header::CONTENT_LENGTH, length.clone());
    }
    response
}

/// Reason why an answer breaks off. The server closes the caller's connection, so that the caller cannot take the
/// part for the whole.
#[derive(Clone, Copy, Debug, Error)]
#[error("the worker's answer broke off")]
struct BrokeOff;

/// Answer that is passed on while it arrives.
struct Passing {
    running: Option<(shell::Request, Answer)>,
    deadline: Pin<Box<Sleep>>,
    caller_gone: Pin<Box<dyn Future<Output = ()>>>,
    exact: Option<u64>,
    left: u64,
}

impl Passing {
    fn new(target: &Target<'_>, request: shell::Request, answer: Answer, exact: Option<u64>) -> Self {
        Self {
            running: Some((request, answer)),
            deadline: Box::pin(sleep_until(target.deadline)),
            caller_gone: Box::pin(wait_for_disconnect(target.address)),
            exact,
            left: target.callers.answer_bytes,
        }
    }

    fn break_off(&mut self, end: AttemptOutcome) -> Poll<Option<Result<Frame<Bytes>, BrokeOff>>> {
        if let Some((request, answer)) = self.running.take() {
            drop(answer);
            request.aborted(end);
        }
        Poll::Ready(Some(Err(BrokeOff)))
    }

    fn finish(&mut self) -> Poll<Option<Result<Frame<Bytes>, BrokeOff>>> {
        if let Some((request, answer)) = self.running.take() {
            let failed = answer.response.status().is_server_error();
            answer.release();
            request.answered(failed);
        }
        Poll::Ready(None)
    }

    fn accept(&mut self, part: Bytes) -> Poll<Option<Result<Frame<Bytes>, BrokeOff>>> {
        let Some(left) = self.left.checked_sub(part.len() as u64) else {
            return self.break_off(AttemptOutcome::Corrupt);
        };
        self.left = left;
        Poll::Ready(Some(Ok(Frame::Data(part))))
    }
}

impl Body for Passing {
    type Data = Bytes;
    type Error = BrokeOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokeOff>>> {
        let this = self.get_mut();
        loop {
            let Some((_, answer)) = &mut this.running else {
                return Poll::Ready(None);
            };
            let frame = Pin::new(answer.response.body_mut()).poll_frame(cx);
            if frame.is_pending() {
                if this.deadline.as_mut().poll(cx).is_ready() {
                    return this.break_off(AttemptOutcome::TimedOut);
                }
                if this.caller_gone.as_mut().poll(cx).is_ready() {
                    return this.break_off(AttemptOutcome::Broken);
                }
            }
            match ready!(frame) {
                Some(Ok(frame)) => {
                    if let Ok(part) = frame.into_data() {
                        return this.accept(part);
                    }
                }
                Some(Err(_)) => return this.break_off(AttemptOutcome::Corrupt),
                None => return this.finish(),
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.exact.map_or(SizeHint::Unknown, SizeHint::Exact)
    }
}
