//! Sends one HTTP request on a new connection and reads the response.

use std::time::Duration;

use bytes::Bytes;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// Instances are milliseconds away, so an address that does not accept a connection is given up early.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Request to one instance, independent of its address.
pub(super) struct Call {
    pub(super) method: Method,
    pub(super) path: String,
    /// JSON body; empty for none.
    pub(super) body: Bytes,
    /// Operator credential, sent as a bearer token.
    pub(super) credential: String,
}

/// Why there is no complete response.
pub(super) enum Failure {
    /// Nothing was sent, so the call had no effect.
    Unsent(String),
    /// The call was sent, at least in part, so it may have taken effect.
    Unanswered(String),
}

/// Sends a call and reads the whole response; `limit` covers connecting, sending and reading.
pub(super) async fn exchange(
    address: &str,
    call: &Call,
    limit: Duration,
) -> Result<(StatusCode, Bytes), Failure> {
    let deadline = Instant::now() + limit;
    let request = request(address, call)?;
    let mut sender = connect(address, limit.min(CONNECT_TIMEOUT)).await?;
    let Ok(answer) = timeout_at(deadline, sender.try_send_request(request)).await else {
        return Err(no_answer(limit));
    };
    let answer = answer.map_err(|mut error| match error.take_message() {
        Some(_) => Failure::Unsent("the connection closed before the call was sent".into()),
        None => Failure::Unanswered(format!("the connection broke ({})", error.into_error())),
    })?;
    timeout_at(deadline, read(answer)).await.unwrap_or_else(|_| Err(no_answer(limit)))
}

fn request(address: &str, call: &Call) -> Result<Request<Full<Bytes>>, Failure> {
    Request::builder()
        .method(call.method.clone())
        .uri(&call.path)
        .header(HOST, address)
        .header(AUTHORIZATION, format!("Bearer {}", call.credential))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(call.body.clone()))
        .map_err(|error| Failure::Unsent(format!("the call cannot be built: {error}")))
}

async fn connect(address: &str, limit: Duration) -> Result<SendRequest<Full<Bytes>>, Failure> {
    let stream = timeout(limit, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| Failure::Unsent("no connection in time".into()))?;
    let stream = stream.map_err(|error| Failure::Unsent(format!("no connection ({error})")))?;
    let handshake = http1::handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| Failure::Unsent(error.to_string()))?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn read(answer: Response<Incoming>) -> Result<(StatusCode, Bytes), Failure> {
    let status = answer.status();
    let body = answer.into_body().collect().await;
    let body = body.map_err(|error| Failure::Unanswered(format!("the answer is incomplete ({error})")))?;
    Ok((status, body.to_bytes()))
}

fn no_answer(limit: Duration) -> Failure {
    Failure::Unanswered(format!("there was no answer within {} ms", limit.as_millis()))
}
