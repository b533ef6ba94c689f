//! Responses that the entry instance generates itself.

use http::{HeaderValue, StatusCode, header};
use rattanfall_core::engine::command::Refusal;
use rattanfall_wire::caller::{OUTCOME_HEADER, Outcome, REASON_HEADER, RefusalBody};
use serde::Serialize;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;

use super::error::status;

/// Builds a JSON response with the outcome header and, for a refusal, the reason header.
pub(super) fn json(
    status: StatusCode,
    outcome: Outcome,
    reason: Option<&'static str>,
    body: &impl Serialize,
) -> WebResponse {
    let bytes = serde_json::to_vec(body).unwrap_or_default();
    let mut response = WebResponse::new(ResponseBody::bytes(bytes));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(outcome.name()));
    if let Some(reason) = reason {
        headers.insert(REASON_HEADER, HeaderValue::from_static(reason));
    }
    response
}

/// Builds the response to work that the engine refused.
pub(super) fn refusal_response(refusal: Refusal) -> WebResponse {
    let (reason, outcome) = match refusal {
        Refusal::NotRun(reason) => (reason.name(), Outcome::NotRun),
        Refusal::Unknown(reason) => (reason.name(), Outcome::Unknown),
    };
    json(status(refusal), outcome, Some(reason), &RefusalBody::from(refusal))
}
