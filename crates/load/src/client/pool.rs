//! Connection pool of the HTTP client.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

type Sender = SendRequest<Full<Bytes>>;

/// Complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Response body, read to its end.
    pub body: Bytes,
}

/// Why there is no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No connection could be opened; nothing was sent.
    #[error("no connection")]
    Unreachable,
    /// The connection closed before the request was sent.
    #[error("the connection closed before the request was sent")]
    Unsent,
    /// The connection broke before the response headers.
    #[error("the connection broke before an answer")]
    Broken,
    /// The connection broke after the response headers, which are kept.
    #[error("the answer was cut off")]
    Truncated(HeaderMap),
    /// The response was not complete within the limit.
    #[error("no answer in time")]
    TimedOut,
}

/// Connection pool for any number of addresses. Idle connections are reused. If none is idle, a new one is opened, so
/// that the client does not limit the number of concurrent requests.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<Arc<str>, Vec<Sender>>>>,
}

impl Client {
    /// Sends a request and reads the whole response; `limit` includes connecting.
    ///
    /// # Errors
    ///
    /// Says how far the request got.
    pub async fn send(
        &self,
        address: &Arc<str>,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Reply, Failure> {
        let deadline = Instant::now() + limit;
        let mut request = request;
        loop {
            let idle = self.take(address);
            let reused = idle.is_some();
            let sender = match idle {
                Some(sender) => sender,
                None => timeout_at(deadline, connect(address)).await.map_err(|_| Failure::Unreachable)??,
            };
            match self.exchange(address, sender, request, deadline).await {
                // The server closed the idle connection before the request was sent, so another connection is used.
                Err((Failure::Unsent, Some(unsent))) if reused => request = unsent,
                Err((failure, _)) => return Err(failure),
                Ok(reply) => return Ok(reply),
            }
        }
    }

    async fn exchange(
        &self,
        address: &Arc<str>,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Reply, (Failure, Option<Request<Full<Bytes>>>)> {
        let answer = match timeout_at(deadline, sender.try_send_request(request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(mut error)) => {
                let unsent = error.take_message();
                let failure = if unsent.is_some() { Failure::Unsent } else { Failure::Broken };
                return Err((failure, unsent));
            }
            Err(_) => return Err((Failure::TimedOut, None)),
        };
        let reply = read(answer, deadline).await.map_err(|failure| (failure, None))?;
        // `ready` fails if the server closes the connection after this response.
        if sender.ready().await.is_ok() {
            self.lock().entry(address.clone()).or_default().push(sender);
        }
        Ok(reply)
    }

    fn take(&self, address: &Arc<str>) -> Option<Sender> {
        let mut idle = self.lock();
        let senders = idle.get_mut(address)?;
        while let Some(sender) = senders.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<Arc<str>, Vec<Sender>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: &str) -> Result<Sender, Failure> {
    let stream = TcpStream::connect(address).await.map_err(|_| Failure::Unreachable)?;
    stream.set_nodelay(true).map_err(|_| Failure::Unreachable)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|_| Failure::Unreachable)?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn read(answer: http::Response<Incoming>, deadline: Instant) -> Result<Reply, Failure> {
    let (head, body) = answer.into_parts();
    match timeout_at(deadline, body.collect()).await {
        Ok(Ok(body)) => Ok(Reply { status: head.status, headers: head.headers, body: body.to_bytes() }),
        Ok(Err(_)) => Err(Failure::Truncated(head.headers)),
        Err(_) => Err(Failure::TimedOut),
    }
}
