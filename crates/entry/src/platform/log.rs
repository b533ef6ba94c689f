//! Cursor over the log. The platform's reads and the peers' tails feed the same cursor.

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

/// Why entries cannot be fed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FeedError {
    /// Entries start after the cursor.
    #[error("entries from offset {first} on do not follow offset {next}")]
    Gap {
        /// First offset offered.
        first: u64,
        /// Offset needed.
        next: u64,
    },
    /// An entry is of another release. It is not passed over, because replicas of that release give it an effect.
    #[error("the entry at offset {offset} has format version {version}, which this release cannot read")]
    Version {
        /// Offset of the entry.
        offset: u64,
        /// Version of its format.
        version: u8,
    },
}

/// Position in the log, the engine that it feeds, and the kept tail.
#[derive(Debug)]
pub struct Log {
    shell: Arc<Shell>,
    tail: Tail,
    next: Mutex<u64>,
    reached: Mutex<Instant>,
}

impl Log {
    /// Starts before the first offset.
    #[must_use]
    pub fn new(shell: Arc<Shell>) -> Arc<Self> {
        Arc::new(Self {
            shell,
            tail: Tail::default(),
            next: Mutex::new(FIRST_OFFSET),
            reached: Mutex::new(Instant::now()),
        })
    }

    /// Next offset to read.
    #[must_use]
    pub fn next(&self) -> u64 {
        *self.next.lock()
    }

    /// Kept tail.
    #[must_use]
    pub const fn tail(&self) -> &Tail {
        &self.tail
    }

    /// Feeds entries in offset order. Those before the cursor are passed over.
    ///
    /// # Errors
    ///
    /// Fails if the first entry is after the cursor, or at an entry of another release.
    pub fn feed(&self, first: u64, entries: Vec<Vec<u8>>) -> Result<(), FeedError> {
        let mut next = self.next.lock();
        if first > *next {
            return Err(FeedError::Gap { first, next: *next });
        }
        for (offset, entry) in (first..).zip(entries) {
            if offset < *next {
                continue;
            }
            self.feed_one(Offset(offset), entry)?;
            *next = offset + 1;
        }
        Ok(())
    }

    fn feed_one(&self, offset: Offset, entry: Vec<u8>) -> Result<(), FeedError> {
        let event = match decode(&entry) {
            Ok(batch) => Event::LogBatch { offset, batch },
            Err(DecodeError::Version(version)) => {
                return Err(FeedError::Version { offset: offset.0, version });
            }
            Err(error) => {
                log::error!(offset = offset.0; "a log entry is passed over: {error}");
                Event::LogCorrupt(offset)
            }
        };
        self.shell.handle(event);
        self.tail.push(offset.0, entry);
        Ok(())
    }

    /// Goes on after a snapshot, if it is ahead of the cursor or nothing was read yet.
    pub fn restore(&self, fleet: Fleet) {
        let mut next = self.next.lock();
        let Some(covers) = fleet.applied.filter(|covers| covers.0 + 1 > *next) else {
            return;
        };
        log::info!(covers = covers.0; "the state is restored from a snapshot");
        self.shell.handle(Event::Restored(Box::new(fleet)));
        *next = covers.0 + 1;
    }

    /// Notes that the platform answered a read.
    pub fn note_reached(&self) {
        *self.reached.lock() = Instant::now();
    }

    /// Time since the platform last answered a read.
    #[must_use]
    pub fn unreached(&self) -> Duration {
        self.reached.lock().elapsed()
    }

    /// Engine that the log feeds.
    #[must_use]
    pub const fn shell(&self) -> &Arc<Shell> {
        &self.shell
    }
}
