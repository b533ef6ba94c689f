//! Errors that the edge finds itself, and their answers.

use http::StatusCode;
use rattanfall_core::engine::command::{NotRun, Refusal, Unknown};
use rattanfall_wire::caller::{Outcome, RefusalBody};
use thiserror::Error;
use xitca_web::http::WebResponse;

use super::response::{json, refusal_response};
use crate::metrics::EdgeCounters;

/// Status for a caller that has hung up; nobody reads it.
const CLIENT_CLOSED_STATUS: u16 = 499;

/// Reason why a call ends without the worker's answer.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum EdgeError {
    /// Decision of the engine.
    #[error("refused")]
    Refused(Refusal),
    /// The engine was replaced while the request waited.
    #[error("the entry instance joins the fleet again")]
    Rejoining,
    /// No such path or method.
    #[error("no such path or method")]
    NoRoute,
    /// A header does not parse.
    #[error("header {0} is malformed")]
    MalformedHeader(&'static str),
    /// The body has no length.
    #[error("the request body needs a content-length")]
    LengthRequired,
    /// The body is larger than allowed.
    #[error("the request body may have {0} bytes")]
    BodyTooLarge(u64),
    /// The body ended before its length.
    #[error("the request body ended early")]
    BodyTruncated,
    /// The body did not arrive before the deadline.
    #[error("the request body did not arrive before the deadline")]
    BodyTimeout,
    /// A worker refused after part of a body was used up that is too large to be kept.
    #[error("a worker refused and the body is too large to be sent again")]
    BodyConsumed,
    /// No such task, or it belongs to another team.
    #[error("no such task")]
    UnknownTask,
    /// The task has ended.
    #[error("the task has ended")]
    TaskEnded,
    /// The caller hung up.
    #[error("the caller hung up")]
    ClientDisconnected,
}

impl EdgeError {
    /// Answer of this error. Errors of the edge are counted; those of the engine are in its own counters.
    pub(super) fn respond(&self, edge: &EdgeCounters) -> WebResponse {
        let (status, reason) = match self {
            Self::Refused(refusal) => return refusal_response(*refusal),
            Self::Rejoining => return refusal_response(Refusal::NotRun(NotRun::NotReady)),
            Self::NoRoute => (StatusCode::NOT_FOUND, "no-route"),
            Self::MalformedHeader(_) => (StatusCode::BAD_REQUEST, "header"),
            Self::LengthRequired => (StatusCode::LENGTH_REQUIRED, "no-length"),
            Self::BodyTooLarge(_) => (StatusCode::PAYLOAD_TOO_LARGE, "too-large"),
            Self::BodyTruncated => (StatusCode::BAD_REQUEST, "body-ended-early"),
            Self::BodyTimeout => (StatusCode::REQUEST_TIMEOUT, "body-late"),
            Self::BodyConsumed => (StatusCode::SERVICE_UNAVAILABLE, "body-used"),
            Self::UnknownTask => (StatusCode::NOT_FOUND, "no-task"),
            Self::TaskEnded => (StatusCode::CONFLICT, "task-ended"),
            Self::ClientDisconnected => {
                (StatusCode::from_u16(CLIENT_CLOSED_STATUS).unwrap_or(StatusCode::BAD_REQUEST), "hung-up")
            }
        };
        edge.count(reason);
        let outcome = if *self == Self::ClientDisconnected { Outcome::Unknown } else { Outcome::NotRun };
        json(
            status,
            outcome,
            Some(reason),
            &RefusalBody { reason: reason.into(), outcome, message: self.to_string() },
        )
    }
}

/// Status of a refusal.
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
