//! Reboots of workers through the platform.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use http::Method;
use parking_lot::Mutex;
use rattanfall_core::engine::Event;
use rattanfall_core::fleet::WorkerState;
use rattanfall_core::ids::WorkerId;
use rattanfall_wire::worker::WorkerStatus;
use tokio::time::sleep;

use super::Platform;
use crate::shell::Shell;
use crate::upstreams::{Call, Pool, call};

/// Interval of status calls to a rebooting worker.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Time limit of a status call.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Status calls until a reboot counts as failed: 55 s in all. The engine requests the reboot again after 60 s.
const MAX_POLLS: u32 = 275;

/// Reboots in progress, at most one for each worker.
#[derive(Debug)]
pub struct Reboots {
    shell: Arc<Shell>,
    platform: Arc<Platform>,
    pool: Arc<Pool>,
    active: Mutex<BTreeSet<WorkerId>>,
}

impl Reboots {
    /// Creates a set without reboots. `pool` has the connections to workers.
    #[must_use]
    pub fn new(shell: Arc<Shell>, platform: Arc<Platform>, pool: Arc<Pool>) -> Arc<Self> {
        Arc::new(Self { shell, platform, pool, active: Mutex::default() })
    }

    /// Reboots a worker and reports to the engine once the new process responds in the pool. Returns immediately if a
    /// reboot of the worker is already in progress.
    pub async fn run(&self, worker: WorkerId, name: &str, pool: &str) {
        if !self.active.lock().insert(worker) {
            return;
        }
        let before = self.status(worker).await.map(|status| status.nonce);
        let before = before.or_else(|| self.nonce_and_address(worker).map(|(nonce, _)| nonce));
        // An unconfirmed reboot may still have taken effect, so the worker is polled in either case.
        if let Err(error) = self.platform.reboot(name, pool).await {
            log::warn!("reboot of worker {name} not confirmed: {error}");
        }
        if self.wait_until_rebooted(worker, pool, before).await {
            self.shell.handle(Event::Rebooted(worker));
        }
        self.active.lock().remove(&worker);
    }

    /// Polls until the worker responds in the pool with a new nonce. The old process may still respond for a while
    /// after the platform has confirmed the reboot.
    async fn wait_until_rebooted(&self, worker: WorkerId, pool: &str, before: Option<u64>) -> bool {
        for _ in 0..MAX_POLLS {
            sleep(POLL_INTERVAL).await;
            let status = self.status(worker).await;
            if status.is_some_and(|s| s.pool == pool && Some(s.nonce) != before && !s.leaving) {
                return true;
            }
            if !self.in_maintenance(worker) {
                return false;
            }
        }
        false
    }

    async fn status(&self, worker: WorkerId) -> Option<WorkerStatus> {
        let (_, address) = self.nonce_and_address(worker)?;
        let request = Call::new(Method::GET, "/worker/status", STATUS_TIMEOUT);
        call(&self.pool, &address, request).await.ok()?.parse()
    }

    /// Nonce and address according to the state. A rebooted worker may have a new address.
    fn nonce_and_address(&self, worker: WorkerId) -> Option<(u64, String)> {
        self.shell.read(|engine| {
            let worker_record = engine.fleet().workers.get(&worker)?;
            Some((worker_record.nonce, worker_record.address.clone()))
        })
    }

    fn in_maintenance(&self, worker: WorkerId) -> bool {
        self.shell.read(|engine| {
            let worker_record = engine.fleet().workers.get(&worker);
            worker_record.is_some_and(|worker_record| worker_record.state == WorkerState::Maintenance)
        })
    }
}
