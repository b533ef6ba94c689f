//! State shared by all work items of a run.

use std::sync::Arc;
use std::sync::mpsc;

use tokio::time::Instant;

use super::Completion;
use crate::client::Client;
use crate::flow::{Flow, WorkItem};
use crate::targets::Workers;

/// Targets of the load.
#[derive(Clone, Debug)]
pub enum Mode {
    /// Addresses of the entry instances.
    Entries(Vec<Arc<str>>),
    /// The workers themselves, without an entry instance.
    Direct(Workers),
}

/// State shared by all work items of a run.
#[derive(Debug)]
pub struct Context {
    /// Flows, by the index that work items hold.
    pub flows: Vec<Flow>,
    /// Connection pool for all targets.
    pub client: Client,
    /// Where the load is sent.
    pub mode: Mode,
    /// Prefix of the tokens, unique to the run.
    pub prefix: String,
    /// Start of the load; completion times count from here.
    pub start: Instant,
    /// Time after which tasks are no longer polled.
    pub task_deadline: Instant,
    /// True if a truncated answer counts as unknown, for runs that kill entry instances.
    pub tolerate_cuts: bool,
    /// Channel to the collector.
    pub completions: mpsc::Sender<Completion>,
}

impl Context {
    /// Flow of a work item.
    #[must_use]
    pub fn flow(&self, item: &WorkItem) -> &Flow {
        &self.flows[item.flow]
    }

    /// Token of a work item, unique across runs.
    #[must_use]
    pub fn token(&self, item: &WorkItem) -> String {
        format!("{}-{}", self.prefix, item.number)
    }

    /// True if the load bypasses the entry instances.
    #[must_use]
    pub const fn is_direct(&self) -> bool {
        matches!(self.mode, Mode::Direct(_))
    }

    /// Addresses for a work item in the order in which to try them. The first one rotates, as with a round-robin load
    /// balancer.
    #[must_use]
    pub fn targets(&self, item: &WorkItem) -> Vec<Arc<str>> {
        let all = match &self.mode {
            Mode::Entries(entries) => entries.as_slice(),
            Mode::Direct(workers) => workers.pool(&self.flow(item).pool),
        };
        let first = usize::try_from(item.number % all.len().max(1) as u64).unwrap_or(0);
        all[first..].iter().chain(&all[..first]).cloned().collect()
    }

    /// Sends a completion to the collector; it is dropped if the collector has ended.
    pub fn report(&self, completion: Completion) {
        let _ = self.completions.send(completion);
    }
}
