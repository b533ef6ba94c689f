//! Snapshots of the replicated state, for logs with limited retention.
//!
//! A snapshot is written to the log in parts, and a reader uses it only once it has seen all of them. A member that
//! stops halfway leaves an incomplete set, which is ignored.

use std::collections::BTreeMap;

use super::Fleet;
use crate::ids::Offset;
use crate::record::SnapshotPart;

/// Maximum size of one part, in bytes; keeps an append far below common request size limits.
const MAX_PART_BYTES: usize = 256 << 10;
/// Version of the snapshot format. Must change with the layout of any replicated table.
const SNAPSHOT_VERSION: u8 = 1;
/// Size of the version byte and the checksum.
const HEADER_BYTES: usize = 5;
/// Maximum number of incomplete snapshots kept; a new one evicts the one with the lowest offset.
const MAX_INCOMPLETE: usize = 8;

/// Error of a snapshot that cannot be restored.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// The bytes do not parse, their checksum does not match, or a part is outside its set.
    #[error("snapshot is malformed")]
    Malformed,
    /// The format version belongs to another release.
    #[error("snapshot format version {0} is not supported")]
    Version(u8),
    /// The restored state ends at another offset than its parts name.
    #[error("snapshot covers another offset than its parts say")]
    Offset,
}

impl Fleet {
    /// Serialises the state: a version byte, a CRC-32 of the body, and the body in `postcard` format. `postcard` is not
    /// self-describing, so without the header, bytes of another layout could parse into a wrong state.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        let body = postcard::to_stdvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(HEADER_BYTES + body.len());
        bytes.push(SNAPSHOT_VERSION);
        bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
        bytes.extend_from_slice(&body);
        bytes
    }

    /// Restores a state from [`Fleet::snapshot`].
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a snapshot of this format.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        let (header, body) = bytes.split_at_checked(HEADER_BYTES).ok_or(RestoreError::Malformed)?;
        if header[0] != SNAPSHOT_VERSION {
            return Err(RestoreError::Version(header[0]));
        }
        if crc32fast::hash(body).to_le_bytes() != header[1..] {
            return Err(RestoreError::Malformed);
        }
        let mut fleet: Self = postcard::from_bytes(body).map_err(|_| RestoreError::Malformed)?;
        fleet.count_open_tasks();
        Ok(fleet)
    }

    /// Replaces this state by a restored one if that covers more of the log; returns whether it did.
    pub fn advance(&mut self, restored: Self) -> bool {
        let newer = restored.applied > self.applied;
        if newer {
            *self = restored;
        }
        newer
    }
}

/// Splits a snapshot of `fleet` into parts. Returns none if nothing was applied yet.
#[must_use]
pub fn split_snapshot(fleet: &Fleet, id: u64) -> Vec<SnapshotPart> {
    let Some(covers) = fleet.applied else {
        return Vec::new();
    };
    let bytes = fleet.snapshot();
    let chunks: Vec<&[u8]> = bytes.chunks(MAX_PART_BYTES).collect();
    let total = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let part =
        |(index, chunk): (u32, &&[u8])| SnapshotPart { id, covers, index, total, bytes: chunk.to_vec() };
    (0..total).zip(&chunks).map(part).collect()
}

/// Collects the parts of snapshots until one is complete.
#[derive(Clone, Debug, Default)]
pub struct SnapshotAssembler {
    parts: BTreeMap<(Offset, u64), BTreeMap<u32, Vec<u8>>>,
}

impl SnapshotAssembler {
    /// Adds a part; returns the restored state if this was the last missing part of its snapshot.
    ///
    /// # Errors
    ///
    /// Fails if the index of the part is out of range, or if a complete set of parts cannot be restored.
    pub fn add(&mut self, part: &SnapshotPart) -> Result<Option<Fleet>, RestoreError> {
        if part.index >= part.total {
            return Err(RestoreError::Malformed);
        }
        let set = self.parts.entry((part.covers, part.id)).or_default();
        set.insert(part.index, part.bytes.clone());
        if set.len() < part.total as usize {
            self.evict_incomplete();
            return Ok(None);
        }
        let set = self.parts.remove(&(part.covers, part.id)).unwrap_or_default();
        let bytes: Vec<u8> = set.into_values().flatten().collect();
        let fleet = Fleet::restore(&bytes)?;
        if fleet.applied != Some(part.covers) {
            return Err(RestoreError::Offset);
        }
        Ok(Some(fleet))
    }

    fn evict_incomplete(&mut self) {
        while self.parts.len() > MAX_INCOMPLETE {
            self.parts.pop_first();
        }
    }
}
