//! Records that may be stored although their callers no longer wait.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use tokio::time::Instant;

use super::queue::RecordKey;

/// Time for which such a record is kept. Longer than an append may take until the store carries it out, with the longest time
/// that a caller waits.
const KEPT: Duration = Duration::from_secs(13);
/// Maximum number of records. Those of a few hundred callers a second that get no outcome.
const MAX_RECORDS: usize = 8_192;

/// Attempts under way for a record whose caller no longer waits.
#[derive(Debug)]
struct Open {
    key: String,
    added: Instant,
    attempts: usize,
}

/// Keys of records, with the times at which their callers stopped to wait.
#[derive(Debug, Default)]
pub(super) struct Unsure {
    keys: BTreeMap<String, Instant>,
    /// Records that are stored, if at all, by attempts under way. A caller with little time could otherwise have its next call
    /// admitted although the owner has declined the first.
    open: BTreeMap<RecordKey, Open>,
    /// Oldest first. A key that was added again has an older entry too.
    order: VecDeque<(Instant, RecordKey, String)>,
}

impl Unsure {
    /// Adds a record with the number of its attempts under way; none if one that has ended may have stored it. The oldest record
    /// is removed if there are too many.
    pub(super) fn add(&mut self, record: RecordKey, key: String, attempts: Option<usize>, now: Instant) {
        while let Some((at, ..)) = self.order.front()
            && (now >= *at + KEPT || self.order.len() >= MAX_RECORDS)
            && let Some((at, record, key)) = self.order.pop_front()
        {
            self.open.remove(&record);
            self.remove(&key, at);
        }
        if let Some(attempts) = attempts {
            self.open.insert(record, Open { key: key.clone(), added: now, attempts });
        }
        self.order.push_back((now, record, key.clone()));
        self.keys.insert(key, now);
    }

    /// Ends an attempt for a record. Once all attempts under way have ended without storing it, it is certainly not stored.
    pub(super) fn end(&mut self, record: RecordKey, may_be_stored: bool) {
        let Some(open) = self.open.get_mut(&record) else { return };
        open.attempts = open.attempts.saturating_sub(1);
        if !may_be_stored && open.attempts > 0 {
            return;
        }
        if let Some(open) = self.open.remove(&record)
            && !may_be_stored
        {
            self.remove(&open.key, open.added);
        }
    }

    /// Removes a key unless it was added again.
    fn remove(&mut self, key: &str, added: Instant) {
        if self.keys.get(key) == Some(&added) {
            self.keys.remove(key);
        }
    }

    /// True if an earlier call may have stored a record with this key.
    pub(super) fn contains(&self, key: &str, now: Instant) -> bool {
        self.keys.get(key).is_some_and(|at| now < *at + KEPT)
    }
}
