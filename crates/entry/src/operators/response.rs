//! Responses and errors for operators.

use http::{HeaderValue, StatusCode, header};
use rattanfall_core::engine::command::ProposalError;
use rattanfall_core::fleet::VoidReason;
use rattanfall_wire::operator::ErrorBody;
use serde::Serialize;
use thiserror::Error;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;

use crate::metrics::EdgeCounters;

/// Reason why an operator's request fails.
#[derive(Debug, Error)]
pub(super) enum OperatorError {
    /// The credential is missing or wrong.
    #[error("the operators' credential is missing or wrong")]
    Credential,
    /// No such path or method.
    #[error("no such path or method")]
    NoRoute,
    /// The body cannot be read or parsed.
    #[error("the request body is malformed: {0}")]
    Malformed(String),
    /// The declaration fails validation.
    #[error("the declaration is invalid: {0}")]
    Invalid(String),
    /// The path names an entity that does not exist.
    #[error("unknown {0}")]
    Unknown(&'static str),
    /// The proposed record had no effect, or its effect is unknown.
    #[error(transparent)]
    Proposal(#[from] ProposalError),
    /// The metrics page could not be written.
    #[error(transparent)]
    Metrics(#[from] crate::metrics::MetricsError),
}

impl OperatorError {
    pub(super) fn respond(&self, edge: &EdgeCounters) -> WebResponse {
        let (status, error) = self.status();
        match self {
            Self::Credential => edge.count("operator-credential"),
            Self::Malformed(_) => edge.count("operator-malformed"),
            _ => {}
        }
        json(status, &ErrorBody { error: error.into(), message: self.to_string() })
    }

    const fn status(&self) -> (StatusCode, &'static str) {
        match self {
            Self::Credential => (StatusCode::UNAUTHORIZED, "credential"),
            Self::NoRoute | Self::Unknown(_) => (StatusCode::NOT_FOUND, "unknown-entity"),
            Self::Malformed(_) => (StatusCode::BAD_REQUEST, "malformed"),
            Self::Invalid(_) => (StatusCode::UNPROCESSABLE_ENTITY, "invalid"),
            Self::Proposal(error) => proposal_status(error),
            Self::Metrics(_) => (StatusCode::INTERNAL_SERVER_ERROR, "unavailable"),
        }
    }
}

const fn proposal_status(error: &ProposalError) -> (StatusCode, &'static str) {
    match error {
        ProposalError::Void(reason) => match reason {
            VoidReason::Conflict { .. } => (StatusCode::CONFLICT, "conflict"),
            VoidReason::Budget { .. } => (StatusCode::CONFLICT, "budget"),
            VoidReason::Unknown(_) => (StatusCode::NOT_FOUND, "unknown-entity"),
            VoidReason::Invalid(_) => (StatusCode::UNPROCESSABLE_ENTITY, "invalid"),
            VoidReason::AuthorEnded => (StatusCode::SERVICE_UNAVAILABLE, "unavailable"),
            _ => (StatusCode::CONFLICT, "state"),
        },
        ProposalError::Unavailable => (StatusCode::SERVICE_UNAVAILABLE, "unavailable"),
        ProposalError::Unknown => (StatusCode::GATEWAY_TIMEOUT, "unknown"),
    }
}

/// Builds a JSON response.
pub(super) fn json(status: StatusCode, body: &impl Serialize) -> WebResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = WebResponse::new(ResponseBody::bytes(bytes));
    *response.status_mut() = status;
    response.headers_mut().insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
