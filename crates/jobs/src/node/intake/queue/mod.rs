//! Records that callers wait for, and the attempts to store them.
//!
//! An attempt is an append, or a call that forwards records to another instance. A record may be in several attempts at
//! once. The first certain answer decides; a record is refused or declined only if no attempt may have stored it.

mod outcomes;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use super::super::state::Stored;
use super::pace::Pace;
use super::unsure::Unsure;
use crate::dispatch::admission::Decline;
use crate::ids::JobId;
use crate::record::{Entry, count_fitting};

/// Maximum number of concurrent appends. More than one, so that a lost answer does not delay other callers.
const MAX_APPENDS: usize = 4;
/// Maximum number of concurrent calls that forward records.
const MAX_FORWARDS: usize = 4;
/// Time after which a call that forwards records is late, if nothing is heard of the instance. Longer than two appends of a
/// slow store.
const FORWARD_LATE: Duration = Duration::from_millis(1_500);
/// Time for which records are not forwarded to an instance that did not store some.
const AVOID_PERIOD: Duration = Duration::from_secs(2);
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(60);
/// Minimum interval between two log lines about refused appends.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of appends while the store is slow. The second begins once the first is late.
const MAX_SLOW_APPENDS: usize = 2;
/// Time after which an append is carried out, if it ever is. Longer than the work that may wait at the store.
const MAX_EXECUTION: Duration = Duration::from_millis(2_500);
/// Duration of an outage from which a refused record is not tried again.
const MAX_OUTAGE: Duration = Duration::from_secs(1);
/// Duration of an outage from which a refused record of another instance is returned to that instance, which the store may
/// serve.
const MAX_OWNER_OUTAGE: Duration = Duration::from_millis(250);

/// Key of a record, in the order of arrival.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(in super::super) struct RecordKey(u64);

/// Key of an attempt.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct AttemptKey(u64);

/// Sender of a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Origin {
    /// A caller of this instance.
    Caller,
    /// Another instance. Its records are not forwarded again.
    Instance,
}

/// Way of an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Route {
    /// Append by this instance.
    Store,
    /// Call to the process of this name.
    Peer(String),
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Outcome {
    /// The records are stored.
    Stored,
    /// The records are not stored by this attempt.
    Refused,
    /// The other instance cannot be reached.
    Unreachable,
    /// The records may be stored.
    Unknown,
    /// The owner declines the job, and this attempt does not store its record.
    Declined {
        /// Why.
        reason: Decline,
        /// Time after which the job will be admitted, in milliseconds.
        retry_ms: u64,
    },
}

/// Attempts that may begin for a record.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ready {
    /// None: an attempt is under way.
    No,
    /// Any.
    Any,
    /// A call to another instance, beside a late append.
    Peer,
    /// An append, beside a late call to another instance.
    Store,
}

#[derive(Debug)]
struct Record {
    entry: Entry,
    origin: Origin,
    begun: Instant,
    /// Time until which the caller waits.
    deadline: Instant,
    ready: Ready,
    /// Time before which no attempt begins.
    resume: Instant,
    /// Attempts under way.
    open: usize,
    /// True if an attempt that has ended may have stored the record.
    unsure: bool,
    /// True if an earlier call may have stored the record.
    repeated: bool,
    /// Answer to the caller if no attempt stores the record, since the owner has declined it.
    declined: Option<Stored>,
    /// Receives the outcome.
    answer: oneshot::Sender<Stored>,
}

/// Phase of an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// The answer is not late yet.
    Open,
    /// The answer is late.
    Late,
    /// There was no answer, but the store may still carry it out.
    Unanswered,
}

impl Record {
    /// True if the record is certainly not stored, apart from attempts under way.
    const fn is_absent(&self) -> bool {
        !self.unsure && !self.repeated
    }
}

#[derive(Debug)]
struct Attempt {
    route: Route,
    begun: Instant,
    phase: Phase,
    records: Vec<RecordKey>,
}

/// Attempt to begin.
#[derive(Debug)]
pub(super) struct Work {
    pub(super) key: AttemptKey,
    pub(super) route: Route,
    pub(super) entries: Vec<Entry>,
    /// Latest time until which a caller waits.
    pub(super) deadline: Instant,
}

/// Refused appends since the last log line.
#[derive(Debug, Default)]
pub(super) struct Refusals {
    count: usize,
    logged: Option<Instant>,
}

impl Refusals {
    /// Adds a refused append. Returns the number since the last log line if another one is due.
    pub(super) fn add(&mut self, now: Instant) -> Option<usize> {
        self.count += 1;
        if self.logged.is_some_and(|at| now < at + LOG_INTERVAL) {
            return None;
        }
        self.logged = Some(now);
        Some(std::mem::take(&mut self.count))
    }
}

/// Records that callers wait for.
#[derive(Debug, Default)]
pub(in super::super) struct Queue {
    pub(in super::super) pace: Pace,
    pub(super) refusals: Refusals,
    records: BTreeMap<RecordKey, Record>,
    attempts: BTreeMap<AttemptKey, Attempt>,
    next: u64,
    /// Process to which no records are forwarded, and until when.
    avoided: Option<(String, Instant)>,
    /// Time of the last answer of another instance to forwarded records.
    heard: Option<Instant>,
    /// Records that may be stored although their callers no longer wait.
    unsure: Unsure,
}

impl Queue {
    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// Adds a record. None if it is not expected to be stored before the deadline.
    pub(super) fn push(
        &mut self,
        entry: Entry,
        origin: Origin,
        deadline: Instant,
        now: Instant,
    ) -> Option<(RecordKey, oneshot::Receiver<Stored>)> {
        if self.pace.forecast(now).is_some_and(|expected| now + expected > deadline) {
            return None;
        }
        let (answer, wait) = oneshot::channel();
        let key = RecordKey(self.next_number());
        let repeated = self.unsure.contains(&entry.key, now);
        let record = Record {
            entry,
            origin,
            begun: now,
            deadline,
            ready: Ready::Any,
            resume: now,
            open: 0,
            unsure: false,
            repeated,
            declined: None,
            answer,
        };
        self.records.insert(key, record);
        Some((key, wait))
    }

    pub(in super::super) fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Removes a record whose caller stops to wait. Returns its outcome.
    pub(super) fn expire(&mut self, key: RecordKey, now: Instant) -> Stored {
        match self.records.remove(&key) {
            Some(record) if record.open == 0 && !record.unsure => Stored::No,
            Some(record) => {
                let attempts = record.is_absent().then_some(record.open);
                self.unsure.add(key, record.entry.key, attempts, now);
                Stored::Unknown
            }
            None => Stored::Unknown,
        }
    }

    /// True if a record with this key waits here, or may be stored by an earlier call.
    pub(super) fn holds(&self, key: &str, now: Instant) -> bool {
        self.unsure.contains(key, now) || self.records.values().any(|record| record.entry.key == key)
    }

    /// Keys of the records: submissions and cancellations of jobs.
    pub(in super::super) fn jobs(&self) -> impl Iterator<Item = (RecordKey, char, JobId)> {
        self.records.iter().filter_map(|(key, record)| {
            let kind = record.entry.key.chars().next()?;
            Some((*key, kind, record.entry.key.get(1..)?.parse().ok()?))
        })
    }

    /// Answers records that are known to be stored.
    pub(in super::super) fn settle(&mut self, keys: Vec<RecordKey>, now: Instant) {
        let found: BTreeSet<RecordKey> = keys.iter().copied().collect();
        let holds = |attempt: &&Attempt| {
            attempt.route == Route::Store && attempt.records.iter().any(|key| found.contains(key))
        };
        let begun = self.attempts.values().filter(holds).map(|attempt| attempt.begun).max();
        for key in keys {
            self.finish(key, Stored::Yes, now);
        }
        if let Some(begun) = begun {
            self.give_up_before(begun);
        }
    }

    /// Ends the wait for appends that began before one that was carried out.
    fn give_up_before(&mut self, begun: Instant) {
        self.give_up(|attempt| attempt.begun < begun);
    }

    /// Ends the wait for appends without an answer, so that their records are appended again.
    fn give_up(&mut self, is_over: impl Fn(&Attempt) -> bool) {
        let over = |attempt: &Attempt| attempt.phase == Phase::Unanswered && is_over(attempt);
        let keys: Vec<AttemptKey> =
            self.attempts.iter().filter(|(_, attempt)| over(attempt)).map(|(key, _)| *key).collect();
        let over = keys.into_iter().filter_map(|key| self.attempts.remove(&key));
        for key in over.flat_map(|attempt| attempt.records) {
            let Some(record) = self.records.get_mut(&key) else { continue };
            record.open -= 1;
            if record.open == 0 {
                record.ready = if record.declined.is_some() { Ready::Store } else { Ready::Any };
            }
        }
    }

    fn finish(&mut self, key: RecordKey, stored: Stored, now: Instant) {
        let Some(record) = self.records.remove(&key) else {
            self.unsure.end(key, true);
            return;
        };
        if stored == Stored::Yes {
            self.pace.add_record(now.saturating_duration_since(record.begun), now);
        }
        if stored == Stored::Unknown {
            self.unsure.add(key, record.entry.key, None, now);
        }
        // The caller may have disconnected.
        let _ = record.answer.send(stored);
    }

    /// Returns the next attempt to begin. `owner` is the process that takes records of others, if it is another one, and
    /// `bytes` the maximum size of an attempt.
    pub(super) fn begin(&mut self, owner: Option<&str>, bytes: usize, now: Instant) -> Option<Work> {
        self.mark_late(now);
        let avoided = self.avoided.as_ref().filter(|(_, until)| now < *until).map(|(name, _)| name.as_str());
        let usable = |name: &&str| avoided != Some(*name) && !self.is_silent(now);
        let peer = owner.filter(usable).map(str::to_owned);
        let slow = self.pace.is_slow(now);
        if let Some(peer) = peer.clone()
            && self.count(|attempt| attempt.route != Route::Store) < MAX_FORWARDS
            && let Some(work) = self.start(Route::Peer(peer), bytes, now, |record| match record.ready {
                Ready::Peer => true,
                Ready::Any => record.origin == Origin::Caller,
                Ready::No | Ready::Store => false,
            })
        {
            return Some(work);
        }
        let in_time = self.count(|attempt| attempt.route == Route::Store && attempt.phase == Phase::Open);
        let all = self.count(|attempt| attempt.route == Route::Store);
        let most = if slow { MAX_SLOW_APPENDS } else { MAX_APPENDS };
        if all >= most || slow && in_time > 0 {
            return None;
        }
        let forwards = peer.is_some();
        self.start(Route::Store, bytes, now, |record| match record.ready {
            Ready::Any => !forwards || record.origin == Origin::Instance,
            Ready::Store => true,
            Ready::No | Ready::Peer => false,
        })
    }

    /// Number of attempts that callers wait for.
    fn count(&self, kind: impl Fn(&Attempt) -> bool) -> usize {
        let awaited = |attempt: &&Attempt| attempt.records.iter().any(|key| self.records.contains_key(key));
        self.attempts.values().filter(|attempt| kind(attempt)).filter(awaited).count()
    }

    /// Allows another way for the records of each attempt that has become late.
    fn mark_late(&mut self, now: Instant) {
        self.give_up(|attempt| now >= attempt.begun + MAX_EXECUTION);
        let limit = self.pace.late_after();
        let silent = self.is_silent(now);
        for attempt in self.attempts.values_mut().filter(|attempt| attempt.phase == Phase::Open) {
            if now < attempt.begun + limit {
                continue;
            }
            self.pace.add_late(now);
            let next = match attempt.route {
                Route::Store => Ready::Peer,
                // A slow store is no reason to leave an instance that answers.
                Route::Peer(_) if now < attempt.begun + FORWARD_LATE || !silent => continue,
                Route::Peer(_) => Ready::Store,
            };
            attempt.phase = Phase::Late;
            if let Route::Peer(name) = &attempt.route {
                self.avoided = Some((name.clone(), now + AVOID_PERIOD));
            }
            for key in &attempt.records {
                if let Some(record) = self.records.get_mut(key)
                    && record.ready == Ready::No
                    && record.open == 1
                    && (next == Ready::Store || record.origin == Origin::Caller)
                {
                    record.ready = next;
                }
            }
        }
    }

    /// True if nothing has been heard of the owner lately, neither an answer nor records that it wrote.
    fn is_silent(&self, now: Instant) -> bool {
        !self.pace.is_moving(now) && self.heard.is_none_or(|at| now >= at + FORWARD_LATE)
    }

    fn start(
        &mut self,
        route: Route,
        bytes: usize,
        now: Instant,
        is_ready: impl Fn(&Record) -> bool,
    ) -> Option<Work> {
        let ready = |(_, record): &(&RecordKey, &Record)| record.resume <= now && is_ready(record);
        let mut keys: Vec<RecordKey> = self.records.iter().filter(ready).map(|(key, _)| *key).collect();
        if keys.is_empty() {
            return None;
        }
        keys.truncate(count_fitting(keys.iter().map(|key| &self.records[key].entry), bytes));
        let mut entries = Vec::with_capacity(keys.len());
        let mut deadline = now;
        for key in &keys {
            if let Some(record) = self.records.get_mut(key) {
                record.ready = Ready::No;
                record.open += 1;
                deadline = deadline.max(record.deadline);
                entries.push(record.entry.clone());
            }
        }
        let key = AttemptKey(self.next_number());
        self.attempts
            .insert(key, Attempt { route: route.clone(), begun: now, phase: Phase::Open, records: keys });
        Some(Work { key, route, entries, deadline })
    }
}
