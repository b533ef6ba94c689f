//! Request bodies, buffered or streamed.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

use super::BodyError;

/// Parts of a body that are queued for the connection. Bounds the memory of one upload.
const MAX_QUEUED_PARTS: usize = 4;

/// The sender of a streamed body stopped before the declared length, or sent more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the request body does not match its length")]
pub(super) struct BodyTruncated;

/// Body of an outgoing request. Its length is always known.
#[derive(Debug)]
pub enum SendBody {
    /// Body in memory; `None` once it was sent.
    Buffered(Option<Bytes>),
    /// Body that is forwarded while it arrives.
    Stream {
        /// Parts of the body, in order.
        parts: mpsc::Receiver<Bytes>,
        /// Bytes that have not been sent yet.
        remaining: u64,
    },
}

/// Sending half of a streamed body.
pub type BodySender = mpsc::Sender<Bytes>;

/// Creates a streamed body with this length in bytes, and its sender.
#[must_use]
pub fn body_channel(length: u64) -> (BodySender, SendBody) {
    let (sender, parts) = mpsc::channel(MAX_QUEUED_PARTS);
    (sender, SendBody::Stream { parts, remaining: length })
}

impl SendBody {
    /// Creates a body from bytes in memory.
    #[must_use]
    pub const fn buffered(bytes: Bytes) -> Self {
        Self::Buffered(Some(bytes))
    }
}

impl Body for SendBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream { remaining: 0, .. } => Poll::Ready(None),
            Self::Stream { parts, remaining } => match ready!(parts.poll_recv(cx)) {
                Some(part) if part.len() as u64 <= *remaining => {
                    *remaining -= part.len() as u64;
                    Poll::Ready(Some(Ok(Frame::data(part))))
                }
                _ => Poll::Ready(Some(Err(BodyTruncated.into()))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream { remaining, .. } => *remaining == 0,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64)),
            Self::Stream { remaining, .. } => SizeHint::with_exact(*remaining),
        }
    }
}
