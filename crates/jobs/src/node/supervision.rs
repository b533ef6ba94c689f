//! Tasks of a node that end unexpectedly, by a defect or by a record that nobody foresaw.
//!
//! The process goes on, as its callers and its other tasks do not depend on the one that failed. An owner gives the work up:
//! its decisions may be incomplete, and while it kept the work, no other instance could go on with it.

use std::any::Any;
use std::panic::AssertUnwindSafe;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::CatchUnwind;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::sleep;

use super::Node;
use crate::ports::Platform;

/// Delay before a task that ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

impl<P: Platform> Node<P> {
    /// Starts a task that runs as long as the node, and starts it again if it ends.
    pub(super) fn keep_running<F>(
        self: &Rc<Self>,
        name: &'static str,
        task: impl Fn(Rc<Self>) -> F + 'static,
    ) -> JoinHandle<()>
    where
        F: Future<Output = ()> + 'static,
    {
        let node = Rc::clone(self);
        spawn_local(async move {
            loop {
                node.run_or_step_down(name, task(Rc::clone(&node))).await;
                sleep(RESTART_DELAY).await;
            }
        })
    }

    /// Starts a task of the owner that ends by itself.
    pub(super) fn run_once(
        self: &Rc<Self>,
        name: &'static str,
        task: impl Future<Output = ()> + 'static,
    ) -> JoinHandle<()> {
        let node = Rc::clone(self);
        spawn_local(caught(task).map(move |outcome| node.step_down_on(name, &outcome)))
    }

    /// Runs a task to its end. If it fails, the node gives up ownership.
    pub(super) fn run_or_step_down(
        &self,
        name: &'static str,
        task: impl Future<Output = ()>,
    ) -> impl Future<Output = ()> {
        caught(task).map(move |outcome| self.step_down_on(name, &outcome))
    }

    /// Runs a task to its end, and logs its failure.
    pub(super) fn contain(
        &self,
        name: &'static str,
        task: impl Future<Output = ()>,
    ) -> impl Future<Output = ()> {
        caught(task).map(move |outcome| self.log_failure(name, &outcome))
    }

    fn step_down_on(&self, name: &'static str, outcome: &Outcome) {
        self.log_failure(name, outcome);
        if outcome.is_err() {
            self.step_down("a task failed");
        }
    }

    fn log_failure(&self, name: &'static str, outcome: &Outcome) {
        if let Err(panic) = outcome {
            log::error!(task = name, why = message(&**panic); "a task of the instance failed");
            self.handle.meters.task_failed(name);
        }
    }
}

/// Outcome of a task; an error if it failed.
type Outcome = Result<(), Box<dyn Any + Send>>;

/// Catches the failure of a task.
///
/// A combinator holds the task once. An async block that is given it holds it twice, and each one around it doubles that; an
/// owner has a task for each poll that a worker holds.
pub fn caught<T: Future<Output = ()>>(task: T) -> CatchUnwind<AssertUnwindSafe<T>> {
    AssertUnwindSafe(task).catch_unwind()
}

/// Message of a panic.
fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("unknown")
}
