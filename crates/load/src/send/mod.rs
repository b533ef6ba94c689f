//! Sending: one asynchronous task for each work item, until its outcome is known.

mod context;
mod request;
mod task;
mod verify;

pub use context::{Context, Mode};
pub(crate) use request::class_name;
pub use verify::verify;

use std::borrow::Cow;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::flow::WorkItem;

/// Reason code, from the response or assigned by the load generator.
pub type Reason = Cow<'static, str>;

/// Outcome of a work item from the caller's point of view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran, and the response is complete and belongs to it.
    Done {
        /// True if the worker reported that the work failed.
        failed: bool,
    },
    /// The response says that it did not run, or no target could be reached.
    NotRun(Reason),
    /// It may have run: the response says so or is missing.
    Unknown(Reason),
    /// The response itself violates a guarantee.
    Broken(Violation),
}

/// Violated guarantee to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// The answer belongs to another work item.
    CrossedAnswer,
    /// The answer is incomplete.
    TruncatedAnswer,
    /// The caller was told "not run", but a worker started the work.
    NotRunRan,
    /// Work that is not idempotent was started again.
    RanTwice,
    /// The caller was told "done", but no worker started the work.
    DoneNotStarted,
    /// An accepted task is no longer known, or ended without a reason.
    LostTask,
}

/// Completion of a work item.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The work item.
    pub item: WorkItem,
    /// Time since the start of the run.
    pub at: Duration,
    /// Time from the intended send to the completion, so that a delayed send counts as latency.
    pub latency: Duration,
    /// Outcome from the caller's point of view.
    pub outcome: Outcome,
}

/// Sends a work item and reports its completion to the collector.
pub async fn send(context: Arc<Context>, item: WorkItem, intended: Instant) {
    let outcome = if item.task && !context.is_direct() {
        task::run(&context, &item).await
    } else {
        request::run(&context, &item).await
    };
    let now = Instant::now();
    let completion = Completion { item, at: now - context.start, latency: now - intended, outcome };
    context.report(completion);
}
