//! Commands that other tasks of the process carry out.

use rattanfall_core::engine::command::TaskCall;
use rattanfall_core::engine::event::{AppendOutcome, Digest, TaskAnswer, TaskReport};
use rattanfall_core::engine::{Command, Event};
use rattanfall_core::ids::WorkerId;
use rattanfall_core::record::Batch;
use tokio::sync::{mpsc, watch};

use super::Shell;

/// Orders that wait for a free task. The engine has at most one order per task and one probe per worker open, so
/// the queue holds more than a full fleet of 2,700 workers.
const ORDERS: usize = 4_096;
/// Batches that wait for the appender. The engine keeps one append outstanding.
const APPENDS: usize = 4;

/// Work for the order runner.
#[derive(Debug)]
pub enum WorkerCall {
    /// Call to a worker about a task.
    Task(TaskCall),
    /// Status call on a fresh connection.
    Probe {
        /// Worker.
        worker: WorkerId,
        /// Address, `ip:port`.
        address: String,
    },
    /// Reboot into a pool.
    Reboot {
        /// Worker.
        worker: WorkerId,
        /// Worker's name.
        name: String,
        /// Address, `ip:port`.
        address: String,
        /// Name of the pool.
        pool: String,
    },
}

/// Sending half, owned by the shell. Its queues are bounded.
#[derive(Debug)]
pub struct Outbox {
    appends: mpsc::Sender<Batch>,
    orders: mpsc::Sender<WorkerCall>,
    digest: watch::Sender<Option<Digest>>,
    exit: watch::Sender<bool>,
}

/// Receiving half, one receiver for each task of the process.
#[derive(Debug)]
pub struct Inbox {
    /// Batches to append.
    pub appends: mpsc::Receiver<Batch>,
    /// Orders to carry out.
    pub orders: mpsc::Receiver<WorkerCall>,
    /// Newest digest; older ones are of no use.
    pub digest: watch::Receiver<Option<Digest>>,
    /// True once the engine has nothing left to do.
    pub exit: watch::Receiver<bool>,
}

/// Creates the two halves.
#[must_use]
pub fn outbox() -> (Outbox, Inbox) {
    let (appends, appends_in) = mpsc::channel(APPENDS);
    let (orders, orders_in) = mpsc::channel(ORDERS);
    let (digest, digest_in) = watch::channel(None);
    let (exit, exit_in) = watch::channel(false);
    let inbox = Inbox { appends: appends_in, orders: orders_in, digest: digest_in, exit: exit_in };
    (Outbox { appends, orders, digest, exit }, inbox)
}

impl Outbox {
    pub(super) fn put(&self, shell: &Shell, command: Command) {
        match command {
            Command::Append(batch) => self.put_append(shell, batch),
            Command::Gossip(digest) => {
                self.digest.send_replace(Some(digest));
            }
            Command::Task(order) => self.put_order(shell, WorkerCall::Task(order)),
            Command::Probe { worker, address } => {
                self.put_order(shell, WorkerCall::Probe { worker, address })
            }
            Command::Reboot { worker, name, address, pool } => {
                self.put_order(shell, WorkerCall::Reboot { worker, name, address, pool });
            }
            Command::Exit => {
                self.exit.send_replace(true);
            }
            Command::Send(_) | Command::Refuse { .. } | Command::Resolve { .. } | Command::Rejoin => {}
        }
    }

    fn put_append(&self, shell: &Shell, batch: Batch) {
        let sequence = batch.sequence;
        if self.appends.try_send(batch).is_err() {
            log::error!("the append queue is full; batch {sequence} is handed back");
            shell.handle(Event::AppendEnded { sequence, outcome: AppendOutcome::NotAppended });
        }
    }

    /// Answers an order that finds no room, so that the engine does not wait for it. Nothing was sent.
    fn put_order(&self, shell: &Shell, order: WorkerCall) {
        let Err(mpsc::error::TrySendError::Full(order)) = self.orders.try_send(order) else {
            return;
        };
        log::error!("the order queue is full; an order is handed back");
        match order {
            WorkerCall::Task(TaskCall { task, attempt, worker, .. }) => {
                let report = TaskReport { task, attempt, worker, answer: TaskAnswer::Unsent, nonce: 0 };
                shell.handle(Event::TaskReport(report));
            }
            WorkerCall::Probe { worker, .. } => shell.handle(Event::Probed { worker, alive: false }),
            WorkerCall::Reboot { .. } => {}
        }
    }
}
