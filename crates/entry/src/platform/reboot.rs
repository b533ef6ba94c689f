//! Reboots of workers into a pool.

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

/// Interval of status calls to a worker that reboots.
const POLL: Duration = Duration::from_millis(200);
/// Time limit of a status call.
const STATUS: Duration = Duration::from_secs(1);
/// Status calls after which a reboot is given up: 55 s. The engine orders it again after 60 s.
const POLLS: u32 = 275;

/// Reboots in progress. One worker is rebooted once at a time.
#[derive(Debug)]
pub struct Reboots {
    shell: Arc<Shell>,
    platform: Arc<Platform>,
    pool: Arc<Pool>,
    active: Mutex<BTreeSet<WorkerId>>,
}

impl Reboots {
    /// Creates an empty set.
    #[must_use]
    pub fn new(shell: Arc<Shell>, platform: Arc<Platform>, pool: Arc<Pool>) -> Arc<Self> {
        Arc::new(Self { shell, platform, pool, active: Mutex::default() })
    }

    /// Reboots a worker and reports it once it answers in the pool. Returns at once if it is being rebooted.
    pub async fn run(&self, worker: WorkerId, name: &str, pool: &str) {
        if !self.active.lock().insert(worker) {
            return;
        }
        let before = self.status(worker).await.map(|status| status.nonce);
        let before = before.or_else(|| self.listed(worker).map(|(nonce, _)| nonce));
        // An unconfirmed order may have taken effect, so the worker is polled in either case.
        if let Err(error) = self.platform.reboot(name, pool).await {
            log::warn!("the reboot of worker {name} was not confirmed: {error}");
        }
        if self.answers(worker, pool, before).await {
            self.shell.handle(Event::Rebooted(worker));
        }
        self.active.lock().remove(&worker);
    }

    /// Polls until the worker answers in the pool with another nonce. The old process may answer for a while after
    /// the platform has confirmed.
    async fn answers(&self, worker: WorkerId, pool: &str, before: Option<u64>) -> bool {
        for _ in 0..POLLS {
            sleep(POLL).await;
            let status = self.status(worker).await;
            if status.is_some_and(|s| s.pool == pool && Some(s.nonce) != before && !s.leaving) {
                return true;
            }
            if !self.wanted(worker) {
                return false;
            }
        }
        false
    }

    async fn status(&self, worker: WorkerId) -> Option<WorkerStatus> {
        let (_, address) = self.listed(worker)?;
        let request = Call::new(Method::GET, "/worker/status", STATUS);
        call(&self.pool, &address, request).await.ok()?.parse()
    }

    /// Nonce and address in the state. A rebooted worker may come back at another address.
    fn listed(&self, worker: WorkerId) -> Option<(u64, String)> {
        self.shell.read(|engine| {
            let row = engine.fleet().workers.get(&worker)?;
            Some((row.nonce, row.address.clone()))
        })
    }

    fn wanted(&self, worker: WorkerId) -> bool {
        self.shell.read(|engine| {
            let row = engine.fleet().workers.get(&worker);
            row.is_some_and(|row| row.state == WorkerState::Maintenance)
        })
    }
}
