//! Bodies of callers' requests.

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

/// Largest body that is kept for another attempt, in bytes.
pub(super) const MAX_REPLAYABLE_BYTES: u64 = 64 << 10;

/// Body on its way to the worker.
pub(super) enum Upload {
    /// Read in whole before the request is submitted.
    Buffered(Bytes),
    /// Passed on while it arrives; can be sent once.
    Streamed {
        /// Body for the worker.
        body: SendBody,
        /// What feeds it.
        forwarder: BodyForwarder,
    },
}

/// Source of a streamed body.
pub(super) struct BodyForwarder {
    sender: BodySender,
    source: RequestBody,
    remaining: u64,
}

impl Upload {
    /// Reads a small body in whole, or prepares to stream a large one.
    pub(super) async fn read(source: RequestBody, length: u64, limit: Duration) -> Result<Self, EdgeError> {
        if length <= MAX_REPLAYABLE_BYTES {
            return read_whole(source, length, limit).await.map(Self::Buffered);
        }
        let (sender, body) = body_channel(length);
        Ok(Self::Streamed { body, forwarder: BodyForwarder { sender, source, remaining: length } })
    }
}

/// Reads a body of a known length.
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
    /// Feeds the whole body. Ends early if the worker's connection ends.
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

/// Checks the body's length against the limit of the pool and team.
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
