//! Short calls with buffered bodies, mostly JSON, to workers and to the platform.

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

/// Largest response body that is read, in bytes. A page of the log with 256 KiB entries in base64 fits.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// Most memory that is reserved for a response body before it arrives, in bytes.
const MAX_PREALLOCATED_BYTES: usize = 1 << 20;

/// Media type of JSON bodies.
const JSON_MEDIA_TYPE: &str = "application/json";
/// Media type of raw bytes.
const BINARY_MEDIA_TYPE: &str = "application/octet-stream";

/// HTTP call with a buffered request body.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Request body; empty if there is none.
    pub body: Bytes,
    /// Media type of the body.
    pub media_type: &'static str,
    /// Additional headers, as names and values.
    pub headers: Vec<(&'static str, String)>,
    /// Time limit up to the end of the response, or up to its head if `body_timeouts` is set.
    pub timeout: Duration,
    /// Separate time limits of the response body.
    pub body_timeouts: Option<BodyTimeouts>,
}

/// Time limits of a response body of unknown size. A slow transfer is not a failure, but a connection on which nothing
/// arrives is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyTimeouts {
    /// Longest time between two parts of the body.
    pub stall: Duration,
    /// Longest time for the whole body.
    pub total: Duration,
}

/// Why a response is incomplete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum Interruption {
    /// A time limit passed.
    #[error("the time limit passed")]
    TimedOut,
    /// The connection broke.
    #[error("the connection broke")]
    Broken,
}

/// Why a call has no usable response. Except for `Unsent`, the call may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum CallError {
    /// No connection could be made, so nothing was sent.
    #[error("no connection could be made")]
    Unsent,
    /// The head of the response did not arrive.
    #[error("no response arrived: {0}")]
    NoResponse(Interruption),
    /// The response ended within its body.
    #[error("the response was truncated after {received} bytes: {cause}")]
    Truncated {
        /// Why it ended.
        cause: Interruption,
        /// Bytes of the body that had arrived.
        received: u64,
    },
    /// The response is malformed, too large, or not of the expected kind.
    #[error("the response cannot be used")]
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
    /// Creates a call without a body.
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

    /// Limits `timeout` to the head of the response and sets separate time limits for its body.
    #[must_use]
    pub const fn body_timeouts(mut self, body_timeouts: BodyTimeouts) -> Self {
        self.body_timeouts = Some(body_timeouts);
        self
    }

    /// Sets a binary body.
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

    /// Sets a JSON body.
    #[must_use]
    pub fn json(mut self, body: &impl Serialize) -> Self {
        self.body = serde_json::to_vec(body).unwrap_or_default().into();
        self
    }
}

/// Complete response to a call.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: http::HeaderMap,
    /// Complete response body.
    pub body: Bytes,
}

impl Reply {
    /// Parses the JSON body of a 2xx response. `None` for another status or if the body does not parse.
    #[must_use]
    pub fn parse<T: DeserializeOwned>(&self) -> Option<T> {
        if self.status.is_success() { serde_json::from_slice(&self.body).ok() } else { None }
    }
}

/// Makes a call on an idle connection or on a new one. Calls do not count against the connection limit for requests, so
/// that a lease can be renewed at a worker whose connections are all in use.
///
/// # Errors
///
/// Fails if no complete response arrives in time.
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
            Failure::Broken | Failure::UploadBroken => Self::NoResponse(Interruption::Broken),
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
