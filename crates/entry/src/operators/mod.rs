//! HTTP interface for operators, on its own listener and with its own credential.

mod changes;
mod explain;
mod health;
mod response;
mod status;

use std::sync::Arc;

use http::{HeaderMap, Method, header};
use sha2::{Digest, Sha256};
use xitca_web::WebContext;
use xitca_web::body::RequestBody;
use xitca_web::handler::body::Body;
use xitca_web::handler::handler_service;
use xitca_web::http::{WebRequest, WebResponse};

use crate::config::Credential;
use crate::metrics::{EdgeCounters, Metrics};
use crate::server::{App, mark_handled};
use crate::shell::Shell;

use response::OperatorError;

/// State that the handlers share.
#[derive(Debug)]
pub struct Operators {
    /// Access to the engine.
    pub shell: Arc<Shell>,
    /// Counters of events outside the engine.
    pub edge: Arc<EdgeCounters>,
    /// Source of the metrics page.
    pub metrics: Metrics,
    /// Hash that a request's credential is compared with.
    pub credential: CredentialHash,
}

/// SHA-256 hash of the operators' credential.
#[derive(Clone, Copy, Debug)]
pub struct CredentialHash([u8; 32]);

impl From<&Credential> for CredentialHash {
    fn from(credential: &Credential) -> Self {
        Self(Sha256::digest(credential.0.as_bytes()).into())
    }
}

impl CredentialHash {
    /// Whether the headers have the bearer credential. Compares in constant time: the hashes have equal length and
    /// every byte is compared.
    #[must_use]
    pub fn allows(&self, headers: &HeaderMap) -> bool {
        let value = headers.get(header::AUTHORIZATION).map_or(&[][..], |value| value.as_bytes());
        let bearer = value.strip_prefix(b"Bearer ");
        let hash: [u8; 32] = Sha256::digest(bearer.unwrap_or_default()).into();
        let differing = self.0.iter().zip(hash).fold(0, |bits, (ours, theirs)| bits | (ours ^ theirs));
        std::hint::black_box(differing) == 0 && bearer.is_some()
    }
}

/// Builds the application that serves operators.
pub fn app(operators: Arc<Operators>) -> impl App {
    xitca_web::App::new().with_state(operators).at("/{*}", handler_service(serve)).finish()
}

async fn serve(context: &WebContext<'_, Arc<Operators>>, Body(body): Body<RequestBody>) -> WebResponse {
    let operators = context.state();
    let request = context.req();
    let response = route(operators, request, body).await;
    mark_handled(*request.body().socket_addr());
    response.unwrap_or_else(|error| error.respond(&operators.edge))
}

async fn route(
    operators: &Operators,
    request: &WebRequest<()>,
    body: RequestBody,
) -> Result<WebResponse, OperatorError> {
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    match segments.as_slice() {
        ["healthz"] => return Ok(health::health(operators)),
        ["readyz"] => return Ok(health::readiness(operators)),
        ["metrics"] => return health::metrics(operators),
        _ => {}
    }
    if !operators.credential.allows(request.headers()) {
        return Err(OperatorError::Credential);
    }
    let parts = (request.headers(), body);
    match (request.method(), segments.as_slice()) {
        (&Method::GET, ["v1", "config"]) => Ok(status::config(operators)),
        (&Method::GET, ["v1", "status"]) => Ok(status::status(operators)),
        (&Method::GET, ["v1", "explain", "tasks", id]) => explain::explain(operators, id),
        (&Method::PUT, ["v1", "config"]) => changes::configure(operators, parts).await,
        (&Method::POST, ["v1", "keys"]) => changes::grant_key(operators, parts).await,
        (&Method::DELETE, ["v1", "keys", id]) => changes::withdraw_key(operators, id).await,
        (&Method::POST, ["v1", "zones", zone, "remove"]) => {
            changes::change_zone(operators, zone, true, parts).await
        }
        (&Method::POST, ["v1", "zones", zone, "restore"]) => {
            changes::change_zone(operators, zone, false, parts).await
        }
        (&Method::POST, ["v1", "workers", name, "drain"]) => changes::drain(operators, name).await,
        (&Method::POST, ["v1", "workers", name, "move"]) => {
            changes::move_worker(operators, name, parts).await
        }
        (&Method::POST, ["v1", "pools", pool, "maintenance"]) => changes::maintain(operators, pool).await,
        _ => Err(OperatorError::NoRoute),
    }
}
