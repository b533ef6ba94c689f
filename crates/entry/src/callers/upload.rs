//! Reads the bodies of callers' requests. Small bodies are buffered for retries, large ones are streamed.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use rattanfall_core::engine::event::Submission;
use xitca_web::body::RequestBody;

use super::Callers;
use super::error::EdgeError;
use crate::server::{give_back, next_part, read_body};
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
    address: SocketAddr,
    remaining: u64,
}

impl Upload {
    /// Reads a body completely if it is small or chunked, or prepares to stream a large one. `limit` bounds the bytes and the
    /// time for reading.
    pub(super) async fn read(
        callers: &Callers,
        source: RequestBody,
        address: SocketAddr,
        length: Option<u64>,
        limit: (u64, Duration),
    ) -> Result<Self, EdgeError> {
        match length.filter(|length| *length > MAX_REPLAYABLE_BYTES) {
            None => read_whole(callers, source, address, length, limit).await.map(Self::Buffered),
            Some(remaining) => {
                let (sender, body) = body_channel(remaining);
                Ok(Self::Streamed { body, forwarder: BodyForwarder { sender, source, address, remaining } })
            }
        }
    }
}

/// Reads a whole body of at most `limit` bytes within a time limit.
pub(super) async fn read_whole(
    callers: &Callers,
    source: RequestBody,
    address: SocketAddr,
    length: Option<u64>,
    limit: (u64, Duration),
) -> Result<Bytes, EdgeError> {
    let requests = &callers.edge.requests;
    let (most, time) = (limit.0.min(requests.limits().body_bytes), limit.1.min(requests.limits().body));
    let read = read_body(source, address, length, most, time).await;
    read.inspect_err(|error| requests.refuse(error.name())).map_err(EdgeError::from)
}

impl BodyForwarder {
    /// Forwards the whole body. Returns early without an error if the worker's connection has closed.
    pub(super) async fn run(mut self) -> Result<(), EdgeError> {
        while self.remaining > 0 {
            let part = tokio::select! {
                part = next_part(&mut self.source, self.address) => part?.ok_or(EdgeError::BodyTruncated)?,
                () = self.sender.closed() => return Ok(()),
            };
            let bytes = part.len();
            self.remaining = self.remaining.saturating_sub(bytes as u64);
            if self.sender.send(part).await.is_err() {
                return Ok(());
            }
            give_back(self.address, bytes);
        }
        Ok(())
    }
}

/// Limit of the body of the pool and team, in bytes. None for unknown pools and keys; the engine refuses them.
pub(super) fn body_limit(callers: &Callers, submission: &Submission) -> Option<u64> {
    callers.shell.read(|engine| {
        let fleet = engine.fleet();
        let pool = fleet.pool(&submission.pool)?;
        let key = submission.key.and_then(|hash| fleet.hashes.get(&hash)).and_then(|id| fleet.keys.get(id));
        let team = key.map(|key| key.team).or(fleet.pools.get(&pool)?.open)?;
        Some(fleet.effective_default(pool, team, |defaults| defaults.body_bytes, "body_bytes"))
    })
}
