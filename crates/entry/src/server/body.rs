//! Reads bodies of requests within the limits of the process.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;

use thiserror::Error;
use tokio::time::timeout;
use xitca_web::body::{Body, Frame, RequestBody};
use xitca_web::bytes::{Bytes, BytesMut};

use super::connection::{InputEnd, input_end};

/// Most bytes that are reserved before any have come.
const FIRST_BYTES: u64 = 4 << 10;

/// Reason why a body was not read to its end. Nothing has been done with the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BodyError {
    /// The body exceeds this limit, in bytes.
    #[error("the request body exceeds the limit of {0} bytes")]
    TooLarge(u64),
    /// The body did not arrive in time.
    #[error("the request body did not arrive in time")]
    Late,
    /// Too many unfinished requests; this one had to give way.
    #[error("too many unfinished requests")]
    Overloaded,
    /// The body ended early or its framing is broken.
    #[error("the request body ended early")]
    Truncated,
}

impl BodyError {
    /// Name of the reason in the metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::TooLarge(_) => "too-large",
            Self::Late => "body-late",
            Self::Overloaded => "overloaded",
            Self::Truncated => "body-ended-early",
        }
    }
}

/// Reads a whole body of the request on the connection of `address`, with at most `limit` bytes. An announced length is
/// checked before anything is read.
///
/// # Errors
///
/// Fails if the body is not complete within the limits.
pub async fn read_body(
    mut body: RequestBody,
    address: SocketAddr,
    length: Option<u64>,
    limit: u64,
    time: Duration,
) -> Result<Bytes, BodyError> {
    if length.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLarge(limit));
    }
    let first = usize::try_from(length.unwrap_or(0).min(FIRST_BYTES)).unwrap_or(0);
    // Parts are copied: a small part would keep the whole buffer that it was read into.
    let mut bytes = BytesMut::with_capacity(first);
    let read = async {
        while let Some(part) = next_part(&mut body, address).await? {
            if (bytes.len() + part.len()) as u64 > limit {
                return Err(BodyError::TooLarge(limit));
            }
            bytes.extend_from_slice(&part);
        }
        Ok(())
    };
    timeout(time, read).await.map_err(|_| BodyError::Late)??;
    if length.is_some_and(|length| length != bytes.len() as u64) {
        return Err(BodyError::Truncated);
    }
    Ok(bytes.freeze())
}

/// Next part of a body; none at its end.
///
/// # Errors
///
/// Fails if the connection or the framing ends first.
pub(crate) async fn next_part(
    body: &mut RequestBody,
    address: SocketAddr,
) -> Result<Option<Bytes>, BodyError> {
    loop {
        match poll_fn(|cx| Pin::new(&mut *body).poll_frame(cx)).await {
            Some(Ok(Frame::Data(part))) => return Ok(Some(part)),
            Some(Ok(Frame::Trailers(_))) => {}
            Some(Err(_)) if input_end(address) == InputEnd::Refused => return Err(BodyError::Overloaded),
            Some(Err(_)) => return Err(BodyError::Truncated),
            // The server does not tell the end of a chunked body from the end of the connection.
            None if input_end(address) == InputEnd::Closed => return Err(BodyError::Truncated),
            None => return Ok(None),
        }
    }
}
