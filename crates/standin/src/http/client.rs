//! Client that opens a connection for each call and closes it afterwards.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;

/// Maximum time for one call, including the connect.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Reason why a call got no complete answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection could not be opened.
    #[error("cannot reach {address}: {source}")]
    Io {
        /// `ip:port` of the server.
        address: String,
        /// Error of the connect.
        source: std::io::Error,
    },
    /// The connection broke, or the answer is not valid HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The path is not a valid URI, or the address is no valid header value.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// No complete answer arrived before the timeout.
    #[error("no answer within {} s", CALL_TIMEOUT.as_secs())]
    TimedOut,
}

/// Sends a request with a JSON body; returns status and body of the answer.
///
/// # Errors
///
/// Fails if no complete answer arrives within 10 s.
pub async fn call<T: Serialize + Sync>(
    address: &str,
    method: Method,
    path: &str,
    body: &T,
) -> Result<(StatusCode, Bytes), CallError> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    send(address, method, path, body.into()).await
}

/// Sends a `GET` request; returns status and body of the answer.
///
/// # Errors
///
/// Fails if no complete answer arrives within 10 s.
pub async fn get(address: &str, path: &str) -> Result<(StatusCode, Bytes), CallError> {
    send(address, Method::GET, path, Bytes::new()).await
}

async fn send(
    address: &str,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<(StatusCode, Bytes), CallError> {
    let address = address.trim_start_matches("http://").trim_end_matches('/');
    let request = Request::builder().method(method).uri(path).header("host", address);
    let request = request.header("content-type", "application/json").body(Full::new(body))?;
    tokio::time::timeout(CALL_TIMEOUT, exchange(address, request)).await.map_err(|_| CallError::TimedOut)?
}

async fn exchange(address: &str, request: Request<Full<Bytes>>) -> Result<(StatusCode, Bytes), CallError> {
    let stream = TcpStream::connect(address).await;
    let stream = stream.map_err(|source| CallError::Io { address: address.into(), source })?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
    let driver = tokio::spawn(connection);
    let answer = sender.send_request(request).await?;
    let status = answer.status();
    let body = answer.into_body().collect().await?.to_bytes();
    driver.abort();
    Ok((status, body))
}
