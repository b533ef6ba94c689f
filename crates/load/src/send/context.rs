//! What all jobs of a run share.

use std::sync::Arc;
use std::sync::mpsc;

use tokio::time::Instant;

use super::Completion;
use crate::client::Client;
use crate::flow::{Flow, WorkItem};
use crate::targets::Workers;

/// Where the load goes.
#[derive(Clone, Debug)]
pub enum Mode {
    /// To the entry instances.
    Entries(Vec<Arc<str>>),
    /// Straight to the workers.
    Direct(Workers),
}

/// What all jobs of a run share.
#[derive(Debug)]
pub struct Context {
    /// Flows.
    pub flows: Vec<Flow>,
    /// Connections.
    pub client: Client,
    /// Targets.
    pub mode: Mode,
    /// Prefix of the tokens, unique to the run.
    pub prefix: String,
    /// Start of the run.
    pub start: Instant,
    /// Time after which a task that has not ended is given up.
    pub task_deadline: Instant,
    /// True if an answer that is cut off counts as unknown, because entry instances are killed on purpose.
    pub tolerate_cuts: bool,
    /// Receiver of the ends.
    pub completions: mpsc::Sender<Completion>,
}

impl Context {
    /// Flow of a piece of work.
    #[must_use]
    pub fn flow(&self, item: &WorkItem) -> &Flow {
        &self.flows[item.flow]
    }

    /// Token of a piece of work.
    #[must_use]
    pub fn token(&self, item: &WorkItem) -> String {
        format!("{}-{}", self.prefix, item.number)
    }

    /// True if the load goes straight to the workers.
    #[must_use]
    pub const fn is_direct(&self) -> bool {
        matches!(self.mode, Mode::Direct(_))
    }

    /// Targets of a piece of work, the preferred one first. The load is spread evenly, as by a load balancer.
    #[must_use]
    pub fn targets(&self, item: &WorkItem) -> Vec<Arc<str>> {
        let all = match &self.mode {
            Mode::Entries(entries) => entries.as_slice(),
            Mode::Direct(workers) => workers.pool(&self.flow(item).pool),
        };
        let first = usize::try_from(item.number % all.len().max(1) as u64).unwrap_or(0);
        all[first..].iter().chain(&all[..first]).cloned().collect()
    }

    /// Reports an end. A run whose collector is gone drops it.
    pub fn report(&self, ended: Completion) {
        let _ = self.completions.send(ended);
    }
}
