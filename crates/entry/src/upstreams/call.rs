//! Short calls with JSON bodies, to workers and to the platform.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::{Method, Request, StatusCode, header};
use http_body::Body as _;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use super::exchange::send_once;
use super::{Failure, Pool, SendBody};

/// Largest answer that is read. A page of the log with 256 KiB entries in base64 fits.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Memory that is reserved at most for an answer before it arrives.
const MAX_PREALLOCATED_BYTES: usize = 1 << 20;

/// Media type of JSON bodies.
const JSON_MEDIA_TYPE: &str = "application/json";
/// Media type of raw bytes.
const BINARY_MEDIA_TYPE: &str = "application/octet-stream";

/// Call to make.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Body; empty if there is none.
    pub body: Bytes,
    /// Media type of the body.
    pub media_type: &'static str,
    /// Further headers.
    pub headers: Vec<(&'static str, String)>,
    /// Time limit, to the end of the answer unless `body_timeouts` bounds its body.
    pub timeout: Duration,
    /// Time limits of the answer's body.
    pub body_timeouts: Option<BodyTimeouts>,
}

/// Time limits of a body whose size the caller doesn't know. A slow link takes long for it and is no failure; a
/// connection on which nothing arrives is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyTimeouts {
    /// Time without any byte after which the call fails.
    pub stall: Duration,
    /// Time for the whole body.
    pub total: Duration,
}

/// How an answer ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Interruption {
    /// The time limit passed.
    #[error("the time limit passed")]
    TimedOut,
    /// The connection broke.
    #[error("the connection broke")]
    Broken,
}

/// Why a call has no answer. Unless nothing was sent, the call may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// Nothing was sent.
    #[error("no connection could be made")]
    Unsent,
    /// No head of an answer arrived.
    #[error("no answer began: {0}")]
    NoResponse(Interruption),
    /// The answer ended in its body.
    #[error("the answer was cut off after {received} bytes: {cause}")]
    Truncated {
        /// How it ended.
        cause: Interruption,
        /// Bytes of the body that had arrived.
        received: u64,
    },
    /// The answer is not one to this call.
    #[error("the answer cannot be used")]
    Unusable,
}

impl CallError {
    /// Bytes of the body that had arrived.
    #[must_use]
    pub const fn received(&self) -> u64 {
        match self {
            Self::Truncated { received, .. } => *received,
            Self::Unsent | Self::NoResponse(_) | Self::Unusable => 0,
        }
    }
}

impl Call {
    /// Call without a body.
    #[must_use]
    pub fn new(method: Method, path: impl Into<String>, timeout: Duration) -> Self {
        Self {
            method,
            path: path.into(),
            body: Bytes::new(),
            media_type: JSON_MEDIA_TYPE,
            headers: Vec::new(),
            timeout,
            body_timeouts: None,
        }
    }

    /// Ends the time limit with the head of the answer, and bounds its body by its progress.
    #[must_use]
    pub const fn body_timeouts(mut self, body_timeouts: BodyTimeouts) -> Self {
        self.body_timeouts = Some(body_timeouts);
        self
    }

    /// Adds a body of raw bytes.
    #[must_use]
    pub fn raw(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self.media_type = BINARY_MEDIA_TYPE;
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds a JSON body.
    #[must_use]
    pub fn json(mut self, body: &impl Serialize) -> Self {
        self.body = serde_json::to_vec(body).unwrap_or_default().into();
        self
    }
}

/// Status and body of an answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: http::HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl Reply {
    /// Parses the body of a 2xx answer.
    #[must_use]
    pub fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        if self.status.is_success() { serde_json::from_slice(&self.body).ok() } else { None }
    }
}

/// Makes a call on an idle connection or on a fresh one. Calls do not wait for a request's connection, so that a
/// worker whose connections are all in use can still renew a lease.
///
/// # Errors
///
/// Fails if no complete answer arrives in time.
pub async fn call(pool: &Arc<Pool>, address: &str, call: Call) -> Result<Reply, CallError> {
    let deadline = Instant::now() + call.timeout;
    let body_timeouts = call.body_timeouts;
    let mut request = Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(header::HOST, address)
        .header(header::CONTENT_TYPE, call.media_type);
    for (name, value) in call.headers {
        request = request.header(name, value);
    }
    let request = request.body(SendBody::buffered(call.body)).map_err(|_| CallError::Unsent)?;
    let (connection, response) = match send_once(pool, address, request, deadline).await {
        Ok(sent) => sent,
        Err(failure) => return Err(failure.into()),
    };
    let (head, body) = response.into_parts();
    let limits = match body_timeouts {
        Some(BodyTimeouts { stall, total }) => (Some(stall), Instant::now() + total),
        None => (None, deadline),
    };
    let body = read_body(body, limits.0, limits.1).await?;
    pool.put_idle(address, connection);
    Ok(Reply { status: head.status, headers: head.headers, body })
}

impl From<Failure> for CallError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unsent(_) => Self::Unsent,
            Failure::TimedOut => Self::NoResponse(Interruption::TimedOut),
            Failure::Broken => Self::NoResponse(Interruption::Broken),
            Failure::Corrupt | Failure::Refused(_) => Self::Unusable,
        }
    }
}

async fn read_body(
    mut body: Incoming,
    stall: Option<Duration>,
    deadline: Instant,
) -> Result<Bytes, CallError> {
    let length = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    let mut bytes = BytesMut::with_capacity(length.min(MAX_PREALLOCATED_BYTES));
    loop {
        let until = stall.map_or(deadline, |stall| deadline.min(Instant::now() + stall));
        let cause = match timeout_at(until, body.frame()).await {
            Ok(None) => return Ok(bytes.freeze()),
            Ok(Some(Ok(frame))) => {
                let Ok(data) = frame.into_data() else { continue };
                if bytes.len() + data.len() > MAX_RESPONSE_BYTES {
                    return Err(CallError::Unusable);
                }
                bytes.extend_from_slice(&data);
                continue;
            }
            Ok(Some(Err(_))) => Interruption::Broken,
            Err(_) => Interruption::TimedOut,
        };
        return Err(CallError::Truncated { cause, received: bytes.len() as u64 });
    }
}
