//! Pool of connections.

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

/// Whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// Why there is no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No connection; nothing was sent.
    #[error("no connection")]
    Unreachable,
    /// The request was handed back unsent.
    #[error("the connection closed before the request was sent")]
    Unsent,
    /// The connection broke before the head of the answer.
    #[error("the connection broke before an answer")]
    Broken,
    /// The connection broke after the head of the answer.
    #[error("the answer was cut off")]
    Cut(HeaderMap),
    /// No answer in time.
    #[error("no answer in time")]
    TimedOut,
}

/// Connections to many addresses. An idle connection is used again; without one, a new one is opened, so that the
/// number of open requests has no bound of the client's own.
#[derive(Clone, Debug, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<Arc<str>, Vec<Sender>>>>,
}

impl Client {
    /// Sends a request and reads the whole answer.
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
                // The server closed an idle connection: the request was not sent and goes out on another one.
                Err((Failure::Unsent, Some(back))) if reused => request = back,
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
                let back = error.take_message();
                let failure = if back.is_some() { Failure::Unsent } else { Failure::Broken };
                return Err((failure, back));
            }
            Err(_) => return Err((Failure::TimedOut, None)),
        };
        let reply = read(answer, deadline).await.map_err(|failure| (failure, None))?;
        // A connection that the server announced to close is not kept.
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
        Ok(Err(_)) => Err(Failure::Cut(head.headers)),
        Err(_) => Err(Failure::TimedOut),
    }
}
