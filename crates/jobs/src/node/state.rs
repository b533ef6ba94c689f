//! State shared by the tasks of a node.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::intake::Queue;
use crate::catalog::Catalog;
use crate::dispatch::admission::Decline;
use crate::dispatch::event::{Wave, WaveRecord};
use crate::dispatch::{Dispatcher, Write};
use crate::ids::JobId;
use crate::ports::Page;
use crate::summary::Summaries;
use crate::table::{Job, JobState, Table};

/// Age of the configuration from which calls with an unknown queue or key get `Refusal::Stale` instead of `NoQueue` or
/// `Unauthorized`, and the instance is not ready. Longer than the wait of a read, shorter than the time within which a
/// change must be in force.
pub(super) const MAX_CONFIG_AGE: Duration = Duration::from_millis(1_700);
/// Age of the configuration from which all calls are refused if the summaries are fresh, because keys may have been
/// withdrawn. If the summaries are stale too, later checks refuse the call. Long enough to bridge an outage of the
/// operator topic of several seconds.
pub(super) const CONFIG_EXPIRY: Duration = Duration::from_secs(8);

/// Role of this node, with what it holds besides the summaries.
#[derive(Debug, Default)]
pub(super) enum Role {
    /// Serves callers from the summaries only.
    #[default]
    Reader,
    /// Has loaded the job table and may take over as owner.
    Standby(Box<Table>),
    /// Owns the jobs and schedules them.
    Owner(Box<Dispatcher>),
}

/// Read position in a topic.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Cursor {
    /// Offset to read next; none before the topic was loaded.
    pub(super) next: Option<u64>,
    /// Latest time for which all records written until then are known to have been read.
    pub(super) as_of: Option<Instant>,
}

/// Returns the time for which a page proves that all records written until then were read. None if the page ends before
/// the topic does.
///
/// A page reflects the topic as of the request, an empty one as of the end of the wait.
pub(super) fn page_as_of(asked: Instant, wait: Duration, from: u64, page: &Page) -> Option<Instant> {
    let waited = if page.next == from { wait.min(asked.elapsed()) } else { Duration::ZERO };
    page.complete().then(|| asked + waited)
}

impl Cursor {
    /// Moves the position past a page. Pages of a topic may be read twice, so it never moves back.
    pub(super) fn advance(&mut self, page: &Page, as_of: Option<Instant>) {
        self.next = Some(self.next.unwrap_or(0).max(page.next));
        self.as_of = self.as_of.max(as_of);
    }

    /// Time since all records were known to have been read; the maximum if never.
    pub(super) fn age(self, now: Instant) -> Duration {
        self.as_of.map_or(Duration::MAX, |at| now.saturating_duration_since(at))
    }
}

/// Outcome of the attempts to store a record of the intake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stored {
    /// The record is stored.
    Yes,
    /// The record is certainly not stored.
    No,
    /// The owner declines the job, and its record is certainly not stored.
    Declined {
        /// Why.
        reason: Decline,
        /// Time after which the job will be admitted, in milliseconds.
        retry_ms: u64,
    },
    /// There was no answer; the record may be stored.
    Unknown,
}

/// Write of the owner that is not known to be stored.
#[derive(Debug)]
pub(super) struct OpenWrite {
    pub(super) write: Rc<Write>,
    /// Sequence number of its first append.
    pub(super) first: u64,
    /// Sequence number of its last append.
    pub(super) last: u64,
    pub(super) begun: Instant,
}

/// State of a node.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) role: Role,
    /// Configuration in force; none before it was read.
    pub(super) catalog: Option<Arc<Catalog>>,
    pub(super) evacuated: BTreeSet<String>,
    /// Operators' records of waves, by number.
    pub(super) waves: BTreeMap<u64, WaveRecord>,
    /// Numbers of the waves that records of the operators were about, by key.
    pub(super) wave_keys: BTreeMap<String, u64>,
    pub(super) operator: Cursor,
    /// States of jobs, from which callers are answered unless this node is the owner.
    pub(super) summaries: Summaries,
    pub(super) summary: Cursor,
    /// Offset up to which this node has read the part of the intake that the summaries do not cover.
    pub(super) tail_offset: u64,
    /// Start of the last read after which all jobs accepted until then were known.
    pub(super) accepted_as_of: Option<Instant>,
    /// Time at which the owner's latest intake offset was read in the summaries.
    pub(super) offset_read_at: Option<Instant>,
    /// True if this node is to load the job table, so that it may take over as owner.
    pub(super) table_wanted: bool,
    pub(super) intake: Cursor,
    pub(super) progress: Cursor,
    /// Incremented when the job table is loaded or dropped, so that results of earlier reads are discarded.
    pub(super) table_generation: u64,
    /// Records of the intake that callers wait for.
    pub(super) records: Queue,
    /// Time at which this process read the current owner's claim, or of a load of the table other than the first. None
    /// if the claim was in the first load, since it is then old.
    pub(super) claim_seen: Option<Instant>,
    /// Time of the last successful join of the holders' group.
    pub(super) last_join: Option<Instant>,
    pub(super) stopping: bool,
    /// Sequence number of the owner's next append to the progress.
    pub(super) sequence: u64,
    /// Fencing token of this process's last report to operators.
    pub(super) report_token: u64,
    /// Sequence number of the owner's last append to the progress that is known to be stored.
    pub(super) stored_sequence: u64,
    /// Writes of the owner that are not known to be stored, oldest first.
    pub(super) open_writes: VecDeque<OpenWrite>,
    /// Time at which a write of the owner was last known to be stored.
    pub(super) write_stored: Option<Instant>,
    /// True if the store did not take an append of the owner since then.
    pub(super) write_failed: bool,
    /// Jobs of the owner whose state may differ from the published summary.
    pub(super) unpublished: BTreeSet<JobId>,
}

impl State {
    /// Job table, if this node has loaded it.
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

    pub(super) const fn is_owner(&self) -> bool {
        matches!(self.role, Role::Owner(_))
    }

    /// Keeps the jobs of the table visible as started that the summaries show so.
    pub(super) fn keep_started(&mut self) {
        let table = match &mut self.role {
            Role::Reader => return,
            Role::Standby(table) => &mut **table,
            Role::Owner(dispatcher) => &mut dispatcher.table,
        };
        let shown = |id: &JobId| self.summaries.get(*id) == Some(JobState::Running);
        for id in table.ids().filter(shown).collect::<Vec<_>>() {
            table.keep_started(id);
        }
    }

    /// True if this node has loaded the job table and the configuration, so that it may be the owner.
    pub(super) const fn may_own(&self) -> bool {
        self.catalog.is_some() && !matches!(self.role, Role::Reader)
    }

    /// True if this node has loaded the job table and is not the owner.
    pub(super) const fn is_standby(&self) -> bool {
        matches!(self.role, Role::Standby(_))
    }

    /// Applies an operator's record of a wave. Records that a load of the topic has covered may be read again.
    pub(super) fn set_wave(&mut self, offset: u64, plan: Wave) {
        let known = self.waves.get(&plan.number);
        if known.is_some_and(|known| known.offset >= offset) {
            return;
        }
        let since = known.map_or(offset, |known| known.since);
        self.waves.insert(plan.number, WaveRecord { plan, offset, since });
    }

    /// Removes a wave of which no newer record is known.
    pub(super) fn remove_wave(&mut self, offset: u64, number: u64) {
        if self.waves.get(&number).is_some_and(|known| known.offset < offset) {
            self.waves.remove(&number);
        }
    }

    /// State of a job as callers see it.
    pub(super) fn job_state(&self, id: JobId) -> Option<JobState> {
        match &self.role {
            Role::Owner(dispatcher) => dispatcher.table.get(id).map(Job::state),
            Role::Reader | Role::Standby(_) => self.summaries.get(id),
        }
    }

    /// Number of jobs in a queue that have not started.
    pub(super) fn pending(&self, queue: &str) -> u64 {
        let counts = match &self.role {
            Role::Owner(dispatcher) => dispatcher.table.pending(),
            Role::Reader | Role::Standby(_) => self.summaries.pending(),
        };
        counts.get(queue).copied().unwrap_or(0)
    }

    /// Removes the oldest open write if it is stored.
    pub(super) fn pop_stored(&mut self) -> Option<OpenWrite> {
        self.open_writes.front().filter(|open| open.last <= self.stored_sequence)?;
        self.open_writes.pop_front()
    }

    /// Drops the job table, so that it is loaded again if this node is to hold it.
    pub(super) fn unload_table(&mut self) {
        self.table_generation += 1;
        self.role = Role::Reader;
        self.intake = Cursor::default();
        self.progress = Cursor::default();
        self.unpublished.clear();
    }

    /// Time since all summaries were known to have been read.
    pub(super) fn summary_age(&self, now: Instant) -> Duration {
        self.summary.age(now)
    }

    /// Time since all operator records were known to have been read.
    pub(super) fn config_age(&self, now: Instant) -> Duration {
        self.operator.age(now)
    }

    /// True if the instance can serve callers.
    pub(super) fn ready(&self, now: Instant, max_age: Duration) -> bool {
        self.has_fresh_view(now, max_age) && self.config_age(now) < MAX_CONFIG_AGE && !self.stopping
    }

    /// True if the configuration has been read and the summaries are younger than `max_age`.
    pub(super) fn has_fresh_view(&self, now: Instant, max_age: Duration) -> bool {
        self.catalog.is_some() && self.summary_age(now) < max_age
    }
}
