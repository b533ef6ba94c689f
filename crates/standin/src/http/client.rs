//! Client for single calls: one connection each, closed afterwards.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::TcpStream;

/// Longest time for one call.
const CALL_LIMIT: Duration = Duration::from_secs(10);

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection, or it broke.
    #[error("cannot reach {address}: {source}")]
    Io {
        /// Address, `ip:port`.
        address: String,
        /// Cause.
        source: std::io::Error,
    },
    /// HTTP failed.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// No answer in time.
    #[error("no answer within {} s", CALL_LIMIT.as_secs())]
    TimedOut,
}

/// Calls with a JSON body and returns status and body of the answer.
///
/// # Errors
///
/// Fails without a whole answer.
pub async fn call<T: Serialize + Sync>(
    address: &str,
    method: Method,
    path: &str,
    body: &T,
) -> Result<(StatusCode, Bytes), CallError> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    send(address, method, path, body.into()).await
}

/// Calls `GET` and returns status and body of the answer.
///
/// # Errors
///
/// Fails without a whole answer.
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
    tokio::time::timeout(CALL_LIMIT, exchange(address, request)).await.map_err(|_| CallError::TimedOut)?
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
