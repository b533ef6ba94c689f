//! Reads the bodies of callers' requests. Small bodies are buffered for retries, large ones are streamed.

use std::future::poll_fn;
use std::pin::Pin;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use rattanfall_core::engine::event::Submission;
use tokio::time::timeout;
use xitca_web::body::{Body, Frame, RequestBody};

use super::Callers;
use super::error::EdgeError;
use crate::upstreams::{BodySender, SendBody, body_channel};

/// Largest body that is buffered so that it can be sent again, in bytes.
pub(super) const MAX_REPLAYABLE_BYTES: u64 = 64 << 10;

/// Request body to send to a worker.
pub(super) enum Upload {
    /// Read completely before the request is submitted.
    Buffered(Bytes),
    /// Forwarded while it arrives; can be sent only once.
    Streamed {
        /// Body of the worker's request.
        body: SendBody,
        /// Copies the caller's body to `body`.
        forwarder: BodyForwarder,
    },
}

/// Copies the body of a caller's request to the worker's request.
pub(super) struct BodyForwarder {
    sender: BodySender,
    source: RequestBody,
    remaining: u64,
}

impl Upload {
    /// Reads a small body completely, or prepares to stream a large one. `limit` bounds the time for reading.
    pub(super) async fn read(source: RequestBody, length: u64, limit: Duration) -> Result<Self, EdgeError> {
        if length <= MAX_REPLAYABLE_BYTES {
            return read_whole(source, length, limit).await.map(Self::Buffered);
        }
        let (sender, body) = body_channel(length);
        Ok(Self::Streamed { body, forwarder: BodyForwarder { sender, source, remaining: length } })
    }
}

/// Reads a body of a known length within a time limit.
pub(super) async fn read_whole(
    mut source: RequestBody,
    length: u64,
    limit: Duration,
) -> Result<Bytes, EdgeError> {
    let mut bytes = BytesMut::with_capacity(usize::try_from(length).unwrap_or(0));
    let read = async {
        while let Some(part) = next_part(&mut source).await? {
            bytes.extend_from_slice(&part);
        }
        Ok(())
    };
    timeout(limit, read).await.map_err(|_| EdgeError::BodyTimeout)??;
    if bytes.len() as u64 == length { Ok(bytes.freeze()) } else { Err(EdgeError::BodyTruncated) }
}

async fn next_part(source: &mut RequestBody) -> Result<Option<Bytes>, EdgeError> {
    loop {
        match poll_fn(|cx| Pin::new(&mut *source).poll_frame(cx)).await {
            Some(Ok(Frame::Data(part))) => return Ok(Some(part)),
            Some(Ok(Frame::Trailers(_))) => {}
            Some(Err(_)) => return Err(EdgeError::BodyTruncated),
            None => return Ok(None),
        }
    }
}

impl BodyForwarder {
    /// Forwards the whole body. Returns early without an error if the worker's connection has closed.
    pub(super) async fn run(mut self) -> Result<(), EdgeError> {
        while self.remaining > 0 {
            let part = tokio::select! {
                part = next_part(&mut self.source) => part?.ok_or(EdgeError::BodyTruncated)?,
                () = self.sender.closed() => return Ok(()),
            };
            self.remaining = self.remaining.saturating_sub(part.len() as u64);
            if self.sender.send(part).await.is_err() {
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Checks the length of the body against the limit of the pool and team. Unknown pools and keys pass; the engine
/// refuses them.
pub(super) fn check_limit(callers: &Callers, submission: &Submission, length: u64) -> Result<(), EdgeError> {
    if length == 0 {
        return Ok(());
    }
    let limit = callers.shell.read(|engine| {
        let fleet = engine.fleet();
        let pool = fleet.pool(&submission.pool)?;
        let key = submission.key.and_then(|hash| fleet.hashes.get(&hash)).and_then(|id| fleet.keys.get(id));
        let team = key.map(|key| key.team).or(fleet.pools.get(&pool)?.open)?;
        Some(fleet.effective_default(pool, team, |defaults| defaults.body_bytes, "body_bytes"))
    });
    match limit {
        Some(limit) if length > limit => Err(EdgeError::BodyTooLarge(limit)),
        _ => Ok(()),
    }
}
