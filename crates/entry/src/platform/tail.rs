//! Newest entries of the log in memory, for peers that cannot reach the platform.

use std::collections::VecDeque;

use parking_lot::Mutex;
use rattanfall_core::ids::Offset;

/// Entries that are kept.
const ENTRIES: usize = 10_000;
/// Size of the kept entries, in bytes. A member may use 128 MB in all.
const BYTES: usize = 32 << 20;
/// Size of one answer to a peer, in bytes.
const ANSWER_BYTES: usize = 4 << 20;

/// Bounded copy of the newest entries.
#[derive(Debug, Default)]
pub struct Tail {
    rows: Mutex<Rows>,
}

#[derive(Debug, Default)]
struct Rows {
    first: u64,
    entries: VecDeque<Vec<u8>>,
    bytes: usize,
}

impl Tail {
    /// Adds an entry. A gap drops what was kept before.
    pub fn push(&self, offset: u64, entry: Vec<u8>) {
        let mut rows = self.rows.lock();
        if offset != rows.first + rows.entries.len() as u64 {
            *rows = Rows { first: offset, ..Rows::default() };
        }
        rows.bytes += entry.len();
        rows.entries.push_back(entry);
        while rows.entries.len() > ENTRIES || rows.bytes > BYTES {
            let Some(dropped) = rows.entries.pop_front() else { break };
            rows.bytes -= dropped.len();
            rows.first += 1;
        }
    }

    /// Entries from an offset on, as many as fit one answer: none if the offset is not reached yet, `None` if it is no
    /// longer kept.
    #[must_use]
    pub fn from(&self, offset: Offset) -> Option<Vec<(Offset, Vec<u8>)>> {
        let rows = self.rows.lock();
        let skip = usize::try_from(offset.0.checked_sub(rows.first)?).ok()?;
        let mut left = ANSWER_BYTES;
        let fits = |entry: &&Vec<u8>| {
            let some = left > 0;
            left = left.saturating_sub(entry.len());
            some
        };
        let entries = rows.entries.iter().skip(skip).take_while(fits).cloned();
        Some((offset.0..).map(Offset).zip(entries).collect())
    }
}
