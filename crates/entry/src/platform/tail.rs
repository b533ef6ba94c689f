//! Newest log entries in memory, for peers that cannot reach the platform.

use std::collections::VecDeque;

use parking_lot::Mutex;
use rattanfall_core::ids::Offset;

/// Most entries that are kept.
const MAX_ENTRIES: usize = 10_000;
/// Largest total size of the kept entries, in bytes. An entry instance has a memory limit of 128 MB.
const MAX_BYTES: usize = 32 << 20;
/// Size after which a response to a peer takes no further entry, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Bounded buffer of the newest log entries.
#[derive(Debug, Default)]
pub struct Tail {
    buffer: Mutex<Buffer>,
}

#[derive(Debug, Default)]
struct Buffer {
    first: u64,
    entries: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Tail {
    /// Adds an entry. If it does not follow the last one, all earlier entries are dropped.
    pub fn push(&self, offset: u64, entry: Vec<u8>) {
        let mut buffer = self.buffer.lock();
        if offset != buffer.first + buffer.entries.len() as u64 {
            *buffer = Buffer { first: offset, ..Buffer::default() };
        }
        buffer.bytes += entry.len();
        buffer.entries.push_back(entry);
        while buffer.entries.len() > MAX_ENTRIES || buffer.bytes > MAX_BYTES {
            let Some(dropped) = buffer.entries.pop_front() else { break };
            buffer.bytes -= dropped.len();
            buffer.first += 1;
        }
    }

    /// Entries from an offset on, as many as fit into one response. Empty if the offset is not reached yet, `None` if
    /// it is no longer kept.
    #[must_use]
    pub fn entries_from(&self, offset: Offset) -> Option<Vec<(Offset, Vec<u8>)>> {
        let buffer = self.buffer.lock();
        let skip = usize::try_from(offset.0.checked_sub(buffer.first)?).ok()?;
        let mut left = MAX_RESPONSE_BYTES;
        let fits = |entry: &&Vec<u8>| {
            let some = left > 0;
            left = left.saturating_sub(entry.len());
            some
        };
        let entries = buffer.entries.iter().skip(skip).take_while(fits).cloned();
        Some((offset.0..).map(Offset).zip(entries).collect())
    }
}
