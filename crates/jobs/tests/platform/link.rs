//! Links between nodes and the store.

use std::cell::Cell;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, sleep_until};

/// Bytes sent before another answer gets the link, so that concurrent answers share it evenly.
const CHUNK_BYTES: usize = 10_000;
/// Resolution of the runtime's timers. A link that was idle for less counts as busy, so that late timers do not reduce its
/// rate.
const TIMER_RESOLUTION: Duration = Duration::from_millis(1);

/// Link of one node.
#[derive(Default)]
pub(crate) struct Link {
    /// Bytes per second; none for an unlimited link.
    rate: Cell<Option<u32>>,
    /// Latency of an answer.
    delay: Cell<Duration>,
    cut: Cell<bool>,
    /// Time at which everything sent so far has arrived.
    busy: Cell<Option<Instant>>,
    turn: Mutex<()>,
}

impl Link {
    pub(crate) fn set_rate(&self, rate: Option<u32>) {
        self.rate.set(rate);
    }

    pub(crate) fn set_delay(&self, delay: Duration) {
        self.delay.set(delay);
    }

    pub(crate) fn set_cut(&self, cut: bool) {
        self.cut.set(cut);
    }

    /// Waits until a request is delivered; forever if the link is cut.
    pub(crate) async fn request(&self) {
        if self.cut.get() {
            std::future::pending::<()>().await;
        }
    }

    /// Waits until an answer is delivered; forever if the link is cut in the meantime.
    pub(crate) async fn answer(&self, bytes: usize) {
        sleep(self.delay.get()).await;
        let mut rest = bytes;
        while rest > 0 {
            self.request().await;
            let Some(rate) = self.rate.get() else { break };
            let part = rest.min(CHUNK_BYTES);
            let _turn = self.turn.lock().await;
            let idle = Instant::now() - TIMER_RESOLUTION;
            let start = self.busy.get().map_or(idle, |busy| busy.max(idle));
            let end = start + Duration::from_secs(1).mul_f64(part as f64 / f64::from(rate));
            self.busy.set(Some(end));
            sleep_until(end).await;
            rest -= part;
        }
        self.request().await;
    }
}
