//! Sending: one job for each piece of work, from the intended time to its outcome.

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

/// Reason as the answer names it.
pub type Reason = Cow<'static, str>;

/// What became of a piece of work, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ran and the answer is whole and its own.
    Done {
        /// True if the work itself failed.
        failed: bool,
    },
    /// It did not run.
    NotRun(Reason),
    /// It may have run.
    Unknown(Reason),
    /// A promise is broken.
    Broken(Violation),
}

/// Promise that was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Violation {
    /// The answer belongs to other work.
    CrossedAnswer,
    /// The answer is not whole.
    TruncatedAnswer,
    /// Work was answered with "not run", but a worker started it.
    NotRunRan,
    /// Work that is not idempotent ran again.
    RanTwice,
    /// Work was answered with "done", but no worker started it.
    DoneNotStarted,
    /// An accepted task is not known any more, or ended without a reason.
    LostTask,
}

/// End of a piece of work.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// Work.
    pub item: WorkItem,
    /// Time of the end, since the start of the run.
    pub at: Duration,
    /// Time from the intended send to the end.
    pub latency: Duration,
    /// Outcome.
    pub outcome: Outcome,
}

/// Sends a piece of work and reports its end.
pub async fn send(context: Arc<Context>, item: WorkItem, intended: Instant) {
    let outcome = if item.task && !context.is_direct() {
        task::run(&context, &item).await
    } else {
        request::run(&context, &item).await
    };
    let now = Instant::now();
    let ended = Completion { item, at: now - context.start, latency: now - intended, outcome };
    context.report(ended);
}
