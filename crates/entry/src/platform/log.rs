//! Position in the log. Entries that are read from the platform and from peers are applied through the same cursor.

use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rattanfall_core::engine::Event;
use rattanfall_core::fleet::Fleet;
use rattanfall_core::ids::Offset;
use rattanfall_core::record::{DecodeError, decode};
use rattanfall_wire::platform::FIRST_OFFSET;
use thiserror::Error;

use super::Tail;
use crate::shell::Shell;

/// Reason why entries cannot be applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ApplyError {
    /// The first entry is after the cursor.
    #[error("entries start at offset {first}, but offset {next} is next")]
    Gap {
        /// Offset of the first entry.
        first: u64,
        /// Offset of the cursor.
        next: u64,
    },
    /// An entry has the format of another release. It is not skipped, because replicas of that release apply it.
    #[error("the entry at offset {offset} has format version {version}, which this release cannot read")]
    Version {
        /// Offset of the entry.
        offset: u64,
        /// Format version of the entry.
        version: u8,
    },
}

/// Position in the log, with the engine that entries are applied to and the newest entries for peers.
#[derive(Debug)]
pub struct LogCursor {
    shell: Arc<Shell>,
    tail: Tail,
    next: Mutex<u64>,
    last_reached: Mutex<Instant>,
}

impl LogCursor {
    /// Creates a cursor at the first offset of the log.
    #[must_use]
    pub fn new(shell: Arc<Shell>) -> Arc<Self> {
        Arc::new(Self {
            shell,
            tail: Tail::default(),
            next: Mutex::new(FIRST_OFFSET),
            last_reached: Mutex::new(Instant::now()),
        })
    }

    /// Offset of the next entry to apply.
    #[must_use]
    pub fn next(&self) -> u64 {
        *self.next.lock()
    }

    /// Newest applied entries.
    #[must_use]
    pub const fn tail(&self) -> &Tail {
        &self.tail
    }

    /// Applies entries in offset order. Entries before the cursor are skipped.
    ///
    /// # Errors
    ///
    /// Fails if the first entry is after the cursor, or at an entry with the format of another release.
    pub fn apply(&self, first: u64, entries: Vec<Vec<u8>>) -> Result<(), ApplyError> {
        let mut next = self.next.lock();
        if first > *next {
            return Err(ApplyError::Gap { first, next: *next });
        }
        for (offset, entry) in (first..).zip(entries) {
            if offset < *next {
                continue;
            }
            self.apply_entry(Offset(offset), entry)?;
            *next = offset + 1;
        }
        Ok(())
    }

    fn apply_entry(&self, offset: Offset, entry: Vec<u8>) -> Result<(), ApplyError> {
        let event = match decode(&entry) {
            Ok(batch) => Event::LogBatch { offset, batch },
            Err(DecodeError::Version(version)) => {
                return Err(ApplyError::Version { offset: offset.0, version });
            }
            Err(error) => {
                log::error!(offset = offset.0; "skipping a corrupt log entry: {error}");
                Event::LogCorrupt(offset)
            }
        };
        self.shell.handle(event);
        self.tail.push(offset.0, entry);
        Ok(())
    }

    /// Replaces the state by a snapshot and moves the cursor behind it. Does nothing if the snapshot is not ahead of
    /// the cursor.
    pub fn restore(&self, fleet: Fleet) {
        let mut next = self.next.lock();
        let Some(covers) = fleet.applied.filter(|covers| covers.0 + 1 > *next) else {
            return;
        };
        log::info!(covers = covers.0; "the state is restored from a snapshot");
        self.shell.handle(Event::Restored(Box::new(fleet)));
        *next = covers.0 + 1;
    }

    /// Records that the platform has just answered a read.
    pub fn mark_reached(&self) {
        *self.last_reached.lock() = Instant::now();
    }

    /// Time since the platform last answered a read.
    #[must_use]
    pub fn since_reached(&self) -> Duration {
        self.last_reached.lock().elapsed()
    }

    /// Engine that entries are applied to.
    #[must_use]
    pub const fn shell(&self) -> &Arc<Shell> {
        &self.shell
    }
}
