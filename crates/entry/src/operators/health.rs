//! Health, readiness and metrics.

use http::{HeaderValue, StatusCode, header};
use serde::Serialize;
use xitca_web::body::ResponseBody;
use xitca_web::http::WebResponse;

use super::Operators;
use super::response::{OperatorError, json};

/// Response body of `/healthz`. The platform can read the nonce of the process from it.
#[derive(Debug, Serialize)]
struct Health {
    name: String,
    nonce: u64,
}

/// Response body of `/readyz`.
#[derive(Debug, Serialize)]
struct Readiness {
    ready: bool,
    stopping: bool,
    view_age_ms: Option<u64>,
}

/// Responds with 200 whenever the process can respond at all.
pub(super) fn health(operators: &Operators) -> WebResponse {
    let health = operators.shell.read(|engine| {
        let options = engine.options();
        Health { name: options.name.clone(), nonce: options.nonce }
    });
    json(StatusCode::OK, &health)
}

/// Responds with 200 if the instance takes work, otherwise with 503.
pub(super) fn readiness(operators: &Operators) -> WebResponse {
    let now = operators.shell.now();
    let view = operators.shell.read(|engine| engine.view(now));
    let ready = view.ready && !view.stopping;
    let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    json(status, &Readiness { ready, stopping: view.stopping, view_age_ms: view.view_age_ms })
}

/// Responds with the metrics in the Prometheus text format.
pub(super) fn metrics(operators: &Operators) -> Result<WebResponse, OperatorError> {
    let page = operators.metrics.page(&operators.shell)?;
    let mut response = WebResponse::new(ResponseBody::bytes(page));
    let text = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, text);
    Ok(response)
}
