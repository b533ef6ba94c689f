//! Carries out the engine's calls to workers with bounded concurrency.

use std::sync::Arc;

use rattanfall_core::engine::Event;
use tokio::sync::{Semaphore, mpsc};
use tokio::task::JoinSet;

use crate::platform::Reboots;
use crate::shell::{Shell, WorkerCall};
use crate::upstreams::{Pool, probe, run_task_call};

/// Most concurrent calls to workers, without reboots. Each has a time limit of a few seconds.
const MAX_CONCURRENT_CALLS: usize = 256;

/// Carries out calls until the task is aborted. Reboots can take minutes and do not count against the bound; there is
/// at most one for each worker.
pub(super) async fn run_worker_calls(
    shell: Arc<Shell>,
    pool: Arc<Pool>,
    reboots: Arc<Reboots>,
    mut calls: mpsc::Receiver<WorkerCall>,
) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    let mut tasks = JoinSet::new();
    while let Some(call) = calls.recv().await {
        while tasks.try_join_next().is_some() {}
        if let WorkerCall::Reboot { worker, name, pool, .. } = call {
            let reboots = Arc::clone(&reboots);
            tasks.spawn(async move { reboots.run(worker, &name, &pool).await });
            continue;
        }
        let Ok(permit) = Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        let (shell, pool) = (Arc::clone(&shell), Arc::clone(&pool));
        tasks.spawn(async move {
            run(&shell, &pool, call).await;
            drop(permit);
        });
    }
}

async fn run(shell: &Shell, pool: &Arc<Pool>, call: WorkerCall) {
    match call {
        WorkerCall::Task(call) => {
            let report = run_task_call(shell, pool, call).await;
            shell.handle(Event::TaskReport(report));
        }
        WorkerCall::Probe { worker, address } => {
            let alive = probe(&address).await;
            shell.handle(Event::Probed { worker, alive });
        }
        WorkerCall::Reboot { .. } => {}
    }
}
