//! Bounded queues from the engine to the background tasks that carry out its commands.

use rattanfall_core::engine::command::TaskCall;
use rattanfall_core::engine::event::{AppendOutcome, Digest, TaskAnswer, TaskReport};
use rattanfall_core::engine::{Command, Event};
use rattanfall_core::ids::WorkerId;
use rattanfall_core::record::Batch;
use tokio::sync::{mpsc, watch};

use super::Shell;

/// Worker calls that wait for a free slot. The engine has at most one call per task and one probe per worker open, so
/// the queue holds more than a fleet of 2,700 workers needs.
const MAX_QUEUED_CALLS: usize = 4_096;
/// Batches that wait for the appender. The engine has one append outstanding at a time.
const MAX_QUEUED_APPENDS: usize = 4;

/// Call to a worker that `instance::calls` carries out.
#[derive(Debug)]
pub enum WorkerCall {
    /// Call to a worker about a task.
    Task(TaskCall),
    /// Status call on a new connection.
    Probe {
        /// Worker to call.
        worker: WorkerId,
        /// Address of the worker, `ip:port`.
        address: String,
    },
    /// Reboot of a worker into a pool.
    Reboot {
        /// Worker to reboot.
        worker: WorkerId,
        /// Name under which the platform knows the worker.
        name: String,
        /// Address of the worker before the reboot, `ip:port`.
        address: String,
        /// Name of the pool that the worker serves afterwards.
        pool: String,
    },
}

/// Sending half, owned by the shell.
#[derive(Debug)]
pub struct Outbox {
    appends: mpsc::Sender<Batch>,
    calls: mpsc::Sender<WorkerCall>,
    digest: watch::Sender<Option<Digest>>,
    exit: watch::Sender<bool>,
}

/// Receiving half, with one receiver for each background task.
#[derive(Debug)]
pub struct Inbox {
    /// Batches to append.
    pub appends: mpsc::Receiver<Batch>,
    /// Worker calls to carry out.
    pub calls: mpsc::Receiver<WorkerCall>,
    /// Newest digest, which replaces all older ones; `None` before the first.
    pub digest: watch::Receiver<Option<Digest>>,
    /// True once the engine has finished its shutdown.
    pub exit: watch::Receiver<bool>,
}

/// Creates the two halves.
#[must_use]
pub fn outbox() -> (Outbox, Inbox) {
    let (appends, appends_in) = mpsc::channel(MAX_QUEUED_APPENDS);
    let (calls, calls_in) = mpsc::channel(MAX_QUEUED_CALLS);
    let (digest, digest_in) = watch::channel(None);
    let (exit, exit_in) = watch::channel(false);
    let inbox = Inbox { appends: appends_in, calls: calls_in, digest: digest_in, exit: exit_in };
    (Outbox { appends, calls, digest, exit }, inbox)
}

impl Outbox {
    pub(super) fn dispatch(&self, shell: &Shell, command: Command) {
        match command {
            Command::Append(batch) => self.enqueue_append(shell, batch),
            Command::Gossip(digest) => {
                self.digest.send_replace(Some(digest));
            }
            Command::Task(call) => self.enqueue_call(shell, WorkerCall::Task(call)),
            Command::Probe { worker, address } => {
                self.enqueue_call(shell, WorkerCall::Probe { worker, address })
            }
            Command::Reboot { worker, name, address, pool } => {
                self.enqueue_call(shell, WorkerCall::Reboot { worker, name, address, pool });
            }
            Command::Exit => {
                self.exit.send_replace(true);
            }
            Command::Send(_) | Command::Refuse { .. } | Command::Resolve { .. } | Command::Rejoin => {}
        }
    }

    fn enqueue_append(&self, shell: &Shell, batch: Batch) {
        let sequence = batch.sequence;
        if self.appends.try_send(batch).is_err() {
            log::error!("append queue full; batch {sequence} reported as not appended");
            shell.handle(Event::AppendEnded { sequence, outcome: AppendOutcome::NotAppended });
        }
    }

    /// Queues a call. If the queue is full, the call is reported to the engine as not sent, so that the engine does not
    /// wait for its result. A reboot is not reported, because the engine requests it again.
    fn enqueue_call(&self, shell: &Shell, call: WorkerCall) {
        let Err(mpsc::error::TrySendError::Full(call)) = self.calls.try_send(call) else {
            return;
        };
        log::error!("worker call queue full; a call was not sent");
        match call {
            WorkerCall::Task(TaskCall { task, attempt, worker, .. }) => {
                let report = TaskReport { task, attempt, worker, answer: TaskAnswer::Unsent, nonce: 0 };
                shell.handle(Event::TaskReport(report));
            }
            WorkerCall::Probe { worker, .. } => shell.handle(Event::Probed { worker, alive: false }),
            WorkerCall::Reboot { .. } => {}
        }
    }
}
