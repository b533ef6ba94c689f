//! Errors of callers' requests and their HTTP responses.

use http::header::RETRY_AFTER;
use http::{HeaderValue, StatusCode};
use rattanfall_core::engine::command::{NotRun, Refusal, Unknown};
use rattanfall_wire::caller::{Outcome, RefusalBody};
use thiserror::Error;
use xitca_web::http::WebResponse;

use super::response::{json, refusal_response};
use crate::metrics::EdgeCounters;
use crate::server::BodyError;

/// Non-standard status for a client that closed the connection. It only completes the response and is not delivered.
const CLIENT_CLOSED_STATUS: u16 = 499;

/// Reason why a request ends without a worker's response.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum EdgeError {
    /// Refused by the engine.
    #[error("refused")]
    Refused(Refusal),
    /// The engine was replaced while the request waited; the caller sees the reason `not-ready`.
    #[error("the entry instance is rejoining the fleet")]
    Rejoining,
    /// The path or method does not exist.
    #[error("no such path or method")]
    NoRoute,
    /// A header, given by name, cannot be parsed.
    #[error("header {0} is malformed")]
    MalformedHeader(&'static str),
    /// There are too many unfinished requests.
    #[error("too many unfinished requests")]
    Overloaded,
    /// The body exceeds this limit, in bytes.
    #[error("the request body exceeds the limit of {0} bytes")]
    BodyTooLarge(u64),
    /// The body is shorter than its `content-length`, or its last chunk is missing.
    #[error("the request body ended early")]
    BodyTruncated,
    /// The body did not arrive before the deadline.
    #[error("the request body did not arrive before the deadline")]
    BodyTimeout,
    /// A body that is passed on while it arrives broke off.
    #[error("{0}; part of it may have reached a worker")]
    UploadBroken(Box<EdgeError>),
    /// A worker refused the request after part of a streamed body was sent, so there can be no other attempt.
    #[error("a worker refused the request and its body is too large to be sent again")]
    BodyConsumed,
    /// The task does not exist or belongs to another team.
    #[error("no such task")]
    UnknownTask,
    /// The task has already ended.
    #[error("the task has already ended")]
    TaskEnded,
    /// The caller closed the connection.
    #[error("the caller closed the connection")]
    ClientDisconnected,
}

impl EdgeError {
    /// Builds the response and counts the error. Refusals by the engine are counted by the engine.
    pub(super) fn respond(&self, edge: &EdgeCounters) -> WebResponse {
        let (status, reason) = match self {
            Self::Refused(refusal) => return refusal_response(*refusal),
            Self::Rejoining => return refusal_response(Refusal::NotRun(NotRun::NotReady)),
            Self::NoRoute => (StatusCode::NOT_FOUND, "no-route"),
            Self::MalformedHeader(_) => (StatusCode::BAD_REQUEST, "header"),
            Self::Overloaded => (StatusCode::SERVICE_UNAVAILABLE, "overloaded"),
            Self::BodyTooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "too-large"),
            Self::BodyTruncated => (StatusCode::BAD_REQUEST, "body-ended-early"),
            Self::BodyTimeout => (StatusCode::REQUEST_TIMEOUT, "body-late"),
            Self::UploadBroken(_) => (StatusCode::BAD_REQUEST, "upload-broken"),
            Self::BodyConsumed => (StatusCode::SERVICE_UNAVAILABLE, "body-used"),
            Self::UnknownTask => (StatusCode::NOT_FOUND, "no-task"),
            Self::TaskEnded => (StatusCode::CONFLICT, "task-ended"),
            Self::ClientDisconnected => {
                (StatusCode::from_u16(CLIENT_CLOSED_STATUS).unwrap_or(StatusCode::BAD_REQUEST), "hung-up")
            }
        };
        edge.count(reason);
        let unknown = matches!(self, Self::ClientDisconnected | Self::UploadBroken(_));
        let outcome = if unknown { Outcome::Unknown } else { Outcome::NotRun };
        let body = RefusalBody { reason: reason.into(), outcome, message: self.to_string() };
        let mut response = json(status, outcome, Some(reason), &body);
        if *self == Self::Overloaded {
            response.headers_mut().insert(RETRY_AFTER, HeaderValue::from_static("1"));
        }
        response
    }
}

impl From<BodyError> for EdgeError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::TooLarge(limit) => Self::BodyTooLarge(limit),
            BodyError::Late => Self::BodyTimeout,
            BodyError::Overloaded => Self::Overloaded,
            BodyError::Truncated => Self::BodyTruncated,
        }
    }
}

/// HTTP status of a refusal by the engine.
pub(super) fn status(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::NotRun(NotRun::UnknownPool) => StatusCode::NOT_FOUND,
        Refusal::NotRun(NotRun::KeyMissing) => StatusCode::UNAUTHORIZED,
        Refusal::NotRun(NotRun::KeyUnknown | NotRun::KeyWithdrawn) => StatusCode::FORBIDDEN,
        Refusal::NotRun(NotRun::QueueFull) => StatusCode::TOO_MANY_REQUESTS,
        Refusal::NotRun(_) => StatusCode::SERVICE_UNAVAILABLE,
        Refusal::Unknown(Unknown::Broken | Unknown::CorruptAnswer) => StatusCode::BAD_GATEWAY,
        Refusal::Unknown(Unknown::TimedOut | Unknown::AppendUnknown) => StatusCode::GATEWAY_TIMEOUT,
    }
}
