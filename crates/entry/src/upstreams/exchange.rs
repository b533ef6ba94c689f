//! Sends one request to a worker and receives the head of the response.

use std::error::Error as _;
use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use rattanfall_core::engine::event::{AttemptOutcome, WorkerRefusal};
use rattanfall_wire::worker::{REFUSED_HEADER, REQUEST_ID_HEADER, parse_refusal};
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout, timeout_at};

use super::body::BodyTruncated;
use super::{Connection, Pool, SendBody};

/// Time for a reused connection to become ready, and for reading a refusal's body. A reused connection's task only has
/// to process the end of the last response.
const READY_TIMEOUT: Duration = Duration::from_millis(100);

/// Response whose head has arrived, with its pooled connection. Dropping it without [`PooledResponse::release`] closes
/// the connection.
#[derive(Debug)]
pub struct PooledResponse {
    /// Response; its body is still being received.
    pub response: Response<Incoming>,
    pool: Arc<Pool>,
    address: String,
    connection: Connection,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Reason why an attempt yields no response.
#[derive(Debug)]
pub enum Failure {
    /// Nothing was sent; the request is returned.
    Unsent(Box<Request<SendBody>>),
    /// The worker refused the request, which did not run.
    Refused(WorkerRefusal),
    /// The connection broke after the request was sent.
    Broken,
    /// The sender of the request's body stopped before its end, so that the connection was given up. A part may have been sent.
    UploadBroken,
    /// The deadline passed after the request was sent.
    TimedOut,
    /// The response is malformed or belongs to another request.
    Corrupt,
}

impl From<&Failure> for AttemptOutcome {
    fn from(failure: &Failure) -> Self {
        match failure {
            Failure::Unsent(_) => Self::Unsent,
            Failure::Refused(refusal) => Self::Refused(*refusal),
            Failure::Broken | Failure::UploadBroken => Self::Broken,
            Failure::TimedOut => Self::TimedOut,
            Failure::Corrupt => Self::Corrupt,
        }
    }
}

impl PooledResponse {
    /// Returns the connection to the pool. The whole body must have been read.
    pub fn release(self) {
        self.pool.put_idle(&self.address, self.connection);
    }
}

/// Sends a request to a worker and waits for the head of the response.
///
/// The response must repeat the request's id. Without this check, a late response to an earlier request could reach
/// the wrong caller.
///
/// # Errors
///
/// Fails if no usable response arrives, as described by [`Failure`]. The connection is closed unless the worker refused
/// the request.
pub async fn exchange(
    pool: &Arc<Pool>,
    address: &str,
    request: Request<SendBody>,
    deadline: Instant,
) -> Result<PooledResponse, Failure> {
    let Ok(Some(permit)) = timeout_at(deadline, pool.permit(address)).await else {
        return Err(Failure::Unsent(Box::new(request)));
    };
    let id = request.headers().get(REQUEST_ID_HEADER).cloned();
    let sent = Instant::now();
    let (connection, response) =
        send_once(pool, address, request, deadline).await.inspect_err(|failure| {
            // The worker may have lost track of all connections, while new ones work.
            if matches!(failure, Failure::TimedOut) {
                pool.close_idle(address, sent.into_std());
            }
        })?;
    if response.headers().get(REQUEST_ID_HEADER) != id.as_ref() {
        return Err(Failure::Corrupt);
    }
    let pool = Arc::clone(pool);
    let upstream =
        PooledResponse { response, pool, address: address.into(), connection, _permit: Some(permit) };
    match refusal(upstream.response.status(), upstream.response.headers()) {
        Some(refusal) => {
            drain_refusal(upstream).await;
            Err(Failure::Refused(refusal))
        }
        None if upstream.response.status().is_informational() || !is_delimited(&upstream.response) => {
            Err(Failure::Corrupt)
        }
        None => Ok(upstream),
    }
}

/// Sends a request on an idle connection, or on a new one if no idle connection is usable.
pub(super) async fn send_once(
    pool: &Arc<Pool>,
    address: &str,
    mut request: Request<SendBody>,
    deadline: Instant,
) -> Result<(Connection, Response<Incoming>), Failure> {
    while let Some(mut connection) = pool.take_idle(address) {
        let ready = matches!(timeout(READY_TIMEOUT, connection.sender.ready()).await, Ok(Ok(())));
        if !ready || !connection.is_reusable() {
            continue;
        }
        match send_on(connection, request, deadline).await {
            Err(Failure::Unsent(returned)) => request = *returned,
            result => return result,
        }
    }
    match timeout_at(deadline, pool.open(address)).await {
        Ok(Ok(connection)) => send_on(connection, request, deadline).await,
        _ => Err(Failure::Unsent(Box::new(request))),
    }
}

async fn send_on(
    mut connection: Connection,
    request: Request<SendBody>,
    deadline: Instant,
) -> Result<(Connection, Response<Incoming>), Failure> {
    match timeout_at(deadline, connection.sender.try_send_request(request)).await {
        Ok(Ok(response)) => Ok((connection, response)),
        Ok(Err(mut error)) => match error.take_message() {
            Some(request) => Err(Failure::Unsent(Box::new(request))),
            None if error.error().is_parse() => Err(Failure::Corrupt),
            None if is_body_error(error.error()) => Err(Failure::UploadBroken),
            None => Err(Failure::Broken),
        },
        Err(_) => Err(Failure::TimedOut),
    }
}

/// True if a request failed by its own body, and not by the connection.
fn is_body_error(error: &hyper::Error) -> bool {
    error.source().is_some_and(|source| source.is::<BodyTruncated>())
}

/// Reads the short body of a refusal so that the connection can be reused.
async fn drain_refusal(mut upstream: PooledResponse) {
    use http_body_util::BodyExt;
    let read = async {
        while let Some(frame) = upstream.response.body_mut().frame().await {
            frame.ok()?;
        }
        Some(())
    };
    if matches!(timeout(READY_TIMEOUT, read).await, Ok(Some(()))) {
        upstream.release();
    }
}

fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<WorkerRefusal> {
    let text = headers.get(REFUSED_HEADER).map(HeaderValue::to_str)?.ok()?;
    if status == StatusCode::SERVICE_UNAVAILABLE { parse_refusal(text) } else { None }
}

/// Returns whether the end of the body can be distinguished from a broken connection.
fn is_delimited(response: &Response<Incoming>) -> bool {
    use hyper::body::Body;
    let headers = response.headers();
    let framed =
        headers.contains_key(header::CONTENT_LENGTH) || headers.contains_key(header::TRANSFER_ENCODING);
    framed || response.body().is_end_stream()
}
