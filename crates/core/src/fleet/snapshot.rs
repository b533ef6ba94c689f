//! Snapshots of the replicated state, for logs that keep records for a limited time.
//!
//! A snapshot is written to the log in parts; a reader uses it only when it has seen every part. A member that stops
//! halfway leaves an incomplete set, which is ignored.

use std::collections::BTreeMap;

use super::Fleet;
use crate::ids::Offset;
use crate::record::SnapshotPart;

/// Size of one part, in bytes. Keeps each append far below usual request limits.
const PART_BYTES: usize = 256 << 10;
/// Incomplete snapshots kept at once; a new one replaces the oldest.
const INCOMPLETE_SNAPSHOTS: usize = 8;

/// Reason why bytes are not a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RestoreError {
    /// The bytes do not parse.
    #[error("snapshot is malformed")]
    Malformed,
    /// The snapshot covers another offset than its parts say.
    #[error("snapshot covers another offset than its parts say")]
    Offset,
}

impl Fleet {
    /// Serialises the state.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Restores a state from [`Fleet::snapshot`].
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a snapshot of this format.
    pub fn restore(bytes: &[u8]) -> Result<Self, RestoreError> {
        postcard::from_bytes(bytes).map_err(|_| RestoreError::Malformed)
    }
}

/// Splits a snapshot of `fleet` into records. Empty if nothing was applied yet.
#[must_use]
pub fn split_snapshot(fleet: &Fleet, id: u64) -> Vec<SnapshotPart> {
    let Some(covers) = fleet.applied else {
        return Vec::new();
    };
    let bytes = fleet.snapshot();
    let chunks: Vec<&[u8]> = bytes.chunks(PART_BYTES).collect();
    let total = u32::try_from(chunks.len()).unwrap_or(u32::MAX);
    let part =
        |(index, chunk): (u32, &&[u8])| SnapshotPart { id, covers, index, total, bytes: chunk.to_vec() };
    (0..total).zip(&chunks).map(part).collect()
}

/// Collects parts until a snapshot is complete.
#[derive(Clone, Debug, Default)]
pub struct Collector {
    parts: BTreeMap<(Offset, u64), BTreeMap<u32, Vec<u8>>>,
}

impl Collector {
    /// Adds a part; returns the state once its last part is there.
    ///
    /// # Errors
    ///
    /// Fails if a complete set of parts does not restore.
    pub fn add(&mut self, part: &SnapshotPart) -> Result<Option<Fleet>, RestoreError> {
        let set = self.parts.entry((part.covers, part.id)).or_default();
        set.insert(part.index, part.bytes.clone());
        if set.len() < part.total as usize {
            self.limit_incomplete();
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

    fn limit_incomplete(&mut self) {
        while self.parts.len() > INCOMPLETE_SNAPSHOTS {
            self.parts.pop_first();
        }
    }
}
