//! State that the tasks of a node share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::catalog::Catalog;
use crate::dispatch::Dispatcher;
use crate::dispatch::event::Wave;
use crate::ids::JobId;
use crate::ports::Page;
use crate::record::Entry;
use crate::summary::Summaries;
use crate::table::{Job, JobState, Table};

/// Age of the view of the configuration above which nothing is denied by it and the instance leaves the rotation. Above the
/// wait of a read, below the time in which a change is to be in force.
pub(super) const STALE_CONFIG: Duration = Duration::from_millis(1_700);
/// Age of the view of the configuration above which an instance that reads the rest refuses all calls, because keys may have
/// been withdrawn. Above an outage of the operators' records of some seconds.
pub(super) const EXPIRED_CONFIG: Duration = Duration::from_secs(8);

/// What this node knows of the work besides the states of jobs.
#[derive(Debug, Default)]
pub(super) enum Role {
    /// Nothing: it answers callers.
    #[default]
    Reader,
    /// All of it: it may take the work over.
    Standby(Box<Table>),
    /// All of it: it owns the work.
    Owner(Box<Dispatcher>),
}

/// How far a topic has been read.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cursor {
    /// Offset to read next; none before the newest records were read.
    pub(super) next: Option<u64>,
    /// Latest time up to which all records are known to have been read.
    pub(super) fresh: Option<Instant>,
}

/// Time up to which a page proves that all records were read. None if the page ends before the topic does.
///
/// The answer tells what the store held when it was asked, or at the end of the wait if there was no record.
pub(super) fn proof(asked: Instant, wait: Duration, from: u64, page: &Page) -> Option<Instant> {
    let waited = if page.next == from { wait.min(asked.elapsed()) } else { Duration::ZERO };
    page.complete().then(|| asked + waited)
}

impl Cursor {
    /// Notes that a page was read. Pages of one topic may be read twice.
    pub(super) fn advance(&mut self, page: &Page, proof: Option<Instant>) {
        self.next = Some(self.next.unwrap_or(0).max(page.next));
        self.fresh = self.fresh.max(proof);
    }

    /// Time since all records were known to have been read.
    pub(super) fn age(self, now: Instant) -> Duration {
        self.fresh.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }
}

/// Outcome of an append to the intake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stored {
    /// Stored.
    Yes,
    /// Certainly not stored.
    No,
    /// Not known.
    Unknown,
}

/// Record that waits for the store.
#[derive(Debug)]
pub(super) struct Submission {
    /// Record.
    pub(super) entry: Entry,
    /// Time until which the caller waits.
    pub(super) deadline: Instant,
    /// Where the outcome goes.
    pub(super) answer: oneshot::Sender<Stored>,
}

/// State of a node.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) role: Role,
    /// Configuration in force.
    pub(super) catalog: Option<Arc<Catalog>>,
    pub(super) evacuated: BTreeSet<String>,
    pub(super) waves: BTreeMap<u64, Wave>,
    pub(super) operator: Cursor,
    /// States of jobs, from which callers are answered.
    pub(super) summaries: Summaries,
    pub(super) summary: Cursor,
    /// Offset of the intake up to which this node has read itself what the summaries did not contain yet.
    pub(super) tail: u64,
    /// Time at which the last read was asked for that knew of all accepted jobs.
    pub(super) accepted: Option<Instant>,
    /// Time at which the owner's last offset of the intake was read.
    pub(super) taken: Option<Instant>,
    /// True if this node is to hold the work, so that it may take it over.
    pub(super) holder: bool,
    pub(super) intake: Cursor,
    pub(super) progress: Cursor,
    /// Grows when the work is loaded anew or given up, so that older reads are dropped.
    pub(super) loads: u64,
    /// Records that wait for the store.
    pub(super) queue: Vec<Submission>,
    /// Appends of the intake under way.
    pub(super) appends: usize,
    /// Calls without an answer.
    pub(super) open_calls: usize,
    /// Time at which another instance's claim was read; none for a claim that was there at the load.
    pub(super) claim_seen: Option<Instant>,
    /// Time of the last answer of the group of holders.
    pub(super) joined: Option<Instant>,
    pub(super) stopping: bool,
    /// Number of the owner's next append to the progress.
    pub(super) sequence: u64,
    /// Jobs of the owner whose summary may have changed.
    pub(super) unpublished: BTreeSet<JobId>,
}

impl State {
    /// Work, if this node holds it.
    pub(super) fn table(&self) -> Option<&Table> {
        match &self.role {
            Role::Reader => None,
            Role::Standby(table) => Some(table),
            Role::Owner(dispatcher) => Some(&dispatcher.table),
        }
    }

    pub(super) fn dispatcher(&mut self) -> Option<&mut Dispatcher> {
        match &mut self.role {
            Role::Reader | Role::Standby(_) => None,
            Role::Owner(dispatcher) => Some(dispatcher),
        }
    }

    pub(super) const fn owns(&self) -> bool {
        matches!(self.role, Role::Owner(_))
    }

    /// True if this node holds the work and may claim it.
    pub(super) const fn holds(&self) -> bool {
        self.catalog.is_some() && !matches!(self.role, Role::Reader)
    }

    /// True if this node holds the work and does not own it.
    pub(super) const fn stands_by(&self) -> bool {
        matches!(self.role, Role::Standby(_))
    }

    /// State of a job as callers see it.
    pub(super) fn shown(&self, id: JobId) -> Option<JobState> {
        match &self.role {
            Role::Owner(dispatcher) => dispatcher.table.get(id).map(Job::state),
            Role::Reader | Role::Standby(_) => self.summaries.get(id),
        }
    }

    /// Jobs of a queue that have not started.
    pub(super) fn pending(&self, queue: &str) -> u64 {
        let counts = match &self.role {
            Role::Owner(dispatcher) => dispatcher.table.pending(),
            Role::Reader | Role::Standby(_) => self.summaries.pending(),
        };
        counts.get(queue).copied().unwrap_or(0)
    }

    /// Forgets the work, so that it is loaded anew if this node is to hold it.
    pub(super) fn drop_work(&mut self) {
        self.loads += 1;
        self.role = Role::Reader;
        self.intake = Cursor::default();
        self.progress = Cursor::default();
        self.unpublished.clear();
    }

    /// Time since all states of jobs were known to have been read.
    pub(super) fn age(&self, now: Instant) -> Duration {
        self.summary.age(now)
    }

    /// Time since the operators' records were known to have been read.
    pub(super) fn operator_age(&self, now: Instant) -> Duration {
        self.operator.age(now)
    }

    /// True if calls can be answered.
    pub(super) fn ready(&self, now: Instant, stale: Duration) -> bool {
        self.fresh(now, stale) && self.operator_age(now) < STALE_CONFIG && !self.stopping
    }

    /// True if the view of jobs is fresh.
    pub(super) fn fresh(&self, now: Instant, stale: Duration) -> bool {
        self.catalog.is_some() && self.age(now) < stale
    }
}
