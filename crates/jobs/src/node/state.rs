//! State that the tasks of a node share.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::catalog::Catalog;
use crate::dispatch::Dispatcher;
use crate::dispatch::event::Wave;
use crate::record::Entry;
use crate::table::Table;

/// Whether this node owns the work.
#[derive(Debug)]
pub(super) enum Role {
    /// Another node owns it.
    Follower(Box<Table>),
    /// This node owns it.
    Owner(Box<Dispatcher>),
}

impl Default for Role {
    fn default() -> Self {
        Self::Follower(Box::default())
    }
}

/// How far a topic has been read.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cursor {
    /// Offset to read next; none before the newest records were read.
    pub(super) next: Option<u64>,
    /// Time of the last answer.
    pub(super) fresh: Option<Instant>,
}

impl Cursor {
    fn age(self, now: Instant) -> Duration {
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
    pub(super) intake: Cursor,
    pub(super) progress: Cursor,
    /// Grows when the table is read anew, so that older reads are dropped.
    pub(super) loads: u64,
    /// Records that wait for the store.
    pub(super) queue: Vec<Submission>,
    /// Appends of the intake under way.
    pub(super) appends: usize,
    /// Calls without an answer.
    pub(super) open_calls: usize,
    /// Time at which another instance's claim was read; none for a claim that was there at the load.
    pub(super) claim_seen: Option<Instant>,
    pub(super) stopping: bool,
    /// Number of the owner's next append.
    pub(super) sequence: u64,
}

impl State {
    /// Jobs.
    pub(super) fn table(&self) -> &Table {
        match &self.role {
            Role::Follower(table) => table,
            Role::Owner(dispatcher) => &dispatcher.table,
        }
    }

    pub(super) fn dispatcher(&mut self) -> Option<&mut Dispatcher> {
        match &mut self.role {
            Role::Follower(_) => None,
            Role::Owner(dispatcher) => Some(dispatcher),
        }
    }

    /// True if all topics were read.
    pub(super) fn loaded(&self) -> bool {
        self.catalog.is_some() && self.intake.next.is_some() && self.progress.next.is_some()
    }

    /// True if calls can be answered.
    pub(super) fn ready(&self, now: Instant, stale: Duration) -> bool {
        self.loaded() && !self.stopping && self.intake.age(now) < stale
    }

    /// True if the view of jobs is fresh.
    pub(super) fn fresh(&self, now: Instant, stale: Duration) -> bool {
        self.loaded() && self.intake.age(now) < stale
    }
}
