//! Runs the engine's orders, a bounded number at once.

use std::sync::Arc;

use rattanfall_core::engine::Event;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

use crate::platform::Reboots;
use crate::shell::{Shell, WorkerCall};
use crate::upstreams::{Pool, probe, run_task_call};

/// Calls to workers at once. Each has a time limit of a few seconds.
const CALLS: usize = 256;

/// Runs orders until the task is aborted. Reboots take minutes and do not count against the bound; there is at most
/// one for each worker.
pub(super) async fn run_orders(
    shell: Arc<Shell>,
    pool: Arc<Pool>,
    reboots: Arc<Reboots>,
    mut orders: mpsc::Receiver<WorkerCall>,
) {
    let permits = Arc::new(Semaphore::new(CALLS));
    let mut tasks = JoinSet::new();
    while let Some(order) = orders.recv().await {
        while tasks.try_join_next().is_some() {}
        if let WorkerCall::Reboot { worker, name, pool, .. } = order {
            let reboots = Arc::clone(&reboots);
            tasks.spawn(async move { reboots.run(worker, &name, &pool).await });
            continue;
        }
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let (shell, pool) = (Arc::clone(&shell), Arc::clone(&pool));
        tasks.spawn(async move {
            run(&shell, &pool, order).await;
            drop(permit);
        });
    }
}

async fn run(shell: &Shell, pool: &Arc<Pool>, order: WorkerCall) {
    match order {
        WorkerCall::Task(order) => {
            let report = run_task_call(shell, pool, order).await;
            shell.handle(Event::TaskReport(report));
        }
        WorkerCall::Probe { worker, address } => {
            let alive = probe(&address).await;
            shell.handle(Event::Probed { worker, alive });
        }
        WorkerCall::Reboot { .. } => {}
    }
}
