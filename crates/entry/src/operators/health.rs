//! Health, readiness and metrics.

use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;

use super::Operators;
use super::response::{OperatorError, json};

/// Answer of `/healthz`. The platform can learn the nonce from it.
#[derive(Debug, Serialize)]
struct Live {
    name: String,
    nonce: u64,
}

/// Answer of `/readyz`.
#[derive(Debug, Serialize)]
struct Ready {
    ready: bool,
    stopping: bool,
    view_age_ms: Option<u64>,
}

/// The process lives.
pub(super) fn live(operators: &Operators) -> WebResponse {
    let live = operators.shell.read(|engine| {
        let options = engine.options();
        Live { name: options.name.clone(), nonce: options.nonce }
    });
    json(StatusCode::OK, &live)
}

/// The instance takes work.
pub(super) fn ready(operators: &Operators) -> WebResponse {
    let now = operators.shell.now();
    let view = operators.shell.read(|engine| engine.view(now));
    let ready = view.ready && !view.stopping;
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json(status, &Ready { ready, stopping: view.stopping, view_age_ms: view.view_age_ms })
}

/// Metrics page.
pub(super) fn metrics(operators: &Operators) -> Result<WebResponse, OperatorError> {
    let page = operators.metrics.page(&operators.shell)?;
    let mut response = WebResponse::new(ResponseBody::bytes(page));
    let text = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    Ok(response)
}
