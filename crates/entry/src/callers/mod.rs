//! HTTP API for callers: synchronous requests to pools, and tasks.

mod call;
mod error;
mod headers;
mod response;
mod stream;
mod tasks;
mod upload;

use std::sync::Arc;

use http::Method;
use xitca_web::WebContext;
use xitca_web::body::RequestBody;
use xitca_web::handler::body::Body;
use xitca_web::handler::handler_service;
use xitca_web::http::WebResponse;

use crate::metrics::EdgeCounters;
use crate::server::{App, mark_handled};
use crate::shell::Shell;
use crate::upstreams::Pool;

use error::EdgeError;

/// State shared by the handlers.
#[derive(Debug)]
pub struct Callers {
    /// Owner of the engine.
    pub shell: Arc<Shell>,
    /// Connections to workers.
    pub pool: Arc<Pool>,
    /// Counters of errors that do not come from the engine.
    pub edge: Arc<EdgeCounters>,
    /// Random prefix of the ids of this process's attempts.
    pub id_prefix: u64,
    /// Largest response that is forwarded, in bytes.
    pub answer_bytes: u64,
}

/// Builds the HTTP application.
pub fn app(callers: Arc<Callers>) -> impl App {
    xitca_web::App::new().with_state(callers).at("/{*}", handler_service(serve)).finish()
}

async fn serve(context: &WebContext<'_, Arc<Callers>>, Body(body): Body<RequestBody>) -> WebResponse {
    let callers = context.state();
    let request = context.req();
    let address = *request.body().socket_addr();
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let response = match (request.method(), segments.as_slice()) {
        (_, ["v1", "pools", pool, "call", ..]) => call::call(callers, request, pool, body).await,
        (&Method::POST, ["v1", "pools", pool, "tasks"]) => tasks::submit(callers, request, pool, body).await,
        (&Method::GET, ["v1", "tasks", id]) => tasks::get(callers, request, id),
        (&Method::DELETE, ["v1", "tasks", id]) => tasks::cancel(callers, request, id).await,
        _ => Err(EdgeError::NoRoute),
    };
    mark_handled(address);
    response.unwrap_or_else(|error| error.respond(&callers.edge))
}
